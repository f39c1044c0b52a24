//! Placement passes over small groups, driven through the public interface.

use {
    glade_engine::{EngineReport, OrderOutcome},
    glade_ledger::Ledger,
    glade_placement::{
        EngineInput, ExternalResidences, ModelDemand, Move, PlacementInput, PlacementPolicy, plan,
    },
    glade_table::{COLUMNS, Table, TableVersion},
    glade_types::{BackendId, Incarnation, ModelName},
    std::{collections::HashMap, time::Duration},
};

fn ledger(name: &str, capacity_bytes: u64, resident: &[(&str, u64, Option<&str>)]) -> Ledger {
    let report = EngineReport {
        incarnation: Incarnation(1),
        memory_bytes: capacity_bytes,
        accelerators: 1,
        running: 0,
        waiting: 0,
        slots: 8,
        mean_request: Duration::ZERO,
        leaving: false,
        resident: vec![],
    };
    let mut ledger = Ledger::first(&BackendId::new(name), true, &report);
    for (model, memory_bytes, base) in resident {
        let base = base.map(ModelName::new);
        let order = ledger
            .begin_load(&ModelName::new(model), *memory_bytes, base.as_ref())
            .expect("the fixture fits");
        ledger.settle(&order, OrderOutcome::Done);
    }
    ledger
}

fn table(rows: &[(&str, &str, u64)]) -> Table {
    let lines: Vec<String> = rows
        .iter()
        .map(|(name, base, memory_bytes)| {
            let kind = if base.is_empty() { "model" } else { "adapter" };
            format!("{name},{kind},{base},{memory_bytes},urgent,1,0,0,1600,26,true")
        })
        .collect();
    let text = format!("{}\n{}\n", COLUMNS.join(","), lines.join("\n"));
    Table::parse_csv(&text, TableVersion(1)).expect("valid table")
}

fn input<'a>(table: &'a Table, ledgers: &'a [Ledger]) -> PlacementInput<'a> {
    PlacementInput {
        table,
        engines: ledgers
            .iter()
            .map(|ledger| EngineInput { ledger, usable: true, utilization: 0.0, slots: 8 })
            .collect(),
        required: table.rows().map(|row| &row.name).collect(),
        external: HashMap::new(),
        demand: HashMap::new(),
        policy: PlacementPolicy::default(),
    }
}

fn load(engine: &str, model: &str) -> Move {
    Move::Load { engine: BackendId::new(engine), model: ModelName::new(model) }
}

fn unload(engine: &str, model: &str) -> Move {
    Move::Unload { engine: BackendId::new(engine), model: ModelName::new(model) }
}

#[test]
fn every_owed_model_gets_one_residence_before_any_gets_two() {
    let table = table(&[("a", "", 60), ("b", "", 40), ("c", "", 50)]);
    let ledgers = [ledger("e1", 100, &[]), ledger("e2", 100, &[])];
    let moves = plan(&input(&table, &ledgers));
    assert_eq!(moves, [load("e1", "a"), load("e2", "c"), load("e2", "b")]);
}

#[test]
fn an_adapter_waits_for_its_base_and_goes_to_the_same_engine() {
    let table = table(&[("a", "", 60), ("a-1", "a", 5)]);
    let empty = [ledger("e1", 100, &[])];
    assert_eq!(plan(&input(&table, &empty)), [load("e1", "a")]);
    let loaded = [ledger("e1", 100, &[]), ledger("e2", 100, &[("a", 60, None)])];
    assert_eq!(plan(&input(&table, &loaded)), [load("e2", "a-1")]);
}

#[test]
fn surplus_copies_make_room_but_sole_residences_never_do() {
    let table = table(&[("a", "", 60), ("b", "", 60)]);
    let sole = [ledger("e1", 100, &[("a", 60, None)])];
    assert_eq!(plan(&input(&table, &sole)), []);
    let surplus = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[("a", 60, None)])];
    assert_eq!(plan(&input(&table, &surplus)), [unload("e1", "a")]);
}

#[test]
fn unlisted_rows_leave_adapters_first() {
    let table = table(&[("z", "", 1)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None), ("a-1", 5, Some("a"))])];
    let moves = plan(&input(&table, &ledgers));
    assert_eq!(moves, [unload("e1", "a-1"), unload("e1", "a"), load("e1", "z")]);
}

#[test]
fn a_copy_must_earn_its_move() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[])];
    let mut crowded = input(&table, &ledgers);
    crowded.engines[0].utilization = 1.5;
    let demand = ModelDemand { in_flight: 6.0, missed_per_s: 0.0 };
    crowded.demand.insert(ModelName::new("a"), demand);
    assert_eq!(plan(&crowded), [load("e2", "a")]);
    crowded.policy.move_weight = 1000.0;
    assert_eq!(plan(&crowded), []);
}

/// Found by the policy bench: patient work waits at the entries, so its engine looked idle.
#[test]
fn demand_that_waits_at_the_entries_earns_a_copy_too() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[])];
    let mut waiting = input(&table, &ledgers);
    waiting.engines[0].utilization = 0.4;
    let demand = ModelDemand { in_flight: 30.0, missed_per_s: 0.0 };
    waiting.demand.insert(ModelName::new("a"), demand);
    assert_eq!(plan(&waiting), [load("e2", "a")]);
}

/// Found by the policy bench: a group without the model never relieved the only one that held it.
#[test]
fn a_crowded_residence_of_another_group_earns_a_copy_in_this_one() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[])];
    let name = ModelName::new("a");
    let mut outside = input(&table, &ledgers);
    outside.required.clear();
    outside.external.insert(&name, ExternalResidences { count: 1, least_utilization: 0.4 });
    outside.demand.insert(name.clone(), ModelDemand { in_flight: 2.0, missed_per_s: 0.0 });
    assert_eq!(plan(&outside), []);
    outside.demand.insert(name.clone(), ModelDemand { in_flight: 30.0, missed_per_s: 0.0 });
    assert_eq!(plan(&outside), [load("e1", "a")]);
}

#[test]
fn copies_give_way_to_a_row_without_residence_and_to_a_far_more_crowded_one() {
    let table = table(&[("a", "", 60), ("b", "", 60), ("c", "", 60)]);
    let copied = [
        ledger("e1", 100, &[("a", 60, None)]),
        ledger("e2", 100, &[("a", 60, None)]),
        ledger("e3", 100, &[("b", 60, None)]),
    ];
    let busy = |in_flight| ModelDemand { in_flight, missed_per_s: 0.0 };
    let mut uncovered = input(&table, &copied);
    uncovered.demand.insert(ModelName::new("a"), busy(50.0));
    assert_eq!(plan(&uncovered), [unload("e1", "a")], "c has no residence at all");

    for (demand_of_a, gives_way) in [(3.0, true), (30.0, false)] {
        let mut crowded = input(&table, &copied);
        crowded.required.clear();
        crowded.demand.insert(ModelName::new("a"), busy(demand_of_a));
        crowded.demand.insert(ModelName::new("b"), busy(40.0));
        let expected = if gives_way { vec![unload("e1", "a")] } else { vec![] };
        assert_eq!(plan(&crowded), expected, "a has {demand_of_a} requests under way");
    }
}

#[test]
fn an_unusable_engine_neither_counts_nor_receives() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[])];
    let mut lost = input(&table, &ledgers);
    lost.engines[0].usable = false;
    assert_eq!(plan(&lost), [load("e2", "a")]);
}

/// Found by fuzzing: the base's only engine was full, so its adapter never got a residence.
#[test]
fn an_adapter_whose_base_sits_on_a_full_engine_gets_the_base_elsewhere() {
    let table = table(&[("a", "", 60), ("b", "", 38), ("a-1", "a", 5)]);
    let full = [ledger("e1", 100, &[("a", 60, None), ("b", 38, None)]), ledger("e2", 100, &[])];
    assert_eq!(plan(&input(&table, &full)), [load("e2", "a")]);
    let copied = [
        ledger("e1", 100, &[("a", 60, None), ("b", 38, None)]),
        ledger("e2", 100, &[("a", 60, None)]),
    ];
    assert_eq!(plan(&input(&table, &copied)), [load("e2", "a-1")]);
}

/// Found by fuzzing: nothing on the base's engine was surplus, and the base fitted nowhere else.
#[test]
fn an_adapter_moves_out_to_make_room_for_another() {
    let table =
        table(&[("a", "", 40), ("b", "", 50), ("a-1", "a", 10), ("b-1", "b", 10), ("c", "", 35)]);
    let full = ledger("e1", 100, &[("a", 40, None), ("b", 50, None), ("a-1", 10, Some("a"))]);
    let mut groups = vec![full.clone(), ledger("e2", 100, &[("c", 35, None), ("x", 15, None)])];
    let only = |table: &Table, ledgers: &[Ledger]| -> Vec<Move> {
        let moves = plan(&input(table, ledgers));
        moves.into_iter().filter(|step| *step != unload("e2", "x")).collect()
    };
    assert_eq!(only(&table, &groups), [load("e2", "a")], "the base of the adapter in the way");
    let copied = [("c", 35, None), ("x", 15, None), ("a", 40, None)];
    groups[1] = ledger("e2", 100, &copied);
    assert_eq!(only(&table, &groups), [load("e2", "a-1")], "then that adapter");
    let both = [copied[0], copied[1], copied[2], ("a-1", 10, Some("a"))];
    groups[1] = ledger("e2", 100, &both);
    assert_eq!(only(&table, &groups), [unload("e1", "a-1")], "then its old place is free");
}

#[test]
fn a_base_goes_where_its_adapters_fit_too() {
    let table = table(&[("a", "", 40), ("a-1", "a", 30)]);
    let ledgers = [ledger("e1", 60, &[]), ledger("e2", 100, &[("z", 20, None)])];
    let moves = plan(&input(&table, &ledgers));
    assert!(moves.contains(&load("e2", "a")), "{moves:?}");
}

#[test]
fn a_model_in_the_way_is_copied_elsewhere_before_it_is_unloaded() {
    let table = table(&[("big", "", 90), ("small", "", 30)]);
    let ledgers = [ledger("e1", 100, &[("small", 30, None)]), ledger("e2", 40, &[])];
    assert_eq!(plan(&input(&table, &ledgers)), [load("e2", "small")]);
    let copied =
        [ledger("e1", 100, &[("small", 30, None)]), ledger("e2", 40, &[("small", 30, None)])];
    assert_eq!(plan(&input(&table, &copied)), [unload("e1", "small")]);
}
