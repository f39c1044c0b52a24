//! Handling of messages from other nodes, and the messages by which nodes learn of each other.

use {
    super::Control,
    crate::{
        leaf_digest::LeafDigest,
        peer_message::{Heartbeat, PeerBatch, PeerInfo, PeerMessage},
        registry::LAPSE_TIME,
        registry_fetch::RegistrySource,
        registry_update::{RegistryUpdate, ServerVersion},
    },
    glade_catalog::{ServerKey, WantedModel},
    glade_dispatch::{ContinuationRequest, TeamStartRequest},
    glade_platform::Revision,
    glade_residency::EngineDigest,
    glade_types::VmId,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Period at which the primary core of a data centre sends the list of its live nodes.
const NODE_LIST_PERIOD: Duration = Duration::from_secs(8);

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
            // Evaluated in `on_peer_batch`.
            PeerMessage::Introduction(_) => {}
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, heartbeat),
            PeerMessage::Loads { scope, loads } => {
                self.network.peers.on_loads(now, from, scope, loads);
                self.peer_loads_changed = true;
            }
            PeerMessage::Prompts(prompts) => {
                let new = self.prompts.on_remote(now, from, &prompts, &self.network);
                if self.published.prompts.try_send(new).is_err() {
                    log::debug!("traffic_behind");
                }
            }
            PeerMessage::CallerEndpoints(list) => {
                self.view_is_outdated |= self.endpoints.on_endpoints(now, from, list)
            }
            PeerMessage::CallerEndpointsWanted => {
                let list = self.caller_endpoints(now);
                self.network.send(now, from.peer_addr, &PeerMessage::CallerEndpoints(list));
            }
            PeerMessage::Nodes(nodes) => self.on_nodes(now, from, nodes),
            PeerMessage::Registry(update) => self.on_peer_registry(now, from, update),
            PeerMessage::ServerVersions(versions) => {
                self.on_server_versions(now, &from.vm, versions);
            }
            PeerMessage::RegistryWanted => {
                self.send_registry(now, &from.vm, from.peer_addr);
            }
            PeerMessage::CatalogWanted => self.send_catalog(now, from.peer_addr),
            PeerMessage::LaterCatalogWanted(known) => {
                if self.catalog_version() > known {
                    self.send_catalog(now, from.peer_addr);
                }
            }
            PeerMessage::Catalog(catalog) => self.apply_catalog(now, *catalog, "peer"),
            PeerMessage::TeamCatalog(catalog) => self.apply_catalog(now, catalog.0, "peer"),
            PeerMessage::Demand(report) if self.leadership.is_holder() => {
                self.leadership.on_demand(now, &from.vm, &report);
            }
            PeerMessage::Demand(report) if self.network.mesh.forwards_to_holder_for(&from.vm) => {
                self.demand.on_report(now, &from.vm, &report);
            }
            PeerMessage::ModelWanted(name) => {
                let wanted = WantedModel { name, software_version: None };
                self.on_peer_wants_model(now, &from.vm, wanted);
            }
            PeerMessage::VersionWanted(wanted) => {
                self.on_peer_wants_model(now, &from.vm, wanted);
            }
            // The sender assumes that this node still holds the lease, which is no longer so.
            // Forwarding the message to the new holder could make it circulate.
            PeerMessage::Demand(_) => {}
            PeerMessage::ServerGone(key) => {
                if self.mark_server_gone(now, &key) {
                    self.network.forward(now, &from.vm, &PeerMessage::ServerGone(key));
                }
            }
            PeerMessage::StartRequests(requests) => {
                self.on_start_requests(now, from.peer_addr, requests)
            }
            PeerMessage::TeamStartRequests(requests) => {
                let requests = requests.into_iter().map(TeamStartRequest::into_request).collect();
                self.on_start_requests(now, from.peer_addr, requests)
            }
            PeerMessage::ContinuationRequests(requests) => {
                let requests = requests.into_iter().map(ContinuationRequest::into_request);
                self.on_start_requests(now, from.peer_addr, requests.collect())
            }
            PeerMessage::StartReplies(replies) => self.on_start_replies(from.peer_addr, replies),
            PeerMessage::StartEvents(events) => self.starts.on_events(now, from.peer_addr, events),
            // This report is only an indication: an announcement of the server itself or a change
            // of its registry entry overrides it.
            PeerMessage::ServerLeaving(key) => {
                let (server, peer) = (key.id.as_str(), from.vm.as_str());
                log::info!(server = server, told_by = peer; "server_leaving");
                if self.registry.mark_reported_leaving(now, &key) {
                    self.on_records_changed(now);
                    self.network.forward(now, &from.vm, &PeerMessage::ServerLeaving(key));
                }
            }
            PeerMessage::StreamRecords(groups) => {
                self.streams.on_records(now, from, &groups, &mut self.network);
                self.act_on_streams(now);
            }
            PeerMessage::StreamQuestions(questions) => {
                self.streams.on_questions(now, from, questions, &mut self.network);
                self.act_on_streams(now);
            }
            PeerMessage::StreamAnswers(answers) => {
                self.streams.on_answers(now, from, answers, &mut self.network);
                self.act_on_streams(now);
            }
            PeerMessage::AttemptsLost(attempts) => {
                self.quarantine.on_peer_attempts(now, from, attempts, &self.network);
            }
            PeerMessage::PartsServed(parts) => {
                self.quarantine.on_peer_served(now, from, &parts, &self.network);
            }
            PeerMessage::Quarantine { entries, suspects } => {
                self.quarantine.on_entries(now, &entries, suspects, self.network.mesh.is_core);
            }
            PeerMessage::ServerLimits(updates) => self.on_peer_limits(now, from, &updates),
            PeerMessage::PermitDemand(demands) => self.on_permit_demand(now, from, demands),
            PeerMessage::PermitGrants(grants) => self.on_permit_grants(now, grants),
            PeerMessage::Residents { epoch, engines } => {
                // A holder that is a leaf sends to the cores of its own data centre alone.
                if self.network.mesh.leaves.contains(&from.vm) {
                    let message = PeerMessage::Residents { epoch, engines: engines.clone() };
                    self.network.forward_to_remote_cores(now, &from.vm, &message);
                }
                self.apply_residents(now, epoch, engines);
            }
            PeerMessage::StoreReport(report) => self.on_store_report(now, from, report),
            PeerMessage::QuotaReports(reports) => self.on_quota_reports(now, from, reports),
            PeerMessage::QuotaGrants(grants) => self.on_quota_grants(grants),
            PeerMessage::LeafResidents { epoch, engines } => {
                let engines = self.name_table.decode_all(&engines, self.registry.keys());
                self.apply_residents(now, epoch, engines);
            }
        }
    }

    /// Applies the lease holder's digests of engines, and queues them for this node's leaves.
    pub(super) fn apply_residents(&mut self, now: Instant, epoch: u64, engines: Vec<EngineDigest>) {
        if self.network.mesh.is_primary_core && !self.network.mesh.is_full_mesh {
            self.pending_digests.add(now + self.network.leaf_batch_delay(), epoch, &engines);
        }
        self.registry.apply_digests(now, epoch, engines);
        self.view_is_outdated = true;
    }

    /// Sends the queued digests to this node's leaves if they are due.
    pub(super) fn send_leaf_digests(&mut self, now: Instant) {
        if let Some((epoch, engines)) = self.pending_digests.take_due(now) {
            self.network.send_to_leaves(now, &PeerMessage::LeafResidents { epoch, engines });
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: Instant, from: &PeerInfo, heartbeat: Heartbeat) {
        if heartbeat.registry_revision != Revision::ABSENT {
            self.observe_era(now, heartbeat.registry_revision.era);
        }
        self.leadership.on_heartbeat(now, &heartbeat);
        self.store_outage.on_peer_status(now, heartbeat.store);
        if let Some(claim) = heartbeat.holder {
            self.access.on_claim(now, claim);
        }
        // Two cores may have sent the same changes to their leaves at different revisions, so a
        // leaf compares revisions only with its upstream core.
        let is_comparable =
            self.network.mesh.is_core || self.network.upstream_core(now) == Some(&from.vm);
        // A leaf that reads waits for the store's snapshot: cores have only part of it for leaves.
        let newer_registry = Some(heartbeat.registry_revision).filter(|revision| {
            is_comparable && !self.access.reads_as_leaf() && *revision > self.registry.revision()
        });
        let peer_catalog_version = heartbeat.catalog_version;
        let has_newer_catalog = peer_catalog_version > self.catalog_version();
        let change = self.network.peers.on_heartbeat(now, from, heartbeat);
        self.view_is_outdated |= change.serving_changed;
        if has_newer_catalog {
            self.on_later_catalog(now, peer_catalog_version, from.peer_addr);
        }
        if let Some(revision) = newer_registry {
            self.registry_fetch.on_report(now, revision, from.peer_addr);
            self.fetch_registry(now);
        }
        if change.is_new || change.has_recovered {
            log::info!(peer = from.vm.as_str(), incarnation = from.incarnation.0; "peer_heard");
        }
        if change.is_new {
            self.send_initial_state(now, &from.vm, from.peer_addr);
        }
    }

    /// Sends the state that a node needs to a process that has just started on `vm` at `addr`.
    pub(super) fn send_initial_state(&mut self, now: Instant, vm: &VmId, addr: SocketAddr) {
        if !self.network.mesh.is_core {
            return;
        }
        let nodes = self.network.peers.infos().cloned().collect();
        self.network.send(now, addr, &PeerMessage::Nodes(nodes));
        if let Some(message) = self.quarantine.entries_message(now) {
            self.network.send(now, addr, &message);
        }
        if let Some(message) = self.limits.initial_message(now) {
            self.network.send(now, addr, &message);
        }
        if self.network.mesh.is_full_mesh {
            self.leadership.repeat_residents(now);
            return;
        }
        if self.network.mesh.is_primary_core {
            self.send_registry(now, vm, addr);
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
            let message = PeerMessage::with_catalog(catalog);
            self.network.send(now, addr, &message);
        }
    }

    /// Sends the configuration in force to this leaf's upstream core.
    pub(super) fn send_catalog_upstream(&mut self, now: Instant) {
        let upstream_core = self.network.upstream_core(now);
        if let Some(addr) = upstream_core.and_then(|vm| self.network.peers.addr(vm)) {
            self.send_catalog(now, addr);
        }
    }

    /// Applies software versions of servers, and forwards those that this node didn't know.
    fn on_server_versions(&mut self, now: Instant, from: &VmId, versions: Vec<ServerVersion>) {
        let new = self.registry.apply_versions(versions);
        if new.is_empty() {
            return;
        }
        self.on_records_changed(now);
        let message = PeerMessage::ServerVersions(new);
        self.network.forward_to_remote_cores(now, from, &message);
        // Whichever core has sent them, it sends them to cores alone.
        if self.network.mesh.is_primary_core && !self.network.mesh.is_full_mesh {
            self.network.send_to_leaves(now, &message);
        }
    }

    /// Sends all entries of the registry that the node on `vm` at `addr` needs.
    fn send_registry(&mut self, now: Instant, vm: &VmId, addr: SocketAddr) {
        let all = self.registry_for(now, vm);
        for message in self.registry_messages(all) {
            self.network.send(now, addr, &message);
        }
    }

    /// All entries of the registry that `vm` needs.
    fn registry_for(&self, now: Instant, vm: &VmId) -> RegistryUpdate {
        let all = self.registry.snapshot(now);
        if self.network.mesh.leaves.contains(vm) { self.leaf_registry.snapshot(&all) } else { all }
    }

    /// Applies an update of the registry from another node, and forwards it. Requests the complete
    /// registry if earlier changes are missing.
    fn on_peer_registry(&mut self, now: Instant, from: &PeerInfo, update: RegistryUpdate) {
        let mut update = update.reject_invalid();
        if self.store_outage.rules_out_hidden_servers(now, LAPSE_TIME) {
            update = update.without_lapses();
        }
        let is_known = update.revision <= self.registry.revision();
        self.log_lapses(now, Some(&from.vm), &update);
        if !self.apply_registry(now, update.clone()) {
            self.registry_fetch.on_report(now, update.revision, from.peer_addr);
            self.fetch_registry(now);
        } else if !is_known {
            for message in self.registry_messages(update) {
                self.network.forward_to_remote_cores(now, &from.vm, &message);
            }
        }
    }

    /// Asks for the complete registry if a request is due. A leaf that reads the store waits for what it
    /// reads.
    pub(super) fn fetch_registry(&mut self, now: Instant) {
        if self.access.reads_as_leaf() {
            return;
        }
        let source = self.registry_fetch.next_source(now, self.registry.revision());
        let addr = match source {
            None => return,
            Some(RegistrySource::Informer(addr)) => Some(addr),
            Some(RegistrySource::Core) => self.rng.choice(self.network.core_addrs()),
        };
        if let Some(addr) = addr {
            self.network.send(now, addr, &PeerMessage::RegistryWanted);
        }
    }

    /// Adds nodes that another node has sent. The primary core forwards nodes of other data centres
    /// to the nodes of its own.
    pub(super) fn on_nodes(&mut self, now: Instant, from: &PeerInfo, nodes: Vec<PeerInfo>) {
        self.network.add_nodes(now, &nodes);
        let mesh = &self.network.mesh;
        if mesh.is_primary_core
            && !mesh.is_full_mesh
            && from.data_centre != self.network.me.data_centre
        {
            self.network.send_to_local_cores(now, &PeerMessage::Nodes(nodes.clone()));
            self.network.send_to_leaves(now, &PeerMessage::Nodes(nodes));
        }
    }

    /// Sends the list of this data centre's live nodes, if this is its primary core.
    pub(super) fn send_node_list(&mut self, now: Instant) {
        let network = &mut self.network;
        if network.mesh.is_full_mesh
            || !network.mesh.is_primary_core
            || now < self.next_node_list_at
        {
            return;
        }
        self.next_node_list_at = now + NODE_LIST_PERIOD;
        let own_data_centre = &network.me.data_centre;
        let live = network.peers.live(now).map(|(info, _)| info);
        let local = live.filter(|info| info.data_centre == *own_data_centre);
        let message = PeerMessage::Nodes(local.chain([&network.me]).cloned().collect());
        network.send_to_local_cores(now, &message);
        network.send_to_leaves(now, &message);
        network.send_to_remote_primaries(now, &message);
    }

    /// Handles a change of this node's role from leaf to core or back. Leaves are sent only a part
    /// of the registry, so a new core must read all of it.
    pub(super) fn on_role_change(&mut self, now: Instant) {
        if self.may_have_leaves() {
            self.registry.invalidate();
            self.registry_position.reset();
            self.update_read_role(now);
        }
    }

    /// Records that a server's process is gone. Returns false if the server was already known to
    /// take no work.
    pub(super) fn mark_server_gone(&mut self, now: Instant, key: &ServerKey) -> bool {
        self.on_server_ended(now, key);
        let is_new = self.registry.mark_gone(now, key);
        if is_new {
            self.on_records_changed(now);
        }
        is_new
    }
}
