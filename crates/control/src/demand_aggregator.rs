//! Aggregates the demand for each model over the entry processes of a data centre; entry processes
//! route callers' requests.
//!
//! The aggregate rises at once with the reported sum and decays exponentially when the sum falls.

use {
    glade_placement::ModelDemand,
    glade_types::{ModelName, VmId},
    glade_wire::Demand,
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Half-life of the decay of the aggregated demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(60);
/// Age after which the last report of an entry process is dropped.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Last report of one entry process.
#[derive(Debug)]
struct EntryDemand {
    received_at: Instant,
    by_model: BTreeMap<ModelName, ModelDemand>,
}

/// Demand by model, aggregated over all entry processes of the data centre.
#[derive(Debug, Default)]
pub(crate) struct DemandAggregator {
    /// Last report of each entry process, by its VM.
    entries: BTreeMap<VmId, EntryDemand>,
    /// Aggregated demand at `decayed_at`.
    levels: HashMap<ModelName, ModelDemand>,
    decayed_at: Option<Instant>,
}

impl DemandAggregator {
    /// Records the report of one entry process.
    pub(crate) fn record(&mut self, now: Instant, from: VmId, demands: &[Demand]) {
        let elapsed = self.entries.get(&from).map(|entry| now - entry.received_at);
        let seconds = elapsed.map_or(1.0, |elapsed| elapsed.as_secs_f64().max(0.1));
        let by_model = demands
            .iter()
            .map(|demand| {
                let in_flight = f64::from(demand.in_flight);
                let missed_per_s = f64::from(demand.missed) / seconds;
                (demand.model.clone(), ModelDemand { in_flight, missed_per_s })
            })
            .collect();
        self.entries.insert(from, EntryDemand { received_at: now, by_model });
    }

    /// Returns the aggregated demand by model at `now`.
    pub(crate) fn levels(&mut self, now: Instant) -> &HashMap<ModelName, ModelDemand> {
        self.entries.retain(|_, entry| now - entry.received_at < MAX_REPORT_AGE);
        let elapsed = now - self.decayed_at.replace(now).unwrap_or(now);
        let decay_factor = 0.5_f64.powf(elapsed.as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64());
        for level in self.levels.values_mut() {
            level.in_flight *= decay_factor;
            level.missed_per_s *= decay_factor;
        }
        let mut sums: BTreeMap<&ModelName, ModelDemand> = BTreeMap::new();
        for (model, demand) in self.entries.values().flat_map(|entry| &entry.by_model) {
            let sum = sums.entry(model).or_default();
            sum.in_flight += demand.in_flight;
            sum.missed_per_s += demand.missed_per_s;
        }
        for (model, sum) in sums {
            let level = self.levels.entry(model.clone()).or_default();
            level.in_flight = level.in_flight.max(sum.in_flight);
            level.missed_per_s = level.missed_per_s.max(sum.missed_per_s);
        }
        self.levels.retain(|_, level| level.in_flight > 0.001 || level.missed_per_s > 0.001);
        &self.levels
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn demand_rises_at_once_and_decays_with_its_half_life() {
        let (start, mut aggregator) = (Instant::now(), DemandAggregator::default());
        let demand = |in_flight| Demand { model: ModelName::new("m"), in_flight, missed: 0 };
        aggregator.record(start, VmId::new("a"), &[demand(6.0)]);
        aggregator.record(start, VmId::new("b"), &[demand(2.0)]);
        let level = |aggregator: &mut DemandAggregator, now| {
            aggregator.levels(now)[&ModelName::new("m")].in_flight
        };
        assert_eq!(level(&mut aggregator, start), 8.0);
        aggregator.record(start + DEMAND_HALF_LIFE, VmId::new("a"), &[demand(1.0)]);
        assert_eq!(level(&mut aggregator, start + DEMAND_HALF_LIFE), 4.0);
    }
}
