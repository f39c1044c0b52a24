//! Several changes of the same row in one read.

use {super::*, glade_platform::Key};

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
