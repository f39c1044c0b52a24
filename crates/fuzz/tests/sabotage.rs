//! With a guard removed, the oracle of its world has to notice. Built only with the `sabotage`
//! feature; each test removes the guard of another crate, so they don't disturb one another.
#![cfg(feature = "sabotage")]

use glade_fuzz::{CallWorld, PlannerWorld, TableWorld, fuzz_shrinking};

/// The message is what counts here, not the shortest way to it.
const SHRINK_RUNS: u32 = 20;

#[test]
fn forgetting_loads_in_doubt_overcommits_memory() {
    glade_ledger::sabotage::remove_guard(true);
    let violation = fuzz_shrinking::<PlannerWorld>(11, 20_000, SHRINK_RUNS)
        .violation
        .expect("the oracle notices");
    assert!(violation.message.contains("overcommitted"), "{}", violation.message);
}

#[test]
fn dispatching_on_an_unconfirmed_insert_runs_calls_twice() {
    glade_once::sabotage::remove_guard(true);
    let violation =
        fuzz_shrinking::<CallWorld>(12, 50_000, SHRINK_RUNS).violation.expect("the oracle notices");
    assert!(violation.message.contains("was executed 2 times"), "{}", violation.message);
}

#[test]
fn accepting_lower_versions_reverts_the_table() {
    glade_membership::sabotage::remove_guard(true);
    let violation = fuzz_shrinking::<TableWorld>(13, 50_000, SHRINK_RUNS)
        .violation
        .expect("the oracle notices");
    assert!(violation.message.contains("back to"), "{}", violation.message);
}
