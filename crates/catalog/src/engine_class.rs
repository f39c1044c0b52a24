//! Capacity and load times of a service's model engines, and the models that may be placed on them.

use {
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A base model that may be loaded on the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ModelSpec {
    /// Name of the base model.
    pub name: ModelName,
    /// Size of the base model's weights.
    pub weights_mb: f64,
    /// Time to load the weights from the weight store.
    pub load_from_store: Duration,
    /// Time to load the weights from a copy in the engine's memory.
    pub load_from_memory: Duration,
    /// Time to load the weights from a copy on the engine's disk.
    pub load_from_disk: Duration,
    /// Number of adapters of the base model.
    pub adapters: u32,
    /// Size of one adapter.
    pub adapter_mb: f64,
}

impl ModelSpec {
    /// Returns the time to load the weights from the fastest source: a copy in memory, a copy on disk, or
    /// the weight store.
    pub fn min_load_time(&self) -> Duration {
        self.load_from_memory.min(self.load_from_disk).min(self.load_from_store)
    }

    /// Returns the full names of the model's adapters, which begin with the model's name.
    pub fn adapter_names(&self) -> impl Iterator<Item = ModelName> + '_ {
        (1..=self.adapters).map(|number| ModelName::new(&format!("{}/a{number}", self.name)))
    }
}

/// Capacity of each engine of a service. All engines of a service have the same capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineClass {
    /// Requests that one engine decodes concurrently in a batch.
    pub batch_slots: u32,
    /// Capacity of the KV cache, which holds prompts and generated text.
    pub kv_capacity_tokens: u64,
    /// Size of one token in the KV cache.
    pub kv_token_bytes: u64,
    /// Tokens in one event of a streamed response.
    pub tokens_per_event: u32,
    /// Accelerator memory for weights and adapters together.
    pub weights_capacity_mb: f64,
    /// Adapters that fit, counting adapters that are being loaded.
    pub adapter_slots: u32,
    /// Main memory available for copies of weights.
    pub memory_copies_mb: f64,
    /// Disk space available for copies of weights.
    pub disk_copies_mb: f64,
    /// Longest time for which an engine reserves capacity for a request; zero if the engine doesn't
    /// support reservations.
    pub reservation_max: Duration,
    /// Maximum rate at which loads from the weight store may start, summed over all engines.
    pub store_loads_per_s: f64,
    /// Base models that may be loaded on the engines.
    pub models: Vec<ModelSpec>,
}

impl EngineClass {
    /// Returns the base model called `name`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }
}
