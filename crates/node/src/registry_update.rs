//! Updates of the registry of backend servers: changes or all entries, read from the store or
//! received from another node.

use {
    glade_adapter::registry,
    glade_catalog::ServerRecord,
    glade_platform::{Change, Changes, Revision, Snapshot, StoredRow},
    glade_types::{BackendId, SoftwareVersion},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// A backend server's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ServerEntry {
    /// Revision at which the entry was written.
    pub(crate) revision: Revision,
    /// The server's description of itself.
    pub(crate) record: ServerRecord,
}

/// Software version of a server process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ServerVersion {
    /// Hash of the server's key.
    pub(crate) server: u32,
    /// Version of the server's software.
    pub(crate) version: SoftwareVersion,
}

/// An entry that disappeared while the store was unreachable, perhaps only because the server
/// couldn't renew it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LapsedEntry {
    /// The entry before it disappeared.
    pub(crate) entry: ServerEntry,
    /// Time since it disappeared.
    pub(crate) age: Duration,
}

/// Changes of the registry, or all of its entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct RegistryUpdate {
    /// Revision that the changes follow; `None` if the update has all entries of the registry.
    pub(crate) after: Option<Revision>,
    /// Revision of the registry after the update.
    pub(crate) revision: Revision,
    /// Entries may be missing only because the store was unreachable. Their servers stay in use for
    /// a while.
    #[serde(rename = "lapses")]
    pub(crate) store_was_unreachable: bool,
    /// Entries that were written, or all entries.
    pub(crate) written: Vec<ServerEntry>,
    /// Servers whose entries were removed or can't be decoded.
    pub(crate) removed: Vec<BackendId>,
    /// Entries that have disappeared, and whose servers the sender still uses for a while. Only
    /// updates from another node have them.
    pub(crate) lapsed: Vec<LapsedEntry>,
}

impl RegistryUpdate {
    /// Decodes a snapshot of the registry's table.
    pub(crate) fn from_snapshot(snapshot: &Snapshot, store_was_unreachable: bool) -> Self {
        let written = snapshot.rows.iter().filter_map(|row| decode_entry(row).ok()).collect();
        Self {
            after: None,
            revision: snapshot.revision,
            store_was_unreachable,
            written,
            removed: Vec::new(),
            lapsed: Vec::new(),
        }
    }

    /// Decodes changes of the registry's table since `after`.
    pub(crate) fn from_changes(
        after: Revision,
        changes: &Changes,
        store_was_unreachable: bool,
    ) -> Self {
        let mut update = Self {
            after: Some(after),
            revision: changes.revision,
            store_was_unreachable,
            written: Vec::new(),
            removed: Vec::new(),
            lapsed: Vec::new(),
        };
        for change in last_change_of_each_row(&changes.changes) {
            match change {
                Change::Written(row) => match decode_entry(row) {
                    Ok(entry) => update.written.push(entry),
                    Err(id) => update.removed.extend(id),
                },
                Change::Removed(key) => update.removed.extend(server_id(key.as_str())),
            }
        }
        update
    }

    /// Replaces entries that name no usable server by removals. Another node may have accepted them
    /// under earlier rules.
    pub(crate) fn reject_invalid(mut self) -> Self {
        let removed = &mut self.removed;
        let mut is_valid = |entry: &ServerEntry| {
            let Err(err) = entry.record.check() else { return true };
            let (id, reason) = (&entry.record.key.id, err.to_string());
            log::warn!(server = id.as_str(), reason = reason.as_str(); "entry_rejected");
            removed.push(id.clone());
            false
        };
        self.written.retain(&mut is_valid);
        self.lapsed.retain(|lapsed| is_valid(&lapsed.entry));
        self
    }

    /// Makes removals of all entries that the sender takes for lapsed.
    pub(crate) fn without_lapses(mut self) -> Self {
        self.store_was_unreachable = false;
        let lapsed = std::mem::take(&mut self.lapsed).into_iter();
        self.removed.extend(lapsed.map(|lapsed| lapsed.entry.record.key.id));
        self
    }

    /// True if the update consists of changes and has none.
    pub(crate) fn is_empty(&self) -> bool {
        self.after.is_some()
            && self.written.is_empty()
            && self.removed.is_empty()
            && self.lapsed.is_empty()
    }
}

/// The last change of each row. Only the removal counts of a row that was written and removed since
/// the previous read.
fn last_change_of_each_row(changes: &[Change]) -> impl Iterator<Item = &Change> {
    let last: HashMap<&str, usize> = changes.iter().map(row_key).zip(0..).collect();
    let is_last = move |(position, change): &(usize, &Change)| last[row_key(change)] == *position;
    changes.iter().enumerate().filter(is_last).map(|(_, change)| change)
}

fn row_key(change: &Change) -> &str {
    match change {
        Change::Written(row) => row.key.as_str(),
        Change::Removed(key) => key.as_str(),
    }
}

/// Decodes an entry. The error has the name of the server whose entry can't be decoded, if the key
/// has one.
fn decode_entry(row: &StoredRow) -> Result<ServerEntry, Option<BackendId>> {
    let id = server_id(row.key.as_str()).ok_or(None)?;
    match registry::decode(id.as_str(), &row.value) {
        Ok(record) => Ok(ServerEntry { revision: row.revision, record }),
        Err(err) => {
            let reason = err.to_string();
            log::warn!(key = row.key.as_str(), reason = reason.as_str(); "entry_unreadable");
            Err(Some(id))
        }
    }
}

fn server_id(key: &str) -> Option<BackendId> {
    key.split_once('/').map(|(_, name)| BackendId::new(name))
}

#[cfg(test)]
mod tests;
