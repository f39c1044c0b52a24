//! How many permits an issuer gives to whom.

use {
    fastrand::Rng,
    glade_limit::{PermitDemand, PermitGrant, PermitIssuer, RankCount},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const SERVER: u32 = 7;
const STEP: Duration = Duration::from_millis(20);
const WINDOW: Duration = Duration::from_secs(4);

fn addr(node: u8) -> SocketAddr {
    ([10, 0, 0, node], 80).into()
}

fn demand(received: u32, waiting: &[(u8, u32)], wants_probe: bool) -> PermitDemand {
    let waiting = waiting.iter().map(|(rank, count)| RankCount { rank: *rank, count: *count });
    let waiting = waiting.collect();
    PermitDemand { server: SERVER, received, stamp_ms: 0, nodes: 1, waiting, wants_probe }
}

fn permits(messages: &[(SocketAddr, PermitGrant)], node: u8) -> u32 {
    messages.iter().filter(|(to, _)| *to == addr(node)).map(|(_, grant)| grant.permits).sum()
}

#[test]
fn no_window_has_more_permits_than_the_rate_and_a_short_burst() {
    for seed in 0..200 {
        let mut rng = Rng::with_seed(seed);
        let rate = [0.0, 0.1, 0.4, 1.3, 9.0, 250.0][rng.usize(..6)];
        let (begin, mut issuer) = (Instant::now(), PermitIssuer::default());
        issuer.open(begin, SERVER, true);
        let mut received: BTreeMap<u8, u32> = BTreeMap::new();
        let mut times = Vec::new();
        let mut now = begin;
        for _ in 0..1_000 {
            now += STEP.mul_f64(rng.f64() * 3.0);
            let node = rng.u8(1..=5);
            let known = received.get(&node).copied().unwrap_or(0);
            let waiting = [(rng.u8(..3), rng.u32(..40))];
            issuer.on_demand(now, addr(node), demand(known, &waiting, rng.bool()));
            for (to, grant) in issuer.issue(now, SERVER, rate, 5) {
                times.extend((0..grant.permits).map(|_| now));
                // Grants may be lost.
                if rng.u8(..10) > 0 {
                    let node = (1..=5).find(|node| addr(*node) == to).expect("a node");
                    *received.entry(node).or_default() += grant.permits;
                }
            }
        }
        let in_window =
            |from: &Instant| times.iter().filter(|at| *at >= from && **at < *from + WINDOW).count();
        let most = times.iter().map(in_window).max().unwrap_or(0) as f64;
        // A bucket holds one permit and those of 0.1 s.
        let allowed = rate * (WINDOW.as_secs_f64() + 0.1) + 2.0;
        assert!(most <= allowed, "seed {seed}: {most} at {rate}");
    }
}

#[test]
fn the_most_urgent_waiting_request_gets_the_next_permit() {
    let (begin, mut issuer) = (Instant::now(), PermitIssuer::default());
    issuer.open(begin, SERVER, true);
    let now = begin + Duration::from_secs(1);
    issuer.on_demand(now, addr(1), demand(0, &[(2, 5)], false));
    issuer.on_demand(now, addr(2), demand(0, &[(0, 1), (2, 5)], false));
    let messages = issuer.issue(now, SERVER, 1.0, 2);
    assert_eq!((permits(&messages, 1), permits(&messages, 2)), (0, 1));
    let (_, status) = messages.iter().find(|(to, _)| *to == addr(1)).expect("a status");
    assert_eq!(status.waiting, [RankCount { rank: 2, count: 10 }]);
}

#[test]
fn a_permit_under_way_is_not_granted_twice_and_a_lost_one_is_made_up_for() {
    let (begin, mut issuer) = (Instant::now(), PermitIssuer::default());
    issuer.open(begin, SERVER, true);
    let mut now = begin + Duration::from_secs(1);
    issuer.on_demand(now, addr(1), demand(0, &[(1, 1)], false));
    assert_eq!(permits(&issuer.issue(now, SERVER, 10.0, 1), 1), 1);
    now += Duration::from_millis(500);
    issuer.on_demand(now, addr(1), demand(0, &[(1, 1)], false));
    assert_eq!(permits(&issuer.issue(now, SERVER, 10.0, 1), 1), 0, "under way");
    now += Duration::from_millis(600);
    issuer.on_demand(now, addr(1), demand(0, &[(1, 1)], false));
    assert_eq!(permits(&issuer.issue(now, SERVER, 10.0, 1), 1), 1, "lost");
}

#[test]
fn an_issuer_on_which_a_part_of_the_nodes_counts_issues_that_part() {
    let (begin, mut issuer) = (Instant::now(), PermitIssuer::default());
    issuer.open(begin, SERVER, true);
    let mut granted = 0;
    for step in 0..500 {
        let now = begin + step * STEP;
        issuer.on_demand(now, addr(1), demand(granted, &[(1, 100)], false));
        granted += permits(&issuer.issue(now, SERVER, 8.0, 4), 1);
    }
    // A quarter of 8 a second, for 10 s.
    assert!((18..=22).contains(&granted), "{granted}");
}

#[test]
fn a_new_issuer_waits_until_the_permits_of_the_one_before_have_lapsed() {
    let (begin, mut issuer) = (Instant::now(), PermitIssuer::default());
    issuer.open(begin, SERVER, false);
    for step in 0..50 {
        let now = begin + step * STEP;
        issuer.on_demand(now, addr(1), demand(0, &[(1, 9)], false));
        assert_eq!(permits(&issuer.issue(now, SERVER, 100.0, 1), 1), 0, "after {:?}", now - begin);
    }
    let now = begin + Duration::from_millis(1_100);
    issuer.on_demand(now, addr(1), demand(0, &[(1, 9)], false));
    assert!(permits(&issuer.issue(now, SERVER, 100.0, 1), 1) > 0);
}

#[test]
fn a_server_that_nothing_waits_for_is_probed_now_and_then() {
    for (rate, probes) in [(5.0, 20..=32), (0.5, 13..=16), (0.0, 1..=1)] {
        let (begin, mut issuer) = (Instant::now(), PermitIssuer::default());
        issuer.open(begin, SERVER, true);
        let mut granted = 0;
        for step in 0..1_600 {
            let now = begin + step * STEP;
            issuer.on_demand(now, addr(1), demand(granted, &[], true));
            for (_, grant) in issuer.issue(now, SERVER, rate, 1) {
                assert!(grant.is_probe && grant.permits == 1, "{grant:?}");
                granted += 1;
            }
        }
        assert!(probes.contains(&granted), "{granted} probes in 32 s at {rate}");
    }
}
