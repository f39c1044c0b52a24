//! Demand for models, aggregated over the reports of all nodes.

use {
    glade_catalog::DemandReport,
    glade_types::{ModelName, VmId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time constant of the fast mean, which follows a rise of demand.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(1000);
/// Time constant of the slow mean. A rise of demand shows in the difference between the fast mean
/// and this one.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Time for which a rise is extrapolated: about the duration of a load from the weight store.
const FORECAST_HORIZON: Duration = Duration::from_secs(3);
/// Age after which a node's report no longer counts as its present load.
const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Exponentially decaying mean of the prompt tokens that are requested per second.
#[derive(Clone, Copy, Debug)]
struct DecayingMean {
    time_constant: Duration,
    tokens_per_s: f64,
}

impl DecayingMean {
    fn new(time_constant: Duration) -> Self {
        Self { time_constant, tokens_per_s: 0.0 }
    }

    /// The mean after a time of `age` without further requests.
    fn decayed(&self, age: Duration) -> f64 {
        self.tokens_per_s * (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }

    /// Adds `tokens` that were requested a time of `age` after the previous ones.
    fn add(&mut self, age: Duration, tokens: u64) {
        self.tokens_per_s = self.decayed(age) + tokens as f64 / self.time_constant.as_secs_f64();
    }
}

#[derive(Clone, Debug)]
struct ModelUsage {
    fast: DecayingMean,
    slow: DecayingMean,
    updated_at: Instant,
    last_requested_at: Instant,
    in_flight: HashMap<VmId, (u32, Instant)>,
}

/// Demand by model or adapter.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    usage_by_model: HashMap<ModelName, ModelUsage>,
}

impl DemandTable {
    /// Adds the demand that a node reports.
    pub fn on_report(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        for demand in &report.models {
            let usage = self
                .usage_by_model
                .entry(demand.model.clone())
                .or_insert_with(|| ModelUsage::new(now));
            usage.add(now, demand.prompt_tokens);
            if demand.requests > 0 {
                usage.last_requested_at = now;
            }
            usage.in_flight.insert(vm.clone(), (demand.in_flight, now));
        }
    }

    /// When `model` was last requested.
    pub fn last_requested_at(&self, model: &ModelName) -> Option<Instant> {
        self.usage_by_model.get(model).map(|usage| usage.last_requested_at)
    }

    /// Load of `model`, in engines that it would keep busy, as projected for the end of a load that
    /// begins now. `prefill_tokens_per_s` is the prefill rate of an engine, `batch_slots` the
    /// number of requests that it processes at once.
    pub fn projected_load(
        &self,
        now: Instant,
        model: &ModelName,
        prefill_tokens_per_s: f64,
        batch_slots: u32,
    ) -> f64 {
        self.usage_by_model.get(model).map_or(0.0, |usage| {
            let age = now.saturating_duration_since(usage.updated_at);
            let (fast, slow) = (usage.fast.decayed(age), usage.slow.decayed(age));
            let slope = (fast - slow) / (SLOW_TIME_CONSTANT - FAST_TIME_CONSTANT).as_secs_f64();
            let projected = fast + slope.max(0.0) * FORECAST_HORIZON.as_secs_f64();
            projected / prefill_tokens_per_s + usage.in_flight(now) / f64::from(batch_slots.max(1))
        })
    }

    /// Number of running and waiting requests for `model`.
    pub fn in_flight(&self, now: Instant, model: &ModelName) -> f64 {
        self.usage_by_model.get(model).map_or(0.0, |usage| usage.in_flight(now))
    }

    /// All models and adapters that have ever been requested.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.usage_by_model.keys()
    }
}

impl ModelUsage {
    fn new(now: Instant) -> Self {
        Self {
            fast: DecayingMean::new(FAST_TIME_CONSTANT),
            slow: DecayingMean::new(SLOW_TIME_CONSTANT),
            updated_at: now,
            last_requested_at: now,
            in_flight: HashMap::new(),
        }
    }

    fn add(&mut self, now: Instant, tokens: u64) {
        let age = now.saturating_duration_since(self.updated_at);
        for mean in [&mut self.fast, &mut self.slow] {
            mean.add(age, tokens);
        }
        self.updated_at = now;
    }

    /// Number of running and waiting requests, by reports that are recent enough.
    fn in_flight(&self, now: Instant) -> f64 {
        let recent = self
            .in_flight
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < REPORT_MAX_AGE);
        recent.map(|(count, _)| f64::from(*count)).sum()
    }
}
