//! The placement decision by itself: which model loads and evictions follow from a given input.

use {
    glade_residency::{EngineInput, ModelInput, Move, PlanInput, plan},
    glade_types::ModelName,
    std::time::Duration,
};

const SIZE_MB: f64 = 70.0;
const CAPACITY_MB: f64 = 211.0;

fn model_input(position: usize, load: f64) -> ModelInput {
    ModelInput {
        model: ModelName::new(&format!("m{position}")),
        size_mb: SIZE_MB,
        load,
        in_flight: 0.0,
        time_without_copy: Duration::ZERO,
        requested: load > 0.0,
        rank: position as u32,
    }
}

fn engine(models: &[usize], local_weights: &[usize]) -> EngineInput {
    EngineInput {
        data_centre: 0,
        capacity_mb: CAPACITY_MB,
        accepts_orders: true,
        models: models.to_vec(),
        recently_loaded: Vec::new(),
        local_weights: local_weights.iter().chain(models).copied().collect(),
    }
}

fn input(models: Vec<ModelInput>, engines: Vec<EngineInput>) -> PlanInput {
    PlanInput { models, engines, store_loads_available: 3, settle_time: Duration::from_secs(3) }
}

/// Number of copies of each model after `moves`.
fn copies(input: &PlanInput, moves: &[Move]) -> Vec<usize> {
    let mut copies = vec![0; input.models.len()];
    for model in input.engines.iter().flat_map(|engine| &engine.models) {
        copies[*model] += 1;
    }
    for next_move in moves {
        copies[next_move.load] += 1;
        next_move.evict.iter().for_each(|evicted| copies[*evicted] -= 1);
    }
    copies
}

#[test]
fn copies_of_idle_models_are_evicted_for_a_model_with_demand() {
    // Demand has shifted: m0 used to receive all requests and has none now; m1 receives them.
    let models = vec![model_input(0, 0.0), model_input(1, 3.0)];
    let mut engines: Vec<EngineInput> = (0..6).map(|_| engine(&[0], &[1])).collect();
    engines[5].models = vec![1];
    let input = input(models, engines);
    let moves = plan(&input);
    assert!(copies(&input, &moves)[1] >= 5, "{moves:?}");
    assert!(
        moves.iter().all(|next_move| !next_move.from_store),
        "local weights are loaded first: {moves:?}"
    );
}

/// Copies of the busiest model used to be evicted again and again for models without a copy.
#[test]
fn an_overloaded_model_keeps_its_copies_while_rarely_requested_models_have_none() {
    let mut models = vec![model_input(0, 3.0)];
    models.extend((1..8).map(|position| model_input(position, 0.02)));
    // Three engines with memory for three models each, and seven rarely requested models, four of
    // them without a copy.
    let engines = vec![engine(&[0, 1, 2], &[4, 5]), engine(&[0, 3], &[6]), engine(&[0], &[7])];
    let input = input(models, engines);
    let moves = plan(&input);
    assert!(copies(&input, &moves)[0] >= 3, "{moves:?}");
    assert!(!moves.is_empty(), "free memory is used");
}

#[test]
fn a_rarely_requested_model_is_loaded_once_it_has_waited() {
    let busy = || (0..3).map(|position| model_input(position, 0.2));
    let engines = || vec![engine(&[0, 1, 2], &[3]), engine(&[0, 1, 2], &[3])];
    let mut models: Vec<ModelInput> = busy().collect();
    models.push(ModelInput { time_without_copy: Duration::from_secs(1), ..model_input(3, 0.01) });
    let input = input(models, engines());
    let moves = plan(&input);
    assert_eq!(moves.first().map(|next_move| next_move.load), Some(3), "{moves:?}");
}

#[test]
fn requested_models_without_a_copy_come_before_second_copies() {
    let models = vec![model_input(0, 0.1), model_input(1, 0.1), model_input(2, 0.1)];
    let input = input(models, vec![engine(&[0, 1], &[]), engine(&[0, 1], &[])]);
    let moves = plan(&input);
    assert_eq!(moves[0].load, 2, "{moves:?}");
}

#[test]
fn unrequested_models_are_loaded_only_after_the_settle_time() {
    let unsettled = ModelInput { time_without_copy: Duration::from_secs(1), ..model_input(1, 0.0) };
    let settled = ModelInput { time_without_copy: Duration::from_secs(4), ..model_input(1, 0.0) };
    let engines = || vec![engine(&[0, 0, 0], &[1])];
    let moves = plan(&input(vec![model_input(0, 0.0), unsettled], engines()));
    assert!(moves.is_empty(), "{moves:?}");
    let moves = plan(&input(vec![model_input(0, 0.0), settled], engines()));
    assert_eq!(moves.len(), 1, "{moves:?}");
}

#[test]
fn without_store_loads_only_local_weights_are_loaded() {
    let models = vec![model_input(0, 0.0), model_input(1, 2.0)];
    let engines = vec![engine(&[0], &[]), engine(&[0], &[1]), engine(&[1], &[])];
    let mut input = input(models, engines);
    input.store_loads_available = 0;
    let moves = plan(&input);
    assert_eq!(
        moves.iter().map(|next_move| next_move.engine).collect::<Vec<_>>(),
        [1],
        "{moves:?}"
    );
}

#[test]
fn recently_loaded_models_are_not_evicted() {
    let models = vec![model_input(0, 0.0), model_input(1, 3.0)];
    let mut with_recent_load = engine(&[0], &[1]);
    with_recent_load.capacity_mb = SIZE_MB;
    with_recent_load.recently_loaded = vec![0];
    let full = EngineInput { capacity_mb: SIZE_MB, ..engine(&[1], &[]) };
    let moves = plan(&input(models, vec![with_recent_load, full]));
    assert!(moves.is_empty(), "{moves:?}");
}

#[test]
fn a_model_with_running_requests_is_not_evicted_if_another_has_none() {
    let running = ModelInput { in_flight: 20.0, ..model_input(0, 0.0) };
    let models = vec![running, model_input(1, 0.0), model_input(2, 3.0)];
    let engines = vec![
        EngineInput { capacity_mb: 2.0 * SIZE_MB, ..engine(&[0, 1], &[2]) },
        EngineInput { capacity_mb: 2.0 * SIZE_MB, ..engine(&[0, 1], &[2]) },
        EngineInput { capacity_mb: SIZE_MB, ..engine(&[2], &[]) },
    ];
    let moves = plan(&input(models, engines));
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|next_move| next_move.evict == [1]), "{moves:?}");
}

/// A model that is requested from all data centres has one copy, and several engines are equally
/// idle.
#[test]
fn a_second_copy_goes_to_another_data_centre() {
    let in_data_centre =
        |data_centre, models: &[usize]| EngineInput { data_centre, ..engine(models, &[]) };
    let input = PlanInput {
        models: vec![model_input(0, 1.5)],
        engines: vec![in_data_centre(0, &[]), in_data_centre(0, &[0]), in_data_centre(1, &[])],
        store_loads_available: 4,
        settle_time: Duration::ZERO,
    };
    let moves = plan(&input);
    assert_eq!(moves.first().map(|next_move| next_move.engine), Some(2), "{moves:?}");
}
