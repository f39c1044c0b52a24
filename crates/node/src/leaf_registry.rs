//! The view of the registry that the primary core of a data centre sends to its leaves.
//!
//! An entry changes with every adapter that an engine loads and with every copy of weights that
//! becomes available on its host. Leaves learn of adapters from the holder of the lease, and copies
//! of weights concern only the holder, so leaves are sent only the changes that affect where
//! requests are routed.

use {
    crate::registry_update::{LapsedEntry, RegistryUpdate, ServerEntry},
    glade_catalog::{Residence, ServerRecord},
    glade_platform::Revision,
    glade_types::BackendId,
    std::{
        collections::{BTreeMap, HashSet},
        time::Duration,
    },
};

/// The registry as the leaves know it.
#[derive(Debug, Default)]
pub(crate) struct LeafRegistry {
    /// The latest entries, without what leaves aren't sent.
    records: BTreeMap<BackendId, ServerRecord>,
    revision: Revision,
}

impl LeafRegistry {
    /// Revision of the last update for leaves.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Applies an update that was new to this node. Returns the update that leaves must be sent, if
    /// any.
    pub(crate) fn apply(&mut self, update: &RegistryUpdate) -> Option<RegistryUpdate> {
        let mut removed: Vec<BackendId> =
            update.removed.iter().filter(|id| self.records.contains_key(*id)).cloned().collect();
        let lapsed: Vec<LapsedEntry> = update.lapsed.iter().map(lapsed_for_leaves).collect();
        if update.after.is_none() {
            let still_used = lapsed.iter().map(|lapsed| &lapsed.entry);
            let present: HashSet<&BackendId> =
                update.written.iter().chain(still_used).map(|entry| &entry.record.key.id).collect();
            removed.extend(self.records.keys().filter(|id| !present.contains(id)).cloned());
        }
        let gone = lapsed.iter().map(|lapsed| &lapsed.entry.record.key.id).chain(&removed);
        gone.for_each(|id| {
            self.records.remove(id);
        });
        let written: Vec<ServerEntry> = update
            .written
            .iter()
            .filter(|entry| self.replace(&entry.record))
            .map(for_leaves)
            .collect();
        if written.is_empty() && removed.is_empty() && lapsed.is_empty() {
            return None;
        }
        let after = std::mem::replace(&mut self.revision, update.revision);
        let store_was_unreachable = update.store_was_unreachable;
        let (after, revision) = (Some(after), update.revision);
        Some(RegistryUpdate { after, revision, store_was_unreachable, written, removed, lapsed })
    }

    /// All entries for leaves, made from `all`, the entries that this node knows.
    pub(crate) fn snapshot(&self, all: &RegistryUpdate) -> RegistryUpdate {
        let written = all.written.iter().map(for_leaves).collect();
        let lapsed = all.lapsed.iter().map(lapsed_for_leaves).collect();
        RegistryUpdate { revision: self.revision, written, lapsed, ..all.clone() }
    }

    /// Replaces the known record of the server. Returns true if it differs in anything that leaves
    /// are sent.
    fn replace(&mut self, record: &ServerRecord) -> bool {
        let without_adapters =
            |resident: &Residence| Residence { adapters: Vec::new(), ..resident.clone() };
        let residents = record.residents.iter().map(without_adapters).collect();
        let compared = ServerRecord {
            residents,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            warm_up_remaining: Duration::ZERO,
            ..record.clone()
        };
        let before = self.records.insert(record.key.id.clone(), compared);
        before.as_ref() != self.records.get(&record.key.id)
    }
}

fn lapsed_for_leaves(lapsed: &LapsedEntry) -> LapsedEntry {
    LapsedEntry { entry: for_leaves(&lapsed.entry), age: lapsed.age }
}

/// `entry` without what concerns only the holder of the lease.
fn for_leaves(entry: &ServerEntry) -> ServerEntry {
    let record =
        ServerRecord { in_memory: Vec::new(), on_disk: Vec::new(), ..entry.record.clone() };
    ServerEntry { revision: entry.revision, record }
}

#[cfg(test)]
mod tests;
