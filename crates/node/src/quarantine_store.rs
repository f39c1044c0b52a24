//! Keeps the quarantined parts in a table of the store, so that they outlast all nodes and reach nodes that hear no
//! others, and grants trials, of which there may be one at a time in the whole deployment.

use {
    crate::{control_task::spawn_task, event::Event, read_role::ReadRole},
    glade_adapter::platform_store::PlatformStore,
    glade_platform::{
        Condition, Key, Revision, StoreError, StoredRow, TableService, Txn, TxnAnswer, Write,
    },
    glade_quarantine::{Entry, Quarantine},
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::Sender,
};

/// Table with a row for each quarantined combination of parts.
pub(crate) const TABLE: &str = "quarantine";
/// Pause after a failed write, and after a failed claim of a trial.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time after which the standby reader writes an entry that the primary one hasn't written.
const STANDBY_DELAY: Duration = Duration::from_millis(1500);

/// Result of an attempt to claim a trial.
#[derive(Debug)]
pub(crate) enum TrialClaim {
    /// This node may start the trial.
    Granted,
    /// The store has another entry, by which the trial isn't due: another node has started it.
    Denied(Option<Entry>),
    /// The store didn't answer.
    Failed(StoreError),
}

/// What one node knows of the rows of the table.
#[derive(Debug, Default)]
pub(crate) struct QuarantineStore {
    /// Rows as last read or written.
    rows: BTreeMap<u64, (Revision, Entry)>,
    /// A write is in progress.
    is_writing: bool,
    retry_at: Option<Instant>,
    /// Since when an entry differs from its row.
    unsaved_since: Option<Instant>,
    /// Combinations whose trial is being claimed.
    claims: BTreeSet<u64>,
    claim_retry_at: Option<Instant>,
}

fn row_key(key: u64) -> Key {
    Key::new(&format!("{TABLE}/{key:016x}"))
}

/// Reads the key of a row.
pub(crate) fn entry_key(key: &Key) -> Option<u64> {
    let name = key.as_str().strip_prefix(TABLE)?.strip_prefix('/')?;
    u64::from_str_radix(name, 16).ok()
}

fn decode(row: &StoredRow) -> Option<Entry> {
    serde_json::from_slice(&row.value)
        .inspect_err(
            |err| log::warn!(reason = err.to_string().as_str(); "quarantine_row_unreadable"),
        )
        .ok()
}

fn encode(entry: &Entry) -> Vec<u8> {
    serde_json::to_vec(entry).expect("plain structure")
}

impl QuarantineStore {
    /// Records a row that was read, and returns its entry.
    pub(crate) fn on_row(&mut self, row: &StoredRow) -> Option<Entry> {
        let (key, entry) = (entry_key(&row.key)?, decode(row)?);
        self.rows.insert(key, (row.revision, entry.clone()));
        (entry.key() == Some(key)).then_some(entry)
    }

    /// Records that the row of the entry `key` was removed.
    pub(crate) fn on_removed(&mut self, key: u64) {
        self.rows.remove(&key);
    }

    /// Forgets the rows, because all of them were read again.
    pub(crate) fn clear(&mut self) {
        self.rows.clear();
    }

    /// Writes one of the entries that differ from their rows, if this node is to write.
    pub(crate) fn save_changes(
        &mut self,
        now: Instant,
        role: ReadRole,
        quarantine: &Quarantine,
        store: &Rc<PlatformStore>,
        events: &Sender<Event>,
    ) {
        let Some(entry) = quarantine.entries().find(|entry| self.is_unsaved(entry)) else {
            self.unsaved_since = None;
            return;
        };
        let since = *self.unsaved_since.get_or_insert(now);
        let may_write = match role {
            ReadRole::Off => false,
            ReadRole::Primary => true,
            ReadRole::Standby => now.saturating_duration_since(since) >= STANDBY_DELAY,
        };
        if !may_write || self.is_writing || self.retry_at.is_some_and(|at| now < at) {
            return;
        }
        let Some(key) = entry.key() else { return };
        self.is_writing = true;
        let txn = self.txn(key, entry);
        let (store, sender, entry) = (Rc::clone(store), events.clone(), entry.clone());
        spawn_task(events, async move {
            let answer = store.transact(&txn).await;
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = sender.send(Event::QuarantineWritten(now, entry, answer)).await;
        });
    }

    fn is_unsaved(&self, entry: &Entry) -> bool {
        let row = entry.key().and_then(|key| self.rows.get(&key));
        match row {
            Some((_, saved)) => saved != entry,
            None => !entry.is_lifted,
        }
    }

    /// Brings the row `key` in line with `entry`, if nobody else has changed the row.
    fn txn(&self, key: u64, entry: &Entry) -> Txn {
        let revision = self.rows.get(&key).map_or(Revision::ABSENT, |(revision, _)| *revision);
        let key = row_key(key);
        let conditions = vec![Condition { key: key.clone(), revision }];
        let write = if entry.is_lifted {
            Write::Delete { key }
        } else {
            Write::Put { key, value: encode(entry) }
        };
        Txn { conditions, writes: vec![write] }
    }

    /// Handles the end of a write. Returns the entry that the store has instead, if another node has changed it.
    pub(crate) fn on_written(
        &mut self,
        now: Instant,
        entry: &Entry,
        answer: Result<TxnAnswer, StoreError>,
    ) -> Option<Entry> {
        self.is_writing = false;
        let key = entry.key()?;
        match answer {
            Ok(TxnAnswer::Committed(_)) if entry.is_lifted => self.on_removed(key),
            Ok(TxnAnswer::Committed(revision)) => {
                self.rows.insert(key, (revision, entry.clone()));
            }
            Ok(TxnAnswer::Conflict(rows)) => {
                self.on_removed(key);
                return rows.iter().find_map(|row| self.on_row(row));
            }
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "quarantine_write_failed");
                self.retry_at = Some(now + RETRY_PAUSE);
            }
        }
        None
    }

    /// Claims the trial of `entry`, unless a claim is in progress or failed just now.
    pub(crate) fn claim_trial(
        &mut self,
        now: Instant,
        entry: &Entry,
        store: &Rc<PlatformStore>,
        events: &Sender<Event>,
    ) {
        let Some(key) = entry.key() else { return };
        if self.claim_retry_at.is_some_and(|at| now < at) || !self.claims.insert(key) {
            return;
        }
        let known = self.rows.get(&key).map_or(Revision::ABSENT, |(revision, _)| *revision);
        let (store, sender, entry) = (Rc::clone(store), events.clone(), entry.clone());
        spawn_task(events, async move {
            let claim = claim(&*store, key, &entry, known).await;
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = sender.send(Event::TrialClaimed(now, entry, claim)).await;
        });
    }

    /// Handles the end of a claim.
    pub(crate) fn on_claimed(&mut self, now: Instant, entry: &Entry, claim: &TrialClaim) {
        entry.key().iter().for_each(|key| {
            self.claims.remove(key);
        });
        if let TrialClaim::Failed(err) = claim {
            log::info!(reason = err.to_string().as_str(); "trial_claim_failed");
            self.claim_retry_at = Some(now + RETRY_PAUSE);
        }
    }
}

/// Counts the trial that follows those of `entry` in its row, whose revision is thought to be `known`. Of several nodes
/// that do so at the same time, one succeeds.
async fn claim<S: TableService>(
    store: &S,
    key: u64,
    entry: &Entry,
    mut known: Revision,
) -> TrialClaim {
    let claimed = Entry { trials: entry.trials + 1, ..entry.clone() };
    for _ in 0..2 {
        let txn = Txn::compare_and_set(row_key(key), known, encode(&claimed));
        match store.transact(&txn).await {
            Ok(TxnAnswer::Committed(_)) => return TrialClaim::Granted,
            Ok(TxnAnswer::Conflict(rows)) => match rows.first() {
                Some(row) => {
                    let stored = decode(row);
                    let is_same = |stored: &Entry| {
                        let Entry { trials, generation, is_lifted, .. } = *stored;
                        (trials, generation, is_lifted) == (entry.trials, entry.generation, false)
                    };
                    if !stored.as_ref().is_some_and(is_same) {
                        return TrialClaim::Denied(stored);
                    }
                    known = row.revision;
                }
                None => known = Revision::ABSENT,
            },
            Err(err) => return TrialClaim::Failed(err),
        }
    }
    TrialClaim::Denied(None)
}

#[cfg(test)]
mod tests;
