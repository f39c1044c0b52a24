//! Which of several nodes may start a trial, and what the rows of the store mean.

use {
    super::{Entry, QuarantineStore, TrialClaim, claim, encode, entry_key, row_key},
    glade_platform::{
        Key, MemoryTable, Revision, StoreError, StoredRow, TableService, Txn, TxnAnswer,
    },
    std::{
        pin::pin,
        sync::Mutex,
        task::{Context, Poll, Waker},
        time::Instant,
    },
};

const KEY: u64 = 0xdead;

/// A store that answers at once, or not at all.
#[derive(Default)]
struct FakeStore {
    table: Mutex<MemoryTable>,
    is_away: bool,
}

impl TableService for FakeStore {
    async fn transact(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        if self.is_away {
            return Err(StoreError::Unknown { reason: "away".to_owned() });
        }
        Ok(self.table.lock().expect("no panics").transact(txn))
    }

    async fn read(&self, key: &Key) -> Result<Option<StoredRow>, StoreError> {
        Ok(self.table.lock().expect("no panics").read(key))
    }

    async fn scan(&self, _prefix: &str) -> Result<Vec<StoredRow>, StoreError> {
        Ok(Vec::new())
    }
}

/// The result of a future that never has to wait.
fn finish<T>(future: impl Future<Output = T>) -> T {
    match pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(result) => result,
        Poll::Pending => panic!("the fake store answers at once"),
    }
}

fn entry() -> Entry {
    Entry { parts: vec![1, KEY], generation: 1, is_lifted: false, crashes: 5, trials: 0 }
}

fn claim_by(store: &FakeStore, entry: &Entry) -> TrialClaim {
    finish(claim(store, KEY, entry, Revision::ABSENT))
}

#[test]
fn of_nodes_that_claim_the_same_trial_one_may_start_it() {
    for is_saved in [false, true] {
        let store = FakeStore::default();
        if is_saved {
            let saved = Txn::compare_and_set(row_key(KEY), Revision::ABSENT, encode(&entry()));
            assert!(matches!(finish(store.transact(&saved)), Ok(TxnAnswer::Committed(_))));
        }
        assert!(matches!(claim_by(&store, &entry()), TrialClaim::Granted));
        for _ in 0..300 {
            let denied = claim_by(&store, &entry());
            assert!(matches!(denied, TrialClaim::Denied(Some(Entry { trials: 1, .. }))));
        }
        let next = Entry { trials: 1, ..entry() };
        assert!(matches!(claim_by(&store, &next), TrialClaim::Granted));
    }
}

#[test]
fn a_trial_of_lifted_parts_isnt_granted() {
    let store = FakeStore::default();
    let lifted = Entry { is_lifted: true, ..entry() };
    let saved = Txn::compare_and_set(row_key(KEY), Revision::ABSENT, encode(&lifted));
    assert!(finish(store.transact(&saved)).is_ok());
    assert!(matches!(claim_by(&store, &entry()), TrialClaim::Denied(Some(_))));
}

#[test]
fn a_store_that_is_away_grants_no_trial() {
    let store = FakeStore { is_away: true, ..FakeStore::default() };
    assert!(matches!(claim_by(&store, &entry()), TrialClaim::Failed(_)));
}

#[test]
fn rows_that_cant_be_read_name_no_parts() {
    let mut rows = QuarantineStore::default();
    let row = |name: &str, value: &[u8]| StoredRow {
        key: Key::new(name),
        revision: Revision::new(3),
        value: value.to_vec(),
    };
    assert_eq!(rows.on_row(&row("quarantine/zzz", &encode(&entry()))), None);
    assert_eq!(rows.on_row(&row("quarantine/dead", b"{")), None);
    assert_eq!(rows.on_row(&row("quarantine/beef", &encode(&entry()))), None);
    assert_eq!(rows.on_row(&row("quarantine/dead", &encode(&entry()))), Some(entry()));
    assert_eq!(entry_key(&row_key(KEY)), Some(KEY));
}

#[test]
fn a_write_that_another_node_has_anticipated_yields_its_entry() {
    let mut rows = QuarantineStore::default();
    let stored = Entry { trials: 2, ..entry() };
    let row = StoredRow { key: row_key(KEY), revision: Revision::new(9), value: encode(&stored) };
    let answer = Ok(TxnAnswer::Conflict(vec![row]));
    assert_eq!(rows.on_written(Instant::now(), &entry(), answer), Some(stored.clone()));
    assert!(!rows.is_unsaved(&stored));
    assert!(rows.is_unsaved(&entry()));
}

/// Guards against a write that meets the same conflict at every tick.
#[test]
fn a_row_that_cant_be_read_is_replaced_by_the_next_write() {
    let too_large = Entry { generation: u32::MAX, ..entry() };
    for value in [b"{".to_vec(), Vec::new(), encode(&too_large)] {
        let store = FakeStore::default();
        let odd = Txn::compare_and_set(row_key(KEY), Revision::ABSENT, value);
        assert!(matches!(finish(store.transact(&odd)), Ok(TxnAnswer::Committed(_))));
        let mut rows = QuarantineStore::default();
        let first = finish(store.transact(&rows.txn(KEY, &entry())));
        assert!(matches!(first, Ok(TxnAnswer::Conflict(_))));
        assert_eq!(rows.on_written(Instant::now(), &entry(), first), None);
        assert!(rows.is_unsaved(&entry()));
        let second = finish(store.transact(&rows.txn(KEY, &entry())));
        assert!(matches!(second, Ok(TxnAnswer::Committed(_))), "{second:?}");
    }
}
