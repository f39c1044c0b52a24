//! Time of a placement pass at the sizes of docs/CAPACITY.md.
#![allow(missing_docs)]

use {
    criterion::{Criterion, criterion_group, criterion_main},
    glade_residency::{EngineInput, ModelInput, PlanInput, plan},
    glade_types::ModelName,
    std::time::Duration,
};

const SIZE_MB: f64 = 70.0;
const MODELS_PER_ENGINE: usize = 3;

/// Models that are asked for unevenly, on engines that are full.
fn input(engines: usize, models: usize) -> PlanInput {
    let need = |position: usize| ModelInput {
        model: ModelName::new(&format!("m{position}")),
        size_mb: SIZE_MB,
        load: 8.0 / (position + 1) as f64,
        in_flight: 4.0,
        uncovered: Duration::ZERO,
        asked_for: true,
        prior: position as u32,
    };
    let site = |position: usize| {
        let held = (0..MODELS_PER_ENGINE).map(|nth| (position * MODELS_PER_ENGINE + nth) % models);
        EngineInput {
            data_centre: position % 5,
            capacity_mb: SIZE_MB * MODELS_PER_ENGINE as f64,
            free_for_order: true,
            holds: held.clone().collect(),
            fresh: Vec::new(),
            at_hand: held.collect(),
        }
    };
    PlanInput {
        models: (0..models).map(need).collect(),
        engines: (0..engines).map(site).collect(),
        store_loads: 20,
        settle_time: Duration::from_secs(3),
    }
}

fn passes(c: &mut Criterion) {
    for (engines, models) in [(12, 21), (160, 347), (880, 760)] {
        let input = input(engines, models);
        let name = format!("placement pass, {engines} engines, {models} models");
        c.bench_function(&name, |b| b.iter(|| plan(&input)));
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(3));
    targets = passes
}
criterion_main!(benches);
