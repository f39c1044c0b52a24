//! Several changes of one row at once.

use {super::*, glade_platform::Key};

fn written(name: &str, revision: u64) -> Change {
    let key = Key::new(&format!("servers/{name}"));
    // No entry can be read from this: the news then names the row as removed.
    Change::Written(StoredRow { key, value: Vec::new(), revision: Revision::new(revision) })
}

fn removed(name: &str) -> Change {
    Change::Removed(Key::new(&format!("servers/{name}")))
}

fn left(changes: &[Change]) -> Vec<String> {
    let kind = |change: &Change| match change {
        Change::Written(row) => format!("{} written", row.key.as_str()),
        Change::Removed(key) => format!("{} removed", key.as_str()),
    };
    last_of_each(changes).map(kind).collect()
}

/// trouble-1 at Kalahari, varied (hunt-3f70-35), and mix 93162558838 and 640068834473 at Jëf-Jël: an
/// engine that wrote its entry and left within one gathering pause was put back after its removal, and
/// got requests until its address was found dead.
#[test]
fn an_entry_that_was_written_and_removed_at_once_is_gone() {
    assert_eq!(left(&[written("e1", 250), removed("e1")]), ["servers/e1 removed"]);
}

#[test]
fn an_entry_that_was_removed_and_written_again_is_there() {
    assert_eq!(left(&[removed("e1"), written("e1", 251)]), ["servers/e1 written"]);
}

#[test]
fn other_rows_keep_their_order() {
    let changes = [written("e1", 1), written("e2", 2), removed("e1"), written("e3", 4)];
    let expected = ["servers/e2 written", "servers/e1 removed", "servers/e3 written"];
    assert_eq!(left(&changes), expected);
}
