//! Measures the policy: the real routing and planning cores in virtual time, against small fakes of
//! the brief's sizes, beside baselines on the same arrivals.
//!
//! The fake engine: a batch of [`engine::SLOTS`] places; an urgent and a patient queue; a request
//! takes a prefill, shorter when its prompt prefix is among the last ones the engine served, then a
//! fixed time for each token; both grow with the batch. Reports are read every half second and
//! arrive late. The same seed gives the same bytes.

mod arrivals;
mod deployment;
mod engine;
mod policy;
mod report;
mod scenario;
mod world;

pub use crate::{
    deployment::Deployment,
    policy::PolicyKind,
    report::PolicyReport,
    scenario::Scenario,
    world::{RunConfig, run},
};

/// Load, in requests per second, at which the better baseline attains `share` of the requests.
pub fn load_at_baseline_share(
    deployment: Deployment,
    scenario: Scenario,
    seed: u64,
    share: f64,
) -> f64 {
    let (mut low, mut high) = (5.0, deployment.nominal_rate_per_s() * 4.0);
    for _ in 0..SEARCH_STEPS {
        let rate_per_s = (low + high) / 2.0;
        let best = PolicyKind::BASELINES
            .into_iter()
            .map(|policy| run(&RunConfig { deployment, scenario, policy, seed, rate_per_s }))
            .map(|report| report.attainment)
            .fold(0.0, f64::max);
        if best > share { low = rate_per_s } else { high = rate_per_s }
    }
    (low + high) / 2.0
}

/// Halvings of the interval in the search for a load.
const SEARCH_STEPS: u32 = 6;
