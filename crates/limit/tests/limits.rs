//! What nodes know of the limits that servers name, whatever the order in which they learn it.

use {
    fastrand::Rng,
    glade_limit::{KnownLimit, LimitChange, LimitTable, LimitUpdate, NamedLimit, StatedLimit},
    std::time::{Duration, Instant},
};

const SERVER: u32 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(limit: Option<NamedLimit>) -> Option<f64> {
    limit.map(|limit| limit.per_second)
}

#[test]
fn an_answer_to_an_older_send_does_not_end_a_limit() {
    let begin = Instant::now();
    let mut known = KnownLimit::default();
    let named = known.record(begin + ms(100), begin + ms(50), StatedLimit::PerSecond(2.0));
    assert_eq!(named, Some(LimitChange::Named));
    assert_eq!(known.record(begin + ms(900), begin + ms(99), StatedLimit::None), None);
    assert_eq!(rate(known.get()), Some(2.0));
    let ended = known.record(begin + ms(950), begin + ms(101), StatedLimit::None);
    assert_eq!(ended, Some(LimitChange::Ended { before: 2.0 }));
    assert_eq!(known.get(), None);
}

#[test]
fn an_unreadable_limit_changes_nothing_and_is_reported_once_a_minute() {
    let begin = Instant::now();
    let mut known = KnownLimit::default();
    let unreadable = Some(LimitChange::Unreadable);
    assert_eq!(known.record(begin, begin, StatedLimit::Unreadable), unreadable);
    assert_eq!(known.get(), None);
    known.record(begin + ms(1), begin, StatedLimit::PerSecond(0.0));
    for second in 1..60 {
        let now = begin + Duration::from_secs(second) - ms(1);
        assert_eq!(known.record(now, now, StatedLimit::Unreadable), None);
    }
    assert_eq!(rate(known.get()), Some(0.0));
    let now = begin + Duration::from_secs(60);
    assert_eq!(known.record(now, now, StatedLimit::Unreadable), unreadable);
}

#[test]
fn a_view_without_a_limit_that_was_just_named_does_not_end_it() {
    let begin = Instant::now();
    let mut known = KnownLimit::default();
    known.record(begin, begin, StatedLimit::PerSecond(2.0));
    known.apply_view(begin + ms(30), None);
    assert_eq!(rate(known.get()), Some(2.0));
    known.apply_view(begin + ms(1_200), None);
    assert_eq!(known.get(), None);
}

#[test]
fn a_view_with_a_limit_that_has_just_ended_does_not_bring_it_back() {
    let begin = Instant::now();
    let mut known = KnownLimit::default();
    let view = NamedLimit { per_second: 2.0, named_at: begin, began_at: begin };
    known.apply_view(begin, Some(view));
    known.record(begin + ms(50), begin + ms(10), StatedLimit::None);
    known.apply_view(begin + ms(60), Some(view));
    assert_eq!(known.get(), None);
    let later = NamedLimit { per_second: 3.0, named_at: begin + ms(70), began_at: begin };
    known.apply_view(begin + ms(80), Some(later));
    assert_eq!(rate(known.get()), Some(3.0));
}

/// Several nodes learn of a server's limit, tell each other in any order, some of it twice or late, and agree in the
/// end.
#[test]
fn nodes_agree_whatever_the_order_in_which_they_hear_each_other() {
    for seed in 0..500 {
        let mut rng = Rng::with_seed(seed);
        let begin = Instant::now();
        let mut tables = vec![LimitTable::default(); 4];
        let mut messages: Vec<Vec<LimitUpdate>> = Vec::new();
        let mut now = begin + ms(1_000);
        for _ in 0..40 {
            now += ms(rng.u64(1..300));
            let table = &mut tables[rng.usize(..4)];
            match rng.u8(..4) {
                0 => {
                    table.on_named(now, SERVER, f64::from(rng.u8(..3)));
                }
                1 => {
                    table.on_unnamed(now, SERVER, now - ms(rng.u64(0..200)));
                }
                _ if messages.is_empty() => {}
                _ => messages[rng.usize(..messages.len())].iter().for_each(|update| {
                    table.merge(now, update);
                }),
            }
            messages.push(tables[rng.usize(..4)].updates(now));
        }
        // The network is quiet now: all tell all the others what they know.
        for _ in 0..6 {
            now += ms(1_000);
            let updates: Vec<_> = tables.iter().map(|table| table.updates(now)).collect();
            for table in &mut tables {
                updates.iter().flatten().for_each(|update| {
                    table.merge(now, update);
                });
            }
        }
        let rates: Vec<_> = tables.iter().map(|table| rate(table.get(SERVER))).collect();
        assert!(rates.iter().all(|rate| *rate == rates[0]), "seed {seed}: {rates:?}");
    }
}

#[test]
fn an_end_does_not_hold_against_an_answer_that_its_finder_had_not_heard_of() {
    let begin = Instant::now();
    let (mut one, mut other) = (LimitTable::default(), LimitTable::default());
    one.on_named(begin, SERVER, 2.0);
    other.merge(begin, &one.updates(begin)[0]);
    // One node is told the limit again after the request was sent whose answer ends it at the other.
    let sent_at = begin + ms(600);
    one.on_named(begin + ms(700), SERVER, 2.0);
    assert!(other.on_unnamed(begin + ms(710), SERVER, sent_at));
    assert!(one.merge(begin + ms(720), &other.updates(begin + ms(720))[0]));
    assert!(other.merge(begin + ms(740), &one.updates(begin + ms(740))[0]));
    assert_eq!((rate(one.get(SERVER)), rate(other.get(SERVER))), (Some(2.0), Some(2.0)));
}

#[test]
fn an_ended_limit_is_recorded_until_no_node_can_bring_it_back() {
    let begin = Instant::now();
    let mut table = LimitTable::default();
    table.on_named(begin, SERVER, 2.0);
    table.on_unnamed(begin + ms(20), SERVER, begin + ms(10));
    table.sweep(begin + ms(1000), |_| true);
    assert!(table.contains(SERVER) && table.get(SERVER).is_none());
    table.sweep(begin + ms(61_000), |_| true);
    assert!(!table.contains(SERVER));
}

#[test]
fn nodes_agree_on_when_a_server_began_to_name_limits() {
    let begin = Instant::now();
    let (mut finder, mut other) = (LimitTable::default(), LimitTable::default());
    finder.on_named(begin, SERVER, 2.0);
    for delay in [40, 5, 90] {
        let update = finder.updates(begin + ms(delay));
        finder.on_named(begin + ms(delay), SERVER, 2.0 + delay as f64);
        other.merge(begin + ms(2 * delay), &update[0]);
    }
    let began_at = |table: &LimitTable| table.get(SERVER).map(|limit| limit.began_at);
    assert_eq!(began_at(&finder), Some(begin));
    assert_eq!(began_at(&other), Some(begin + ms(5)));
}

#[test]
fn entries_that_no_node_can_have_written_change_nothing() {
    let now = Instant::now();
    let mut table = LimitTable::default();
    let update = |per_second, generation| LimitUpdate {
        server: SERVER,
        per_second,
        generation,
        named_before_ms: u32::MAX,
        began_before_ms: u32::MAX,
        ended_before_ms: None,
    };
    for odd in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(!table.merge(now, &update(odd, 1)));
    }
    assert!(!table.merge(now, &update(1.0, u32::MAX)));
    assert!(table.is_empty());
}

#[test]
fn the_table_is_bounded_and_forgets_servers_that_are_gone() {
    let now = Instant::now();
    let mut table = LimitTable::default();
    (0..10_000).for_each(|server| {
        table.on_named(now, server, 1.0);
    });
    assert_eq!(table.in_force().count(), 2_048);
    table.sweep(now + Duration::from_secs(601), |_| false);
    assert!(table.is_empty());
}
