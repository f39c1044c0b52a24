//! What the node believes about backend servers.

use {
    crate::registry_update::{LapsedEntry, RegistryUpdate, ServerEntry},
    glade_catalog::{ServerKey, ServerRecord, ServerState, is_adapter_of},
    glade_dispatch::{Load, ServerView},
    glade_platform::Revision,
    glade_residency::{EngineDigest, PendingLoad},
    glade_types::{BackendId, DataCentre, ModelName},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which a server that was found gone gets no requests, unless its entry changes: longer than
/// the registry needs to notice its silence.
const GONE_TIME: Duration = Duration::from_secs(5);

/// Time for which a server whose entry went while the store was away stays in use. Servers that live
/// write their entries again within two seconds of the store's return; one that has left for good
/// mustn't get requests for longer than that.
const LAPSE_TIME: Duration = Duration::from_millis(1600);

#[derive(Clone, Debug)]
struct Entry {
    /// Mark of the server's life in messages.
    tag: u32,
    revision: Revision,
    record: Arc<ServerRecord>,
    holds: Arc<HashSet<ModelName>>,
}

/// Backend servers by name, with what the holder of the lease says of them.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    entries: BTreeMap<BackendId, Entry>,
    /// Revision up to which everything is known.
    revision: Revision,
    /// Servers whose entries went while the store was away, and since when.
    lapsed: HashMap<BackendId, Instant>,
    /// Lives that were seen leaving; none of them takes work again.
    leaving: HashSet<ServerKey>,
    /// Lives that another node has heard to be leaving, with the revision of their entry. The next
    /// change of the entry goes before that.
    told_leaving: HashMap<ServerKey, Revision>,
    /// Lives that were found to be gone, with the revision of their entry and the time.
    gone: HashMap<ServerKey, (Revision, Instant)>,
    /// Tenure that the digests come from.
    epoch: u64,
    digests: HashMap<ServerKey, EngineDigest>,
    /// When models that are being loaded are likely to be ready.
    arriving: HashMap<ServerKey, Vec<(ModelName, Instant)>>,
}

impl Registry {
    /// Takes news. Returns false if changes are missing between what is known and the news.
    pub(crate) fn on_news(&mut self, now: Instant, news: RegistryUpdate) -> bool {
        let lapses = news.lapses;
        if news.after.is_some_and(|after| after > self.revision) {
            return false;
        }
        if news.revision <= self.revision {
            return true;
        }
        self.revision = news.revision;
        if news.after.is_none() {
            let lapsed = news.lapsed.iter().map(|lapsed| &lapsed.entry);
            let present: HashSet<&BackendId> =
                news.written.iter().chain(lapsed).map(|entry| &entry.record.key.id).collect();
            let missing: Vec<BackendId> =
                self.entries.keys().filter(|id| !present.contains(id)).cloned().collect();
            missing.iter().for_each(|id| self.on_missing(now, id, lapses));
        }
        news.removed.iter().for_each(|id| self.on_missing(now, id, lapses));
        for entry in news.written {
            self.lapsed.remove(&entry.record.key.id);
            let known = self.entries.get(&entry.record.key.id);
            if known.is_none_or(|known| known.revision < entry.revision) {
                self.on_record(entry.revision, entry.record);
            }
        }
        news.lapsed.into_iter().for_each(|lapsed| self.on_lapsed(now, lapsed));
        true
    }

    /// Takes an entry that another node has seen go while the store was away. The server is used no longer
    /// than there.
    fn on_lapsed(&mut self, now: Instant, LapsedEntry { entry, age }: LapsedEntry) {
        let id = entry.record.key.id.clone();
        match self.entries.get(&id) {
            Some(known) if known.revision > entry.revision => return,
            Some(known) if known.revision == entry.revision => {}
            _ => self.on_record(entry.revision, entry.record),
        }
        self.lapse(&id, now.checked_sub(age).unwrap_or(now));
    }

    /// The entry of a server is gone `since` then, perhaps only because the store was away.
    fn lapse(&mut self, id: &BackendId, since: Instant) {
        if let Some(known) = self.lapsed.get_mut(id) {
            *known = since.min(*known);
        } else {
            self.lapsed.insert(id.clone(), since);
            log::info!(server = id.as_str(), revision = self.revision.number; "server_lapsed");
        }
    }

    /// What is known may be incomplete; the next that tells all of it is believed.
    pub(crate) fn doubt(&mut self) {
        self.revision = Revision::ABSENT;
        self.entries.values_mut().for_each(|entry| entry.revision = Revision::ABSENT);
        // Servers that were found gone, or are said to leave, stay so until there is word of them.
        self.gone.values_mut().for_each(|(revision, _)| *revision = Revision::ABSENT);
        self.told_leaving.values_mut().for_each(|revision| *revision = Revision::ABSENT);
    }

    /// The registry as this node knows it.
    pub(crate) fn all(&self, now: Instant) -> RegistryUpdate {
        let mut all = RegistryUpdate {
            after: None,
            revision: self.revision,
            lapses: false,
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

    /// Revision up to which everything is known.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Drops servers whose entries didn't come back in time. Returns true if there were any.
    pub(crate) fn sweep(&mut self, now: Instant) -> bool {
        let overdue: Vec<BackendId> = self
            .lapsed
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= LAPSE_TIME)
            .map(|(id, _)| id.clone())
            .collect();
        overdue.iter().for_each(|id| self.remove(id));
        !overdue.is_empty()
    }

    fn on_missing(&mut self, now: Instant, id: &BackendId, lapses: bool) {
        if lapses && self.entries.contains_key(id) {
            self.lapse(id, now);
        } else {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: &BackendId) {
        self.lapsed.remove(id);
        if self.entries.remove(id).is_some() {
            log::info!(server = id.as_str(), revision = self.revision.number; "server_gone");
        }
    }

    /// Takes what the holder of the lease says of engines; an earlier holder's word is ignored.
    pub(crate) fn on_digests(&mut self, now: Instant, epoch: u64, engines: Vec<EngineDigest>) {
        if epoch < self.epoch {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            self.digests.clear();
            self.arriving.clear();
        }
        for digest in engines {
            let key = digest.server.clone();
            let arriving = digest
                .arriving
                .iter()
                .map(|arriving| (arriving.model.clone(), now + arriving.ready_in))
                .collect();
            self.arriving.insert(key.clone(), arriving);
            self.digests.insert(key.clone(), digest);
            self.refresh(&key.id);
        }
    }

    /// What is known of all engines beyond what the registry says, and the tenure that it comes from.
    pub(crate) fn digests(&self, now: Instant) -> (u64, Vec<EngineDigest>) {
        let ready_in = |at: Instant| at.saturating_duration_since(now);
        let digest = |(key, known): (&ServerKey, &EngineDigest)| {
            let arriving = self.arriving.get(key).into_iter().flatten();
            let arriving = arriving
                .map(|(model, at)| PendingLoad { model: model.clone(), ready_in: ready_in(*at) })
                .collect();
            EngineDigest { arriving, ..known.clone() }
        };
        (self.epoch, self.digests.iter().map(digest).collect())
    }

    fn on_record(&mut self, revision: Revision, record: ServerRecord) {
        let is_leaving = matches!(record.state, ServerState::Leaving { .. });
        if is_leaving && self.leaving.insert(record.key.clone()) {
            log::info!(server = record.key.id.as_str(), revision = revision.number; "server_leaving");
        }
        let id = record.key.id.clone();
        let tag = record.key.tag();
        let entry = Entry { tag, revision, record: Arc::new(record), holds: Arc::default() };
        self.entries.insert(id.clone(), entry);
        self.refresh(&id);
    }

    /// Works out anew what a server holds.
    fn refresh(&mut self, id: &BackendId) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let digest = self.digests.get(&entry.record.key);
        let mut holds = HashSet::new();
        for residence in &entry.record.residents {
            if digest.is_some_and(|digest| digest.outgoing.contains(&residence.model)) {
                continue;
            }
            match digest {
                Some(digest) => holds.extend(
                    digest
                        .adapters
                        .iter()
                        .filter(|adapter| is_adapter_of(adapter, &residence.model))
                        .cloned(),
                ),
                None => holds.extend(residence.adapters.iter().cloned()),
            }
            holds.insert(residence.model.clone());
        }
        entry.holds = Arc::new(holds);
    }

    /// Keys of all servers.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &ServerKey> {
        self.entries.values().map(|entry| &entry.record.key)
    }

    /// Descriptions of all servers, with whether they take work.
    pub(crate) fn records(&self, now: Instant) -> impl Iterator<Item = (&Arc<ServerRecord>, bool)> {
        self.entries.values().map(move |entry| (&entry.record, self.is_usable(now, entry)))
    }

    fn is_usable(&self, now: Instant, entry: &Entry) -> bool {
        let key = &entry.record.key;
        let is_gone = self.gone.get(key).is_some_and(|(revision, at)| {
            *revision == entry.revision && now.saturating_duration_since(*at) < GONE_TIME
        });
        let is_told_leaving = self.told_leaving.get(key) == Some(&entry.revision);
        !is_gone && !is_told_leaving && !self.leaving.contains(key)
    }

    /// Takes note that a server's process is gone. Its entry stays in the registry until its silence
    /// is noticed there; a newer entry says that it is back. Returns false if that was known.
    pub(crate) fn on_gone(&mut self, now: Instant, key: &ServerKey) -> bool {
        let Some(revision) = self.usable_revision(now, key) else { return false };
        self.gone.insert(key.clone(), (revision, now));
        log::warn!(server = key.id.as_str(), revision = revision.number; "server_found_gone");
        true
    }

    /// Takes another node's word that a server has said that it is about to end. Returns false if that
    /// was known.
    pub(crate) fn on_told_leaving(&mut self, now: Instant, key: &ServerKey) -> bool {
        let Some(revision) = self.usable_revision(now, key) else { return false };
        self.told_leaving.insert(key.clone(), revision);
        true
    }

    /// Revision of the entry of this life of a server, if it takes work.
    fn usable_revision(&self, now: Instant, key: &ServerKey) -> Option<Revision> {
        let entry = self.entries.get(&key.id)?;
        (entry.record.key == *key && self.is_usable(now, entry)).then_some(entry.revision)
    }

    /// Takes a server's own word that it is about to end. Returns false if that was known.
    pub(crate) fn on_leaving(&mut self, key: &ServerKey) -> bool {
        self.leaving.insert(key.clone())
    }

    /// The servers as traffic sees them from `here`, with what other nodes have under way there.
    pub(crate) fn views(
        &self,
        now: Instant,
        here: &DataCentre,
        others: &HashMap<u32, Load>,
    ) -> Vec<ServerView> {
        let view = |entry: &Entry| ServerView {
            usable: self.is_usable(now, entry),
            same_data_centre: entry.record.data_centre == *here,
            record: Arc::clone(&entry.record),
            resident_models: Arc::clone(&entry.holds),
            other_vms_load: others.get(&entry.tag).copied().unwrap_or_default(),
        };
        self.entries.values().map(view).collect()
    }

    /// When models that no server holds yet are likely to be ready somewhere.
    pub(crate) fn arriving(&self) -> HashMap<ModelName, Instant> {
        let mut soonest: HashMap<ModelName, Instant> = HashMap::new();
        for (model, at) in self.arriving.values().flatten() {
            let known = soonest.entry(model.clone()).or_insert(*at);
            *known = (*known).min(*at);
        }
        soonest
    }
}

#[cfg(test)]
mod tests;
