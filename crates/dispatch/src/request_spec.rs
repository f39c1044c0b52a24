//! What one request needs.

use {
    glade_types::{ModelName, ServiceName},
    std::time::{Duration, Instant},
};

/// What one request needs of a backend server.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Service that its route leads to.
    pub service: ServiceName,
    /// Model or adapter, if the service runs models.
    pub model: Option<ModelName>,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that it is likely to generate.
    pub output_tokens: u32,
    /// Most tokens that it may generate.
    pub output_tokens_max: u32,
    /// Tokens in one event of its answer.
    pub tokens_per_event: u32,
    /// Identifies the part of its prompt that others share.
    pub prompt_prefix_id: Option<u64>,
    /// Urgency of its route; 0 is the most urgent.
    pub rank: u8,
    /// Latency objective of its route.
    pub objective: Duration,
    /// Longest pause between two events for which the streams of its route are on time.
    pub pause_limit: Option<Duration>,
    /// When it arrived.
    pub arrived_at: Instant,
    /// Time that an engine needs to load its model from the weight store.
    pub model_load: Duration,
    /// The same from the quickest copy that an engine may have.
    pub model_load_min: Duration,
    /// When nobody waits for its first byte any more.
    pub first_byte_deadline: Instant,
    /// A number drawn for the request, by which it chooses among servers that are as good.
    pub seed: u32,
}
