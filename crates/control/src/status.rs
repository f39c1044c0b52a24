//! The planner's state as shown to operators and metrics.

use {
    glade_types::{BackendId, GroupId, VmId},
    serde::{Deserialize, Serialize},
};

/// One group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// Holder of its lease as last seen.
    pub holder: Option<VmId>,
    /// Epoch of the lease, if this planner may act on it.
    pub epoch: Option<u64>,
    /// Moves that the last planning pass still wants.
    pub wanted_moves: usize,
}

/// One engine whose ledger this planner knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineStatus {
    /// The engine.
    pub engine: BackendId,
    /// Its capacity.
    pub capacity_bytes: u64,
    /// Memory reserved.
    pub reserved_bytes: u64,
    /// Loads without an answer.
    pub open_loads: usize,
}

/// The whole planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ControlStatus {
    /// Groups in the order of their names.
    pub groups: Vec<GroupStatus>,
    /// Engines of the groups that this planner holds.
    pub engines: Vec<EngineStatus>,
    /// Loads and unloads of base models and adapters ordered since the process started.
    pub moves: u64,
    /// Writes to the table service since the process started.
    pub store_writes: u64,
    /// Reads from the table service since the process started.
    pub store_reads: u64,
}
