//! Servers that come, leave, lapse and are found gone.

use {super::*, glade_catalog::Residence, glade_residency::PendingLoad, glade_types::ServiceName};

fn record(id: &str, state: ServerState, models: &[&str]) -> ServerRecord {
    ServerRecord {
        key: ServerKey { id: BackendId::new(id), born_ms: 1 },
        service: ServiceName::new("pool"),
        addr: ([10, 0, 0, 1], 80).into(),
        data_centre: DataCentre::new("dc-1"),
        slots: 8,
        state,
        warming_up: Duration::ZERO,
        residents: models
            .iter()
            .map(|name| Residence { model: ModelName::new(name), adapters: Vec::new() })
            .collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

fn written(after: u64, revision: u64, record: ServerRecord) -> RegistryUpdate {
    let entry = ServerEntry { revision: Revision::new(revision), record };
    RegistryUpdate {
        after: Some(Revision::new(after)),
        revision: Revision::new(revision),
        lapses: false,
        written: vec![entry],
        removed: Vec::new(),
        lapsed: Vec::new(),
    }
}

fn removed(after: u64, revision: u64, id: &str, lapses: bool) -> RegistryUpdate {
    RegistryUpdate {
        after: Some(Revision::new(after)),
        revision: Revision::new(revision),
        lapses,
        written: Vec::new(),
        removed: vec![BackendId::new(id)],
        lapsed: Vec::new(),
    }
}

fn usable(registry: &Registry, now: Instant) -> Vec<String> {
    let records = registry.records(now);
    records.filter(|(_, usable)| *usable).map(|(record, _)| record.key.id.to_string()).collect()
}

fn one_server(now: Instant) -> Registry {
    let mut registry = Registry::default();
    assert!(registry.on_news(now, written(0, 5, record("e1", ServerState::Ready, &["m"]))));
    registry
}

#[test]
fn leaving_is_for_the_rest_of_a_servers_life() {
    let now = Instant::now();
    let mut registry = one_server(now);
    let leaving = ServerState::Leaving { remaining: None };
    registry.on_news(now, written(5, 6, record("e1", leaving, &["m"])));
    assert!(usable(&registry, now).is_empty());
    // An entry from before comes late.
    registry.on_news(now, written(6, 7, record("e1", ServerState::Ready, &["m"])));
    assert!(usable(&registry, now).is_empty());
    let mut again = record("e1", ServerState::Ready, &["m"]);
    again.key.born_ms = 2;
    registry.on_news(now, written(7, 8, again));
    assert_eq!(usable(&registry, now), ["e1"], "it has started again");
}

/// hunt-b10b-3 at Kalahari: two nodes kept a server that had left in use, because they themselves had
/// been cut off from the store.
#[test]
fn a_server_that_left_while_the_store_answered_is_gone_at_once() {
    let now = Instant::now();
    let mut registry = one_server(now);
    registry.on_news(now, removed(5, 6, "e1", false));
    assert!(usable(&registry, now).is_empty());
}

#[test]
fn an_entry_that_lapsed_with_the_store_is_given_time_to_come_back() {
    let now = Instant::now();
    let mut registry = one_server(now);
    registry.on_news(now, removed(5, 6, "e1", true));
    assert_eq!(usable(&registry, now), ["e1"]);
    assert!(!registry.sweep(now + Duration::from_secs(1)));
    registry.on_news(now, written(6, 7, record("e1", ServerState::Ready, &["m"])));
    assert!(!registry.sweep(now + Duration::from_secs(9)), "it is back");
    registry.on_news(now, removed(7, 8, "e1", true));
    // Within the two seconds after which a server that has left must get no requests.
    assert!(registry.sweep(now + Duration::from_millis(1900)));
    assert!(usable(&registry, now).is_empty());
}

/// scale-2 at the grown Jef-Jel, seed 6: a core whose store had been away told its leaves of a server that
/// had left as of any other; they sent requests there 4.3 s after its entry was gone.
#[test]
fn a_server_whose_entry_lapsed_is_dropped_in_time_by_nodes_that_are_told_the_whole_registry() {
    let now = Instant::now();
    let mut teller = one_server(now);
    teller.on_news(now, removed(5, 6, "e1", true));
    let told_at = now + Duration::from_secs(1);
    for mut registry in [Registry::default(), one_server(now)] {
        assert!(registry.on_news(told_at, teller.all(told_at)));
        assert_eq!(usable(&registry, told_at), ["e1"]);
        assert!(registry.sweep(now + Duration::from_millis(1900)));
        assert!(usable(&registry, told_at).is_empty());
    }
}

#[test]
fn changes_with_a_gap_before_them_are_not_applied() {
    let now = Instant::now();
    let mut registry = one_server(now);
    assert!(!registry.on_news(now, removed(6, 7, "e1", false)), "5 to 6 is missing");
    assert_eq!(usable(&registry, now), ["e1"]);
    let whole = RegistryUpdate { after: None, ..removed(0, 7, "e1", false) };
    assert!(registry.on_news(now, whole));
    assert!(usable(&registry, now).is_empty());
}

#[test]
fn older_news_change_nothing() {
    let now = Instant::now();
    let mut registry = one_server(now);
    registry.on_news(now, written(5, 9, record("e1", ServerState::Ready, &["m", "n"])));
    let stale =
        RegistryUpdate { after: None, ..written(0, 6, record("e1", ServerState::Ready, &[])) };
    assert!(registry.on_news(now, stale));
    let held: Vec<_> = registry.records(now).map(|(record, _)| record.residents.len()).collect();
    assert_eq!(held, [2]);
}

#[test]
fn a_server_found_gone_is_used_again_once_it_writes() {
    let now = Instant::now();
    let mut registry = one_server(now);
    let key = record("e1", ServerState::Ready, &[]).key;
    assert!(registry.on_gone(now, &key));
    assert!(!registry.on_gone(now, &key), "known already");
    assert!(usable(&registry, now).is_empty());
    registry.on_news(now, written(5, 6, record("e1", ServerState::Ready, &["m"])));
    assert_eq!(usable(&registry, now), ["e1"]);
}

#[test]
fn a_server_that_another_node_saw_leaving_is_out_of_use_until_its_entry_changes() {
    let now = Instant::now();
    let mut registry = one_server(now);
    let key = record("e1", ServerState::Ready, &[]).key;
    assert!(registry.on_told_leaving(now, &key));
    assert!(!registry.on_told_leaving(now, &key), "known already");
    assert!(usable(&registry, now + Duration::from_secs(3600)).is_empty());
    registry.on_news(now, written(5, 6, record("e1", ServerState::Ready, &["m"])));
    assert_eq!(usable(&registry, now), ["e1"]);
}

#[test]
fn what_is_about_to_be_dropped_takes_no_requests() {
    let now = Instant::now();
    let mut registry = one_server(now);
    let digest = EngineDigest {
        server: record("e1", ServerState::Ready, &[]).key,
        adapters: vec![ModelName::new("m/a1")],
        outgoing: Vec::new(),
        arriving: vec![PendingLoad {
            model: ModelName::new("n"),
            ready_in: Duration::from_secs(3),
        }],
    };
    let holds = |registry: &Registry| -> Vec<String> {
        let views = registry.views(now, &DataCentre::new("dc-1"), &HashMap::new());
        let mut names: Vec<String> =
            views[0].resident_models.iter().map(ModelName::to_string).collect();
        names.sort();
        names
    };
    registry.on_digests(now, 2, vec![digest.clone()]);
    assert_eq!(holds(&registry), ["m", "m/a1"]);
    assert_eq!(registry.arriving()[&ModelName::new("n")], now + Duration::from_secs(3));
    let outgoing = EngineDigest { outgoing: vec![ModelName::new("m")], ..digest.clone() };
    registry.on_digests(now, 2, vec![outgoing]);
    assert!(holds(&registry).is_empty());
    registry.on_digests(now, 1, vec![digest]);
    assert!(holds(&registry).is_empty(), "an earlier holder's word is ignored");
}

/// A leaf that becomes a core knows what leaves are told, up to the revision of the last such news.
#[test]
fn what_is_in_doubt_is_used_until_all_is_told_anew() {
    let now = Instant::now();
    let mut registry = one_server(now);
    registry.on_news(now, written(5, 6, record("e2", ServerState::Ready, &["m"])));
    registry.on_gone(now, &record("e2", ServerState::Ready, &[]).key);
    registry.doubt();
    assert_eq!(usable(&registry, now), ["e1"]);
    assert!(!registry.on_news(now, written(6, 7, record("e3", ServerState::Ready, &[]))));
    let mut whole = record("e1", ServerState::Ready, &["m"]);
    whole.on_disk = vec![ModelName::new("m9")];
    let all = RegistryUpdate { after: None, ..written(0, 6, whole) };
    assert!(registry.on_news(now, all));
    assert_eq!(registry.revision(), Revision::new(6));
    let known: Vec<_> = registry.records(now).map(|(record, _)| record.on_disk.len()).collect();
    assert_eq!(known, [1], "with its copies, and without the server that is no more");
}
