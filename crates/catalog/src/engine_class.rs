//! What the model engines of a service can hold.

use {
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A base model that engines may be ordered to hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ModelSpec {
    /// Its name.
    pub name: ModelName,
    /// Size of its weights.
    pub weights_mb: f64,
    /// Time to load the weights from the weight store.
    pub load_from_store: Duration,
    /// Time to load the weights from a copy in the engine's memory.
    pub load_from_memory: Duration,
    /// Time to load the weights from a copy on the engine's disk.
    pub load_from_disk: Duration,
    /// Number of adapters.
    pub adapters: u32,
    /// Size of one adapter.
    pub adapter_mb: f64,
}

impl ModelSpec {
    /// Time to load the weights from the quickest copy that an engine may have.
    pub fn quickest_load(&self) -> Duration {
        self.load_from_memory.min(self.load_from_disk).min(self.load_from_store)
    }

    /// Names of the model's adapters, each with the model's name in front.
    pub fn adapter_names(&self) -> impl Iterator<Item = ModelName> + '_ {
        (1..=self.adapters).map(|number| ModelName::new(&format!("{}/a{number}", self.name)))
    }
}

/// What each engine of a service can do. All engines of a service are alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EngineClass {
    /// Requests that are processed at once.
    pub batch_slots: u32,
    /// Memory for prompts and generated text.
    pub kv_capacity_tokens: u64,
    /// Size of a token in that memory.
    pub kv_token_bytes: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Accelerator memory for weights and adapters together.
    pub weights_capacity_mb: f64,
    /// Adapters that fit, those on their way included.
    pub adapter_slots: u32,
    /// Main memory for copies of weights.
    pub memory_copies_mb: f64,
    /// Disk for copies of weights.
    pub disk_copies_mb: f64,
    /// Longest time for which an engine reserves room for a request; zero if it makes no reservations.
    pub reservation_max: Duration,
    /// Loads from the weight store that may begin each second, over all engines.
    pub store_loads_per_s: f64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl EngineClass {
    /// The base model called `name`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }
}
