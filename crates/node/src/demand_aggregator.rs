//! What the nodes that this one speaks for have seen of demand, gathered until it is passed on.

use {
    glade_catalog::{DemandReport, ModelDemand},
    glade_types::{ModelName, VmId},
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Age after which a node's report no longer counts as what it has in flight.
const REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Demand since it was last passed on.
#[derive(Debug)]
pub(crate) struct DemandAggregator {
    since: Instant,
    /// Requests, and tokens of their prompts.
    asked: BTreeMap<ModelName, (u32, u64)>,
    in_flight: HashMap<(ModelName, VmId), (u32, Instant)>,
    /// Models that were reported as in flight the last time.
    told: Vec<ModelName>,
}

impl DemandAggregator {
    pub(crate) fn new(now: Instant) -> Self {
        Self { since: now, asked: BTreeMap::new(), in_flight: HashMap::new(), told: Vec::new() }
    }

    /// Takes a node's report.
    pub(crate) fn on_report(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        for seen in &report.models {
            let asked = self.asked.entry(seen.model.clone()).or_default();
            asked.0 += seen.requests;
            asked.1 += seen.prompt_tokens;
            let key = (seen.model.clone(), vm.clone());
            if seen.in_flight > 0 {
                self.in_flight.insert(key, (seen.in_flight, now));
            } else {
                self.in_flight.remove(&key);
            }
        }
    }

    /// Everything since the last call. What was in flight then and no longer is gets told once more.
    pub(crate) fn take(&mut self, now: Instant) -> DemandReport {
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < REPORT_MAX_AGE;
        self.in_flight.retain(|_, (_, at)| is_fresh(at));
        let mut models: BTreeMap<ModelName, ModelDemand> = BTreeMap::new();
        for model in self.told.drain(..) {
            models.entry(model.clone()).or_insert_with(|| nothing_of(&model));
        }
        for (model, (requests, prompt_tokens)) in std::mem::take(&mut self.asked) {
            let row = models.entry(model.clone()).or_insert_with(|| nothing_of(&model));
            row.requests = requests;
            row.prompt_tokens = prompt_tokens;
        }
        for ((model, _), (count, _)) in &self.in_flight {
            models.entry(model.clone()).or_insert_with(|| nothing_of(model)).in_flight += count;
        }
        let models: Vec<ModelDemand> = models.into_values().collect();
        self.told
            .extend(models.iter().filter(|seen| seen.in_flight > 0).map(|seen| seen.model.clone()));
        let over = now.saturating_duration_since(std::mem::replace(&mut self.since, now));
        DemandReport { over, models }
    }
}

fn nothing_of(model: &ModelName) -> ModelDemand {
    ModelDemand { model: model.clone(), requests: 0, prompt_tokens: 0, in_flight: 0 }
}

#[cfg(test)]
mod tests;
