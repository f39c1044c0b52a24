//! Duration of a placement pass at the deployment sizes of docs/CAPACITY.md.
#![allow(missing_docs)]

use {
    criterion::{Criterion, criterion_group, criterion_main},
    glade_residency::{EngineInput, ModelInput, PlanInput, plan},
    glade_types::ModelName,
    std::time::Duration,
};

const SIZE_MB: f64 = 70.0;
const MODELS_PER_ENGINE: usize = 3;

/// Models with uneven demand, on engines without free memory.
fn input(engines: usize, models: usize) -> PlanInput {
    let model_input = |position: usize| ModelInput {
        model: ModelName::new(&format!("m{position}")),
        size_mb: SIZE_MB,
        load: 8.0 / (position + 1) as f64,
        in_flight: 4.0,
        time_without_copy: Duration::ZERO,
        requested: true,
        rank: position as u32,
    };
    let engine_input = |position: usize| {
        let models =
            (0..MODELS_PER_ENGINE).map(|nth| (position * MODELS_PER_ENGINE + nth) % models);
        EngineInput {
            data_centre: position % 5,
            capacity_mb: SIZE_MB * MODELS_PER_ENGINE as f64,
            accepts_orders: true,
            models: models.clone().collect(),
            recently_loaded: Vec::new(),
            local_weights: models.collect(),
        }
    };
    PlanInput {
        models: (0..models).map(model_input).collect(),
        engines: (0..engines).map(engine_input).collect(),
        store_loads_available: 20,
        settle_time: Duration::from_secs(3),
    }
}

fn placement_pass(c: &mut Criterion) {
    for (engines, models) in [(12, 21), (160, 347), (880, 760)] {
        let input = input(engines, models);
        let name = format!("placement pass, {engines} engines, {models} models");
        c.bench_function(&name, |b| b.iter(|| plan(&input)));
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(3));
    targets = placement_pass
}
criterion_main!(benches);
