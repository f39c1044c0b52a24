//! The combinations of parts that aren't sent to engines.

use {
    crate::{
        contains_all,
        crash_log::Attribution,
        entry::{Entry, EntryUpdate},
        quarantine_view::{BlockedParts, QuarantineView},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time from the quarantine of a combination to its first trial. A trial of parts that still crash engines costs an
/// engine and all requests on it.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(15);
/// Factor by which each trial's interval is longer than the one before.
const TRIAL_INTERVAL_FACTOR: u32 = 4;
/// Longest interval between two trials.
const TRIAL_INTERVAL_MAX: Duration = Duration::from_secs(3600);
/// Time for which a lifted entry is kept, so that a node with an older copy doesn't bring it back.
const LIFTED_KEPT_FOR: Duration = Duration::from_secs(60);
/// Largest number of entries, lifted ones included.
const ENTRIES_MAX: usize = 64;

/// An entry with this node's times.
#[derive(Clone, Debug)]
struct Kept {
    entry: Entry,
    since: Instant,
    trial_at: Instant,
}

/// The combinations of parts that one node knows to be quarantined.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<u64, Kept>,
}

/// Interval before the trial that follows `trials` earlier ones.
fn trial_interval(trials: u32) -> Duration {
    let factor = TRIAL_INTERVAL_FACTOR.saturating_pow(trials);
    FIRST_TRIAL_AFTER.saturating_mul(factor).min(TRIAL_INTERVAL_MAX)
}

impl Quarantine {
    /// Quarantines the combination that `attribution` names.
    pub fn add(&mut self, now: Instant, attribution: &Attribution) {
        let known = attribution.parts.last().and_then(|key| self.entries.get(key));
        let entry = Entry {
            parts: attribution.parts.clone(),
            generation: known.map_or(1, |kept| kept.entry.generation + 1),
            is_lifted: false,
            crashes: attribution.crashes,
            trials: 0,
        };
        self.merge(now, &EntryUpdate { entry, trial_in: trial_interval(0) });
    }

    /// Merges an entry of another node. Returns true if that changes anything; an entry that no node
    /// can have written doesn't.
    pub fn merge(&mut self, now: Instant, update: &EntryUpdate) -> bool {
        if !update.entry.is_valid() {
            return false;
        }
        let Some(key) = update.entry.key() else { return false };
        let trial_at = now + update.trial_in.min(TRIAL_INTERVAL_MAX);
        if let Some(kept) = self.entries.get_mut(&key) {
            let (was_lifted, trials) = (kept.entry.is_lifted, kept.entry.trials);
            let generation = kept.entry.generation;
            let has_changed = kept.entry.merge(&update.entry);
            if kept.entry.trials != trials || kept.entry.generation != generation {
                kept.trial_at = trial_at;
            }
            if kept.entry.is_lifted != was_lifted || kept.entry.generation != generation {
                kept.since = now;
            }
            return has_changed;
        }
        self.make_room();
        self.entries.insert(key, Kept { entry: update.entry.clone(), since: now, trial_at });
        true
    }

    /// Merges an entry that the store has kept, and whose times are unknown.
    pub fn restore(&mut self, now: Instant, entry: Entry) -> bool {
        let trial_in = trial_interval(entry.trials);
        self.merge(now, &EntryUpdate { entry, trial_in })
    }

    /// Removes an entry that the store has dropped, because it was lifted.
    pub fn drop_lifted(&mut self, now: Instant, key: u64) -> bool {
        let kept = self.entries.get_mut(&key).filter(|kept| !kept.entry.is_lifted);
        kept.is_some_and(|kept| {
            kept.entry.is_lifted = true;
            kept.since = now;
            true
        })
    }

    /// Records that requests with `parts` were answered. Each of the parts is sound: what remains of a combination is
    /// at fault, or nothing of it is. Returns true if that changes anything.
    pub fn on_served(&mut self, now: Instant, parts: &[u64]) -> bool {
        let holds_served = |kept: &&mut Kept| {
            !kept.entry.is_lifted && kept.entry.parts.iter().any(|part| parts.contains(part))
        };
        let mut remaining = Vec::new();
        let mut has_changed = false;
        for kept in self.entries.values_mut().filter(holds_served) {
            has_changed = true;
            let mut rest = kept.entry.clone();
            rest.parts.retain(|part| !parts.contains(part));
            if rest.key() == kept.entry.key() {
                kept.entry = rest;
                continue;
            }
            let trial_in = kept.trial_at.saturating_duration_since(now);
            kept.entry.is_lifted = true;
            kept.since = now;
            remaining.push(EntryUpdate { entry: rest, trial_in });
        }
        for mut update in remaining {
            let known = update.entry.key().and_then(|key| self.entries.get(&key));
            let is_lifted = known.is_some_and(|kept| kept.entry.is_lifted);
            let generation = known.map_or(1, |kept| kept.entry.generation + u32::from(is_lifted));
            update.entry.generation = generation;
            self.merge(now, &update);
        }
        has_changed
    }

    /// Records that the trial of the combination `key` that follows `trials` earlier ones begins, which the caller has
    /// claimed. The claim may have become known here before. Returns false if the trial is out of date.
    pub fn begin_trial(&mut self, now: Instant, key: u64, trials: u32) -> bool {
        let Some(kept) = self.entries.get_mut(&key) else { return false };
        if kept.entry.trials == trials {
            kept.entry.trials += 1;
            kept.trial_at = now + trial_interval(kept.entry.trials);
        }
        !kept.entry.is_lifted && kept.entry.trials == trials + 1
    }

    /// The entry of the combination `key`, if it is quarantined and a trial is due.
    pub fn due_trial(&self, now: Instant, key: u64) -> Option<&Entry> {
        let kept = self.entries.get(&key)?;
        (!kept.entry.is_lifted && now >= kept.trial_at).then_some(&kept.entry)
    }

    /// True if a request with `parts` must not be sent.
    pub fn blocks(&self, parts: &[u64]) -> bool {
        self.active().any(|kept| contains_all(parts, &kept.entry.parts))
    }

    /// The combinations that are kept away.
    pub(crate) fn combinations(&self) -> impl Iterator<Item = &[u64]> {
        self.active().map(|kept| kept.entry.parts.as_slice())
    }

    /// All entries, as other nodes merge them.
    pub fn updates(&self, now: Instant) -> Vec<EntryUpdate> {
        self.entries.values().map(|kept| kept.update(now)).collect()
    }

    /// All entries, lifted ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().map(|kept| &kept.entry)
    }

    /// True if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Forgets entries that were lifted long ago.
    pub fn sweep(&mut self, now: Instant) {
        self.entries.retain(|_, kept| {
            !kept.entry.is_lifted || now.saturating_duration_since(kept.since) < LIFTED_KEPT_FOR
        });
    }

    /// What the request path needs to know, with `suspects` besides the parts of the entries.
    pub fn view(&self, suspects: impl Iterator<Item = u64>) -> QuarantineView {
        let blocked = |kept: &Kept| {
            Some(BlockedParts {
                key: kept.entry.key()?,
                parts: kept.entry.parts.clone(),
                crashes: kept.entry.crashes,
                since: kept.since,
                trial_at: kept.trial_at,
            })
        };
        let blocked: Vec<BlockedParts> = self.active().filter_map(blocked).collect();
        let in_entries = blocked.iter().flat_map(|blocked| &blocked.parts).copied();
        let suspects: BTreeSet<u64> = in_entries.chain(suspects).collect();
        QuarantineView { blocked, suspects }
    }

    fn active(&self) -> impl Iterator<Item = &Kept> {
        self.entries.values().filter(|kept| !kept.entry.is_lifted && !kept.entry.parts.is_empty())
    }

    /// Drops an entry if there is no room for another: a lifted one if there is one, else the oldest.
    fn make_room(&mut self) {
        if self.entries.len() < ENTRIES_MAX {
            return;
        }
        let oldest =
            self.entries.iter().min_by_key(|(_, kept)| (!kept.entry.is_lifted, kept.since));
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.entries.remove(&key);
        }
    }
}

impl Kept {
    fn update(&self, now: Instant) -> EntryUpdate {
        let trial_in = self.trial_at.saturating_duration_since(now);
        EntryUpdate { entry: self.entry.clone(), trial_in }
    }
}
