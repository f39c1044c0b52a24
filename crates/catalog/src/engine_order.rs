//! Orders to load and unload models on engines, and the status reports of engines.

use {
    crate::server_record::{Residence, ServerKey},
    glade_types::{ModelName, VmId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Kind of an [`EngineOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the model or adapter.
    Load,
    /// Unload the model or adapter.
    Unload,
}

/// An order to one engine to load or unload a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineOrder {
    /// The engine, including the start time: the order doesn't apply after a restart of the engine.
    pub server: ServerKey,
    /// Address at which the engine listens.
    pub addr: SocketAddr,
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// Model or adapter to load or unload.
    #[serde(rename = "subject")]
    pub model: ModelName,
    /// Number of orders that the engine must have accepted before this one. The engine refuses this order
    /// if its own count differs.
    pub expected_orders: u64,
    /// VM that issues the order, which holds the lease on the engines.
    pub holder: VmId,
    /// Fencing token of the holder's lease.
    #[serde(rename = "fence")]
    pub fencing_token: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The engine is carrying out the order.
    Accepted,
    /// The engine is already in the ordered state.
    AlreadyHolds,
    /// Another order is in flight, or the engine's count of accepted orders differs from the expected one.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The address now belongs to another server, or the server has restarted.
    OtherServer,
    /// The engine doesn't recognize the order.
    Refused,
    /// The engine sent no answer, or one that can't be decoded. The order may have been carried out, or
    /// may still be carried out later.
    Unclear,
}

/// Status report of an engine. The values are a few hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineReport {
    /// Start time of the engine process, in milliseconds of the engine's own clock.
    #[serde(rename = "born_ms")]
    pub start_time_ms: u64,
    /// Orders accepted since the engine started.
    pub orders_accepted: u64,
    /// Whether an order to load or unload a base model is in flight.
    #[serde(rename = "order_under_way")]
    pub order_in_flight: bool,
    /// Requests in the engine's queue.
    pub queued: u32,
    /// Requests being processed.
    pub running: u32,
    /// KV cache tokens used by running requests.
    pub kv_used_tokens: u64,
    /// Loaded base models, each with its loaded adapters.
    pub residents: Vec<Residence>,
    /// Adapters that are being loaded.
    #[serde(rename = "adapters_coming")]
    pub loading_adapters: Vec<ModelName>,
    /// Base models with a copy of their weights in the engine's main memory.
    pub in_memory: Vec<ModelName>,
    /// Base models with a copy of their weights on the engine's disk.
    pub on_disk: Vec<ModelName>,
}
