//! The messages themselves.

use {
    glade_table::Table,
    glade_types::{BackendId, Bytes, DataCentre, Incarnation, ModelName, VmId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Which daemon of a VM speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The daemon that serves callers.
    Entry,
    /// The daemon that watches engines and plans.
    Planner,
}

/// One incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerId {
    /// Its VM.
    pub vm: VmId,
    /// Which daemon it is.
    pub role: Role,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Regular sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// Number of this heartbeat; grows over the life of the sender.
    pub seq: u64,
    /// Highest number heard from the receiver; tells it whether its own messages arrive.
    #[serde(rename = "heard_seq")]
    pub acked_seq: u64,
    /// Version of the table in force at the sender.
    pub table_version: u64,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Whether the sender has lately heard the table service.
    #[serde(rename = "store_heard")]
    pub store_reachable: bool,
}

/// Load of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadDigest {
    /// The engine.
    pub engine: BackendId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Requests in its batch.
    pub running: u32,
    /// Requests waiting for the batch.
    pub waiting: u32,
    /// Places in its batch.
    pub slots: u32,
    /// Mean time of a request, in milliseconds.
    pub mean_request_ms: u32,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
}

/// What one engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Residency {
    /// The engine.
    pub engine: BackendId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its accelerator memory.
    pub memory_bytes: Bytes,
    /// Number of its accelerators.
    pub accelerators: u32,
    /// Models and adapters that can serve, with the memory of each.
    pub resident: Vec<(ModelName, Bytes)>,
}

/// Demand for one model at one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Demand {
    /// The model or adapter.
    pub model: ModelName,
    /// Mean number of requests under way since the last message.
    #[serde(rename = "under_way")]
    pub in_flight: f32,
    /// Requests since the last message that missed their need or were refused.
    pub missed: u32,
}

/// A message between processes. New kinds are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// A table of this version exists.
    TableHead {
        /// The version.
        version: u64,
    },
    /// Asks for the table if it is newer than this version.
    TableRequest {
        /// Version that the sender has.
        version: u64,
    },
    /// A whole table.
    TableBody(Arc<Table>),
    /// Loads of engines that the sender watches.
    Loads(Vec<LoadDigest>),
    /// Contents of an engine that the sender watches.
    Residency(Residency),
    /// The backend server is leaving; sticky for this incarnation.
    Leaving {
        /// The server.
        backend: BackendId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Demand at an entry since its last message.
    #[serde(rename = "demands")]
    DemandReport {
        /// Data centre of the entry.
        data_centre: DataCentre,
        /// Demand for each model that has any.
        demands: Vec<Demand>,
    },
    /// A model turned out to be absent from an engine that should hold it.
    #[serde(rename = "missing")]
    ModelMissing {
        /// The engine.
        engine: BackendId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The model.
        model: ModelName,
    },
    /// An operator asks this VM to drain.
    Drain {
        /// The VM.
        vm: VmId,
    },
}
