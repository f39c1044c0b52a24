//! Snapshot of the planner's state for operators and metrics.

use {
    glade_types::{BackendId, GroupId, VmId},
    serde::{Deserialize, Serialize},
};

/// Status of one engine group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct GroupStatus {
    /// Name of the group.
    pub group: GroupId,
    /// Holder of the group's lease in the lease row last read.
    pub holder: Option<VmId>,
    /// Epoch of the lease, if this planner holds the lease and may act on it.
    pub epoch: Option<u64>,
    /// Moves that the last planning pass returned.
    pub wanted_moves: usize,
}

/// Status of one engine whose ledger this planner has read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineStatus {
    /// Name of the engine.
    pub engine: BackendId,
    /// Memory capacity of the engine.
    pub capacity_bytes: u64,
    /// Memory reserved in the engine's ledger.
    pub reserved_bytes: u64,
    /// Loads in the engine's ledger that have no outcome yet.
    pub open_loads: usize,
}

/// Status of the whole planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PlannerStatus {
    /// Groups, sorted by name.
    pub groups: Vec<GroupStatus>,
    /// Engines of the groups whose lease this planner holds.
    pub engines: Vec<EngineStatus>,
    /// Loads and unloads of base models and adapters ordered since the process started.
    pub moves: u64,
    /// Writes to the table service since the process started.
    pub store_writes: u64,
    /// Reads from the table service since the process started.
    pub store_reads: u64,
}
