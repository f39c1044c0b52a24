//! Values that describe the changes of a table.

use {
    crate::kv::{Key, Revision, StoreError, StoredRow},
    std::fmt,
};

/// All rows of a table as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The rows.
    pub rows: Vec<StoredRow>,
    /// Revision of the whole store at that moment; changes are asked for from here.
    pub revision: Revision,
}

/// What became of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Written(StoredRow),
    /// It was removed.
    Removed(Key),
}

/// Changes of a table, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes; a later one of the same row goes before an earlier one.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub revision: Revision,
}

/// Why changes can't be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedError {
    /// The service no longer knows what happened since the revision that was asked for.
    HistoryLost,
    /// The service didn't answer.
    Store(StoreError),
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => f.write_str("the changes since then are no longer known"),
            Self::Store(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for FeedError {}
