//! What reaches the planner's core and what it asks for.

use {
    glade_engine::{EngineReport, Order, OrderOutcome},
    glade_platform::{Key, Listing, StoreError, StoredRow, Txn, TxnAnswer},
    glade_table::Table,
    glade_types::{BackendId, DataCentre, Incarnation, ModelName, VmId},
    glade_wire::{Demand, LoadDigest, Residency},
    std::{collections::BTreeSet, sync::Arc, time::Instant},
};

/// Identifies an operation on the table service between its action and its answer.
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

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The VM list was read.
    Listing(Listing),
    /// A newer table is in force.
    Table(Arc<Table>),
    /// Planners that send heartbeats, this one included.
    LivePlanners(BTreeSet<VmId>),
    /// This planner read an engine's report itself.
    Report {
        /// The engine.
        engine: BackendId,
        /// Its report.
        report: EngineReport,
    },
    /// A watcher passed on an engine's load.
    Load(LoadDigest),
    /// A watcher passed on an engine's contents.
    Residency(Residency),
    /// An engine is leaving in this incarnation.
    Leaving {
        /// The engine.
        engine: BackendId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// An entry reported its demand.
    Demands {
        /// VM of the entry.
        from: VmId,
        /// Its data centre.
        data_centre: DataCentre,
        /// Demand by model since its last report.
        demands: Vec<Demand>,
    },
    /// An engine that should hold a model says that it doesn't.
    Missing {
        /// The engine.
        engine: BackendId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The model.
        model: ModelName,
    },
    /// An operation on the table service has ended.
    StoreAnswered {
        /// The operation.
        op: OpId,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// Something became known about an order.
    OrderSettled {
        /// The order.
        order: Order,
        /// What became known.
        outcome: OrderOutcome,
    },
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Apply a transaction.
    Transact {
        /// The operation.
        op: OpId,
        /// The transaction.
        txn: Txn,
    },
    /// Read a row.
    Read {
        /// The operation.
        op: OpId,
        /// Key of the row.
        key: Key,
    },
    /// Read all rows with a prefix.
    Scan {
        /// The operation.
        op: OpId,
        /// The prefix.
        prefix: String,
    },
    /// Send an order, unless the clock has reached `send_before`: then it is
    /// [`OrderOutcome::NotSent`].
    Send {
        /// The order.
        order: Order,
        /// End of the lease under which it was decided.
        send_before: Instant,
    },
}
