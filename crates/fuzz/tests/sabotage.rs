//! With a guard removed, the oracle of its world has to notice. Built only with the `sabotage`
//! feature; each test removes the guard of another crate, so they don't disturb one another.
#![cfg(feature = "sabotage")]

use glade_fuzz::{CallWorld, PlannerWorld, TableWorld, fuzz};

#[test]
fn forgetting_loads_in_doubt_overcommits_memory() {
    glade_ledger::sabotage::remove_guard(true);
    let violation = fuzz::<PlannerWorld>(11, 20_000).violation.expect("the oracle notices");
    assert!(violation.message.contains("overcommitted"), "{}", violation.message);
}

#[test]
fn dispatching_on_an_unconfirmed_insert_runs_calls_twice() {
    glade_once::sabotage::remove_guard(true);
    let violation = fuzz::<CallWorld>(12, 50_000).violation.expect("the oracle notices");
    assert!(violation.message.contains("was executed 2 times"), "{}", violation.message);
}

#[test]
fn accepting_lower_versions_reverts_the_table() {
    glade_membership::sabotage::remove_guard(true);
    let violation = fuzz::<TableWorld>(13, 50_000).violation.expect("the oracle notices");
    assert!(violation.message.contains("back to"), "{}", violation.message);
}
