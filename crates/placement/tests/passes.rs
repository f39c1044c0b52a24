//! Placement passes over small groups, driven through the public interface.

use {
    glade_engine::{EngineReport, OrderOutcome},
    glade_ledger::Ledger,
    glade_placement::{EngineInput, ModelDemand, Move, PlacementInput, PlacementPolicy, plan},
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
        owed: table.rows().map(|row| &row.name).collect(),
        elsewhere: HashMap::new(),
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
    let demand = ModelDemand { under_way: 6.0, missed_per_s: 0.0 };
    crowded.demand.insert(ModelName::new("a"), demand);
    assert_eq!(plan(&crowded), [load("e2", "a")]);
    crowded.policy.move_weight = 1000.0;
    assert_eq!(plan(&crowded), []);
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
