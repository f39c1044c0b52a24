//! Events that the control thread receives from the store, other nodes, engines and the relay.

use {
    crate::{
        origin_store::OriginTables,
        peer_message::{PeerBatch, PeerInfo, PeerMessage},
        quarantine_store::TrialClaim,
    },
    glade_catalog::{DemandReport, EngineOrder, EngineReport, OrderAnswer, ServerKey},
    glade_dispatch::{PromptSent, ServerLoad, StartEvent},
    glade_platform::{Changes, Revision, Snapshot, StoreError, StoredRow, TxnAnswer},
    glade_quarantine::Entry,
    glade_relay::TrafficUpdate,
    glade_streams::LogWrite,
    std::{net::SocketAddr, time::Instant},
};

/// A table of the store that the node watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedTable {
    /// The operators' configuration.
    Configuration,
    /// The registry of backend servers.
    Registry,
    /// The quarantined parts of prompts.
    Quarantine,
}

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// All rows of a watched table were read.
    Snapshot(WatchedTable, Snapshot),
    /// Changes of a watched table since a revision were read.
    Changes(WatchedTable, Revision, Changes),
    /// A call to the store that began at this time has failed for this reason.
    StoreCallFailed(Instant, String),
    /// Node discovery has read the rows of all nodes that were ever started.
    NodesRead(Vec<PeerInfo>),
    /// A call of node discovery to the store has failed and will be retried.
    NodeDiscoveryFailed,
    /// A batch of messages from another node has arrived.
    PeerBatch(Box<PeerBatch>),
    /// The relay reports its requests in flight, and its demand since the previous report.
    TrafficReport(TrafficReport),
    /// The relay has sent prompts to engines.
    PromptsSent(Vec<PromptSent>),
    /// Outcomes of requests, each with the address of the coordinator to notify; `None` stands for
    /// the nearest coordinator.
    StartEvents(Vec<(Option<SocketAddr>, StartEvent)>),
    /// The relay reports an observation, or needs something for a request.
    TrafficUpdate(TrafficUpdate),
    /// A read of the lease's row, which began at this time, has ended.
    LeaseRead(Instant, Result<Option<StoredRow>, StoreError>),
    /// A write of the lease's row, which began at this time, has ended.
    LeaseWritten(Instant, Result<TxnAnswer, StoreError>),
    /// A write of a quarantined entry, which began at this time, has ended.
    QuarantineWritten(Instant, Entry, Result<TxnAnswer, StoreError>),
    /// An attempt to claim the trial of a quarantined entry, which began at this time, has ended.
    TrialClaimed(Instant, Entry, TrialClaim),
    /// A read of the log of streams, which began at this time, has ended.
    StreamLogRead(Instant, Result<Snapshot, StoreError>),
    /// A read of the tables that tell where streams began, which began at this time, has ended.
    OriginTablesRead(Instant, Result<OriginTables, StoreError>),
    /// A write of the log of streams, which began at this time, has ended.
    StreamLogWritten(Instant, LogWrite, Result<TxnAnswer, StoreError>),
    /// An engine has answered an order, or the order has failed.
    OrderAnswered(EngineOrder, OrderAnswer),
    /// An engine has reported which models it holds; `None` if it didn't answer.
    EngineReported(ServerKey, Option<EngineReport>),
    /// The list of seed nodes in the settings was reloaded.
    Seeds(Vec<SocketAddr>),
    /// A task of the control thread has panicked.
    TaskPanicked,
    /// The node was asked to shut down.
    Shutdown,
}

impl Event {
    /// True if the event consists only of sent prompts and of records of streams, on which no decision
    /// depends.
    pub(crate) fn has_only_records(&self) -> bool {
        match self {
            Self::PromptsSent(_) | Self::TrafficUpdate(TrafficUpdate::StreamBegun { .. }) => true,
            Self::PeerBatch(batch) => batch.messages.iter().all(|message| {
                matches!(message, PeerMessage::Prompts(_) | PeerMessage::StreamRecords(_))
            }),
            _ => false,
        }
    }

    /// True if no decision is needed before the next tick.
    pub(crate) fn is_routine(&self) -> bool {
        match self {
            Self::PromptsSent(_) | Self::TrafficReport(_) | Self::StartEvents(_) => true,
            Self::TrafficUpdate(
                TrafficUpdate::StartWanted(_)
                | TrafficUpdate::AttemptLost(_)
                | TrafficUpdate::PartsServed(_)
                | TrafficUpdate::PermitsWanted(_)
                | TrafficUpdate::QuotaWanted(_)
                | TrafficUpdate::StreamBegun { .. }
                | TrafficUpdate::OriginWanted(..),
            ) => true,
            Self::PeerBatch(batch) => batch.is_routine(),
            _ => false,
        }
    }

    /// True if the event carries rows or changes of a watched table.
    pub(crate) fn has_changes(&self) -> bool {
        match self {
            Self::Snapshot(..) => true,
            Self::Changes(_, _, changes) => !changes.changes.is_empty(),
            _ => false,
        }
    }
}

/// What the relay reports to the control thread at regular intervals.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficReport {
    /// Requests in flight at each server, if they have changed since the previous report.
    pub(crate) loads: Option<Vec<ServerLoad>>,
    /// Demand per model since the previous report of demand.
    pub(crate) demand: DemandReport,
}
