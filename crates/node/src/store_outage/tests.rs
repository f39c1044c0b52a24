//! Which answers and failures show that the store was away from all nodes.

use super::*;

const SHORTEST: Duration = Duration::from_millis(1200);

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn status(answered_ms: Option<u64>, failed_ms: Option<u64>) -> StoreStatus {
    let age = |ms: Option<u64>| ms.map(Duration::from_millis);
    StoreStatus { answered: age(answered_ms), failed: age(failed_ms) }
}

/// The store has answered until `start`, when calls began to fail.
fn failing(start: Instant) -> StoreOutage {
    let mut outage = StoreOutage::new(SHORTEST);
    outage.on_answer(start - Duration::from_secs(20));
    outage.on_answer(start);
    outage.on_failure(after(start, 500));
    outage
}

#[test]
fn servers_may_be_hidden_while_the_store_is_away_and_shortly_after() {
    let start = Instant::now();
    let mut outage = failing(start);
    assert!(!outage.may_hide_servers(after(start, 1100)), "too short");
    assert!(outage.may_hide_servers(after(start, 1300)));
    outage.on_answer(after(start, 4000));
    assert!(outage.may_hide_servers(after(start, 5400)));
    assert!(!outage.may_hide_servers(after(start, 5600)));
}

#[test]
fn an_answer_to_another_node_shows_that_there_was_no_outage() {
    let start = Instant::now();
    let mut outage = failing(start);
    for ms in [1000, 1900, 2800] {
        outage.on_peer_status(after(start, ms), status(Some(100), None));
        outage.on_failure(after(start, ms));
    }
    outage.on_answer(after(start, 3000));
    assert!(!outage.may_hide_servers(after(start, 3000)));
    assert!(outage.rules_out_hidden_servers(after(start, 3000), Duration::from_secs(1)));
}

#[test]
fn an_old_failure_is_no_sign_of_an_outage() {
    let start = Instant::now();
    let mut outage = failing(start);
    outage.on_peer_status(after(start, 1000), status(Some(0), Some(500)));
    outage.on_answer(after(start, 25_000));
    assert!(!outage.may_hide_servers(after(start, 25_000)), "nothing failed in between");
}

#[test]
fn failures_of_other_nodes_show_an_outage_too() {
    let start = Instant::now();
    let mut outage = StoreOutage::new(SHORTEST);
    outage.on_answer(start);
    outage.on_peer_status(after(start, 2000), status(Some(2000), Some(100)));
    outage.on_answer(after(start, 2500));
    assert!(outage.may_hide_servers(after(start, 2500)));
}

#[test]
fn a_node_that_has_just_started_rules_nothing_out() {
    let start = Instant::now();
    let mut outage = StoreOutage::new(SHORTEST);
    assert!(!outage.rules_out_hidden_servers(start, Duration::ZERO));
    outage.on_answer(start);
    assert!(!outage.rules_out_hidden_servers(after(start, 1000), Duration::ZERO));
    assert!(outage.rules_out_hidden_servers(after(start, 2000), Duration::ZERO));
}

#[test]
fn servers_may_be_hidden_after_a_backup_was_restored() {
    let start = Instant::now();
    let mut outage = StoreOutage::new(SHORTEST);
    outage.on_answer(start);
    outage.on_restore(after(start, 5000));
    assert!(outage.may_hide_servers(after(start, 6000)));
    assert!(!outage.rules_out_hidden_servers(after(start, 6000), Duration::ZERO));
    assert!(!outage.may_hide_servers(after(start, 7000)));
}
