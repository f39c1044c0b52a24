//! Digests of engines as leaves receive and decode them.

use {
    super::*,
    glade_catalog::{CallerLimits, EngineClass, ModelSpec, Service},
    glade_types::{BackendId, ServiceName},
};

fn model(name: &str) -> ModelName {
    ModelName::new(name)
}

fn key(name: &str) -> ServerKey {
    ServerKey { id: BackendId::new(name), start_time_ms: 7 }
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
fn a_leaf_decodes_the_digests_of_the_holder() {
    let digests = [digest("e1", &["m1/a1", "m1/a20"]), digest("e2", &[])];
    let sent: Vec<LeafDigest> = digests.iter().map(LeafDigest::new).collect();
    let keys = [key("e2"), key("e1"), key("e3")];
    assert_eq!(NameTable::new(&catalog()).decode_all(&sent, keys.iter()), digests);
}

#[test]
fn unknown_engines_and_names_are_left_out() {
    let sent = [LeafDigest::new(&digest("e1", &["m9/a1"])), LeafDigest::new(&digest("e2", &[]))];
    let decoded = NameTable::new(&catalog()).decode_all(&sent, [key("e1")].iter());
    assert_eq!(decoded.len(), 1);
    assert!(decoded[0].adapters.is_empty());
}

#[test]
fn only_the_latest_digest_of_each_engine_is_sent() {
    let (now, mut pending) = (Instant::now(), PendingDigests::default());
    let due = now + Duration::from_millis(100);
    pending.add(due, 3, &[digest("e1", &[]), digest("e2", &[])]);
    pending.add(due + Duration::from_secs(1), 3, &[digest("e1", &["m1/a1"])]);
    pending.add(due, 2, &[digest("e4", &[])]);
    assert_eq!(pending.take_due(now), None, "not due yet");
    let (epoch, sent) = pending.take_due(due).expect("digests are due");
    let expected = [digest("e1", &["m1/a1"]), digest("e2", &[])];
    assert_eq!((epoch, sent), (3, expected.iter().map(LeafDigest::new).collect()));
    assert_eq!(pending.take_due(due), None, "already sent");
}

#[test]
fn digests_of_an_earlier_holder_are_dropped() {
    let (now, mut pending) = (Instant::now(), PendingDigests::default());
    pending.add(now, 3, &[digest("e1", &[])]);
    pending.add(now, 4, &[digest("e2", &[])]);
    let (epoch, sent) = pending.take_due(now).expect("digests are due");
    assert_eq!((epoch, sent), (4, vec![LeafDigest::new(&digest("e2", &[]))]));
}

/// At 64 bytes for an engine whose adapter slots are all in use, 160 engines take 10 KB. A tenth of
/// them, sent every 100 ms, takes 10 KB a second as well.
#[test]
fn a_digest_for_leaves_is_short() {
    let full: Vec<String> = (1..=8).map(|number| format!("m1/a{number}")).collect();
    let full: Vec<&str> = full.iter().map(String::as_str).collect();
    let sent = LeafDigest::new(&digest("e1", &full));
    let bytes = glade_wire::frame::encode_batch_item(&sent).len();
    assert!(bytes <= 64, "{bytes} bytes");
}
