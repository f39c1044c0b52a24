//! Bounds of the numbers that a configuration states, so that what computes with them can't overflow.

use {
    crate::{
        caller_limits::CallerLimits,
        engine_class::{EngineClass, ModelSpec},
        route::Route,
        service::Service,
        team::Team,
    },
    std::time::Duration,
};

/// Longest time that a configuration states.
pub const DURATION_MAX: Duration = Duration::from_secs(24 * 60 * 60);
/// Most servers that one request may be sent to.
const ATTEMPTS_MAX: u32 = 1000;
/// Most tokens in one event of a stream.
const TOKENS_PER_EVENT_MAX: u32 = 1 << 10;
/// Most requests that one engine decodes concurrently.
const BATCH_SLOTS_MAX: u32 = 1 << 16;
/// Most adapters of one model, whose names every node keeps, and most adapters on one engine.
const ADAPTERS_MAX: u32 = 10_000;
/// Largest KV cache, in tokens.
const KV_CAPACITY_TOKENS_MAX: u64 = 1 << 40;
/// Largest size of memory, disk or weights, in megabytes.
const SIZE_MB_MAX: f64 = 1e12;
/// Highest rate of loads from the weight store.
const LOADS_PER_S_MAX: f64 = 1e6;
/// Highest rate and burst of a team's quota, in tokens or requests.
const QUOTA_MAX: f64 = 1e12;
/// Least urgent rank that a team's priority may state.
const TEAM_RANK_MAX: u8 = 9;
/// Most connections that one server accepts.
const CONNECTIONS_MAX: u32 = 1 << 24;

impl CallerLimits {
    pub(crate) fn bounded(self) -> Self {
        Self {
            head_timeout: self.head_timeout.min(DURATION_MAX),
            idle_timeout: self.idle_timeout.min(DURATION_MAX),
            ..self
        }
    }
}

impl Route {
    pub(crate) fn bounded(self) -> Self {
        Self {
            time_limit: self.time_limit.min(DURATION_MAX),
            objective: self.objective.min(DURATION_MAX),
            pause_limit: self.pause_limit.map(|limit| limit.min(DURATION_MAX)),
            attempts: self.attempts.min(ATTEMPTS_MAX),
            ..self
        }
    }
}

impl Service {
    pub(crate) fn bounded(self) -> Self {
        Self {
            connection_limit: self.connection_limit.min(CONNECTIONS_MAX),
            engine_class: self.engine_class.map(EngineClass::bounded),
            ..self
        }
    }
}

impl EngineClass {
    fn bounded(self) -> Self {
        Self {
            batch_slots: self.batch_slots.min(BATCH_SLOTS_MAX),
            kv_capacity_tokens: self.kv_capacity_tokens.min(KV_CAPACITY_TOKENS_MAX),
            tokens_per_event: self.tokens_per_event.clamp(1, TOKENS_PER_EVENT_MAX),
            weights_capacity_mb: bounded(self.weights_capacity_mb, SIZE_MB_MAX),
            adapter_slots: self.adapter_slots.min(ADAPTERS_MAX),
            memory_copies_mb: bounded(self.memory_copies_mb, SIZE_MB_MAX),
            disk_copies_mb: bounded(self.disk_copies_mb, SIZE_MB_MAX),
            reservation_max: self.reservation_max.min(DURATION_MAX),
            store_loads_per_s: bounded(self.store_loads_per_s, LOADS_PER_S_MAX),
            models: self.models.into_iter().map(ModelSpec::bounded).collect(),
            ..self
        }
    }
}

impl ModelSpec {
    fn bounded(self) -> Self {
        Self {
            weights_mb: bounded(self.weights_mb, SIZE_MB_MAX),
            load_from_store: self.load_from_store.min(DURATION_MAX),
            load_from_memory: self.load_from_memory.min(DURATION_MAX),
            load_from_disk: self.load_from_disk.min(DURATION_MAX),
            adapters: self.adapters.min(ADAPTERS_MAX),
            adapter_mb: bounded(self.adapter_mb, SIZE_MB_MAX),
            ..self
        }
    }
}

impl Team {
    pub(crate) fn bounded(mut self) -> Self {
        self.rank = self.rank.map(|rank| rank.min(TEAM_RANK_MAX));
        if let Some(quota) = &mut self.quota {
            quota.rate_per_s = bounded(quota.rate_per_s, QUOTA_MAX);
            quota.burst = bounded(quota.burst, QUOTA_MAX);
        }
        self
    }
}

/// `value` if it is from 0 to `max`, else the nearest of these; 0 if it isn't a number.
fn bounded(value: f64, max: f64) -> f64 {
    value.max(0.0).min(max)
}
