//! The worlds under fixed seeds, as CI runs them.

use glade_fuzz::{CallWorld, PlannerOp, PlannerWorld, TableWorld, World, fuzz};

fn assert_holds<W: World>(seed: u64, steps: u64, expected_faults: &[&str]) {
    let report = fuzz::<W>(seed, steps);
    assert_eq!(report.violation, None, "seed {seed}");
    for kind in expected_faults {
        let injected = report.counts.iter().any(|(name, count)| name == *kind && count > 0);
        assert!(injected, "the run injected no fault {kind:?}");
    }
}

#[test]
fn memory_leases_and_residences_hold() {
    let faults = [
        "order lost",
        "order late by minutes",
        "order doubled",
        "order answer lost",
        "sender paused after its check",
        "planner killed",
        "planner paused",
        "engine restarted",
        "store answer lost",
        "store write late",
    ];
    assert_holds::<PlannerWorld>(11, 6_000, &faults);
}

#[test]
fn calls_run_at_most_once() {
    let faults = [
        "VM killed",
        "attempt abandoned",
        "call late",
        "connection refused",
        "service answer lost",
        "store answer lost",
        "store down",
        "store write late",
    ];
    assert_holds::<CallWorld>(12, 120_000, &faults);
}

#[test]
fn the_table_never_reverts() {
    let faults =
        ["VM killed", "edits conflicted", "peer message lost", "store answer lost", "store down"];
    assert_holds::<TableWorld>(13, 30_000, &faults);
}

/// Shrunk from seed 1: three engines leave, and `adapter-4` fits only once another adapter moves out.
#[test]
fn an_adapter_moves_out_to_make_room_for_another() {
    let mut world = PlannerWorld::new(1_002_502);
    let ops = [
        PlannerOp::Edit { base: 83 },
        PlannerOp::Leave { engine: 68, leaving: true },
        PlannerOp::Edit { base: 142 },
        PlannerOp::Leave { engine: 227, leaving: true },
        PlannerOp::Advance { ms: 500 },
        PlannerOp::Leave { engine: 202, leaving: true },
        PlannerOp::Advance { ms: 500 },
    ];
    ops.iter().for_each(|op| world.apply(op));
    world.finish();
    assert_eq!(world.violation(), None);
}

/// Shrunk from seed 11: the base of `adapter-0` sat on an engine without room for it.
#[test]
fn an_adapter_whose_base_sits_on_a_full_engine_is_covered() {
    let mut world = PlannerWorld::new(11_000_104);
    let ops = [
        PlannerOp::Edit { base: 180 },
        PlannerOp::Pause { planner: 2, ms: 12_338 },
        PlannerOp::Advance { ms: 1134 },
        PlannerOp::Edit { base: 89 },
        PlannerOp::Edit { base: 202 },
        PlannerOp::Leave { engine: 32, leaving: true },
        PlannerOp::Edit { base: 234 },
        PlannerOp::Advance { ms: 1666 },
    ];
    ops.iter().for_each(|op| world.apply(op));
    world.finish();
    assert_eq!(world.violation(), None);
}
