//! Report of an engine: its incarnation, memory, load and resident models.

use {
    glade_types::{Bytes, Incarnation, ModelName},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A model or adapter that is resident at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ResidentModel {
    /// Name of the model or adapter.
    pub name: ModelName,
    /// Memory that the model or adapter occupies.
    pub memory_bytes: Bytes,
}

/// State of an engine when the report was read. The engine may have changed since.
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
    /// Requests queued for a batch slot.
    pub waiting: u32,
    /// Batch slots.
    pub slots: u32,
    /// Mean duration of a request since the engine started.
    pub mean_request: Duration,
    /// Whether the engine reports that it is leaving.
    pub leaving: bool,
    /// Models and adapters that are ready to serve.
    pub resident: Vec<ResidentModel>,
}
