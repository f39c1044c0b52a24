//! Benchmark of one choice of a server, at the sizes of docs/CAPACITY.md.
#![allow(missing_docs)]

use {
    criterion::{Criterion, criterion_group, criterion_main},
    glade_catalog::{ServerKey, ServerRecord, ServerState},
    glade_dispatch::{ClusterView, Dispatcher, Load, RequestSpec, RetryLimit, ServerView},
    glade_types::{BackendId, DataCentre, ModelName, ServiceName, SoftwareVersion},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Returns the dispatcher of one of many VMs with `engines`, of which `holders` hold the requested
/// model.
fn dispatcher(engines: usize, holders: usize) -> Dispatcher {
    let server = |position: usize| ServerView {
        record: Arc::new(ServerRecord {
            key: ServerKey { id: BackendId::new(&format!("e{position}")), start_time_ms: 1 },
            service: ServiceName::new("pool"),
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: DataCentre::new("dc-1"),
            version: SoftwareVersion::new("v1"),
            slots: 16,
            state: ServerState::Ready,
            warm_up_remaining: Duration::ZERO,
            residents: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        }),
        usable: true,
        same_data_centre: position.is_multiple_of(5),
        resident_models: Arc::new(
            (position < holders).then(|| ModelName::new("m1")).into_iter().collect(),
        ),
        other_vms_load: Load {
            in_flight: 8,
            outstanding_prefill_us: 900,
            held_tokens: 9_000,
            waiting_hundredths: 0,
        },
        limit: None,
    };
    let view = ClusterView {
        catalog: None,
        catalog_is_outdated: false,
        servers: (0..engines).map(server).collect(),
        models_ready_at: HashMap::new(),
        has_coordinator: false,
        live_vms: 300,
        vm_position: 0,
        known_vms: 300,
        quarantine: Arc::default(),
    };
    let limit = RetryLimit { share: 0.2, window: Duration::from_secs(10), reserve: 600.0 };
    let mut dispatcher = Dispatcher::new(limit, 1);
    dispatcher.update_view(Instant::now(), &view);
    dispatcher
}

fn need(now: Instant) -> RequestSpec {
    RequestSpec {
        service: ServiceName::new("pool"),
        model: Some(ModelName::new("m1")),
        prompt_tokens: 800,
        output_tokens: 200,
        output_tokens_max: 500,
        tokens_per_event: 12,
        prompt_prefix_id: None,
        team: None,
        rank: 1,
        objective: Duration::from_millis(500),
        pause_limit: Some(Duration::from_millis(400)),
        arrived_at: now,
        model_load: Duration::from_millis(1200),
        model_load_min: Duration::from_millis(1200),
        first_byte_deadline: now + Duration::from_secs(3),
        seed: 7,
        is_continuation: false,
        software_version: None,
    }
}

fn choices(c: &mut Criterion) {
    let now = Instant::now();
    let need = need(now);
    for (engines, holders) in [(12, 2), (160, 4), (160, 40), (880, 147)] {
        let dispatcher = dispatcher(engines, holders);
        let name = format!("choice among {holders} of {engines} engines");
        c.bench_function(&name, |b| b.iter(|| dispatcher.decide(now, &need, &[])));
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(Duration::from_secs(3));
    targets = choices
}
criterion_main!(benches);
