//! What other nodes tell, and what they are told of each other.

use {
    super::Control,
    crate::{
        leaf_digest::LeafDigest,
        peer_message::{Heartbeat, PeerBatch, PeerInfo, PeerMessage},
        registry_update::RegistryUpdate,
    },
    glade_catalog::{Catalog, ServerKey},
    glade_platform::Revision,
    glade_residency::EngineDigest,
    glade_types::VmId,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Period at which the first core of a data centre tells which nodes it hears.
const NODES_EVERY: Duration = Duration::from_secs(8);

impl Control {
    pub(super) fn on_peer_batch(&mut self, now: Instant, batch: PeerBatch) {
        let known =
            batch.introduction().or_else(|| self.network.peers.by_process_hash(batch.sender_hash));
        let Some(from) = known.cloned() else {
            log::debug!(mark = batch.sender_hash; "peer_unknown");
            return;
        };
        let PeerBatch { messages, .. } = batch;
        if from.vm == self.network.me.vm {
            return;
        }
        messages.into_iter().for_each(|message| self.on_message(now, &from, message));
    }

    fn on_message(&mut self, now: Instant, from: &PeerInfo, message: PeerMessage) {
        match message {
            // Read before the others.
            PeerMessage::Introduction(_) => {}
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            PeerMessage::Loads { scope, loads } => {
                self.network.peers.on_loads(now, from, scope, loads);
                self.loads_dirty = true;
            }
            PeerMessage::Prompts(told) => {
                let news = self.prompts.on_remote(now, from, &told, &self.network);
                if self.published.prompts.try_send(news).is_err() {
                    log::debug!("traffic_behind");
                }
            }
            PeerMessage::CallerEndpoints(list) => {
                self.dirty |= self.endpoints.on_endpoints(now, from, list)
            }
            PeerMessage::CallerEndpointsWanted => {
                let list = self.current_entrances(now);
                self.network.send(now, from.peers, &PeerMessage::CallerEndpoints(list));
            }
            PeerMessage::Nodes(infos) => self.on_nodes(now, from, infos),
            PeerMessage::Registry(news) => self.on_told_registry(now, from, news),
            PeerMessage::RegistryWanted => {
                let all = self.registry_for(now, &from.vm);
                self.network.send(now, from.peers, &PeerMessage::Registry(all));
            }
            PeerMessage::CatalogWanted => self.send_catalog(now, from.peers),
            PeerMessage::Catalog(catalog) => self.on_catalog(now, *catalog, "peer"),
            PeerMessage::Demand(report) if self.leadership.is_holder() => {
                self.leadership.on_demand(now, &from.vm, &report);
            }
            PeerMessage::Demand(report) if self.network.mesh.forwards_to_holder_for(&from.vm) => {
                self.demand.on_report(now, &from.vm, &report);
            }
            PeerMessage::ModelWanted(model)
                if self.leadership.is_holder()
                    || self.network.mesh.forwards_to_holder_for(&from.vm) =>
            {
                self.on_wish(now, model);
            }
            // Meant for a holder that this node is no longer; passed on, it might come back.
            PeerMessage::Demand(_) | PeerMessage::ModelWanted(_) => {}
            PeerMessage::ServerGone(key) => {
                if self.on_gone(now, &key) {
                    self.network.forward(now, &from.vm, &PeerMessage::ServerGone(key));
                }
            }
            PeerMessage::StartRequests(asks) => self.on_asks(now, from.peers, asks),
            PeerMessage::StartReplies(answers) => self.on_starts(from.peers, answers),
            PeerMessage::StartEvents(events) => self.starts.on_events(now, from.peers, events),
            // A sign: what this node hears of the server itself, or from the registry, goes before it.
            PeerMessage::ServerLeaving(key) => {
                let (server, peer) = (key.id.as_str(), from.vm.as_str());
                log::info!(server = server, told_by = peer; "server_leaving");
                if self.registry.mark_reported_leaving(now, &key) {
                    self.on_records(now);
                    self.network.forward(now, &from.vm, &PeerMessage::ServerLeaving(key));
                }
            }
            PeerMessage::Residents { epoch, engines } => self.on_residents(now, epoch, engines),
            PeerMessage::LeafResidents { epoch, engines } => {
                let engines = self.names.decode_all(&engines, self.registry.keys());
                self.on_residents(now, epoch, engines);
            }
        }
    }

    /// Takes what the holder of the lease says of engines, and has leaves told.
    pub(super) fn on_residents(&mut self, now: Instant, epoch: u64, engines: Vec<EngineDigest>) {
        if self.network.mesh.is_primary_core && !self.network.mesh.is_full_mesh {
            self.untold_digests.add(now + self.network.leaf_batch_delay(), epoch, &engines);
        }
        self.registry.apply_digests(now, epoch, engines);
        self.dirty = true;
    }

    /// Tells leaves what engines hold, if it is time.
    pub(super) fn tell_leaf_digests(&mut self, now: Instant) {
        if let Some((epoch, engines)) = self.untold_digests.take_due(now) {
            self.network.send_to_leaves(now, &PeerMessage::LeafResidents { epoch, engines });
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: Instant, from: &PeerInfo, heartbeat: Heartbeat) {
        if heartbeat.registry_revision != Revision::ABSENT {
            self.note_era(now, heartbeat.registry_revision.era);
        }
        self.leadership.on_heartbeat(now, &heartbeat);
        // Two cores may have told their leaves of the same changes at different revisions.
        let counts = self.network.mesh.is_core || self.network.upstream_core(now) == Some(&from.vm);
        let knows_more = counts && heartbeat.registry_revision > self.registry.revision();
        let named = heartbeat.catalog_version;
        let is_ahead = named > self.catalog_version();
        let news = self.network.peers.on_heartbeat(now, from, heartbeat);
        self.dirty |= news.serving_changed;
        if is_ahead {
            self.dirty |= named > self.catalog_elsewhere;
            self.catalog_elsewhere = self.catalog_elsewhere.max(named);
            self.fetch_catalog(now, from.peers);
        }
        if knows_more {
            self.network.send(now, from.peers, &PeerMessage::RegistryWanted);
        }
        if news.is_new || news.has_recovered {
            log::info!(peer = from.vm.as_str(), incarnation = from.incarnation.0; "peer_heard");
        }
        if news.is_new {
            self.welcome(now, &from.vm, from.peers);
        }
    }

    /// Tells a process that has just started, on `vm` at `addr`, what it must know.
    pub(super) fn welcome(&mut self, now: Instant, vm: &VmId, addr: SocketAddr) {
        if !self.network.mesh.is_core {
            return;
        }
        let known = self.network.peers.infos().cloned().collect();
        self.network.send(now, addr, &PeerMessage::Nodes(known));
        if self.network.mesh.is_full_mesh {
            self.leadership.repeat_residents(now);
            return;
        }
        if self.network.mesh.is_primary_core {
            let all = self.registry_for(now, vm);
            self.network.send(now, addr, &PeerMessage::Registry(all));
            self.send_catalog(now, addr);
        }
        let (epoch, engines) = self.registry.digests(now);
        let message = if self.network.mesh.leaves.contains(vm) {
            let engines = engines.iter().map(LeafDigest::new).collect();
            PeerMessage::LeafResidents { epoch, engines }
        } else {
            PeerMessage::Residents { epoch, engines }
        };
        self.network.send(now, addr, &message);
    }

    /// Sends the configuration in force to the node at `addr`, if there is one.
    fn send_catalog(&mut self, now: Instant, addr: SocketAddr) {
        if let Some(catalog) = &self.catalog {
            let message = PeerMessage::Catalog(Box::new(Catalog::clone(catalog)));
            self.network.send(now, addr, &message);
        }
    }

    /// All of the registry that `vm` must know.
    fn registry_for(&self, now: Instant, vm: &VmId) -> RegistryUpdate {
        let all = self.registry.snapshot(now);
        if self.network.mesh.leaves.contains(vm) { self.leaf_registry.snapshot(&all) } else { all }
    }

    /// Takes what another node tells of the registry.
    fn on_told_registry(&mut self, now: Instant, from: &PeerInfo, news: RegistryUpdate) {
        let is_known = news.revision <= self.registry.revision();
        if !self.on_registry(now, news.clone()) {
            self.network.send(now, from.peers, &PeerMessage::RegistryWanted);
        } else if !is_known {
            self.network.forward_to_remote_cores(now, &from.vm, &PeerMessage::Registry(news));
        }
    }

    /// Takes nodes that another one knows; the first core tells its data centre of those elsewhere.
    pub(super) fn on_nodes(&mut self, now: Instant, from: &PeerInfo, infos: Vec<PeerInfo>) {
        self.network.add_nodes(now, &infos);
        let mesh = &self.network.mesh;
        if mesh.is_primary_core
            && !mesh.is_full_mesh
            && from.data_centre != self.network.me.data_centre
        {
            self.network.send_to_local_cores(now, &PeerMessage::Nodes(infos.clone()));
            self.network.send_to_leaves(now, &PeerMessage::Nodes(infos));
        }
    }

    /// Tells other nodes which ones of this data centre live.
    pub(super) fn tell_nodes(&mut self, now: Instant) {
        let network = &mut self.network;
        if network.mesh.is_full_mesh || !network.mesh.is_primary_core || now < self.nodes_at {
            return;
        }
        self.nodes_at = now + NODES_EVERY;
        let here = &network.me.data_centre;
        let heard = network.peers.live(now).map(|(info, _)| info);
        let near = heard.filter(|info| info.data_centre == *here);
        let message = PeerMessage::Nodes(near.chain([&network.me]).cloned().collect());
        network.send_to_local_cores(now, &message);
        network.send_to_leaves(now, &message);
        network.send_to_remote_primaries(now, &message);
    }

    /// This node has become a core, or is none any more: leaves aren't told all of the registry.
    pub(super) fn on_role(&mut self, now: Instant) {
        if self.speaks_for_leaves() {
            self.registry.invalidate();
            self.registry_position.reset();
            self.choose_readers(now);
        }
    }

    /// Takes note that a server's process is gone. Returns false if that was known.
    pub(super) fn on_gone(&mut self, now: Instant, key: &ServerKey) -> bool {
        let is_new = self.registry.mark_gone(now, key);
        if is_new {
            self.on_records(now);
        }
        is_new
    }
}
