//! Aggregates the demand reports of this node and of the leaves whose messages it forwards, until
//! they are sent to the holder of the lease.

use {
    glade_catalog::{DemandReport, ModelDemand},
    glade_types::{ModelName, VmId},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Age after which a node's report of requests in flight no longer counts.
const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Demand that this node has collected since it last forwarded demand.
#[derive(Debug)]
pub(crate) struct DemandAggregator {
    since: Instant,
    /// Number of requests, and tokens of their prompts.
    requested: BTreeMap<ModelName, (u32, u64)>,
    in_flight: HashMap<(ModelName, VmId), (u32, Instant)>,
    /// Models with requests in flight according to the last forwarded report.
    last_in_flight: Vec<ModelName>,
}

impl DemandAggregator {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            since: now,
            requested: BTreeMap::new(),
            in_flight: HashMap::new(),
            last_in_flight: Vec::new(),
        }
    }

    /// Adds a node's report.
    pub(crate) fn on_report(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        for demand in &report.models {
            let requested = self.requested.entry(demand.model.clone()).or_default();
            requested.0 = requested.0.saturating_add(demand.requests);
            requested.1 = requested.1.saturating_add(demand.prompt_tokens);
            let key = (demand.model.clone(), vm.clone());
            if demand.in_flight > 0 {
                self.in_flight.insert(key, (demand.in_flight, now));
            } else {
                self.in_flight.remove(&key);
            }
        }
    }

    /// Takes the demand since the last call. A model with requests in flight then and none now is
    /// reported once more, with none in flight.
    pub(crate) fn take(&mut self, now: Instant) -> DemandReport {
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < REPORT_MAX_AGE;
        self.in_flight.retain(|_, (_, at)| is_fresh(at));
        let mut models: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
        for model in self.last_in_flight.drain(..) {
            models.entry(model.clone()).or_insert_with(|| no_demand(&model));
        }
        for (model, (requests, prompt_tokens)) in std::mem::take(&mut self.requested) {
            let entry = models.entry(model.clone()).or_insert_with(|| no_demand(&model));
            entry.requests = requests;
            entry.prompt_tokens = prompt_tokens;
        }
        for ((model, _), (count, _)) in &self.in_flight {
            let entry = models.entry(model.clone()).or_insert_with(|| no_demand(model));
            entry.in_flight = entry.in_flight.saturating_add(*count);
        }
        let models: Vec<ModelDemand> = models.into_values().collect();
        self.last_in_flight.extend(
            models.iter().filter(|demand| demand.in_flight > 0).map(|demand| demand.model.clone()),
        );
        let over = now.saturating_duration_since(std::mem::replace(&mut self.since, now));
        DemandReport { interval: over, models }
    }
}

fn no_demand(model: &ModelName) -> ModelDemand {
    ModelDemand { model: model.clone(), requests: 0, prompt_tokens: 0, in_flight: 0 }
}

#[cfg(test)]
mod tests;
