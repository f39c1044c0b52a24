//! Updates about an engine that the lease holder sends to the other nodes.

use {
    glade_catalog::ServerKey,
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A model or adapter that is being loaded or queued for loading.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PendingLoad {
    /// The model or adapter.
    pub model: ModelName,
    /// Expected time until it is ready.
    pub ready_in: Duration,
}

/// State of an engine that its registry record does not contain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineDigest {
    /// The engine.
    pub server: ServerKey,
    /// Adapters that are ready.
    pub adapters: Vec<ModelName>,
    /// Base models that are about to be unloaded and accept no new requests.
    #[serde(rename = "outgoing")]
    pub unloading: Vec<ModelName>,
    /// Models and adapters that are being loaded or queued for loading.
    #[serde(rename = "arriving")]
    pub pending_loads: Vec<PendingLoad>,
}
