//! Handling of what is read from the store: the configuration, the registry, and the store's own
//! health.

use {
    super::Control,
    crate::{
        catalog_fetch::{CatalogSource, NodeKind, StoreUse},
        control_task::spawn_task,
        event::{Event, WatchedTable},
        leaf_digest::NameTable,
        peer_message::PeerMessage,
        quarantine_store::TrialClaim,
        registry_update::RegistryUpdate,
    },
    glade_adapter::config,
    glade_catalog::Catalog,
    glade_observe::LIFECYCLE,
    glade_platform::{ChangeFeed, Era, Key, Revision, StoredRow},
    glade_types::VmId,
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Greatest age of a backup that the store is restored from. Rows that were written earlier survive
/// a restore.
const BACKUP_AGE_MAX: Duration = Duration::from_secs(60);
impl Control {
    /// Records whether the store has answered, if `event` is the outcome of a call to it.
    pub(super) fn record_store_outcome(&mut self, now: Instant, event: &Event) {
        match event {
            Event::Snapshot(..)
            | Event::Changes(..)
            | Event::NodesRead(_)
            | Event::QuarantineWritten(_, _, Ok(_))
            | Event::StreamLogRead(_, Ok(_))
            | Event::OriginTablesRead(_, Ok(_))
            | Event::StreamLogWritten(_, _, Ok(_))
            | Event::LeaseRead(_, Ok(_))
            | Event::LeaseWritten(_, Ok(_)) => {
                self.store_health.record_answer(now);
                self.store_outage.on_answer(now);
            }
            Event::StoreCallFailed(began_at, reason) => {
                self.on_store_failure(now, *began_at, reason)
            }
            Event::LeaseRead(began_at, Err(err)) | Event::LeaseWritten(began_at, Err(err)) => {
                self.on_store_failure(now, *began_at, &err.to_string());
            }
            Event::StreamLogRead(began_at, Err(err))
            | Event::OriginTablesRead(began_at, Err(err))
            | Event::StreamLogWritten(began_at, _, Err(err))
            | Event::QuarantineWritten(began_at, _, Err(err))
            | Event::TrialClaimed(began_at, _, TrialClaim::Failed(err)) => {
                self.on_store_failure(now, *began_at, &err.to_string());
            }
            _ => {}
        }
    }

    fn on_store_failure(&mut self, now: Instant, began_at: Instant, reason: &str) {
        if self.store_health.record_failure(now, began_at, reason) {
            self.store_outage.on_failure(now);
        }
    }

    /// Handles an `era` that the store or another node has reported. A new era means that the store
    /// was restored from a backup and has lost the writes that it acknowledged shortly before,
    /// which may include this node's own row.
    pub(super) fn observe_era(&mut self, now: Instant, era: Era) {
        if self.era.is_some_and(|known| era <= known) {
            return;
        }
        let known = self.era.replace(era);
        self.leadership.on_era(now, era);
        // The first reported era is the one that this process has started in.
        if known.is_none() {
            return;
        }
        log::warn!( target: LIFECYCLE, era = era.0, version = self.catalog_version(); "store_restored");
        self.store_outage.on_restore(now);
        self.next_heartbeat_at = now;
        if now.saturating_duration_since(self.started_at) < BACKUP_AGE_MAX {
            let discovery = self.node_discovery();
            spawn_task(&self.events, discovery.write_row_again());
        }
    }

    pub(super) fn on_configuration_row(&mut self, now: Instant, row: &StoredRow) {
        if row.key != Key::new(&format!("{}/{}", config::TABLE, config::KEY)) {
            return;
        }
        match config::decode(&row.value) {
            Ok(catalog) => self.apply_catalog(now, catalog, "store"),
            Err(err) => {
                let (reason, in_force) = (err.to_string(), self.catalog_version());
                log::warn!(reason = reason.as_str(), in_force = in_force; "configuration_unreadable");
            }
        }
    }

    /// Puts a configuration in force if it is newer than the present one, or if it is the same version
    /// with teams and the present one has none: a node of an earlier version, which doesn't decode
    /// teams, has sent that.
    pub(super) fn apply_catalog(
        &mut self,
        now: Instant,
        catalog: impl Into<Arc<Catalog>>,
        source: &'static str,
    ) {
        let catalog = catalog.into();
        let is_known = self.catalog.as_ref().is_some_and(|known| {
            let lacks_teams = catalog.has_teams() && !known.has_teams();
            known.version() > catalog.version()
                || (known.version() == catalog.version() && !lacks_teams)
        });
        if is_known {
            return;
        }
        let behind = self.catalog_fetch.on_in_force(now, catalog.version());
        log::info!(
            version = catalog.version(),
            source = source,
            behind_ms = behind.map(|time| time.as_millis() as u64);
            "configuration_in_force"
        );
        self.catalog_announcer.on_in_force(now);
        self.name_table = NameTable::new(&catalog);
        self.catalog = Some(catalog);
        self.on_records_changed(now);
        if source == "store" && self.access.reads_as_leaf() {
            self.send_catalog_upstream(now);
        }
        // The next heartbeat reports the new version to other nodes at once.
        self.next_heartbeat_at = now;
    }

    /// Applies an update of the registry that this node has read from the store, and sends it to
    /// the other cores.
    pub(super) fn on_registry_read(&mut self, now: Instant, update: RegistryUpdate) {
        let is_known = update.revision <= self.registry.revision();
        self.log_lapses(now, None, &update);
        if self.apply_registry(now, update.clone()) && !is_known && !update.is_empty() {
            for message in self.registry_messages(update) {
                self.network.send_to_cores(now, &message);
            }
        }
    }

    /// Logs on what grounds entries that `update` lacks count as lapsed. `from` is the node that has
    /// sent the update; `None` if this node has read it.
    pub(super) fn log_lapses(&self, now: Instant, from: Option<&VmId>, update: &RegistryUpdate) {
        let is_new = update.revision > self.registry.revision();
        let removes_entries = update.after.is_none() || !update.removed.is_empty();
        if !(is_new && update.store_was_unreachable && removes_entries) {
            return;
        }
        let silence = self.store_health.time_since_answer(now);
        let failed = self.store_health.time_since_failure(now);
        let in_ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            told_by = from.map(VmId::as_str),
            removed = update.removed.len(),
            answered_ms = in_ms(silence),
            failed_ms = failed.map(in_ms);
            "removals_lapse"
        );
    }

    /// Applies an update of the registry. Returns false if earlier changes are missing.
    pub(super) fn apply_registry(&mut self, now: Instant, update: RegistryUpdate) -> bool {
        let is_empty = update.is_empty();
        let for_leaves = self.may_have_leaves().then(|| update.clone());
        if !self.registry.apply(now, update) {
            return false;
        }
        if let Some(update) = for_leaves {
            self.update_leaf_registry(now, &update);
        }
        self.registry_position.advance_to(self.registry.revision());
        if !is_empty {
            self.on_records_changed(now);
        }
        true
    }

    /// True if this node is a core of a mesh with leaves.
    pub(super) fn may_have_leaves(&self) -> bool {
        self.network.mesh.is_core && !self.network.mesh.is_full_mesh
    }

    /// Fills the leaves' view of the registry once this node is a core with leaves.
    pub(super) fn init_leaf_registry(&mut self, now: Instant) {
        let is_uninitialized = self.leaf_registry.revision() == Revision::ABSENT;
        if is_uninitialized
            && self.may_have_leaves()
            && self.registry.revision() != Revision::ABSENT
        {
            let all = self.registry.snapshot(now);
            self.update_leaf_registry(now, &all);
        }
    }

    /// Applies `update` to the leaves' view of the registry, and sends the result to the leaves if
    /// this is the primary core.
    fn update_leaf_registry(&mut self, now: Instant, update: &RegistryUpdate) {
        if let Some(update) = self.leaf_registry.apply(update)
            && self.network.mesh.is_primary_core
        {
            for message in self.registry_messages(update) {
                self.network.send_to_leaves(now, &message);
            }
        }
    }

    /// The messages that carry `update` to other nodes.
    pub(super) fn registry_messages(&self, update: RegistryUpdate) -> Vec<PeerMessage> {
        let versions = self.registry.versions_of(&update);
        PeerMessage::with_registry(update, versions)
    }

    pub(super) fn on_records_changed(&mut self, now: Instant) {
        self.leadership.on_records(now, self.catalog.as_deref(), &self.registry);
        self.update_server_versions(now);
        self.view_is_outdated = true;
    }

    /// Handles a report that the node at `informer` has a later `version` of the configuration in force.
    pub(super) fn on_later_catalog(&mut self, now: Instant, version: u64, informer: SocketAddr) {
        if !self.catalog_fetch.is_behind() {
            log::info!(
                version = version,
                in_force = self.catalog_version(),
                named_by = informer.to_string().as_str();
                "configuration_behind"
            );
        }
        self.view_is_outdated |= self.catalog_fetch.on_report(now, version, informer);
        self.fetch_catalog(now);
    }

    /// Asks for a later configuration if a request is due.
    pub(super) fn fetch_catalog(&mut self, now: Instant) {
        let is_core = self.network.mesh.is_core;
        let reads_table = self.read_role.borrow().is_reader();
        let store_is_lost = self.store_health.is_unreachable() || self.access.cores_lost_store(now);
        let store = StoreUse { may_ask: (is_core || reads_table) && !store_is_lost, reads_table };
        let upstream_silence = (!is_core).then(|| self.network.upstream_silence(now));
        match self.catalog_fetch.next_source(now, store, upstream_silence) {
            None => {}
            Some(CatalogSource::Store) => self.read_catalog(now),
            Some(CatalogSource::Informer(addr)) => {
                self.network.send(now, addr, &PeerMessage::CatalogWanted);
            }
            Some(CatalogSource::Any(kind)) => {
                let addrs = match kind {
                    NodeKind::Core => self.network.core_addrs(),
                    NodeKind::Local => self.network.local_leaf_addrs(),
                };
                if let Some(addr) = self.rng.choice(addrs) {
                    let known = self.catalog_version();
                    self.network.send(now, addr, &PeerMessage::LaterCatalogWanted(known));
                }
            }
        }
    }

    /// Reads the configuration from the store.
    fn read_catalog(&self, now: Instant) {
        let (store, events) = (Rc::clone(&self.store), self.events.clone());
        spawn_task(&self.events, async move {
            let event = match store.snapshot(config::TABLE).await {
                Ok(snapshot) => Event::Snapshot(WatchedTable::Configuration, snapshot),
                Err(err) => Event::StoreCallFailed(now, err.to_string()),
            };
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = events.send(event).await;
        });
    }
}
