//! What the store tells, of the configuration and of the registry.

use {
    super::Control,
    crate::{
        event::{Event, WatchedTable},
        leaf_digest::NameTable,
        peer_message::PeerMessage,
        registry_update::RegistryUpdate,
    },
    glade_adapter::config,
    glade_catalog::Catalog,
    glade_platform::{ChangeFeed, Era, Key, Revision, StoredRow},
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::spawn_local,
};

/// Time after the store's return during which missing entries count as lapsed.
const LAPSE_WATCH: Duration = Duration::from_millis(1500);
/// Age of the oldest copy that the store is restored from.
const COPY_AGE_MAX: Duration = Duration::from_secs(60);
/// Shortest time between two questions for a later configuration.
const CATALOG_ASK_EVERY: Duration = Duration::from_millis(700);

impl Control {
    /// Takes note of whether the store has answered.
    pub(super) fn note_store(&mut self, now: Instant, event: &Event) {
        match event {
            Event::Snapshot(..)
            | Event::Changes(..)
            | Event::NodesRead(_)
            | Event::LeaseRead(_, Ok(_))
            | Event::LeaseWritten(_, Ok(_)) => self.health.record_answer(now),
            Event::StoreCallFailed(began_at, reason) => {
                self.health.record_failure(now, *began_at, reason)
            }
            Event::LeaseRead(began_at, Err(err)) | Event::LeaseWritten(began_at, Err(err)) => {
                self.health.record_failure(now, *began_at, &err.to_string());
            }
            _ => {}
        }
    }

    /// Takes note of the `era` that the store or another node has named. What the store had acknowledged
    /// shortly before a restore is gone; this node's own row may be part of it.
    pub(super) fn note_era(&mut self, now: Instant, era: Era) {
        if self.era.is_some_and(|known| era <= known) {
            return;
        }
        let known = self.era.replace(era);
        self.leadership.on_era(now, era);
        // The first era that is heard of is where this process starts from.
        if known.is_none() {
            return;
        }
        log::warn!(era = era.0, version = self.catalog_version(); "store_restored");
        self.health.record_restore(now);
        self.beat_at = now;
        if now.saturating_duration_since(self.started_at) < COPY_AGE_MAX {
            spawn_local(self.node_discovery().write_row_again());
        }
    }

    pub(super) fn on_configuration(&mut self, now: Instant, row: &StoredRow) {
        if row.key != Key::new(&format!("{}/{}", config::TABLE, config::KEY)) {
            return;
        }
        match config::decode(&row.value) {
            Ok(catalog) => self.on_catalog(now, catalog, "store"),
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "configuration_unreadable");
            }
        }
    }

    /// Takes a configuration; one that isn't newer changes nothing.
    pub(super) fn on_catalog(&mut self, now: Instant, catalog: Catalog, source: &'static str) {
        if self.catalog.as_ref().is_some_and(|known| known.version() >= catalog.version()) {
            return;
        }
        log::info!(version = catalog.version(), source = source; "configuration_in_force");
        self.catalog_behind_since = None;
        self.names = NameTable::new(&catalog);
        self.catalog = Some(Arc::new(catalog));
        self.on_records(now);
        // Other nodes learn at once that there is a newer one.
        self.beat_at = now;
    }

    /// True if entries may be missing from what is read now only because the store was away.
    pub(super) fn lapses(&self, now: Instant) -> bool {
        self.health.was_unreachable_within(now, LAPSE_WATCH)
    }

    /// Takes what this node has read of the registry, and tells the others.
    pub(super) fn on_read_registry(&mut self, now: Instant, news: RegistryUpdate) {
        let is_known = news.revision <= self.registry.revision();
        if self.on_registry(now, news.clone()) && !is_known && !news.is_empty() {
            self.network.send_to_cores(now, &PeerMessage::Registry(news));
        }
    }

    /// Takes news of the registry. Returns false if earlier changes are missing.
    pub(super) fn on_registry(&mut self, now: Instant, news: RegistryUpdate) -> bool {
        let is_empty = news.is_empty();
        let for_leaves = self.speaks_for_leaves().then(|| news.clone());
        if !self.registry.apply(now, news) {
            return false;
        }
        if let Some(news) = for_leaves {
            self.tell_leaves_of_registry(now, &news);
        }
        self.registry_position.advance_to(self.registry.revision());
        if !is_empty {
            self.on_records(now);
        }
        true
    }

    /// True if this node may have to tell leaves of the registry.
    pub(super) fn speaks_for_leaves(&self) -> bool {
        self.network.mesh.is_core && !self.network.mesh.is_full_mesh
    }

    /// Takes stock of what leaves must know, once this node has leaves.
    pub(super) fn note_leaves(&mut self, now: Instant) {
        let is_unknown = self.leaf_registry.revision() == Revision::ABSENT;
        if is_unknown && self.speaks_for_leaves() && self.registry.revision() != Revision::ABSENT {
            let all = self.registry.snapshot(now);
            self.tell_leaves_of_registry(now, &all);
        }
    }

    /// Tells this node's leaves what they must know of `news`, if it speaks for them.
    fn tell_leaves_of_registry(&mut self, now: Instant, news: &RegistryUpdate) {
        if let Some(news) = self.leaf_registry.apply(news)
            && self.network.mesh.is_primary_core
        {
            self.network.send_to_leaves(now, &PeerMessage::Registry(news));
        }
    }

    pub(super) fn on_records(&mut self, now: Instant) {
        self.leadership.on_records(now, self.catalog.as_deref(), &self.registry);
        self.dirty = true;
    }

    /// Gets a later configuration: from the store, or from the node at `addr` while the store is away
    /// and on leaves, which would otherwise all ask the store at once.
    pub(super) fn fetch_catalog(&mut self, now: Instant, addr: SocketAddr) {
        // A restored store has an earlier one until the operators write the later one again.
        let behind_since = *self.catalog_behind_since.get_or_insert(now);
        let store_is_behind = self.health.is_unreachable()
            || now.saturating_duration_since(behind_since) >= CATALOG_ASK_EVERY;
        if self.reads.borrow().is_reader() && !store_is_behind {
            return;
        }
        let is_asked = |at| now.saturating_duration_since(at) < CATALOG_ASK_EVERY;
        if self.catalog_asked_at.is_some_and(is_asked) {
            return;
        }
        self.catalog_asked_at = Some(now);
        if store_is_behind || !self.network.mesh.is_core {
            self.network.send(now, addr, &PeerMessage::CatalogWanted);
            return;
        }
        let (store, events) = (Rc::clone(&self.store), self.events.clone());
        spawn_local(async move {
            let event = match store.snapshot(config::TABLE).await {
                Ok(snapshot) => Event::Snapshot(WatchedTable::Configuration, snapshot),
                Err(err) => Event::StoreCallFailed(now, err.to_string()),
            };
            // The control thread ends only with the process.
            let _ = events.send(event).await;
        });
    }
}
