//! Short soaks by fixed seeds. The seed fixes which faults come when; what is checked must hold
//! however the processes are scheduled.

use {
    glade_clock::SystemClock,
    glade_soak::{Releases, Series, Size, Soak, Stalls},
    std::{sync::Arc, time::Duration},
};

const SMALL: Size = Size {
    nodes: 3,
    engines: 3,
    time: Duration::from_secs(8),
    gap: Duration::from_millis(400),
    stalls: None,
    request_gap: Duration::from_millis(10),
    crashing_from: None,
    limits_from: None,
    series: None,
    odd_gap: None,
    releases: None,
    out_of_touch_gap: None,
    teams: false,
    hostile_clients: false,
};
const DENSE: Size = Size { nodes: 7, engines: 5, gap: Duration::from_millis(120), ..SMALL };
const STALLING: Size = stalling(false);
const REJECTING_RESERVED: Size = stalling(true);

const CRASHING: Size = Size {
    engines: 6,
    time: Duration::from_secs(12),
    crashing_from: Some(Duration::from_secs(1)),
    ..SMALL
};

const LIMITED: Size =
    Size { time: Duration::from_secs(14), limits_from: Some(Duration::from_secs(1)), ..SMALL };

const SERIES: Size = Size {
    nodes: 4,
    engines: 4,
    time: Duration::from_secs(6),
    gap: Duration::from_secs(3),
    series: Some(Series { gap: Duration::from_millis(600), callers: 16 }),
    ..SMALL
};

const ODD: Size = Size {
    time: Duration::from_secs(6),
    gap: Duration::from_secs(3),
    odd_gap: Some(Duration::from_millis(200)),
    ..SMALL
};

const RELEASING: Size = Size {
    engines: 4,
    time: Duration::from_secs(10),
    gap: Duration::from_secs(2),
    releases: Some(Releases { gap: Duration::from_millis(1200), callers: 16 }),
    ..SMALL
};

const OUT_OF_TOUCH: Size = Size {
    nodes: 4,
    engines: 4,
    time: Duration::from_secs(12),
    gap: Duration::from_secs(4),
    out_of_touch_gap: Some(Duration::from_millis(1500)),
    releases: Some(Releases { gap: Duration::from_secs(3), callers: 16 }),
    ..SMALL
};

const TEAMS: Size = Size { time: Duration::from_secs(10), teams: true, ..SMALL };
const HOSTILE: Size = Size { time: Duration::from_secs(6), hostile_clients: true, ..SMALL };

const fn stalling(reject_reserved: bool) -> Size {
    Size { stalls: Some(Stalls { gap: Duration::from_millis(150), reject_reserved }), ..SMALL }
}

fn violations(seed: u64, size: Size) -> Vec<String> {
    let report = Soak::start(seed, size, Arc::new(SystemClock)).run();
    let drawn = size.time.as_millis() / size.gap.as_millis();
    assert!(report.faults as u128 >= drawn / 2, "{report:?}");
    assert!(report.requests >= 200 && report.served > 20, "{report:?}");
    let logs = report.logs.iter().map(|folder| format!("logs in {}", folder.display()));
    report.violations.iter().map(ToString::to_string).chain(logs).collect()
}

#[test]
fn promises_hold_under_seed_1() {
    assert_eq!(violations(1, SMALL), Vec::<String>::new());
}

#[test]
fn promises_hold_under_seed_2() {
    assert_eq!(violations(2, SMALL), Vec::<String>::new());
}

/// Once reported a stream that began with its seventh event: the proxy had lost bytes in the middle of
/// a connection, which TCP doesn't.
#[test]
fn promises_hold_under_seed_210() {
    assert_eq!(violations(210, DENSE), Vec::<String>::new());
}

#[test]
fn promises_hold_while_servers_stall_under_seed_12() {
    assert_eq!(violations(12, STALLING), Vec::<String>::new());
}

#[test]
fn promises_hold_while_servers_stall_under_seed_33() {
    assert_eq!(violations(33, STALLING), Vec::<String>::new());
}

#[test]
fn promises_hold_while_engines_reject_reserved_requests_under_seed_12() {
    assert_eq!(violations(12, REJECTING_RESERVED), Vec::<String>::new());
}

#[test]
fn promises_hold_while_a_part_crashes_engines_under_seed_1() {
    assert_eq!(violations(1, CRASHING), Vec::<String>::new());
}

#[test]
fn promises_hold_while_a_part_crashes_engines_under_seed_2() {
    assert_eq!(violations(2, CRASHING), Vec::<String>::new());
}

#[test]
fn answers_stay_whole_around_series_of_signals_under_seed_1() {
    assert_eq!(violations(1, SERIES), Vec::<String>::new());
}

#[test]
fn answers_stay_whole_around_series_of_signals_under_seed_2() {
    assert_eq!(violations(2, SERIES), Vec::<String>::new());
}

#[test]
fn odd_rows_and_repeated_refusals_neither_end_nodes_nor_repeat_requests_under_seed_1() {
    assert_eq!(violations(1, ODD), Vec::<String>::new());
}

#[test]
fn servers_get_no_more_than_the_limits_that_they_name_under_seed_1() {
    assert_eq!(violations(1, LIMITED), Vec::<String>::new());
}

#[test]
fn streams_keep_to_one_software_version_around_releases_under_seed_1() {
    assert_eq!(violations(1, RELEASING), Vec::<String>::new());
}

#[test]
fn streams_keep_to_one_software_version_around_releases_under_seed_2() {
    assert_eq!(violations(2, RELEASING), Vec::<String>::new());
}

/// Guards against unknown keys that are served, keys and forged teams that reach servers, keys in logs, and
/// teams that exceed their quotas.
#[test]
fn teams_keep_to_their_keys_and_quotas_under_seed_1() {
    assert_eq!(violations(1, TEAMS), Vec::<String>::new());
}

/// Guards against nodes that hold more of unfinished bodies than their VMs' memory.
#[test]
fn nodes_stay_within_their_memory_beside_hostile_clients_under_seed_1() {
    assert_eq!(violations(1, HOSTILE), Vec::<String>::new());
}

/// Guards against requests to servers whose entries were removed, sent by nodes that the store answers while it turns
/// others away, and against streams of two software versions at nodes that stood still.
#[test]
fn nodes_that_lose_touch_mislead_no_others_under_seed_1() {
    assert_eq!(violations(1, OUT_OF_TOUCH), Vec::<String>::new());
}

#[test]
fn nodes_that_lose_touch_mislead_no_others_under_seed_2() {
    assert_eq!(violations(2, OUT_OF_TOUCH), Vec::<String>::new());
}
