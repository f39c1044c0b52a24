//! A combination of parts that is or was quarantined, as nodes exchange it and the store keeps it.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A combination of parts. A request that holds all of them isn't sent to engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Hashes of the parts, in the order of the prompt. The last one identifies the entry.
    pub parts: Vec<u64>,
    /// Number of times that the entry was quarantined. A later generation replaces an earlier one.
    pub generation: u32,
    /// A request with the parts was answered, so they are trusted again.
    pub is_lifted: bool,
    /// Number of crashes that the parts were found to explain.
    pub crashes: u32,
    /// Number of trials that were started.
    pub trials: u32,
}

impl Entry {
    /// Highest count in an entry. Nodes count up by one, so that an entry beyond it comes from another
    /// writer.
    const COUNT_MAX: u32 = 1 << 20;

    /// True if nodes may have written the entry.
    pub fn is_valid(&self) -> bool {
        let counts = [self.generation, self.crashes, self.trials];
        counts.into_iter().all(|count| count <= Self::COUNT_MAX) && !self.parts.is_empty()
    }

    /// The part that identifies the entry.
    pub fn key(&self) -> Option<u64> {
        self.parts.last().copied()
    }

    /// Merges another node's copy of the same entry into this one. Returns true if this one has changed.
    pub(crate) fn merge(&mut self, other: &Self) -> bool {
        if other.generation < self.generation {
            return false;
        }
        let merged = if other.generation > self.generation {
            other.clone()
        } else {
            let in_both = |part: &&u64| other.parts.contains(part);
            Self {
                parts: self.parts.iter().filter(in_both).copied().collect(),
                generation: self.generation,
                is_lifted: self.is_lifted || other.is_lifted,
                crashes: self.crashes.max(other.crashes),
                trials: self.trials.max(other.trials),
            }
        };
        let has_changed = merged != *self;
        *self = merged;
        has_changed
    }
}

/// An entry as one node sends it to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryUpdate {
    /// The entry.
    pub entry: Entry,
    /// Time until the next trial, as of the sending.
    pub trial_in: Duration,
}
