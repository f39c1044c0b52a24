//! Times of the decisions that issues and docs/CAPACITY.md put bounds on.
#![allow(missing_docs)]

use {
    criterion::{Criterion, criterion_group, criterion_main},
    glade_capacity::{Sizes, decide_once, ledgers, route_table, run_placement, table},
    glade_routing::PrefixMemory,
    glade_types::ModelName,
    std::time::Duration,
};

fn routing(c: &mut Criterion) {
    let sizes = Sizes { engines: 150, ..Sizes::DATA_CENTRE };
    let prefixes = PrefixMemory::default();
    let model = ModelName::new("model-007-adapter-2");
    for holders in [4, 150] {
        let routes = route_table(sizes, holders);
        let mut rng = fastrand::Rng::with_seed(1);
        c.bench_function(&format!("decide among {holders} of 150 engines, 760 rows"), |b| {
            b.iter(|| decide_once(&routes, &model, &prefixes, &mut rng));
        });
    }
}

fn placement(c: &mut Criterion) {
    let (table, ledgers) = (table(Sizes::WHOLE), ledgers(Sizes::WHOLE));
    c.bench_function("placement pass over 880 engines and 760 rows", |b| {
        b.iter(|| run_placement(&table, &ledgers));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(5));
    targets = routing, placement
}
criterion_main!(benches);
