//! `persimmonglade-bench-policy`: measures the policy beside baselines.

use {
    bpaf::Bpaf,
    glade_policy_bench::{
        Deployment, PolicyKind, RunConfig, Scenario, load_at_baseline_share, run,
    },
};

/// Share of requests that the better baseline attains at the load of the comparison.
const BASELINE_SHARE: f64 = 0.7;

/// Measure the policy in virtual time; prints a JSON line for each scenario and policy.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Seed of the arrivals
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// kalahari or jef-jel
    #[bpaf(argument("NAME"), fallback(Deployment::Kalahari))]
    deployment: Deployment,
    /// Only this scenario
    #[bpaf(argument("NAME"), optional)]
    scenario: Option<Scenario>,
    /// Offered load in requests per second, instead of the load at which the better baseline attains
    /// 70 %
    #[bpaf(argument("N"), optional)]
    rate: Option<f64>,
}

fn main() {
    let args = args().run();
    let (deployment, seed) = (args.deployment, args.seed);
    let scenarios = Scenario::ALL.into_iter();
    for scenario in scenarios.filter(|s| args.scenario.is_none_or(|only| only == *s)) {
        let rate_per_s = args
            .rate
            .unwrap_or_else(|| load_at_baseline_share(deployment, scenario, seed, BASELINE_SHARE));
        for policy in PolicyKind::ALL {
            let report = run(&RunConfig { deployment, scenario, policy, seed, rate_per_s });
            println!("{}", serde_json::to_string(&report).expect("plain structure"));
        }
    }
}
