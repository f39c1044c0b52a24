//! Messages that the entry and planner daemons exchange: heartbeats, tables, engine loads and demand.

use {
    glade_table::Table,
    glade_types::{BackendId, Bytes, DataCentre, Incarnation, ModelName, VmId},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Kind of a daemon on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Daemon that serves callers.
    Entry,
    /// Daemon that monitors engines and plans the placement of models.
    Planner,
}

/// Identity of one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerId {
    /// VM of the daemon.
    pub vm: VmId,
    /// Kind of the daemon.
    pub role: Role,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// Heartbeat, sent to every peer at a regular interval.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// Sequence number of this heartbeat; increases over the lifetime of the sender.
    pub seq: u64,
    /// Highest sequence number that the sender got from the receiver. It shows the receiver whether its
    /// own messages arrive.
    #[serde(rename = "heard_seq")]
    pub acked_seq: u64,
    /// Version of the sender's active table.
    pub table_version: u64,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Whether the table service has recently answered the sender.
    #[serde(rename = "store_heard")]
    pub store_reachable: bool,
}

/// Load of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LoadDigest {
    /// The engine.
    pub engine: BackendId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests queued for a batch slot.
    pub waiting: u32,
    /// Batch slots of the engine.
    pub slots: u32,
    /// Mean duration of a request, in milliseconds.
    pub mean_request_ms: u32,
    /// Whether the engine reports that it is leaving.
    pub leaving: bool,
}

/// Models that are resident at one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Residency {
    /// The engine.
    pub engine: BackendId,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Accelerator memory of the engine.
    pub memory_bytes: Bytes,
    /// Number of accelerators of the engine.
    pub accelerators: u32,
    /// Models and adapters that are ready to serve, with the memory of each.
    pub resident: Vec<(ModelName, Bytes)>,
}

/// Demand for one model at one entry daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Demand {
    /// The model or adapter.
    pub model: ModelName,
    /// Mean number of requests in flight since the last message.
    #[serde(rename = "under_way")]
    pub in_flight: f32,
    /// Requests since the last message that missed their latency objective or were refused.
    pub missed: u32,
}

/// A message between daemons. Variants are encoded by position, so new ones are added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Shows that the sender is alive.
    Heartbeat(Heartbeat),
    /// Announces that a table of this version exists.
    TableHead {
        /// Version of the table.
        version: u64,
    },
    /// Requests the table if the receiver has a newer one than this version.
    TableRequest {
        /// Version of the sender's table.
        version: u64,
    },
    /// A complete table.
    TableBody(Arc<Table>),
    /// Loads of engines that the sender monitors.
    Loads(Vec<LoadDigest>),
    /// Models resident at an engine that the sender monitors.
    Residency(Residency),
    /// The backend server is leaving. This holds until the end of its incarnation.
    Leaving {
        /// The backend server.
        backend: BackendId,
        /// Incarnation of the backend server.
        incarnation: Incarnation,
    },
    /// Demand at an entry daemon since its last message.
    #[serde(rename = "demands")]
    DemandReport {
        /// Data centre of the entry daemon.
        data_centre: DataCentre,
        /// Demand by model; models without demand are left out.
        demands: Vec<Demand>,
    },
    /// A model was found missing at an engine where it should be resident.
    #[serde(rename = "missing")]
    ModelMissing {
        /// The engine.
        engine: BackendId,
        /// Incarnation of the engine.
        incarnation: Incarnation,
        /// The missing model.
        model: ModelName,
    },
    /// An operator requested that this VM be drained.
    Drain {
        /// The VM to drain.
        vm: VmId,
    },
}
