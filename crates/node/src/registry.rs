//! This node's copy of the registry of backend servers: the servers' entries from the store, merged
//! with the lease holder's digests of engines and with what nodes have observed of servers
//! themselves.

use {
    crate::registry_update::{LapsedEntry, RegistryUpdate, ServerEntry, ServerVersion},
    glade_catalog::{DURATION_MAX, ServerKey, ServerRecord, ServerState, is_adapter_of},
    glade_dispatch::{Load, ServerView},
    glade_platform::Revision,
    glade_residency::{EngineDigest, PendingLoad},
    glade_types::{BackendId, DataCentre, ModelName, SoftwareVersion},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which a server whose process was found gone gets no requests, unless its entry changes.
/// It is longer than the registry needs to remove the entry of a server that has stopped renewing
/// it.
const GONE_TIME: Duration = Duration::from_secs(5);

/// Time for which a server whose entry disappeared during an outage of the store stays in use. Live
/// servers write their entries again within two seconds of the store's return; a server that has
/// left for good mustn't get requests for longer than that.
pub(crate) const LAPSE_TIME: Duration = Duration::from_millis(1600);

#[derive(Clone, Debug)]
struct Entry {
    /// Hash of the server's key, which identifies it in messages about loads.
    key_hash: u32,
    revision: Revision,
    record: Arc<ServerRecord>,
    resident_models: Arc<HashSet<ModelName>>,
}

/// Backend servers by name, with the lease holder's digests of engines. A server's key identifies
/// one process of it, from start to end.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    entries: BTreeMap<BackendId, Entry>,
    /// Revision up to which all changes are known.
    revision: Revision,
    /// Servers whose entries disappeared during an outage of the store, and since when.
    lapsed: HashMap<BackendId, Instant>,
    /// Server processes that have announced to this node or in their entries that they are leaving.
    /// They never take work again.
    leaving: HashSet<ServerKey>,
    /// Server processes that another node has reported as leaving, with the revision of their entry
    /// at that time. The next change of the entry overrides the report.
    reported_leaving: HashMap<ServerKey, Revision>,
    /// Server processes that were found gone, with the revision of their entry and the time.
    gone: HashMap<ServerKey, (Revision, Instant)>,
    /// Software versions of server processes, by the hashes of their keys.
    versions: HashMap<u32, SoftwareVersion>,
    /// Lease term that the digests come from.
    epoch: u64,
    digests: HashMap<ServerKey, EngineDigest>,
    /// When models that are being loaded are likely to be ready.
    pending_loads: HashMap<ServerKey, Vec<(ModelName, Instant)>>,
}

/// True if `entry` is of an earlier process than the `known` one, and came back with a backup of the store.
fn is_from_backup(entry: &ServerEntry, known: &Entry) -> bool {
    entry.revision.era > known.revision.era
        && entry.record.key.start_time_ms < known.record.key.start_time_ms
}

impl Registry {
    /// Applies an update. Returns false if changes are missing between the known revision and the
    /// update.
    pub(crate) fn apply(&mut self, now: Instant, update: RegistryUpdate) -> bool {
        let store_was_unreachable = update.store_was_unreachable;
        if update.after.is_some_and(|after| after > self.revision) {
            return false;
        }
        if update.revision <= self.revision {
            return true;
        }
        self.revision = update.revision;
        if update.after.is_none() {
            let lapsed = update.lapsed.iter().map(|lapsed| &lapsed.entry);
            let present: HashSet<&BackendId> =
                update.written.iter().chain(lapsed).map(|entry| &entry.record.key.id).collect();
            let missing: Vec<BackendId> =
                self.entries.keys().filter(|id| !present.contains(id)).cloned().collect();
            missing.iter().for_each(|id| self.remove_or_lapse(now, id, store_was_unreachable));
        }
        update.removed.iter().for_each(|id| self.remove_or_lapse(now, id, store_was_unreachable));
        for entry in update.written {
            let known = self.entries.get(&entry.record.key.id);
            if known.is_some_and(|known| is_from_backup(&entry, known)) {
                self.mark_lapsed(&entry.record.key.id, now);
                continue;
            }
            let is_new = known.is_none_or(|known| known.revision < entry.revision);
            self.lapsed.remove(&entry.record.key.id);
            if is_new {
                self.insert(entry.revision, entry.record);
            }
        }
        update.lapsed.into_iter().for_each(|lapsed| self.add_lapsed(now, lapsed));
        true
    }

    /// Adds an entry that another node has seen disappear during an outage of the store. This node
    /// stops using the server no later than that node.
    fn add_lapsed(&mut self, now: Instant, LapsedEntry { entry, age }: LapsedEntry) {
        let id = entry.record.key.id.clone();
        match self.entries.get(&id) {
            Some(known) if known.revision > entry.revision => return,
            Some(known) if known.revision == entry.revision => {}
            _ => self.insert(entry.revision, entry.record),
        }
        self.mark_lapsed(&id, now.checked_sub(age).unwrap_or(now));
    }

    /// Records that a server's entry disappeared at `since`, perhaps only because the store was
    /// unreachable.
    fn mark_lapsed(&mut self, id: &BackendId, since: Instant) {
        if let Some(known) = self.lapsed.get_mut(id) {
            *known = since.min(*known);
        } else {
            self.lapsed.insert(id.clone(), since);
            log::info!(server = id.as_str(), revision = self.revision.number; "server_lapsed");
        }
    }

    /// Marks the registry as possibly incomplete, so that the next update with all entries is
    /// applied whatever its revision.
    pub(crate) fn invalidate(&mut self) {
        self.revision = Revision::ABSENT;
        self.entries.values_mut().for_each(|entry| entry.revision = Revision::ABSENT);
        // Servers that were found gone or reported as leaving stay unusable until their entries are
        // updated.
        self.gone.values_mut().for_each(|(revision, _)| *revision = Revision::ABSENT);
        self.reported_leaving.values_mut().for_each(|revision| *revision = Revision::ABSENT);
    }

    /// All entries that this node knows.
    pub(crate) fn snapshot(&self, now: Instant) -> RegistryUpdate {
        let mut all = RegistryUpdate {
            after: None,
            revision: self.revision,
            store_was_unreachable: false,
            written: Vec::new(),
            removed: Vec::new(),
            lapsed: Vec::new(),
        };
        for (id, known) in &self.entries {
            let record = ServerRecord::clone(&known.record);
            let entry = ServerEntry { revision: known.revision, record };
            match self.lapsed.get(id) {
                Some(since) => {
                    let age = now.saturating_duration_since(*since);
                    all.lapsed.push(LapsedEntry { entry, age });
                }
                None => all.written.push(entry),
            }
        }
        all
    }

    /// Revision up to which all changes are known.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Removes servers whose lapsed entries weren't written again in time. Returns true if there
    /// were any.
    pub(crate) fn expire_lapsed(&mut self, now: Instant) -> bool {
        let overdue: Vec<BackendId> = self
            .lapsed
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= LAPSE_TIME)
            .map(|(id, _)| id.clone())
            .collect();
        overdue.iter().for_each(|id| self.remove(id));
        !overdue.is_empty()
    }

    /// Handles a missing entry: keeps the server in use for a while if the store was unreachable,
    /// else removes it.
    fn remove_or_lapse(&mut self, now: Instant, id: &BackendId, store_was_unreachable: bool) {
        if store_was_unreachable && self.entries.contains_key(id) {
            self.mark_lapsed(id, now);
        } else {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &BackendId) {
        self.lapsed.remove(id);
        if let Some(entry) = self.entries.remove(id) {
            self.versions.remove(&entry.key_hash);
            log::info!(server = id.as_str(), revision = self.revision.number; "server_gone");
        }
    }

    /// Applies the lease holder's digests of engines. Digests of an earlier holder are ignored.
    pub(crate) fn apply_digests(&mut self, now: Instant, epoch: u64, engines: Vec<EngineDigest>) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.digests.clear();
            self.pending_loads.clear();
        }
        for digest in engines {
            let key = digest.server.clone();
            let pending = digest
                .pending_loads
                .iter()
                .map(|pending| (pending.model.clone(), now + pending.ready_in.min(DURATION_MAX)))
                .collect();
            self.pending_loads.insert(key.clone(), pending);
            self.digests.insert(key.clone(), digest);
            self.update_resident_models(&key.id);
        }
    }

    /// The latest digests of all engines, with the epoch of the lease term that they come from.
    pub(crate) fn digests(&self, now: Instant) -> (u64, Vec<EngineDigest>) {
        let ready_in = |at: Instant| at.saturating_duration_since(now);
        let digest = |(key, known): (&ServerKey, &EngineDigest)| {
            let pending = self.pending_loads.get(key).into_iter().flatten();
            let pending_loads = pending
                .map(|(model, at)| PendingLoad { model: model.clone(), ready_in: ready_in(*at) })
                .collect();
            EngineDigest { pending_loads, ..known.clone() }
        };
        (self.epoch, self.digests.iter().map(digest).collect())
    }

    /// Records the software versions of server processes. Returns those that weren't known.
    pub(crate) fn apply_versions(&mut self, versions: Vec<ServerVersion>) -> Vec<ServerVersion> {
        let mut new = Vec::new();
        for version in versions {
            let known = self.versions.insert(version.server, version.version.clone());
            if known.as_ref() != Some(&version.version) {
                new.push(version);
            }
        }
        if !new.is_empty() {
            for entry in self.entries.values_mut() {
                let Some(version) = self.versions.get(&entry.key_hash) else { continue };
                if entry.record.version != *version {
                    Arc::make_mut(&mut entry.record).version = version.clone();
                }
            }
        }
        new
    }

    /// The known software versions of the servers in `update`.
    pub(crate) fn versions_of(&self, update: &RegistryUpdate) -> Vec<ServerVersion> {
        let lapsed = update.lapsed.iter().map(|lapsed| &lapsed.entry);
        let servers =
            update.written.iter().chain(lapsed).map(|entry| entry.record.key.short_hash());
        let version = |server: u32| {
            let version = self.versions.get(&server)?.clone();
            Some(ServerVersion { server, version })
        };
        servers.filter_map(version).collect()
    }

    fn insert(&mut self, revision: Revision, mut record: ServerRecord) {
        let is_leaving = matches!(record.state, ServerState::Leaving { .. });
        if is_leaving && self.leaving.insert(record.key.clone()) {
            log::info!(server = record.key.id.as_str(), revision = revision.number; "server_leaving");
        }
        let id = record.key.id.clone();
        let key_hash = record.key.short_hash();
        // Records that come from another node lack the version.
        if record.version == SoftwareVersion::default() {
            record.version = self.versions.get(&key_hash).cloned().unwrap_or_default();
        } else {
            self.versions.insert(key_hash, record.version.clone());
        }
        let entry =
            Entry { key_hash, revision, record: Arc::new(record), resident_models: Arc::default() };
        self.entries.insert(id.clone(), entry);
        self.update_resident_models(&id);
    }

    /// Recomputes which models and adapters requests can use at a server, from its entry and its
    /// digest.
    fn update_resident_models(&mut self, id: &BackendId) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let digest = self.digests.get(&entry.record.key);
        let mut resident_models = HashSet::new();
        for residence in &entry.record.residents {
            if digest.is_some_and(|digest| digest.unloading.contains(&residence.model)) {
                continue;
            }
            match digest {
                Some(digest) => resident_models.extend(
                    digest
                        .adapters
                        .iter()
                        .filter(|adapter| is_adapter_of(adapter, &residence.model))
                        .cloned(),
                ),
                None => resident_models.extend(residence.adapters.iter().cloned()),
            }
            resident_models.insert(residence.model.clone());
        }
        entry.resident_models = Arc::new(resident_models);
    }

    /// Keys of all servers.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &ServerKey> {
        self.entries.values().map(|entry| &entry.record.key)
    }

    /// Records of all servers, with whether they take work.
    pub(crate) fn records(&self, now: Instant) -> impl Iterator<Item = (&Arc<ServerRecord>, bool)> {
        self.entries.values().map(move |entry| (&entry.record, self.is_usable(now, entry)))
    }

    fn is_usable(&self, now: Instant, entry: &Entry) -> bool {
        let key = &entry.record.key;
        let is_gone = self.gone.get(key).is_some_and(|(revision, at)| {
            *revision == entry.revision && now.saturating_duration_since(*at) < GONE_TIME
        });
        let is_reported_leaving = self.reported_leaving.get(key) == Some(&entry.revision);
        !is_gone && !is_reported_leaving && !self.leaving.contains(key)
    }

    /// Records that a server's process is gone. Its entry stays in the registry until it expires
    /// there; a newer entry means that the server is back. Returns false if the server was already
    /// known to take no work.
    pub(crate) fn mark_gone(&mut self, now: Instant, key: &ServerKey) -> bool {
        let Some(revision) = self.usable_revision(now, key) else { return false };
        self.gone.insert(key.clone(), (revision, now));
        log::warn!(server = key.id.as_str(), revision = revision.number; "server_found_gone");
        true
    }

    /// Records another node's report that a server has announced that it is leaving. Returns false
    /// if the server was already known to take no work.
    pub(crate) fn mark_reported_leaving(&mut self, now: Instant, key: &ServerKey) -> bool {
        let Some(revision) = self.usable_revision(now, key) else { return false };
        self.reported_leaving.insert(key.clone(), revision);
        true
    }

    /// Revision of the entry of the server process `key`, if it takes work.
    fn usable_revision(&self, now: Instant, key: &ServerKey) -> Option<Revision> {
        let entry = self.entries.get(&key.id)?;
        (entry.record.key == *key && self.is_usable(now, entry)).then_some(entry.revision)
    }

    /// Records that a server has announced to this node that it is leaving. Returns false if that
    /// was known.
    pub(crate) fn mark_leaving(&mut self, key: &ServerKey) -> bool {
        self.leaving.insert(key.clone())
    }

    /// The servers as routing sees them on a node in `data_centre`. `other_vms_loads` has the
    /// requests that other nodes have in flight at each server, by the hash of its key.
    pub(crate) fn views(
        &self,
        now: Instant,
        data_centre: &DataCentre,
        other_vms_loads: &HashMap<u32, Load>,
    ) -> Vec<ServerView> {
        let view = |entry: &Entry| ServerView {
            usable: self.is_usable(now, entry),
            same_data_centre: entry.record.data_centre == *data_centre,
            record: Arc::clone(&entry.record),
            resident_models: Arc::clone(&entry.resident_models),
            other_vms_load: other_vms_loads.get(&entry.key_hash).copied().unwrap_or_default(),
            limit: None,
        };
        self.entries.values().map(view).collect()
    }

    /// For each model that is being loaded, when it is likely to be ready at the first server of each software
    /// version.
    pub(crate) fn models_ready_at(&self) -> HashMap<ModelName, BTreeMap<u32, Instant>> {
        let mut earliest: HashMap<ModelName, BTreeMap<u32, Instant>> = HashMap::new();
        for (key, loads) in &self.pending_loads {
            let entry = self.entries.get(&key.id).filter(|entry| entry.record.key == *key);
            let Some(version) = entry.map(|entry| entry.record.version_hash()) else { continue };
            for (model, at) in loads {
                let by_version = earliest.entry(model.clone()).or_default();
                let known = by_version.entry(version).or_insert(*at);
                *known = (*known).min(*at);
            }
        }
        earliest
    }
}

#[cfg(test)]
mod tests;
