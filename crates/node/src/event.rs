//! What the control thread is told.

use {
    crate::peer_message::{PeerBatch, PeerInfo, PeerMessage},
    glade_catalog::{DemandReport, EngineOrder, EngineReport, OrderAnswer, ServerKey},
    glade_dispatch::{PromptSent, ServerLoad, StartEvent},
    glade_platform::{Changes, Revision, Snapshot, StoreError, StoredRow, TxnAnswer},
    glade_relay::TrafficUpdate,
    std::{net::SocketAddr, time::Instant},
};

/// A table of the store that the node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedTable {
    /// The operators' configuration.
    Configuration,
    /// The registry of backend servers.
    Registry,
}

/// Something that the control thread must take note of.
#[derive(Debug)]
pub(crate) enum Event {
    /// All rows of a followed table.
    Snapshot(WatchedTable, Snapshot),
    /// Changes of a followed table since a revision.
    Changes(WatchedTable, Revision, Changes),
    /// A call to the store that began at this time has failed, and why.
    StoreCallFailed(Instant, String),
    /// The rows of all nodes that were ever started.
    NodesRead(Vec<PeerInfo>),
    /// The store doesn't tell which nodes there are; the call is repeated.
    NodeDiscoveryFailed,
    /// Another node has sent messages.
    PeerBatch(Box<PeerBatch>),
    /// What traffic has under way and has seen since it last said so.
    TrafficReport(TrafficReport),
    /// Traffic has sent prompts.
    PromptsSent(Vec<PromptSent>),
    /// What has become of requests, with the coordinators that are to know; `None` is the nearest one.
    StartEvents(Vec<(Option<SocketAddr>, StartEvent)>),
    /// Traffic has found something out.
    TrafficUpdate(TrafficUpdate),
    /// The lease's row was read, by a call that began at this time.
    LeaseRead(Instant, Result<Option<StoredRow>, StoreError>),
    /// The lease's row was written, by a call that began at this time.
    LeaseWritten(Instant, Result<TxnAnswer, StoreError>),
    /// An engine has answered an order, or hasn't.
    OrderAnswered(EngineOrder, OrderAnswer),
    /// An engine has told what it holds, or hasn't.
    EngineReported(ServerKey, Option<EngineReport>),
    /// The settings name other nodes anew.
    Seeds(Vec<SocketAddr>),
    /// The node was told to end.
    Shutdown,
}

impl Event {
    /// True if it only tells of prompts, from which nothing follows.
    pub(crate) fn is_prompts(&self) -> bool {
        match self {
            Self::PromptsSent(_) => true,
            Self::PeerBatch(batch) => {
                batch.messages.iter().all(|message| matches!(message, PeerMessage::Prompts(_)))
            }
            _ => false,
        }
    }

    /// True if it asks for no decision before the next tick.
    pub(crate) fn is_routine(&self) -> bool {
        match self {
            Self::PromptsSent(_) | Self::TrafficReport(_) | Self::StartEvents(_) => true,
            Self::TrafficUpdate(TrafficUpdate::StartWanted(_)) => true,
            Self::PeerBatch(batch) => batch.is_routine(),
            _ => false,
        }
    }

    /// True if the store has told something new.
    pub(crate) fn has_changes(&self) -> bool {
        match self {
            Self::Snapshot(..) => true,
            Self::Changes(_, _, changes) => !changes.changes.is_empty(),
            _ => false,
        }
    }
}

/// What traffic tells the control thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficReport {
    /// What is under way at each server, if that has changed.
    pub(crate) loads: Option<Vec<ServerLoad>>,
    pub(crate) demand: DemandReport,
}
