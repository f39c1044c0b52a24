//! Which changes of the registry are sent to leaves.

use {
    super::*,
    glade_catalog::{ServerKey, ServerState},
    glade_types::{DataCentre, ModelName, ServiceName, SoftwareVersion},
};

fn entry(id: &str, revision: u64, residents: &[(&str, &[&str])]) -> ServerEntry {
    let name = |name: &&str| ModelName::new(name);
    let record = ServerRecord {
        key: ServerKey { id: BackendId::new(id), start_time_ms: 1 },
        service: ServiceName::new("chat"),
        addr: ([10, 0, 0, 1], 80).into(),
        data_centre: DataCentre::new("dc-1"),
        version: SoftwareVersion::new("v1"),
        slots: 16,
        state: ServerState::Ready,
        warm_up_remaining: Duration::ZERO,
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
        store_was_unreachable: false,
        written,
        removed: Vec::new(),
        lapsed: Vec::new(),
    }
}

#[test]
fn changes_of_adapters_and_of_weight_copies_are_not_sent_to_leaves() {
    let mut leaves = LeafRegistry::default();
    assert!(leaves.apply(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])])).is_some());
    let with_adapter = entry("a", 6, &[("m1", &["m1/a1"])]);
    assert_eq!(leaves.apply(&changes(5, 6, vec![with_adapter])), None);
    let mut with_copies = entry("a", 7, &[("m1", &[])]);
    with_copies.record.on_disk.clear();
    assert_eq!(leaves.apply(&changes(6, 7, vec![with_copies])), None);
    assert_eq!(leaves.revision(), Revision::new(5), "a leaf at revision 5 needs no update");
}

#[test]
fn an_update_for_leaves_follows_the_revision_of_the_last_one_they_were_sent() {
    let mut leaves = LeafRegistry::default();
    leaves.apply(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])]));
    leaves.apply(&changes(5, 6, vec![entry("a", 6, &[("m1", &["m1/a1"])])]));
    let other_model = entry("a", 9, &[("m2", &[])]);
    let sent = leaves.apply(&changes(6, 9, vec![other_model])).expect("another model is resident");
    assert_eq!((sent.after, sent.revision), (Some(Revision::new(5)), Revision::new(9)));
    let [sent] = &sent.written[..] else { panic!("one entry") };
    assert!(sent.record.in_memory.is_empty() && sent.record.on_disk.is_empty());
}

#[test]
fn leaves_are_sent_that_a_server_is_leaving_or_was_removed() {
    let mut leaves = LeafRegistry::default();
    leaves.apply(&changes(0, 5, vec![entry("a", 5, &[]), entry("b", 5, &[])]));
    let mut leaving = entry("a", 6, &[]);
    leaving.record.state = ServerState::Leaving { remaining: None };
    assert!(leaves.apply(&changes(5, 6, vec![leaving])).is_some());
    let gone = RegistryUpdate { removed: vec![BackendId::new("a")], ..changes(6, 7, Vec::new()) };
    assert_eq!(leaves.apply(&gone).map(|sent| sent.removed), Some(vec![BackendId::new("a")]));
    assert_eq!(leaves.apply(&gone), None, "leaves know it already");
    let all = RegistryUpdate { after: None, ..changes(0, 9, Vec::new()) };
    assert_eq!(leaves.apply(&all).map(|sent| sent.removed), Some(vec![BackendId::new("b")]));
}

#[test]
fn a_snapshot_for_leaves_has_the_revision_of_the_last_update_for_leaves() {
    let mut leaves = LeafRegistry::default();
    leaves.apply(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])]));
    let changed = entry("a", 8, &[("m1", &["m1/a1"])]);
    leaves.apply(&changes(5, 8, vec![changed.clone()]));
    let all = leaves.snapshot(&RegistryUpdate { after: None, ..changes(0, 8, vec![changed]) });
    assert_eq!((all.after, all.revision), (None, Revision::new(5)));
    assert_eq!(all.written[0].record.residents[0].adapters, [ModelName::new("m1/a1")]);
}

#[test]
fn leaves_are_sent_that_an_entry_lapsed_and_that_it_is_written_again() {
    let mut leaves = LeafRegistry::default();
    leaves.apply(&changes(0, 5, vec![entry("a", 5, &[("m1", &[])])]));
    let lapsed =
        vec![LapsedEntry { entry: entry("a", 5, &[("m1", &[])]), age: Duration::from_secs(1) }];
    let all = RegistryUpdate { after: None, lapsed, ..changes(0, 6, Vec::new()) };
    let sent = leaves.apply(&all).expect("the entry has lapsed");
    assert_eq!((sent.lapsed.len(), sent.removed.len()), (1, 0));
    assert_eq!(leaves.snapshot(&all).lapsed.len(), 1);
    let written_again = leaves.apply(&changes(6, 7, vec![entry("a", 7, &[("m1", &[])])]));
    assert_eq!(written_again.expect("the entry is written again").written.len(), 1);
}
