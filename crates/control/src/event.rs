//! Inputs and outputs of [`PlannerCore::step`](crate::PlannerCore::step): events from the planner's
//! daemon, and actions that the daemon has to carry out.

use {
    glade_engine::{EngineReport, Order, OrderOutcome},
    glade_platform::{Key, Listing, StoreError, StoredRow, Txn, TxnAnswer},
    glade_table::Table,
    glade_types::{BackendId, DataCentre, Incarnation, ModelName, VmId},
    glade_wire::{Demand, LoadDigest, Residency},
    std::{collections::BTreeSet, sync::Arc, time::Instant},
};

/// Correlates an operation on the table service with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpId(pub u64);

/// Answer to an operation on the table service.
#[derive(Clone, Debug)]
pub enum StoreAnswer {
    /// Answer to [`Action::Transact`].
    Transacted(Result<TxnAnswer, StoreError>),
    /// Answer to [`Action::Read`].
    Read(Result<Option<StoredRow>, StoreError>),
    /// Answer to [`Action::Scan`].
    Scanned(Result<Vec<StoredRow>, StoreError>),
}

/// Input of the planner's core.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// The list of VMs and backend servers was read.
    Listing(Listing),
    /// A newer version of the model table became active.
    Table(Arc<Table>),
    /// VMs whose planners currently send heartbeats, including this one.
    LivePlanners(BTreeSet<VmId>),
    /// This planner read an engine's report directly.
    EngineReport {
        /// The engine.
        engine: BackendId,
        /// The engine's report.
        report: EngineReport,
    },
    /// Another planner forwarded the load of an engine that it watches.
    EngineLoad(LoadDigest),
    /// Another planner forwarded the resident models of an engine that it watches.
    EngineResidency(Residency),
    /// An engine drains and takes no new work for the rest of this incarnation.
    EngineLeaving {
        /// The engine.
        engine: BackendId,
        /// Incarnation of the engine that drains.
        incarnation: Incarnation,
    },
    /// An entry process, which routes callers' requests, reported its demand.
    DemandReport {
        /// VM of the entry process.
        from: VmId,
        /// Data centre of the entry process.
        data_centre: DataCentre,
        /// Demand by model since the last report of the same process.
        demands: Vec<Demand>,
    },
    /// An engine rejected a request because a model that it had reported as resident isn't loaded.
    ModelMissing {
        /// The engine.
        engine: BackendId,
        /// Incarnation of the engine that rejected the request.
        incarnation: Incarnation,
        /// The missing model.
        model: ModelName,
    },
    /// An operation on the table service completed or failed.
    StoreAnswered {
        /// The operation.
        op: OpId,
        /// Answer of the table service.
        answer: StoreAnswer,
    },
    /// The outcome of an order is known, or its answer was lost ([`OrderOutcome::Unknown`]).
    OrderOutcome {
        /// The order.
        order: Order,
        /// Outcome of the order.
        outcome: OrderOutcome,
    },
}

/// Output of the planner's core.
#[derive(Clone, Debug)]
pub enum Action {
    /// Apply a transaction to the table service.
    Transact {
        /// The operation.
        op: OpId,
        /// The transaction.
        txn: Txn,
    },
    /// Read a row of the table service.
    Read {
        /// The operation.
        op: OpId,
        /// Key of the row.
        key: Key,
    },
    /// Read all rows whose keys start with a prefix.
    Scan {
        /// The operation.
        op: OpId,
        /// Prefix of the keys.
        prefix: String,
    },
    /// Send an order to its engine. If the clock has reached `send_before`, don't send the order
    /// and report [`OrderOutcome::NotSent`].
    SendOrder {
        /// The order.
        order: Order,
        /// End of the lease under which the order was decided.
        send_before: Instant,
    },
}
