//! What leaves are told of engines, and what they read of it.

use {
    super::*,
    glade_catalog::{CallerLimits, EngineClass, ModelSpec, Service},
    glade_types::{BackendId, ServiceName},
};

fn model(name: &str) -> ModelName {
    ModelName::new(name)
}

fn key(name: &str) -> ServerKey {
    ServerKey { id: BackendId::new(name), born_ms: 7 }
}

fn digest(server: &str, adapters: &[&str]) -> EngineDigest {
    EngineDigest {
        server: key(server),
        adapters: adapters.iter().map(|name| model(name)).collect(),
        unloading: vec![model("m2")],
        pending_loads: vec![PendingLoad {
            model: model("m1"),
            ready_in: Duration::from_millis(1200),
        }],
    }
}

fn catalog() -> Catalog {
    let spec = |name: &str| ModelSpec {
        name: model(name),
        weights_mb: 1.0,
        load_from_store: Duration::ZERO,
        load_from_memory: Duration::ZERO,
        load_from_disk: Duration::ZERO,
        adapters: 20,
        adapter_mb: 1.0,
    };
    let class = EngineClass {
        batch_slots: 16,
        kv_capacity_tokens: 1,
        kv_token_bytes: 1,
        tokens_per_event: 1,
        weights_capacity_mb: 1.0,
        adapter_slots: 8,
        memory_copies_mb: 0.0,
        disk_copies_mb: 0.0,
        reservation_max: Duration::ZERO,
        store_loads_per_s: 1.0,
        models: vec![spec("m1"), spec("m2")],
    };
    let name = ServiceName::new("pool");
    let service = Service { name, connection_limit: 1, engine_class: Some(class) };
    Catalog::new(1, CallerLimits::default(), Vec::new(), vec![service])
}

#[test]
fn a_leaf_reads_what_the_holder_says() {
    let said = [digest("e1", &["m1/a1", "m1/a20"]), digest("e2", &[])];
    let told: Vec<LeafDigest> = said.iter().map(LeafDigest::new).collect();
    let keys = [key("e2"), key("e1"), key("e3")];
    assert_eq!(NameTable::new(&catalog()).decode_all(&told, keys.iter()), said);
}

#[test]
fn an_engine_or_a_name_that_isnt_known_is_left_out() {
    let told = [LeafDigest::new(&digest("e1", &["m9/a1"])), LeafDigest::new(&digest("e2", &[]))];
    let read = NameTable::new(&catalog()).decode_all(&told, [key("e1")].iter());
    assert_eq!(read.len(), 1);
    assert!(read[0].adapters.is_empty());
}

#[test]
fn of_each_engine_the_latest_is_told() {
    let (now, mut untold) = (Instant::now(), PendingDigests::default());
    let due = now + Duration::from_millis(100);
    untold.add(due, 3, &[digest("e1", &[]), digest("e2", &[])]);
    untold.add(due + Duration::from_secs(1), 3, &[digest("e1", &["m1/a1"])]);
    untold.add(due, 2, &[digest("e4", &[])]);
    assert_eq!(untold.take_due(now), None, "not yet");
    let (epoch, told) = untold.take_due(due).expect("it is time");
    let expected = [digest("e1", &["m1/a1"]), digest("e2", &[])];
    assert_eq!((epoch, told), (3, expected.iter().map(LeafDigest::new).collect()));
    assert_eq!(untold.take_due(due), None, "told");
}

#[test]
fn a_later_holder_says_everything_anew() {
    let (now, mut untold) = (Instant::now(), PendingDigests::default());
    untold.add(now, 3, &[digest("e1", &[])]);
    untold.add(now, 4, &[digest("e2", &[])]);
    let (epoch, told) = untold.take_due(now).expect("it is time");
    assert_eq!((epoch, told), (4, vec![LeafDigest::new(&digest("e2", &[]))]));
}

/// 160 engines with full places: all of them take 10 KB, a tenth of them each 100 ms as well a second.
#[test]
fn a_digest_for_leaves_is_short() {
    let full: Vec<String> = (1..=8).map(|number| format!("m1/a{number}")).collect();
    let full: Vec<&str> = full.iter().map(String::as_str).collect();
    let told = LeafDigest::new(&digest("e1", &full));
    let bytes = glade_wire::frame::encode_part(&told).len();
    assert!(bytes <= 64, "{bytes} bytes");
}
