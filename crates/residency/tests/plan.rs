//! The placement decision alone: named loads, and what their callers get.

use {
    glade_residency::{EngineInput, ModelInput, Move, PlanInput, plan},
    glade_types::ModelName,
    std::time::Duration,
};

const SIZE_MB: f64 = 70.0;
const ROOM_MB: f64 = 211.0;

fn need(position: usize, load: f64) -> ModelInput {
    ModelInput {
        model: ModelName::new(&format!("m{position}")),
        size_mb: SIZE_MB,
        load,
        in_flight: 0.0,
        uncovered: Duration::ZERO,
        asked_for: load > 0.0,
        prior: position as u32,
    }
}

fn engine(holds: &[usize], at_hand: &[usize]) -> EngineInput {
    EngineInput {
        data_centre: 0,
        capacity_mb: ROOM_MB,
        free_for_order: true,
        holds: holds.to_vec(),
        fresh: Vec::new(),
        at_hand: at_hand.iter().chain(holds).copied().collect(),
    }
}

fn input(models: Vec<ModelInput>, engines: Vec<EngineInput>) -> PlanInput {
    PlanInput { models, engines, store_loads: 3, settle_time: Duration::from_secs(3) }
}

/// Copies of each model after `moves`.
fn copies(input: &PlanInput, moves: &[Move]) -> Vec<usize> {
    let mut copies = vec![0; input.models.len()];
    for held in input.engines.iter().flat_map(|engine| &engine.holds) {
        copies[*held] += 1;
    }
    for found in moves {
        copies[found.load] += 1;
        found.drop.iter().for_each(|dropped| copies[*dropped] -= 1);
    }
    copies
}

#[test]
fn demand_that_moves_takes_the_place_of_copies_that_fell_silent() {
    // m0 had all requests and has none now; m1 has them.
    let models = vec![need(0, 0.0), need(1, 3.0)];
    let mut engines: Vec<EngineInput> = (0..6).map(|_| engine(&[0], &[1])).collect();
    engines[5].holds = vec![1];
    let input = input(models, engines);
    let moves = plan(&input);
    assert!(copies(&input, &moves)[1] >= 5, "{moves:?}");
    assert!(moves.iter().all(|found| !found.from_store), "copies at hand go first: {moves:?}");
}

/// trouble-3 at Jef-Jel: copies of the busiest model were dropped for models without one, over and
/// over.
#[test]
fn a_crowded_model_keeps_its_copies_while_rare_ones_wait() {
    let mut models = vec![need(0, 3.0)];
    models.extend((1..8).map(|position| need(position, 0.02)));
    // Three engines of three places, seven rare models, four of them without a copy.
    let engines = vec![engine(&[0, 1, 2], &[4, 5]), engine(&[0, 3], &[6]), engine(&[0], &[7])];
    let input = input(models, engines);
    let moves = plan(&input);
    assert!(copies(&input, &moves)[0] >= 3, "{moves:?}");
    assert!(!moves.is_empty(), "free places are used");
}

#[test]
fn a_rare_model_gets_its_turn_by_waiting() {
    let busy = || (0..3).map(|position| need(position, 0.2));
    let engines = || vec![engine(&[0, 1, 2], &[3]), engine(&[0, 1, 2], &[3])];
    let mut models: Vec<ModelInput> = busy().collect();
    models.push(ModelInput { uncovered: Duration::from_secs(1), ..need(3, 0.01) });
    let input = input(models, engines());
    let moves = plan(&input);
    assert_eq!(moves.first().map(|found| found.load), Some(3), "{moves:?}");
}

#[test]
fn every_model_that_is_asked_for_goes_before_second_copies() {
    let models = vec![need(0, 0.1), need(1, 0.1), need(2, 0.1)];
    let input = input(models, vec![engine(&[0, 1], &[]), engine(&[0, 1], &[])]);
    let moves = plan(&input);
    assert_eq!(moves[0].load, 2, "{moves:?}");
}

#[test]
fn models_that_nobody_asks_for_wait_until_the_registry_has_settled() {
    let fresh = ModelInput { uncovered: Duration::from_secs(1), ..need(1, 0.0) };
    let settled = ModelInput { uncovered: Duration::from_secs(4), ..need(1, 0.0) };
    let engines = || vec![engine(&[0, 0, 0], &[1])];
    let moves = plan(&input(vec![need(0, 0.0), fresh], engines()));
    assert!(moves.is_empty(), "{moves:?}");
    let moves = plan(&input(vec![need(0, 0.0), settled], engines()));
    assert_eq!(moves.len(), 1, "{moves:?}");
}

#[test]
fn without_loads_from_the_store_only_copies_at_hand_are_used() {
    let models = vec![need(0, 0.0), need(1, 2.0)];
    let engines = vec![engine(&[0], &[]), engine(&[0], &[1]), engine(&[1], &[])];
    let mut input = input(models, engines);
    input.store_loads = 0;
    let moves = plan(&input);
    assert_eq!(moves.iter().map(|found| found.engine).collect::<Vec<_>>(), [1], "{moves:?}");
}

#[test]
fn what_was_loaded_lately_stays() {
    let models = vec![need(0, 0.0), need(1, 3.0)];
    let mut site = engine(&[0], &[1]);
    site.capacity_mb = SIZE_MB;
    site.fresh = vec![0];
    let full = EngineInput { capacity_mb: SIZE_MB, ..engine(&[1], &[]) };
    let moves = plan(&input(models, vec![site, full]));
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn a_victim_with_running_requests_is_spared_if_another_has_none() {
    let running = ModelInput { in_flight: 20.0, ..need(0, 0.0) };
    let models = vec![running, need(1, 0.0), need(2, 3.0)];
    let holds = vec![
        EngineInput { capacity_mb: 2.0 * SIZE_MB, ..engine(&[0, 1], &[2]) },
        EngineInput { capacity_mb: 2.0 * SIZE_MB, ..engine(&[0, 1], &[2]) },
        EngineInput { capacity_mb: SIZE_MB, ..engine(&[2], &[]) },
    ];
    let moves = plan(&input(models, holds));
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|found| found.drop == [1]), "{moves:?}");
}

/// Load: a model that is asked for from everywhere has one copy; several engines are as idle.
#[test]
fn a_second_copy_goes_to_another_data_centre() {
    let there = |place, holds: &[usize]| EngineInput { data_centre: place, ..engine(holds, &[]) };
    let input = PlanInput {
        models: vec![need(0, 1.5)],
        engines: vec![there(0, &[]), there(0, &[0]), there(1, &[])],
        store_loads: 4,
        settle_time: Duration::ZERO,
    };
    let moves = plan(&input);
    assert_eq!(moves.first().map(|found| found.engine), Some(2), "{moves:?}");
}
