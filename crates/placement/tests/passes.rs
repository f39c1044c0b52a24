//! Placement passes over small groups, through the public interface.

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
    let mut ledger = Ledger::from_first_report(&BackendId::new(name), true, &report);
    for (model, memory_bytes, base) in resident {
        let base = base.map(ModelName::new);
        let order = ledger
            .begin_load(&ModelName::new(model), *memory_bytes, base.as_ref())
            .expect("the fixture fits");
        ledger.record_outcome(&order, OrderOutcome::Done);
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
fn every_required_model_gets_one_residence_before_any_gets_two() {
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
fn surplus_copies_are_unloaded_for_other_rows_but_only_residences_are_not() {
    let table = table(&[("a", "", 60), ("b", "", 60)]);
    let single = [ledger("e1", 100, &[("a", 60, None)])];
    assert_eq!(plan(&input(&table, &single)), []);
    let surplus = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[("a", 60, None)])];
    assert_eq!(plan(&input(&table, &surplus)), [unload("e1", "a")]);
}

#[test]
fn rows_that_left_the_table_are_unloaded_adapters_first() {
    let table = table(&[("z", "", 1)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None), ("a-1", 5, Some("a"))])];
    let moves = plan(&input(&table, &ledgers));
    assert_eq!(moves, [unload("e1", "a-1"), unload("e1", "a"), load("e1", "z")]);
}

#[test]
fn a_copy_is_loaded_only_if_it_is_worth_its_cost() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[])];
    let mut overloaded = input(&table, &ledgers);
    overloaded.engines[0].utilization = 1.5;
    let demand = ModelDemand { in_flight: 6.0, missed_per_s: 0.0 };
    overloaded.demand.insert(ModelName::new("a"), demand);
    assert_eq!(plan(&overloaded), [load("e2", "a")]);
    overloaded.policy.move_weight = 1000.0;
    assert_eq!(plan(&overloaded), []);
}

/// Regression test: requests of patient priority wait at the entries, so their engine looked idle
/// and the model got no copy.
#[test]
fn demand_that_waits_at_the_entries_justifies_a_copy_too() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[])];
    let mut waiting = input(&table, &ledgers);
    waiting.engines[0].utilization = 0.4;
    let demand = ModelDemand { in_flight: 30.0, missed_per_s: 0.0 };
    waiting.demand.insert(ModelName::new("a"), demand);
    assert_eq!(plan(&waiting), [load("e2", "a")]);
}

/// Regression test: a group without the model never loaded a copy to relieve the only group that
/// held it.
#[test]
fn an_overloaded_residence_in_another_group_justifies_a_copy_in_this_one() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[])];
    let name = ModelName::new("a");
    let mut input_with_external = input(&table, &ledgers);
    input_with_external.required.clear();
    input_with_external
        .external
        .insert(&name, ExternalResidences { count: 1, least_utilization: 0.4 });
    input_with_external
        .demand
        .insert(name.clone(), ModelDemand { in_flight: 2.0, missed_per_s: 0.0 });
    assert_eq!(plan(&input_with_external), []);
    input_with_external
        .demand
        .insert(name.clone(), ModelDemand { in_flight: 30.0, missed_per_s: 0.0 });
    assert_eq!(plan(&input_with_external), [load("e1", "a")]);
}

#[test]
fn copies_are_evicted_for_a_row_without_residence_and_for_a_far_more_overloaded_one() {
    let table = table(&[("a", "", 60), ("b", "", 60), ("c", "", 60)]);
    let with_copies = [
        ledger("e1", 100, &[("a", 60, None)]),
        ledger("e2", 100, &[("a", 60, None)]),
        ledger("e3", 100, &[("b", 60, None)]),
    ];
    let demand = |in_flight| ModelDemand { in_flight, missed_per_s: 0.0 };
    let mut without_residence = input(&table, &with_copies);
    without_residence.demand.insert(ModelName::new("a"), demand(50.0));
    assert_eq!(plan(&without_residence), [unload("e1", "a")], "c has no residence at all");

    for (demand_of_a, is_evicted) in [(3.0, true), (30.0, false)] {
        let mut overloaded = input(&table, &with_copies);
        overloaded.required.clear();
        overloaded.demand.insert(ModelName::new("a"), demand(demand_of_a));
        overloaded.demand.insert(ModelName::new("b"), demand(40.0));
        let expected = if is_evicted { vec![unload("e1", "a")] } else { vec![] };
        assert_eq!(plan(&overloaded), expected, "a has {demand_of_a} requests in flight");
    }
}

#[test]
fn an_unusable_engine_has_no_usable_residences_and_receives_no_loads() {
    let table = table(&[("a", "", 60)]);
    let ledgers = [ledger("e1", 100, &[("a", 60, None)]), ledger("e2", 100, &[])];
    let mut with_unusable = input(&table, &ledgers);
    with_unusable.engines[0].usable = false;
    assert_eq!(plan(&with_unusable), [load("e2", "a")]);
}

/// Regression test: the only engine with the base was full, so the adapter never got a residence.
#[test]
fn an_adapter_whose_base_is_on_a_full_engine_gets_a_copy_of_the_base_elsewhere() {
    let table = table(&[("a", "", 60), ("b", "", 38), ("a-1", "a", 5)]);
    let full = [ledger("e1", 100, &[("a", 60, None), ("b", 38, None)]), ledger("e2", 100, &[])];
    assert_eq!(plan(&input(&table, &full)), [load("e2", "a")]);
    let with_copies = [
        ledger("e1", 100, &[("a", 60, None), ("b", 38, None)]),
        ledger("e2", 100, &[("a", 60, None)]),
    ];
    assert_eq!(plan(&input(&table, &with_copies)), [load("e2", "a-1")]);
}

/// Regression test: nothing on the engine with the base was surplus, and the base fitted nowhere
/// else.
#[test]
fn an_adapter_is_relocated_to_make_room_for_another() {
    let table =
        table(&[("a", "", 40), ("b", "", 50), ("a-1", "a", 10), ("b-1", "b", 10), ("c", "", 35)]);
    let full = ledger("e1", 100, &[("a", 40, None), ("b", 50, None), ("a-1", 10, Some("a"))]);
    let mut groups = vec![full.clone(), ledger("e2", 100, &[("c", 35, None), ("x", 15, None)])];
    let relocation_moves = |table: &Table, ledgers: &[Ledger]| -> Vec<Move> {
        let moves = plan(&input(table, ledgers));
        moves.into_iter().filter(|step| *step != unload("e2", "x")).collect()
    };
    assert_eq!(
        relocation_moves(&table, &groups),
        [load("e2", "a")],
        "the base of the adapter in the way"
    );
    let with_copies = [("c", 35, None), ("x", 15, None), ("a", 40, None)];
    groups[1] = ledger("e2", 100, &with_copies);
    assert_eq!(relocation_moves(&table, &groups), [load("e2", "a-1")], "then that adapter");
    let both = [with_copies[0], with_copies[1], with_copies[2], ("a-1", 10, Some("a"))];
    groups[1] = ledger("e2", 100, &both);
    assert_eq!(
        relocation_moves(&table, &groups),
        [unload("e1", "a-1")],
        "then its old copy is unloaded"
    );
}

#[test]
fn a_base_is_loaded_where_its_adapters_fit_too() {
    let table = table(&[("a", "", 40), ("a-1", "a", 30)]);
    let ledgers = [ledger("e1", 60, &[]), ledger("e2", 100, &[("z", 20, None)])];
    let moves = plan(&input(&table, &ledgers));
    assert!(moves.contains(&load("e2", "a")), "{moves:?}");
}

#[test]
fn a_model_is_loaded_elsewhere_before_it_is_unloaded_for_another() {
    let table = table(&[("big", "", 90), ("small", "", 30)]);
    let ledgers = [ledger("e1", 100, &[("small", 30, None)]), ledger("e2", 40, &[])];
    assert_eq!(plan(&input(&table, &ledgers)), [load("e2", "small")]);
    let with_copies =
        [ledger("e1", 100, &[("small", 30, None)]), ledger("e2", 40, &[("small", 30, None)])];
    assert_eq!(plan(&input(&table, &with_copies)), [unload("e1", "small")]);
}
