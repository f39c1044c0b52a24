//! What the holder of the lease tells the other nodes of one engine.

use {
    glade_catalog::ServerKey,
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A model or adapter that is being loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PendingLoad {
    /// The model or adapter.
    pub model: ModelName,
    /// Time until it is likely to be ready.
    pub ready_in: Duration,
}

/// What an engine holds beyond what the registry says of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineDigest {
    /// The engine.
    pub server: ServerKey,
    /// Adapters that are ready.
    pub adapters: Vec<ModelName>,
    /// Base models that are about to be dropped and take no new requests.
    pub outgoing: Vec<ModelName>,
    /// What is being loaded.
    pub arriving: Vec<PendingLoad>,
}
