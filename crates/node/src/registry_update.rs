//! News of the registry, as the store or another node tells it.

use {
    glade_adapter::registry,
    glade_catalog::ServerRecord,
    glade_platform::{Change, Changes, Revision, Snapshot, StoredRow},
    glade_types::BackendId,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// A backend server's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ServerEntry {
    /// Revision at which it was written.
    pub(crate) revision: Revision,
    /// What it says.
    pub(crate) record: ServerRecord,
}

/// An entry that went while the store was away.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LapsedEntry {
    /// The entry as it was.
    pub(crate) entry: ServerEntry,
    /// Time since it went.
    pub(crate) age: Duration,
}

/// What has changed in the registry, or all of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct RegistryUpdate {
    /// Revision since which these are all changes; `None` if this is the whole registry.
    pub(crate) after: Option<Revision>,
    /// Revision that the receiver has reached with them.
    pub(crate) revision: Revision,
    /// Entries may be missing only because the store was away; their servers stay in use for a while.
    pub(crate) lapses: bool,
    /// Entries that were written.
    pub(crate) written: Vec<ServerEntry>,
    /// Servers whose entries are gone or can't be read.
    pub(crate) removed: Vec<BackendId>,
    /// Entries of the whole registry that are gone, and whose servers the teller still uses for a while.
    pub(crate) lapsed: Vec<LapsedEntry>,
}

impl RegistryUpdate {
    /// Decodes the whole registry.
    pub(crate) fn from_snapshot(snapshot: &Snapshot, lapses: bool) -> Self {
        let written = snapshot.rows.iter().filter_map(|row| entry(row).ok()).collect();
        Self {
            after: None,
            revision: snapshot.revision,
            lapses,
            written,
            removed: Vec::new(),
            lapsed: Vec::new(),
        }
    }

    /// Decodes changes since `after`.
    pub(crate) fn from_changes(after: Revision, changes: &Changes, lapses: bool) -> Self {
        let mut news = Self {
            after: Some(after),
            revision: changes.revision,
            lapses,
            written: Vec::new(),
            removed: Vec::new(),
            lapsed: Vec::new(),
        };
        for change in last_of_each(&changes.changes) {
            match change {
                Change::Written(row) => match entry(row) {
                    Ok(entry) => news.written.push(entry),
                    Err(id) => news.removed.extend(id),
                },
                Change::Removed(key) => news.removed.extend(server_name(key.as_str())),
            }
        }
        news
    }

    /// True if nothing has changed.
    pub(crate) fn is_empty(&self) -> bool {
        self.after.is_some()
            && self.written.is_empty()
            && self.removed.is_empty()
            && self.lapsed.is_empty()
    }
}

/// The last change of each row. Of a row that was written and removed since the last look, only the
/// removal counts.
fn last_of_each(changes: &[Change]) -> impl Iterator<Item = &Change> {
    let last: HashMap<&str, usize> = changes.iter().map(key).zip(0..).collect();
    let is_last = move |(position, change): &(usize, &Change)| last[key(change)] == *position;
    changes.iter().enumerate().filter(is_last).map(|(_, change)| change)
}

fn key(change: &Change) -> &str {
    match change {
        Change::Written(row) => row.key.as_str(),
        Change::Removed(key) => key.as_str(),
    }
}

/// Decodes an entry. One that can't be read names no server to use; the error says which.
fn entry(row: &StoredRow) -> Result<ServerEntry, Option<BackendId>> {
    let id = server_name(row.key.as_str()).ok_or(None)?;
    match registry::decode(id.as_str(), &row.value) {
        Ok(record) => Ok(ServerEntry { revision: row.revision, record }),
        Err(err) => {
            let reason = err.to_string();
            log::warn!(key = row.key.as_str(), reason = reason.as_str(); "entry_unreadable");
            Err(Some(id))
        }
    }
}

fn server_name(key: &str) -> Option<BackendId> {
    key.split_once('/').map(|(_, name)| BackendId::new(name))
}

#[cfg(test)]
mod tests;
