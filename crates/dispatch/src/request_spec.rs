//! The properties of a request that dispatch decisions depend on.

use {
    glade_catalog::ServerRecord,
    glade_types::{ModelName, ServiceName},
    std::time::{Duration, Instant},
};

/// What a request requires of a backend server.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Service that the request's route leads to.
    pub service: ServiceName,
    /// Model or adapter, if the service runs models.
    pub model: Option<ModelName>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// Maximum number of generated tokens.
    pub output_tokens_max: u32,
    /// Tokens per event of the answer.
    pub tokens_per_event: u32,
    /// Identifies the prefix that the prompt shares with other prompts.
    pub prompt_prefix_id: Option<u64>,
    /// Hash of the name of the caller's team, if the deployment has teams.
    pub team: Option<u32>,
    /// Urgency of the route; 0 is the most urgent.
    pub rank: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Longest pause between two events for which the streams of the route are on time.
    pub pause_limit: Option<Duration>,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Time that an engine needs to load the model from the weight store.
    pub model_load: Duration,
    /// Time that an engine needs to load the model from the quickest copy that it may have.
    pub model_load_min: Duration,
    /// Time after which the caller no longer waits for the first byte.
    pub first_byte_deadline: Instant,
    /// Random number drawn for the request, which selects among equally good servers.
    pub seed: u32,
    /// The caller has events of the answer already.
    pub is_continuation: bool,
    /// Hash of the software version that began the stream which the request continues; `None` if any
    /// version may run the request.
    pub software_version: Option<u32>,
}

impl RequestSpec {
    /// True if the server of `record` belongs to the request's service, and runs the software version
    /// that the request requires.
    pub(crate) fn may_run_at(&self, record: &ServerRecord) -> bool {
        record.service == self.service
            && self.software_version.is_none_or(|hash| record.version_hash() == hash)
    }

    /// True if the answer is a stream. Routes without streams have no pause limit.
    pub(crate) fn is_stream(&self) -> bool {
        self.pause_limit.is_some()
    }
}
