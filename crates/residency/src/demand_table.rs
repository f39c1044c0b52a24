//! Demand for models, gathered from all nodes.

use {
    glade_catalog::DemandReport,
    glade_types::{ModelName, VmId},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time constant of the mean that follows a rise.
const RISE: Duration = Duration::from_millis(1000);
/// Time constant of the mean against which a rise shows.
const TREND: Duration = Duration::from_secs(3);
/// Time for which a rise is expected to go on: about what a load from the weight store takes.
const AHEAD: Duration = Duration::from_secs(3);
/// Age after which a node's report no longer counts as its present load.
const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// A decaying mean of the prompt tokens that are asked for in a second.
#[derive(Clone, Copy, Debug)]
struct Mean {
    time_constant: Duration,
    tokens_per_s: f64,
}

impl Mean {
    fn new(time_constant: Duration) -> Self {
        Self { time_constant, tokens_per_s: 0.0 }
    }

    /// The mean after `age` without further requests.
    fn after(&self, age: Duration) -> f64 {
        self.tokens_per_s * (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }

    /// Takes `tokens` that were asked for `age` after the last ones.
    fn add(&mut self, age: Duration, tokens: u64) {
        self.tokens_per_s = self.after(age) + tokens as f64 / self.time_constant.as_secs_f64();
    }
}

#[derive(Clone, Debug)]
struct Row {
    rise: Mean,
    trend: Mean,
    updated_at: Instant,
    last_asked_at: Instant,
    in_flight: HashMap<VmId, (u32, Instant)>,
}

/// Demand by model or adapter.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    rows: HashMap<ModelName, Row>,
}

impl DemandTable {
    /// Takes a node's report.
    pub fn on_report(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        for seen in &report.models {
            let row = self.rows.entry(seen.model.clone()).or_insert_with(|| Row::new(now));
            row.add(now, seen.prompt_tokens);
            if seen.requests > 0 {
                row.last_asked_at = now;
            }
            row.in_flight.insert(vm.clone(), (seen.in_flight, now));
        }
    }

    /// When `model` was last asked for.
    pub fn last_asked_at(&self, model: &ModelName) -> Option<Instant> {
        self.rows.get(model).map(|row| row.last_asked_at)
    }

    /// Load of `model` as it is likely to be once a load has ended that begins now, in engines that
    /// it would keep busy. `tokens_per_s` is what an engine reads of prompts, `slots` the requests
    /// that it processes at once.
    pub fn coming_load(
        &self,
        now: Instant,
        model: &ModelName,
        tokens_per_s: f64,
        slots: u32,
    ) -> f64 {
        self.rows.get(model).map_or(0.0, |row| {
            let age = now.saturating_duration_since(row.updated_at);
            let (rise, trend) = (row.rise.after(age), row.trend.after(age));
            let slope = (rise - trend) / (TREND - RISE).as_secs_f64();
            let grown = rise + slope.max(0.0) * AHEAD.as_secs_f64();
            grown / tokens_per_s + row.in_flight(now) / f64::from(slots.max(1))
        })
    }

    /// Requests for `model` under way or waiting.
    pub fn in_flight(&self, now: Instant, model: &ModelName) -> f64 {
        self.rows.get(model).map_or(0.0, |row| row.in_flight(now))
    }

    /// All models and adapters that were ever asked for.
    pub fn models(&self) -> impl Iterator<Item = &ModelName> {
        self.rows.keys()
    }
}

impl Row {
    fn new(now: Instant) -> Self {
        Self {
            rise: Mean::new(RISE),
            trend: Mean::new(TREND),
            updated_at: now,
            last_asked_at: now,
            in_flight: HashMap::new(),
        }
    }

    fn add(&mut self, now: Instant, tokens: u64) {
        let age = now.saturating_duration_since(self.updated_at);
        for mean in [&mut self.rise, &mut self.trend] {
            mean.add(age, tokens);
        }
        self.updated_at = now;
    }

    /// Requests under way or waiting.
    fn in_flight(&self, now: Instant) -> f64 {
        let counted = self
            .in_flight
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < REPORT_MAX_AGE);
        f64::from(counted.map(|(count, _)| *count).sum::<u32>())
    }
}
