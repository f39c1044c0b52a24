//! The policy under fixed seeds and loads. The bounds are the users' targets.

use glade_policy_bench::{Deployment, PolicyKind, RunConfig, Scenario, run};

const SEED: u64 = 1;

fn config(scenario: Scenario, policy: PolicyKind, rate_per_s: f64) -> RunConfig {
    RunConfig { deployment: Deployment::Kalahari, scenario, policy, seed: SEED, rate_per_s }
}

#[test]
fn at_the_design_load_urgent_work_is_in_time_and_patient_work_finishes() {
    let rate = Deployment::Kalahari.nominal_rate_per_s();
    let report = run(&config(Scenario::Steady, PolicyKind::Glade, rate));
    assert!(report.urgent_attainment >= 0.95, "{report:?}");
    assert_eq!((report.patient_unfinished, report.refused_false), (0, 0), "{report:?}");
}

/// 139 requests a second is the load at which the better baseline attains 70 %.
#[test]
fn under_overload_attainment_is_well_above_the_better_baseline() {
    let rate = 139.0;
    let glade = run(&config(Scenario::Steady, PolicyKind::Glade, rate));
    let best = PolicyKind::BASELINES
        .map(|policy| run(&config(Scenario::Steady, policy, rate)).attainment)
        .into_iter()
        .fold(0.0, f64::max);
    assert!(glade.attainment >= 1.3 * best, "{} against {best}", glade.attainment);
}

#[test]
fn no_refusal_is_false_while_everything_fails() {
    let report = run(&config(Scenario::Everything, PolicyKind::Glade, 91.3));
    assert_eq!((report.refused_false, report.patient_unfinished), (0, 0), "{report:?}");
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let config = config(Scenario::LostEngines, PolicyKind::Glade, 40.0);
    assert_eq!(run(&config), run(&config));
}
