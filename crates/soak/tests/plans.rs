//! Seeds that once failed go on playing the faults that they played then.

use {
    glade_soak::{
        Fault, Releases, Series, Targets, plan, plan_oddities, plan_out_of_touch, plan_releases,
        plan_series,
    },
    std::time::Duration,
};

/// How many faults a seed plays in 8 s, and the last of them.
fn end_of_plan(seed: u64, nodes: usize, engines: usize, gap_ms: u64) -> (usize, String) {
    let targets = Targets { nodes, engines, plain: 2 };
    let mut rng = fastrand::Rng::with_seed(seed);
    let (time, gap) = (Duration::from_secs(8), Duration::from_millis(gap_ms));
    let planned = plan(&mut rng, targets, time, gap);
    (planned.len(), format!("{:?}", planned.last().expect("faults")))
}

#[test]
fn plans_of_old_seeds_are_pinned() {
    let last = "Planned { at: 7.913968439s, lasts: 679ms, \
                fault: EngineLink { engine: 4, link: DeafServer } }";
    assert_eq!(end_of_plan(210, 7, 5, 120), (67, last.to_owned()));
    let last = "Planned { at: 7.744541223s, lasts: 2.322s, \
                fault: Engine { engine: 0, fault: Hangs } }";
    assert_eq!(end_of_plan(104, 5, 4, 250), (29, last.to_owned()));
}

#[test]
fn series_hold_signals_of_all_kinds_and_come_within_their_time() {
    let targets = Targets { nodes: 5, engines: 4, plain: 2 };
    let series = Series { gap: Duration::from_millis(500), callers: 0 };
    let mut rng = fastrand::Rng::with_seed(1);
    let time = Duration::from_secs(20);
    let planned = plan_series(&mut rng, targets, time, series);
    assert!(planned.iter().all(|planned| planned.at < time));
    let count = |kind: fn(&Fault) -> bool| planned.iter().filter(|one| kind(&one.fault)).count();
    assert!(count(|fault| matches!(fault, Fault::Restart { .. })) > 5);
    assert!(count(|fault| matches!(fault, Fault::ReloadChanged { .. })) > 5);
    assert!(count(|fault| *fault == Fault::Configuration) > 5);
}

#[test]
fn oddities_hold_odd_entries_garbled_rows_and_repeated_answers() {
    let targets = Targets { nodes: 5, engines: 4, plain: 2 };
    let mut rng = fastrand::Rng::with_seed(1);
    let (time, gap) = (Duration::from_secs(20), Duration::from_millis(200));
    let planned = plan_oddities(&mut rng, targets, time, gap);
    let count = |kind: fn(&Fault) -> bool| planned.iter().filter(|one| kind(&one.fault)).count();
    assert!(count(|fault| matches!(fault, Fault::OddEntry { .. })) > 5);
    assert!(count(|fault| matches!(fault, Fault::Row { .. })) > 2);
    assert!(count(|fault| matches!(fault, Fault::ConfigurationRow(_))) > 2);
    assert!(count(|fault| matches!(fault, Fault::Engine { .. } | Fault::Plain { .. })) > 5);
}

#[test]
fn releases_replace_and_upgrade_engines_and_come_between_ends_of_all_nodes() {
    let targets = Targets { nodes: 5, engines: 4, plain: 2 };
    let releases = Releases { gap: Duration::from_millis(500), callers: 0 };
    let mut rng = fastrand::Rng::with_seed(1);
    let planned = plan_releases(&mut rng, targets, Duration::from_secs(20), releases);
    let count = |kind: fn(&Fault) -> bool| planned.iter().filter(|one| kind(&one.fault)).count();
    assert!(count(|fault| matches!(fault, Fault::Replace { .. })) > 5);
    assert!(count(|fault| matches!(fault, Fault::Upgrade { .. })) > 5);
    let kills = count(|fault| matches!(fault, Fault::Kill { .. }));
    assert!(kills > 0 && kills % targets.nodes == 0, "{kills} kills of nodes");
}

#[test]
fn losses_of_touch_are_of_all_kinds() {
    let targets = Targets { nodes: 5, engines: 4, plain: 2 };
    let mut rng = fastrand::Rng::with_seed(1);
    let (time, gap) = (Duration::from_secs(60), Duration::from_secs(1));
    let planned = plan_out_of_touch(&mut rng, targets, time, gap);
    let count = |kind: fn(&Fault) -> bool| planned.iter().filter(|one| kind(&one.fault)).count();
    let removals = count(|fault| matches!(fault, Fault::Removal { .. }));
    let turned_away = count(|fault| matches!(fault, Fault::StoreLink { .. }));
    assert!(removals > 5 && turned_away > removals, "some at a time");
    let changes = count(|fault| matches!(fault, Fault::Replace { .. } | Fault::Upgrade { .. }));
    assert!(changes > 5 && changes == count(|fault| matches!(fault, Fault::Pause { .. })));
    assert!(count(|fault| matches!(fault, Fault::SeverStoreLink { .. })) > 10);
    assert!(count(|fault| matches!(fault, Fault::SeverEngineLink { .. })) > 10);
}
