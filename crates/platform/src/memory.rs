//! A table service in memory: the semantics without the network.

use {
    crate::kv::{Key, Revision, StoredRow, Txn, TxnAnswer, Write},
    std::collections::BTreeMap,
};

/// Rows with their revisions. Every transaction is atomic.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    revision: u64,
    rows: BTreeMap<Key, (Revision, Vec<u8>)>,
}

impl MemoryTable {
    /// Applies `txn` if its conditions hold.
    pub fn transact(&mut self, txn: &Txn) -> TxnAnswer {
        let holds = txn.conditions.iter().all(|cond| self.revision_of(&cond.key) == cond.revision);
        if !holds {
            let rows = txn.conditions.iter().filter_map(|cond| self.read(&cond.key)).collect();
            return TxnAnswer::Conflict(rows);
        }
        self.revision += 1;
        for write in &txn.writes {
            match write {
                Write::Put { key, value } => {
                    self.rows.insert(key.clone(), (Revision::new(self.revision), value.clone()));
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        TxnAnswer::Committed(Revision::new(self.revision))
    }

    /// Reads one row.
    pub fn read(&self, key: &Key) -> Option<StoredRow> {
        let (revision, value) = self.rows.get(key)?;
        Some(StoredRow { key: key.clone(), revision: *revision, value: value.clone() })
    }

    /// Reads all rows whose key starts with `prefix`.
    pub fn scan(&self, prefix: &str) -> Vec<StoredRow> {
        self.rows
            .range(Key::new(prefix)..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .map(|(key, (revision, value))| StoredRow {
                key: key.clone(),
                revision: *revision,
                value: value.clone(),
            })
            .collect()
    }

    fn revision_of(&self, key: &Key) -> Revision {
        self.rows.get(key).map_or(Revision::ABSENT, |(revision, _)| *revision)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_failed_condition_writes_nothing() {
        let (mut table, key) = (MemoryTable::default(), Key::new("a"));
        let insert = Txn::compare_and_set(key.clone(), Revision::ABSENT, vec![1]);
        assert_eq!(table.transact(&insert), TxnAnswer::Committed(Revision::new(1)));
        let TxnAnswer::Conflict(rows) = table.transact(&insert) else { panic!("inserted twice") };
        assert_eq!(
            rows,
            [StoredRow { key: key.clone(), revision: Revision::new(1), value: vec![1] }]
        );
        let update = Txn::compare_and_set(key.clone(), Revision::new(1), vec![2]);
        assert_eq!(table.transact(&update), TxnAnswer::Committed(Revision::new(2)));
        assert_eq!(table.read(&key).map(|row| row.value), Some(vec![2]));
    }

    #[test]
    fn scan_reads_only_the_prefix() {
        let mut table = MemoryTable::default();
        for key in ["a/1", "a/2", "b/1"] {
            table.transact(&Txn::compare_and_set(Key::new(key), Revision::ABSENT, vec![]));
        }
        assert_eq!(table.scan("a/").len(), 2);
    }
}
