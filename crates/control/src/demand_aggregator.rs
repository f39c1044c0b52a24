//! Demand of a data centre: the sum over its entries, quick to rise and slow to fall.

use {
    glade_placement::ModelDemand,
    glade_types::{ModelName, VmId},
    glade_wire::Demand,
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Time in which remembered demand falls to half.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Age after which an entry's last report no longer counts.
const REPORT_STALE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct EntryDemand {
    received_at: Instant,
    by_model: BTreeMap<ModelName, ModelDemand>,
}

/// Demand by model.
#[derive(Debug, Default)]
pub(crate) struct DemandAggregator {
    entries: BTreeMap<VmId, EntryDemand>,
    levels: HashMap<ModelName, ModelDemand>,
    decayed_at: Option<Instant>,
}

impl DemandAggregator {
    /// Takes the report of one entry.
    pub(crate) fn record(&mut self, now: Instant, from: VmId, demands: &[Demand]) {
        let elapsed = self.entries.get(&from).map(|entry| now - entry.received_at);
        let seconds = elapsed.map_or(1.0, |elapsed| elapsed.as_secs_f64().max(0.1));
        let by_model = demands
            .iter()
            .map(|demand| {
                let under_way = f64::from(demand.in_flight);
                let missed_per_s = f64::from(demand.missed) / seconds;
                (demand.model.clone(), ModelDemand { in_flight: under_way, missed_per_s })
            })
            .collect();
        self.entries.insert(from, EntryDemand { received_at: now, by_model });
    }

    /// Demand by model at `now`.
    pub(crate) fn levels(&mut self, now: Instant) -> &HashMap<ModelName, ModelDemand> {
        self.entries.retain(|_, entry| now - entry.received_at < REPORT_STALE);
        let elapsed = now - self.decayed_at.replace(now).unwrap_or(now);
        let kept = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for level in self.levels.values_mut() {
            level.in_flight *= kept;
            level.missed_per_s *= kept;
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
    fn demand_rises_at_once_and_falls_by_half_lives() {
        let (start, mut book) = (Instant::now(), DemandAggregator::default());
        let demand = |in_flight| Demand { model: ModelName::new("m"), in_flight, missed: 0 };
        book.record(start, VmId::new("a"), &[demand(6.0)]);
        book.record(start, VmId::new("b"), &[demand(2.0)]);
        let level =
            |book: &mut DemandAggregator, now| book.levels(now)[&ModelName::new("m")].in_flight;
        assert_eq!(level(&mut book, start), 8.0);
        book.record(start + HALF_LIFE, VmId::new("a"), &[demand(1.0)]);
        assert_eq!(level(&mut book, start + HALF_LIFE), 4.0);
    }
}
