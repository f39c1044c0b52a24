//! What the first core of a data centre tells its leaves of the registry.
//!
//! Entries change with every adapter that an engine loads and with every copy of weights that it comes
//! to have at hand. Leaves learn of adapters from the holder of the lease, and copies concern the holder
//! alone, so leaves are told only of changes by which requests go elsewhere.

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

/// What leaves know.
#[derive(Debug, Default)]
pub(crate) struct LeafRegistry {
    /// Entries without what leaves aren't told.
    told: BTreeMap<BackendId, ServerRecord>,
    revision: Revision,
}

impl LeafRegistry {
    /// Revision of the last news for leaves.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes news that was new to this node. Returns what leaves must be told of it.
    pub(crate) fn take(&mut self, news: &RegistryUpdate) -> Option<RegistryUpdate> {
        let mut removed: Vec<BackendId> =
            news.removed.iter().filter(|id| self.told.contains_key(*id)).cloned().collect();
        let lapsed: Vec<LapsedEntry> = news.lapsed.iter().map(lapsed_for_leaves).collect();
        if news.after.is_none() {
            let still_used = lapsed.iter().map(|lapsed| &lapsed.entry);
            let present: HashSet<&BackendId> =
                news.written.iter().chain(still_used).map(|entry| &entry.record.key.id).collect();
            removed.extend(self.told.keys().filter(|id| !present.contains(id)).cloned());
        }
        let gone = lapsed.iter().map(|lapsed| &lapsed.entry.record.key.id).chain(&removed);
        gone.for_each(|id| {
            self.told.remove(id);
        });
        let written: Vec<ServerEntry> = news
            .written
            .iter()
            .filter(|entry| self.is_news(&entry.record))
            .map(for_leaves)
            .collect();
        if written.is_empty() && removed.is_empty() && lapsed.is_empty() {
            return None;
        }
        let after = std::mem::replace(&mut self.revision, news.revision);
        let lapses = news.lapses;
        let (after, revision) = (Some(after), news.revision);
        Some(RegistryUpdate { after, revision, lapses, written, removed, lapsed })
    }

    /// All that leaves must know, from `all` that this node knows.
    pub(crate) fn all(&self, all: &RegistryUpdate) -> RegistryUpdate {
        let written = all.written.iter().map(for_leaves).collect();
        let lapsed = all.lapsed.iter().map(lapsed_for_leaves).collect();
        RegistryUpdate { revision: self.revision, written, lapsed, ..all.clone() }
    }

    /// True if leaves don't know `record` yet; they do from now on.
    fn is_news(&mut self, record: &ServerRecord) -> bool {
        let without_adapters =
            |held: &Residence| Residence { adapters: Vec::new(), ..held.clone() };
        let residents = record.residents.iter().map(without_adapters).collect();
        let known = ServerRecord {
            residents,
            in_memory: Vec::new(),
            on_disk: Vec::new(),
            warming_up: Duration::ZERO,
            ..record.clone()
        };
        let before = self.told.insert(record.key.id.clone(), known);
        before.as_ref() != self.told.get(&record.key.id)
    }
}

fn lapsed_for_leaves(lapsed: &LapsedEntry) -> LapsedEntry {
    LapsedEntry { entry: for_leaves(&lapsed.entry), age: lapsed.age }
}

/// `entry` without what concerns the holder of the lease alone.
fn for_leaves(entry: &ServerEntry) -> ServerEntry {
    let record =
        ServerRecord { in_memory: Vec::new(), on_disk: Vec::new(), ..entry.record.clone() };
    ServerEntry { revision: entry.revision, record }
}

#[cfg(test)]
mod tests;
