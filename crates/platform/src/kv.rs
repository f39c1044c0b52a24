//! Values that describe operations on the table service.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Key of a row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Arc<str>);

impl Key {
    /// Wraps `key`.
    pub fn new(key: &str) -> Self {
        Self(Arc::from(key))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Which history of the store a revision belongs to. A store that is restored from a copy begins a new
/// era: what it had acknowledged since the copy was made is gone, and revision numbers are given out
/// again. Zero for stores that don't say.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// Modification revision of a row. Revisions are ordered by their era first, so that one from before a
/// restore is never taken for a later one. The number zero means that the row doesn't exist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Revision {
    /// The store's era.
    pub era: Era,
    /// The number that the store gave it, unique within its era.
    pub number: u64,
}

impl Revision {
    /// The revision of a row that doesn't exist.
    pub const ABSENT: Self = Self::new(0);

    /// Returns the revision `number` of a store that doesn't tell its era.
    pub const fn new(number: u64) -> Self {
        Self::in_era(Era(0), number)
    }

    /// Returns the revision `number` of `era`.
    pub const fn in_era(era: Era, number: u64) -> Self {
        Self { era, number }
    }
}

/// A row as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: Key,
    /// Its modification revision.
    pub revision: Revision,
    /// Its content.
    pub value: Vec<u8>,
}

/// A condition of a transaction: the row stands at exactly this revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Key of the row.
    pub key: Key,
    /// The expected revision.
    pub revision: Revision,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Stores a row.
    Put {
        /// Key of the row.
        key: Key,
        /// Its content.
        value: Vec<u8>,
    },
    /// Removes a row.
    Delete {
        /// Key of the row.
        key: Key,
    },
}

/// A transaction: all writes if all conditions hold, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is then written.
    pub writes: Vec<Write>,
}

impl Txn {
    /// A compare-and-set of one row.
    pub fn compare_and_set(key: Key, expected: Revision, value: Vec<u8>) -> Self {
        Self {
            conditions: vec![Condition { key: key.clone(), revision: expected }],
            writes: vec![Write::Put { key, value }],
        }
    }
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TxnAnswer {
    /// All writes took effect; the rows written stand at this revision.
    Committed(Revision),
    /// A condition failed and nothing was written. Holds the rows of the conditions as they stand;
    /// one that doesn't exist is left out.
    Conflict(Vec<StoredRow>),
}

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The request never left, so it had no effect.
    NotSent {
        /// Explanation.
        reason: String,
    },
    /// The request left; it may have taken effect or may do so later.
    Unknown {
        /// Explanation.
        reason: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent { reason } => write!(f, "platform service not reached: {reason}"),
            Self::Unknown { reason } => write!(f, "platform service gave no answer: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}
