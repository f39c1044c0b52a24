//! Which changes of the registry reach leaves.

use {
    super::*,
    glade_catalog::{ServerKey, ServerState},
    glade_types::{DataCentre, ModelName, ServiceName},
};

fn entry(id: &str, revision: u64, residents: &[(&str, &[&str])]) -> ServerEntry {
    let name = |name: &&str| ModelName::new(name);
    let record = ServerRecord {
        key: ServerKey { id: BackendId::new(id), born_ms: 1 },
        service: ServiceName::new("chat"),
        addr: ([10, 0, 0, 1], 80).into(),
        data_centre: DataCentre::new("dc-1"),
        slots: 16,
        state: ServerState::Ready,
        warming_up: Duration::ZERO,
        residents: residents
            .iter()
            .map(|(model, adapters)| Residence {
                model: ModelName::new(model),
                adapters: adapters.iter().map(name).collect(),
            })
            .collect(),
        in_memory: vec![ModelName::new("m9")],
        on_disk: vec![ModelName::new("m9")],
    };
    ServerEntry { revision: Revision::new(revision), record }
}

fn changes(after: u64, revision: u64, written: Vec<ServerEntry>) -> RegistryUpdate {
    RegistryUpdate {
        after: Some(Revision::new(after)),
        revision: Revision::new(revision),
        lapses: false,
        written,
        removed: Vec::new(),
        lapsed: Vec::new(),
    }
}

#[test]
fn an_adapter_or_a_copy_at_hand_is_no_news_for_leaves() {
    let mut leaves = LeafRegistry::default();
    assert!(leaves.take(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])])).is_some());
    let with_adapter = entry("a", 6, &[("m1", &["m1/a1"])]);
    assert_eq!(leaves.take(&changes(5, 6, vec![with_adapter])), None);
    let mut with_copies = entry("a", 7, &[("m1", &[])]);
    with_copies.record.on_disk.clear();
    assert_eq!(leaves.take(&changes(6, 7, vec![with_copies])), None);
    assert_eq!(leaves.revision(), Revision::new(5), "leaves have nothing to ask for");
}

#[test]
fn news_for_leaves_follows_upon_what_they_were_told_last() {
    let mut leaves = LeafRegistry::default();
    leaves.take(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])]));
    leaves.take(&changes(5, 6, vec![entry("a", 6, &[("m1", &["m1/a1"])])]));
    let moved = entry("a", 9, &[("m2", &[])]);
    let told = leaves.take(&changes(6, 9, vec![moved])).expect("a model has moved");
    assert_eq!((told.after, told.revision), (Some(Revision::new(5)), Revision::new(9)));
    let [told] = &told.written[..] else { panic!("one entry") };
    assert!(told.record.in_memory.is_empty() && told.record.on_disk.is_empty());
}

#[test]
fn a_server_that_leaves_or_is_gone_is_news() {
    let mut leaves = LeafRegistry::default();
    leaves.take(&changes(0, 5, vec![entry("a", 5, &[]), entry("b", 5, &[])]));
    let mut leaving = entry("a", 6, &[]);
    leaving.record.state = ServerState::Leaving { remaining: None };
    assert!(leaves.take(&changes(5, 6, vec![leaving])).is_some());
    let gone = RegistryUpdate { removed: vec![BackendId::new("a")], ..changes(6, 7, Vec::new()) };
    assert_eq!(leaves.take(&gone).map(|told| told.removed), Some(vec![BackendId::new("a")]));
    assert_eq!(leaves.take(&gone), None, "known");
    let all = RegistryUpdate { after: None, ..changes(0, 9, Vec::new()) };
    assert_eq!(leaves.take(&all).map(|told| told.removed), Some(vec![BackendId::new("b")]));
}

#[test]
fn a_leaf_that_asks_for_all_reaches_the_revision_of_the_news_for_leaves() {
    let mut leaves = LeafRegistry::default();
    leaves.take(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])]));
    let now = entry("a", 8, &[("m1", &["m1/a1"])]);
    leaves.take(&changes(5, 8, vec![now.clone()]));
    let all = leaves.all(&RegistryUpdate { after: None, ..changes(0, 8, vec![now]) });
    assert_eq!((all.after, all.revision), (None, Revision::new(5)));
    assert_eq!(all.written[0].record.residents[0].adapters, [ModelName::new("m1/a1")]);
}

#[test]
fn leaves_are_told_that_a_server_lapsed_and_that_it_is_back() {
    let mut leaves = LeafRegistry::default();
    leaves.take(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])]));
    let lapsed =
        vec![LapsedEntry { entry: entry("a", 5, &[("m1", &[])]), age: Duration::from_secs(1) }];
    let all = RegistryUpdate { after: None, lapsed, ..changes(0, 6, Vec::new()) };
    let told = leaves.take(&all).expect("it has lapsed");
    assert_eq!((told.lapsed.len(), told.removed.len()), (1, 0));
    assert_eq!(leaves.all(&all).lapsed.len(), 1);
    let back = leaves.take(&changes(6, 7, vec![entry("a", 7, &[("m1", &[])])]));
    assert_eq!(back.expect("it is back").written.len(), 1);
}
