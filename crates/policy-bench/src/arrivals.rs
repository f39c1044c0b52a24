//! Arrivals: bursty demand over all rows.

use {
    crate::{
        deployment::Deployment,
        scenario::{ARRIVALS, FAULT_END, FAULT_START, Scenario},
    },
    fastrand::Rng,
    glade_table::Table,
    glade_types::{ModelName, Priority, stable_hash},
    std::time::Duration,
};

/// Share of requests that can wait.
const PATIENT_SHARE: f64 = 0.3;
/// Exponent of the popularity of rows by rank.
const POPULARITY: f64 = 0.7;
/// How much a row's demand grows while it bursts by itself.
const OWN_BURST: f64 = 4.0;
/// Share of the time for which a row bursts by itself.
const OWN_BURST_SHARE: f64 = 0.15;
/// Length of a row's own bursts.
const OWN_BURST_LEN: Duration = Duration::from_secs(12);
/// How much the demand for the burst's models grows.
const TENFOLD: f64 = 10.0;
/// Models of the tenfold burst.
const BURST_MODELS: usize = 3;
/// Distinct prompt prefixes of a row.
const PREFIXES: u64 = 4;
/// Time in which arrivals are drawn at one rate.
const SLICE: Duration = Duration::from_millis(250);

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    pub(crate) entry: usize,
    pub(crate) model: ModelName,
    pub(crate) priority: Priority,
    pub(crate) prefix: u64,
    pub(crate) tokens: u32,
}

/// A row with its weight and its own bursts.
struct Source {
    model: ModelName,
    weight: f64,
    burst_model: bool,
    phase: u64,
}

impl Source {
    fn rate(&self, at: Duration, scenario: Scenario) -> f64 {
        let slot = at.as_secs() / OWN_BURST_LEN.as_secs();
        let draw = stable_hash(&(self.phase ^ slot).to_le_bytes()) as f64 / u64::MAX as f64;
        let own = if draw < OWN_BURST_SHARE { OWN_BURST } else { 1.0 };
        let in_burst =
            self.burst_model && scenario.bursts() && (FAULT_START..FAULT_END).contains(&at);
        self.weight * if in_burst { TENFOLD } else { own }
    }
}

/// The arrivals of a run, in the order of their time.
pub(crate) fn arrivals(
    table: &Table,
    deployment: Deployment,
    scenario: Scenario,
    seed: u64,
    rate_per_s: f64,
) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(seed);
    let sources = sources(table, &mut rng);
    let total: f64 = sources.iter().map(|source| source.weight).sum();
    let mean_boost = 1.0 + OWN_BURST_SHARE * (OWN_BURST - 1.0);
    let scale = rate_per_s / (total * mean_boost);
    let mut arrivals = Vec::new();
    let mut at = Duration::ZERO;
    while at < ARRIVALS {
        for source in &sources {
            let mean = source.rate(at, scenario) * scale * SLICE.as_secs_f64();
            for _ in 0..poisson(&mut rng, mean) {
                arrivals.push(arrival(&mut rng, source, at, deployment));
            }
        }
        at += SLICE;
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn sources(table: &Table, rng: &mut Rng) -> Vec<Source> {
    let mut rows: Vec<&glade_table::Row> = table.loadable().collect();
    rng.shuffle(&mut rows);
    let bases: Vec<&ModelName> = table
        .loadable()
        .filter(|row| row.base().is_none())
        .map(|row| &row.name)
        .take(BURST_MODELS)
        .collect();
    rows.iter()
        .enumerate()
        .map(|(rank, row)| Source {
            model: row.name.clone(),
            weight: 1.0 / (rank as f64 + 3.0).powf(POPULARITY),
            burst_model: bases.contains(&&row.name),
            phase: rng.u64(..),
        })
        .collect()
}

fn arrival(rng: &mut Rng, source: &Source, from: Duration, deployment: Deployment) -> Arrival {
    let patient = rng.f64() < PATIENT_SHARE;
    let (priority, tokens) = if patient {
        (Priority::Patient, rng.u32(60..240))
    } else {
        (Priority::Urgent, rng.u32(20..120))
    };
    let prefix = rng.u64(0..PREFIXES);
    Arrival {
        at: from + SLICE.mul_f64(rng.f64()),
        entry: rng.usize(0..deployment.entries()),
        model: source.model.clone(),
        priority,
        prefix: stable_hash(format!("{}#{prefix}", source.model).as_bytes()),
        tokens,
    }
}

/// A draw from the Poisson distribution of a small mean, by multiplying uniform draws.
fn poisson(rng: &mut Rng, mean: f64) -> u32 {
    let limit = (-mean).exp();
    let (mut count, mut product) = (0, rng.f64());
    while product > limit {
        count += 1;
        product *= rng.f64();
    }
    count
}
