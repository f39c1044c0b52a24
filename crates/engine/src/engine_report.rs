//! What an engine says about itself.

use {
    glade_types::{Bytes, Incarnation, ModelName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A model or adapter that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResidentModel {
    /// Its name.
    pub name: ModelName,
    /// Memory it takes.
    pub memory_bytes: Bytes,
}

/// An engine's report. It lags behind the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Accelerator memory for models.
    pub memory_bytes: Bytes,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Places in the batch.
    pub slots: u32,
    /// Mean time of a request since the engine started.
    pub mean_request: Duration,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// Models and adapters that can serve.
    pub resident: Vec<ResidentModel>,
}
