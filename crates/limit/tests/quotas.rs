//! What an issuer grants of a team's quota, and what nodes do with it.

use {
    glade_limit::{
        QuotaAsk, QuotaBucket, QuotaGrant, QuotaIssuer, QuotaPools, QuotaRate, QuotaReport,
        QuotaVerdict, ReturnedCredit,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const TEAM: u32 = 7;
const RATE: QuotaRate = QuotaRate { per_s: 1_000.0, burst: 1_000.0 };

fn addr(node: u8) -> SocketAddr {
    ([10, 0, 0, node], 80).into()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn ask(received: u32, waiting: &[u32]) -> QuotaAsk {
    QuotaAsk {
        team: TEAM,
        stamp_ms: 0,
        received,
        held: 0,
        use_per_s: 0,
        waiting: waiting.to_vec(),
        returned: Vec::new(),
        taken: 0,
        is_alone: false,
    }
}

/// An issuer of one team on which `counted` nodes count, with a bucket that has filled since `begin`.
fn issuer(begin: Instant, counted: u32, known_nodes: u32) -> QuotaIssuer {
    let mut issuer = QuotaIssuer::default();
    issuer.open(begin, TEAM, true);
    for step in 0..10 {
        let now = begin + step * ms(450);
        let (counts, none) = (vec![TEAM], Vec::new());
        let report = QuotaReport { nodes: counted, counted: counts, released: none, asks: vec![] };
        issuer.on_report(now, addr(1), report);
        issuer.issue(now, known_nodes, |_| Some(RATE));
    }
    issuer
}

fn grant(
    issuer: &mut QuotaIssuer,
    now: Instant,
    known_nodes: u32,
    asks: &[(u8, QuotaAsk)],
) -> Vec<(SocketAddr, QuotaGrant)> {
    for (node, ask) in asks {
        let report = QuotaReport { asks: vec![ask.clone()], ..QuotaReport::default() };
        issuer.on_report(now, addr(*node), report);
    }
    issuer.issue(now, known_nodes, |_| Some(RATE))
}

fn tokens(replies: &[(SocketAddr, QuotaGrant)], node: u8) -> u32 {
    replies.iter().filter(|(to, _)| *to == addr(node)).map(|(_, grant)| grant.tokens).sum()
}

#[test]
fn waiting_requests_are_granted_whole_and_in_turn() {
    let begin = Instant::now();
    let mut issuer = issuer(begin, 2, 2);
    let now = begin + ms(4_100);
    let asks = [(1, ask(0, &[400, 400])), (2, ask(0, &[300]))];
    let replies = grant(&mut issuer, now, 2, &asks);
    assert_eq!((tokens(&replies, 1), tokens(&replies, 2)), (400, 300));
    assert_eq!(replies[0].1.level, 300 - 400, "what is left, less what waits");
}

#[test]
fn a_grant_under_way_is_not_given_twice_and_a_lost_one_is_made_up_for() {
    let begin = Instant::now();
    let mut issuer = issuer(begin, 1, 1);
    for (at, granted) in [(4_100, 200), (4_300, 0), (4_700, 200)] {
        let replies = grant(&mut issuer, begin + ms(at), 1, &[(1, ask(0, &[200]))]);
        assert_eq!(tokens(&replies, 1), granted, "after {at} ms");
    }
}

#[test]
fn an_issuer_on_which_a_quarter_of_the_nodes_counts_grants_a_quarter() {
    let begin = Instant::now();
    let mut issuer = issuer(begin, 1, 4);
    let replies = grant(&mut issuer, begin + ms(4_100), 4, &[(1, ask(0, &[50; 30]))]);
    assert_eq!(tokens(&replies, 1), 250);
}

#[test]
fn a_new_issuer_grants_nothing_for_a_second_and_starts_empty() {
    let (begin, mut issuer) = (Instant::now(), QuotaIssuer::default());
    issuer.open(begin, TEAM, false);
    for (at, least, most) in [(0, 0, 0), (900, 0, 0), (1_100, 80, 120)] {
        let report =
            QuotaReport { nodes: 1, counted: vec![TEAM], released: vec![], asks: Vec::new() };
        issuer.on_report(begin + ms(at), addr(1), report);
        let replies = grant(&mut issuer, begin + ms(at), 1, &[(1, ask(0, &[20; 30]))]);
        let granted = tokens(&replies, 1);
        assert!((least..=most).contains(&granted), "{granted} after {at} ms");
    }
}

#[test]
fn advances_leave_half_of_the_bucket_for_waiting_requests() {
    let begin = Instant::now();
    let mut issuer = issuer(begin, 2, 2);
    let now = begin + ms(4_100);
    let eager = QuotaAsk { use_per_s: 10_000, ..ask(0, &[]) };
    let replies = grant(&mut issuer, now, 2, &[(1, eager)]);
    assert_eq!(tokens(&replies, 1), 500);
    let replies = grant(&mut issuer, now, 2, &[(2, ask(0, &[500]))]);
    assert_eq!(tokens(&replies, 2), 500);
}

#[test]
fn a_request_that_never_fits_does_not_hold_up_others() {
    let begin = Instant::now();
    let mut issuer = issuer(begin, 2, 2);
    let asks = [(1, ask(0, &[1_000_000])), (2, ask(0, &[300]))];
    let replies = grant(&mut issuer, begin + ms(4_100), 2, &asks);
    assert_eq!((tokens(&replies, 1), tokens(&replies, 2)), (0, 300));
}

#[test]
fn credit_returned_after_the_window_does_not_add_to_a_full_one() {
    let begin = Instant::now();
    let mut bucket = QuotaBucket::new(begin, begin);
    let mut spent = vec![0; 3_000];
    for (step, spent) in (0_u32..).zip(&mut spent) {
        let now = begin + step * ms(10);
        bucket.fill(now, RATE, 1.0);
        // All that was granted 9 s ago or earlier comes back, over and over.
        bucket.give_back(now, ms(9_000), 1_000);
        while bucket.try_take(now, 10) {
            *spent += 10;
        }
    }
    // The issuer counts in slots of 125 ms, so that a window covers up to 8.125 s.
    let most = (RATE.per_s * 8.125 + RATE.burst) as u32;
    let busiest = spent.windows(800).map(|window| window.iter().sum::<u32>()).max();
    assert!(busiest.is_some_and(|busiest| busiest <= most), "{busiest:?} in 8 s, {most} allowed");
}

#[test]
fn returned_credit_is_granted_again() {
    let begin = Instant::now();
    let mut issuer = issuer(begin, 1, 1);
    let now = begin + ms(4_100);
    assert_eq!(tokens(&grant(&mut issuer, now, 1, &[(1, ask(0, &[1_000]))]), 1), 1_000);
    let returned = vec![ReturnedCredit { age_ms: 0, tokens: 700 }];
    let again = QuotaAsk { returned, ..ask(1_000, &[700]) };
    assert_eq!(tokens(&grant(&mut issuer, now, 1, &[(1, again)]), 1), 700);
}

fn reply(tokens: u32, stamp_ms: u32) -> QuotaGrant {
    QuotaGrant { team: TEAM, tokens, stamp_ms, level: -500, fill_per_s: 1_000.0 }
}

#[test]
fn leases_lapse_after_half_a_second_and_are_returned() {
    let begin = Instant::now();
    let mut pools = QuotaPools::new(begin);
    pools.add_grant(begin, &reply(300, 0));
    assert_eq!(pools.charge(begin + ms(490), TEAM, 100), QuotaVerdict::Charged);
    assert!(matches!(pools.charge(begin + ms(510), TEAM, 100), QuotaVerdict::Waits(_)));
    let asks = pools.next_asks(begin + ms(510));
    assert_eq!(asks[0].returned, [ReturnedCredit { age_ms: 510, tokens: 200 }]);
    assert_eq!((asks[0].received, asks[0].waiting.as_slice()), (300, [100].as_slice()));
}

#[test]
fn a_node_that_stood_still_does_not_use_a_late_grant() {
    let begin = Instant::now();
    let mut pools = QuotaPools::new(begin);
    let QuotaVerdict::Waits(_) = pools.charge(begin, TEAM, 100) else { panic!("no credit yet") };
    pools.add_grant(begin + ms(5_000), &reply(100, 0));
    assert!(pools.take_served(begin + ms(5_000), TEAM).is_empty());
}

#[test]
fn credit_of_a_request_that_is_not_sent_serves_the_next_one() {
    let begin = Instant::now();
    let mut pools = QuotaPools::new(begin);
    pools.add_grant(begin, &QuotaGrant { level: 0, ..reply(100, 0) });
    assert_eq!(pools.charge(begin, TEAM, 100), QuotaVerdict::Charged);
    let QuotaVerdict::Waits(ticket) = pools.charge(begin, TEAM, 80) else { panic!("charged") };
    pools.give_back(begin + ms(20), TEAM, 100, begin);
    assert_eq!(pools.take_served(begin + ms(20), TEAM), [ticket]);
}

#[test]
fn refused_callers_return_when_the_bucket_holds_enough_and_not_all_at_once() {
    let begin = Instant::now();
    let mut pools = QuotaPools::new(begin);
    pools.add_grant(begin, &reply(0, 0));
    let after = |spread| pools.retry_after(begin, TEAM, 1_500, RATE, spread).as_secs_f64();
    // 500 are lacking already, at 1,000 a second.
    assert_eq!((after(0.0), after(0.5), after(1.0)), (2.0, 3.0, 4.0));
}

#[test]
fn a_request_behind_more_than_a_wait_yields_is_refused_at_once_and_the_next_one_asks_again() {
    let begin = Instant::now();
    let mut pools = QuotaPools::new(begin);
    pools.add_grant(begin, &reply(0, 0));
    assert_eq!(pools.charge(begin + ms(50), TEAM, 10), QuotaVerdict::UsedUp);
    let verdict = pools.charge(begin + ms(100), TEAM, 10);
    assert!(matches!(verdict, QuotaVerdict::Waits(_)), "{verdict:?}");
}

#[test]
fn a_request_that_never_fits_does_not_have_others_refused() {
    let begin = Instant::now();
    let mut issuer = issuer(begin, 2, 2);
    let replies = grant(&mut issuer, begin + ms(4_100), 2, &[(1, ask(0, &[1_000_000]))]);
    assert_eq!(replies[0].1.level, 1_000);
}

#[test]
fn a_request_isnt_refused_because_credit_lapses_while_it_waits() {
    let begin = Instant::now();
    let mut pools = QuotaPools::new(begin);
    assert!(matches!(pools.charge(begin, TEAM, 100), QuotaVerdict::Waits(_)));
    let granted =
        QuotaGrant { team: TEAM, tokens: 400, stamp_ms: 0, level: 500, fill_per_s: 1_000.0 };
    pools.add_grant(begin, &granted);
    assert_eq!(pools.take_served(begin, TEAM).len(), 1);
    // The remaining 300 lapse 100 ms after this request has come, which may wait for 150 ms.
    let now = begin + ms(400);
    assert!(matches!(pools.charge(now, TEAM, 350), QuotaVerdict::Waits(_)));
    let asks = pools.next_asks(now);
    assert_eq!(asks.iter().map(|ask| (ask.held, ask.waiting.clone())).next(), Some((0, vec![350])));
}
