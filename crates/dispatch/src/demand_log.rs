//! Counts the demand of this VM's callers by model, for reports to the placement controller.

use {
    glade_catalog::{DemandReport, ModelDemand},
    glade_types::ModelName,
    std::{collections::BTreeMap, time::Instant},
};

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: u32,
    prompt_tokens: u64,
    in_flight: u32,
}

/// Demand by model or adapter since the last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandLog {
    models: BTreeMap<ModelName, Counts>,
    since: Option<Instant>,
}

impl DemandLog {
    /// Counts an arriving request, which is in flight until its departure is recorded.
    pub(crate) fn record_arrival(&mut self, model: &ModelName, prompt_tokens: u32) {
        let counts = self.models.entry(model.clone()).or_default();
        counts.requests += 1;
        counts.prompt_tokens += u64::from(prompt_tokens);
        counts.in_flight += 1;
    }

    /// Records that a request was answered or given up.
    pub(crate) fn record_departure(&mut self, model: &ModelName) {
        if let Some(counts) = self.models.get_mut(model) {
            counts.in_flight = counts.in_flight.saturating_sub(1);
        }
    }

    /// Returns the demand since the last call and resets the counters.
    pub(crate) fn take(&mut self, now: Instant) -> DemandReport {
        let since = self.since.replace(now).unwrap_or(now);
        let models = self
            .models
            .iter_mut()
            .map(|(model, counts)| ModelDemand {
                model: model.clone(),
                requests: std::mem::take(&mut counts.requests),
                prompt_tokens: std::mem::take(&mut counts.prompt_tokens),
                in_flight: counts.in_flight,
            })
            .collect();
        self.models.retain(|_, counts| counts.in_flight > 0);
        DemandReport { interval: now.saturating_duration_since(since), models }
    }
}
