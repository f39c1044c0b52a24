//! Several changes of the same row in one read.

use {
    super::*,
    glade_catalog::{RecordError, ServerKey, ServerState},
    glade_platform::Key,
    glade_types::{DataCentre, ServiceName, SoftwareVersion},
};

fn written(name: &str, revision: u64) -> Change {
    let key = Key::new(&format!("servers/{name}"));
    // An empty value can't be decoded as an entry; an update names such a row as removed.
    Change::Written(StoredRow { key, value: Vec::new(), revision: Revision::new(revision) })
}

fn removed(name: &str) -> Change {
    Change::Removed(Key::new(&format!("servers/{name}")))
}

fn last_changes(changes: &[Change]) -> Vec<String> {
    let kind = |change: &Change| match change {
        Change::Written(row) => format!("{} written", row.key.as_str()),
        Change::Removed(key) => format!("{} removed", key.as_str()),
    };
    last_change_of_each_row(changes).map(kind).collect()
}

/// Guards against applying the writes of a batch after its removals: an engine that wrote its entry
/// and left within one batching pause was added again after its removal, and got requests until a
/// connection to its address failed. Seen in a variation of run trouble-1 at Kalahari
/// (hunt-3f70-35), and in runs mix 93162558838 and 640068834473 at Jëf-Jël.
#[test]
fn an_entry_that_was_written_and_then_removed_in_one_read_counts_as_removed() {
    assert_eq!(last_changes(&[written("e1", 250), removed("e1")]), ["servers/e1 removed"]);
}

#[test]
fn an_entry_that_was_removed_and_then_written_in_one_read_counts_as_written() {
    assert_eq!(last_changes(&[removed("e1"), written("e1", 251)]), ["servers/e1 written"]);
}

#[test]
fn other_rows_keep_their_order() {
    let changes = [written("e1", 1), written("e2", 2), removed("e1"), written("e3", 4)];
    let expected = ["servers/e2 written", "servers/e1 removed", "servers/e3 written"];
    assert_eq!(last_changes(&changes), expected);
}

fn sound_record() -> ServerRecord {
    ServerRecord {
        key: ServerKey { id: BackendId::new("e1"), start_time_ms: 0 },
        service: ServiceName::new("p"),
        addr: ([10, 1, 0, 9], 1).into(),
        data_centre: DataCentre::new("z"),
        version: SoftwareVersion::new("v1"),
        slots: 1,
        state: ServerState::Ready,
        warm_up_remaining: Duration::ZERO,
        residents: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

/// Guards against a node that ends because a node of an earlier version has accepted an entry and
/// sends it on.
#[test]
fn entries_of_other_nodes_that_name_no_usable_server_are_removals() {
    let record = sound_record();
    let entry = |record: ServerRecord| ServerEntry { revision: Revision::new(1), record };
    let mut odd = record.clone();
    odd.key.id = BackendId::new("line\nbreak");
    assert_eq!(odd.check(), Err(RecordError::Name));
    let no_port = ServerRecord { addr: ([10, 1, 0, 9], 0).into(), ..record.clone() };
    let lapsed = LapsedEntry { entry: entry(no_port), age: Duration::MAX };
    let update = RegistryUpdate {
        after: None,
        revision: Revision::new(2),
        store_was_unreachable: false,
        written: vec![entry(record.clone()), entry(odd)],
        removed: Vec::new(),
        lapsed: vec![lapsed],
    };
    let checked = update.reject_invalid();
    assert_eq!(checked.written, [entry(record)]);
    assert_eq!(checked.removed, [BackendId::new("line\nbreak"), BackendId::new("e1")]);
    assert_eq!(checked.lapsed, []);
}
