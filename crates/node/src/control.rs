//! The control thread of a node. It keeps the node's state of the cluster (the other nodes, the
//! registry of backend servers, the operators' configuration) up to date from the store and from
//! other nodes' messages, publishes it to the relay, which routes requests by it, and sends load
//! and unload orders to all engines while the node holds the leader lease.

mod limit_handlers;
mod peer_handlers;
mod quarantine_handlers;
mod quota_handlers;
mod role_handlers;
mod store_handlers;
mod stream_handlers;
mod traffic_handlers;

use {
    crate::{
        catalog_announcer::CatalogAnnouncer,
        catalog_fetch::CatalogFetch,
        catch_up::CatchUp,
        control_metrics::ControlMetrics,
        control_task::spawn_task,
        demand_aggregator::DemandAggregator,
        endpoint_exchange::EndpointExchange,
        event::{Event, WatchedTable},
        isolation::Isolation,
        leadership::{Leadership, LeadershipConfig},
        leaf_digest::{NameTable, PendingDigests},
        leaf_registry::LeafRegistry,
        lease::StoredLease,
        limit_exchange::LimitExchange,
        load_exchange::LoadExchange,
        node_discovery::{FIRST_START_JITTER_MAX, NodeDiscovery},
        origin_store::{OriginStore, StoredOrigins},
        peer_message::{Heartbeat, PeerMessage},
        peer_network::PeerNetwork,
        peers::HeartbeatReceivers,
        prompt_exchange::PromptExchange,
        published_state::{CallerEndpoints, PublishedState},
        quarantine_exchange::QuarantineExchange,
        quarantine_store::{self, QuarantineStore},
        quota_exchange::QuotaExchange,
        read_role::{ReadConditions, ReadRole, read_role},
        registry::Registry,
        registry_fetch::RegistryFetch,
        registry_update::RegistryUpdate,
        start_exchange::StartExchange,
        store_access::StoreAccess,
        store_health::StoreHealth,
        store_outage::StoreOutage,
        stream_exchange::StreamExchange,
        stream_store::StreamStore,
        table_watcher::{LONG_POLL_WAIT, TableWatcher, WatchPosition},
    },
    glade_adapter::{config, platform_store::PlatformStore, registry},
    glade_catalog::Catalog,
    glade_clock::Clock,
    glade_dispatch::ClusterView,
    glade_platform::{Change, Era, Revision},
    glade_relay::TrafficUpdate,
    glade_settings::NodeSettings,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{
            mpsc::{Receiver, Sender},
            watch,
        },
        time::sleep,
    },
};

/// Period of the control thread's periodic work.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Period of heartbeats to other nodes in a full mesh.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Period of heartbeats in a mesh with leaves, whose cores send heartbeats to many nodes.
const LARGE_MESH_HEARTBEAT_PERIOD: Duration = Duration::from_millis(350);

/// Time after a node's start during which it waits for other nodes to send it the tables that it
/// would otherwise read from the store.
const STARTUP_WAIT: Duration = Duration::from_millis(1200);
/// Longest wait of one call for changes of the quarantined parts. Other nodes send them too, so the table is read
/// sparingly.
const QUARANTINE_POLL_WAIT: Duration = Duration::from_secs(10);

/// State of the control thread.
pub(crate) struct Control {
    settings: Arc<NodeSettings>,
    clock: Arc<dyn Clock>,
    published: PublishedState,
    events: Sender<Event>,
    store: Rc<PlatformStore>,
    store_health: StoreHealth,
    store_outage: StoreOutage,
    /// Other nodes' access to the store.
    access: StoreAccess,
    isolation: Isolation,
    network: PeerNetwork,
    leadership: Leadership,
    /// The operators' configuration in force; `None` until the node has received one.
    catalog: Option<Arc<Catalog>>,
    /// Requests for a later configuration.
    catalog_fetch: CatalogFetch,
    catalog_announcer: CatalogAnnouncer,
    registry: Registry,
    /// Requests for changes of the registry that this node lacks.
    registry_fetch: RegistryFetch,
    /// The view of the registry for this node's leaves, if the node is a core with leaves.
    leaf_registry: LeafRegistry,
    /// Digests of engines to be sent to this node's leaves, if it is the primary core.
    pending_digests: PendingDigests,
    /// Names in the configuration in force, by which digests for leaves are decoded.
    name_table: NameTable,
    registry_position: WatchPosition,
    config_position: WatchPosition,
    quarantine_position: WatchPosition,
    /// True outside a full mesh; shared with the table watchers.
    in_large_mesh: Rc<Cell<bool>>,
    /// Node discovery has read the rows of all nodes, or one of its calls to the store has failed.
    /// In the latter case this node reads the tables too, because any of the node's calls may be
    /// the one that the store answers.
    discovery_settled: bool,
    /// When this node stops waiting for other nodes to send it the platform's tables, and reads
    /// the tables itself if no node has sent them.
    startup_ends_at: Instant,
    /// Whether this node reads the platform's tables itself; watched by the table watchers.
    read_role: watch::Sender<ReadRole>,
    loads: LoadExchange,
    prompts: PromptExchange,
    starts: StartExchange,
    quarantine: QuarantineExchange,
    quarantine_store: QuarantineStore,
    limits: LimitExchange,
    quotas: QuotaExchange,
    streams: StreamExchange,
    stream_store: StreamStore,
    origin_store: Box<dyn OriginStore>,
    demand: DemandAggregator,
    endpoints: EndpointExchange,
    catch_up: CatchUp,
    is_shutting_down: bool,
    next_tick_at: Instant,
    next_heartbeat_at: Instant,
    /// When the collected demand is forwarded next.
    next_demand_at: Instant,
    /// When the list of live nodes is sent next.
    next_node_list_at: Instant,
    /// Latest era of the store that the store or another node has reported.
    era: Option<Era>,
    started_at: Instant,
    /// The published view must be rebuilt.
    view_is_outdated: bool,
    /// The published view is an earlier control's, and stays until this one has heard from other nodes
    /// and knows the registry.
    keeps_published_view: bool,
    /// Other nodes have reported loads since the last view was published.
    peer_loads_changed: bool,
    rng: fastrand::Rng,
    control_metrics: ControlMetrics,
}

/// Handle to a running control thread, which runs until the process exits.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    events: Sender<Event>,
    /// The node was asked to shut down. A control that starts again would miss the event.
    is_shutting_down: Arc<AtomicBool>,
}

impl ControlHandle {
    pub(crate) fn new(events: Sender<Event>) -> Self {
        Self { events, is_shutting_down: Arc::default() }
    }

    /// Queues an event for the control thread. The event is dropped if the queue is full; returns
    /// whether it was queued.
    pub(crate) fn send(&self, event: Event) -> bool {
        let is_queued = self.events.try_send(event).is_ok();
        if !is_queued {
            log::warn!("control_behind");
        }
        is_queued
    }

    /// Has the control thread shut down, at its next tick if the queue is full.
    pub(crate) fn shut_down(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
        self.send(Event::Shutdown);
    }

    /// For events that have to wait for room in the queue.
    pub(crate) fn events(&self) -> Sender<Event> {
        self.events.clone()
    }
}

impl Control {
    pub(crate) fn new(
        settings: Arc<NodeSettings>,
        clock: Arc<dyn Clock>,
        network: PeerNetwork,
        published: PublishedState,
        control_metrics: ControlMetrics,
        events: Sender<Event>,
    ) -> Self {
        let now = clock.now();
        let write_delay_max =
            if settings.first_start { FIRST_START_JITTER_MAX } else { Duration::ZERO };
        let startup_ends_at = now + write_delay_max + STARTUP_WAIT;
        let store = Rc::new(PlatformStore::new(settings.store));
        let mut rng = fastrand::Rng::new();
        let config = LeadershipConfig {
            vm: network.me.vm.clone(),
            incarnation: network.me.incarnation,
            alternation_limit: settings.timing.lease_duration,
            engines_check_fences: settings.engines_check_fences,
        };
        let lease = StoredLease { store: Rc::clone(&store), events: events.clone() };
        let origin_store = StoredOrigins { store: Rc::clone(&store), events: events.clone() };
        let leadership = Leadership::new(now, config, Box::new(lease), events.clone(), rng.fork());
        let store_outage = StoreOutage::new(settings.timing.registry_heartbeat_interval);
        Self {
            settings,
            clock,
            published,
            events,
            store,
            store_health: StoreHealth::default(),
            store_outage,
            access: StoreAccess::new(startup_ends_at),
            isolation: Isolation::default(),
            prompts: PromptExchange::new(&network.me),
            starts: StartExchange::default(),
            quarantine: QuarantineExchange::new(),
            quarantine_store: QuarantineStore::default(),
            limits: LimitExchange::new(now),
            quotas: QuotaExchange::default(),
            streams: StreamExchange::new(now),
            stream_store: StreamStore::default(),
            origin_store: Box::new(origin_store),
            network,
            leadership,
            catalog: None,
            catalog_fetch: CatalogFetch::default(),
            catalog_announcer: CatalogAnnouncer::default(),
            registry: Registry::default(),
            registry_fetch: RegistryFetch::default(),
            leaf_registry: LeafRegistry::default(),
            pending_digests: PendingDigests::default(),
            name_table: NameTable::default(),
            registry_position: WatchPosition::new(),
            config_position: WatchPosition::new(),
            quarantine_position: WatchPosition::new(),
            in_large_mesh: Rc::default(),
            discovery_settled: false,
            startup_ends_at,
            read_role: watch::Sender::new(ReadRole::Off),
            loads: LoadExchange::new(now),
            demand: DemandAggregator::new(now),
            endpoints: EndpointExchange::new(now),
            catch_up: CatchUp::new(now),
            is_shutting_down: false,
            next_tick_at: now,
            next_heartbeat_at: now,
            next_demand_at: now,
            next_node_list_at: now,
            era: None,
            started_at: now,
            view_is_outdated: true,
            keeps_published_view: false,
            peer_loads_changed: false,
            rng,
            control_metrics,
        }
    }

    /// Continues the work of a control of this process that has panicked. Keeps the configuration in
    /// force, and the published view until its own is complete.
    pub(crate) fn continue_from_published(&mut self, now: Instant) {
        if let Some(catalog) = self.published.view.load().catalog.clone() {
            self.apply_catalog(now, catalog, "before");
            self.keeps_published_view = true;
        }
    }

    /// Runs until a task of this control panics.
    pub(crate) async fn run(mut self, handle: &ControlHandle, inbox: &mut Receiver<Event>) {
        self.spawn_store_tasks();
        self.contact_seeds(self.clock.now());
        loop {
            let now = self.clock.now();
            self.network.flush(now);
            let next_wake_at = self.next_wake_at();
            tokio::select! {
                event = inbox.recv() => match event {
                    None | Some(Event::TaskPanicked) => return,
                    Some(event) => self.handle_event(self.clock.now(), event),
                },
                () = sleep(next_wake_at.saturating_duration_since(now)) => {}
            }
            if handle.is_shutting_down.load(Ordering::Relaxed) && !self.is_shutting_down {
                self.handle_event(self.clock.now(), Event::Shutdown);
            }
            self.run_due_work(self.clock.now());
        }
    }

    fn contact_seeds(&mut self, now: Instant) {
        for seed in self.settings.seeds.clone() {
            self.network.send_initial_heartbeat(now, seed);
        }
    }

    /// When the control thread next has work to do if no event arrives before.
    fn next_wake_at(&self) -> Instant {
        let due = [
            self.prompts.due(),
            self.network.due(),
            self.starts.due(),
            self.quotas.due(),
            self.streams.due(),
        ];
        due.into_iter().flatten().fold(self.next_tick_at, Instant::min)
    }

    /// Applies an event to the state, and acts on the new state unless that can wait for the next
    /// tick.
    fn handle_event(&mut self, now: Instant, event: Event) {
        let can_wait =
            event.has_only_records() || !self.network.mesh.is_full_mesh && event.is_routine();
        self.apply_event(now, event);
        if !can_wait {
            self.act_on_state(now);
        }
    }

    /// Does the work that is due at `now`.
    fn run_due_work(&mut self, now: Instant) {
        if now >= self.next_tick_at {
            if self.catch_up.notice_standstill(now, &self.network) {
                self.next_heartbeat_at = now;
            }
            self.on_tick(now);
            self.act_on_state(now);
            if self.catch_up.is_done(now, &self.network, self.registry.revision()) {
                self.published.view_check.record(now);
            }
            self.next_tick_at = now + self.tick_period();
        }
        self.prompts.forward(now, &mut self.network);
        if self.starts.due().is_some_and(|due| due <= now) {
            self.poll_starts(now);
        }
        if self.quotas.due().is_some_and(|due| due <= now) {
            self.issue_quotas(now);
        }
        if self.streams.due().is_some_and(|due| due <= now) {
            self.act_on_streams(now);
        }
    }

    /// Period of the periodic work. Leaves decide nothing for other nodes, so theirs may be longer.
    fn tick_period(&self) -> Duration {
        if self.network.mesh.is_core {
            TICK_PERIOD
        } else {
            TICK_PERIOD.max(self.network.leaf_batch_delay())
        }
    }

    fn spawn_store_tasks(&mut self) {
        let watched = [
            (config::TABLE, WatchedTable::Configuration, &self.config_position, LONG_POLL_WAIT),
            (registry::TABLE, WatchedTable::Registry, &self.registry_position, LONG_POLL_WAIT),
            (
                quarantine_store::TABLE,
                WatchedTable::Quarantine,
                &self.quarantine_position,
                QUARANTINE_POLL_WAIT,
            ),
        ];
        for (table, watched, position, long_poll_wait) in watched {
            let watcher = TableWatcher {
                store: Rc::clone(&self.store),
                table,
                watched,
                position: position.clone(),
                long_poll_wait,
                role: self.read_role.subscribe(),
                in_large_mesh: Rc::clone(&self.in_large_mesh),
                events: self.events.clone(),
                clock: Arc::clone(&self.clock),
                rng: self.rng.fork(),
            };
            spawn_task(&self.events, watcher.run());
        }
        let discovery = self.node_discovery();
        spawn_task(&self.events, discovery.run());
    }

    pub(crate) fn node_discovery(&mut self) -> NodeDiscovery<PlatformStore> {
        NodeDiscovery {
            store: Rc::clone(&self.store),
            me: self.network.me.clone(),
            is_first_start: self.settings.first_start,
            events: self.events.clone(),
            rng: self.rng.fork(),
        }
    }

    fn apply_event(&mut self, now: Instant, event: Event) {
        self.record_store_outcome(now, &event);
        if let Some(era) = self.store.era() {
            self.observe_era(now, era);
        }
        match event {
            Event::Snapshot(WatchedTable::Configuration, snapshot) => {
                self.config_position.advance_to(snapshot.revision);
                snapshot.rows.iter().for_each(|row| self.on_configuration_row(now, row));
            }
            Event::Changes(WatchedTable::Configuration, _, changes) => {
                self.config_position.advance_to(changes.revision);
                for change in &changes.changes {
                    if let Change::Written(row) = change {
                        self.on_configuration_row(now, row);
                    }
                }
            }
            Event::Snapshot(WatchedTable::Registry, snapshot) => {
                let may_hide_servers = self.store_outage.may_hide_servers(now);
                let update = RegistryUpdate::from_snapshot(&snapshot, may_hide_servers);
                self.on_registry_read(now, update);
            }
            Event::Changes(WatchedTable::Registry, after, changes) => {
                let may_hide_servers = self.store_outage.may_hide_servers(now);
                let update = RegistryUpdate::from_changes(after, &changes, may_hide_servers);
                self.on_registry_read(now, update);
            }
            Event::Snapshot(WatchedTable::Quarantine, snapshot) => {
                self.on_quarantine_snapshot(now, &snapshot);
            }
            Event::Changes(WatchedTable::Quarantine, _, changes) => {
                self.quarantine_position.advance_to(changes.revision);
                self.on_quarantine_changes(now, &changes.changes);
            }
            Event::QuarantineWritten(_, entry, answer) => {
                self.on_quarantine_written(now, &entry, answer);
            }
            Event::TrialClaimed(_, entry, claim) => self.on_trial_claimed(now, &entry, claim),
            Event::StoreCallFailed(..) => {}
            Event::NodesRead(rows) => {
                self.network.add_all_nodes(now, &rows);
                self.discovery_settled = true;
                self.next_heartbeat_at = now;
            }
            Event::NodeDiscoveryFailed => {
                self.discovery_settled = true;
                self.next_heartbeat_at = now;
            }
            Event::PeerBatch(batch) => self.on_peer_batch(now, *batch),
            Event::TrafficReport(report) => self.on_traffic_report(now, report),
            Event::PromptsSent(sent) => self.prompts.on_local(now, sent, &mut self.network),
            Event::TrafficUpdate(TrafficUpdate::ModelWanted(wanted)) => {
                self.on_model_wanted(now, wanted)
            }
            Event::TrafficUpdate(TrafficUpdate::ServerGone(key)) => {
                if self.mark_server_gone(now, &key) {
                    self.network.broadcast(now, &PeerMessage::ServerGone(key));
                }
            }
            Event::TrafficUpdate(TrafficUpdate::StartWanted(request)) => {
                self.on_start_wanted(now, request)
            }
            Event::StartEvents(events) => self.on_start_events(now, events),
            Event::TrafficUpdate(TrafficUpdate::ServerLeaving(key)) => {
                if self.registry.mark_leaving(&key) {
                    self.on_records_changed(now);
                    self.network.broadcast(now, &PeerMessage::ServerLeaving(key));
                }
            }
            Event::TrafficUpdate(TrafficUpdate::AttemptLost(attempt)) => {
                self.quarantine.on_local_attempt(now, attempt, self.network.mesh.is_core);
            }
            Event::TrafficUpdate(TrafficUpdate::PartsServed(parts)) => {
                self.quarantine.on_local_served(now, &parts);
            }
            Event::TrafficUpdate(TrafficUpdate::LimitStated(key, report)) => {
                self.on_limit_stated(now, &key, report);
            }
            Event::TrafficUpdate(TrafficUpdate::PermitsWanted(wishes)) => {
                self.on_permits_wanted(now, wishes);
            }
            Event::TrafficUpdate(TrafficUpdate::QuotaWanted(asks)) => {
                self.on_quota_wanted(now, asks);
            }
            Event::TrafficUpdate(TrafficUpdate::StreamBegun { stream, version }) => {
                self.streams.on_begun(now, stream, version);
            }
            Event::TrafficUpdate(TrafficUpdate::OriginWanted(number, question)) => {
                self.on_origin_wanted(now, number, question);
            }
            Event::StreamLogRead(_, answer) => self.on_stream_log_read(now, answer),
            Event::OriginTablesRead(began_at, answer) => {
                self.on_origin_tables_read(now, began_at, answer);
            }
            Event::StreamLogWritten(_, write, answer) => {
                self.on_stream_log_written(now, write, &answer);
            }
            Event::TrafficUpdate(TrafficUpdate::TrialWanted(key)) => {
                self.on_trial_wanted(now, key);
            }
            Event::TrafficUpdate(TrafficUpdate::ServerBackoff(key, time)) => {
                self.leadership.on_backoff(&key, now + time)
            }
            Event::LeaseRead(_, answer) => self.leadership.on_lease_read(now, answer),
            Event::LeaseWritten(_, answer) => self.leadership.on_lease_written(now, answer),
            Event::OrderAnswered(order, answer) => {
                self.leadership.on_order_answered(now, &order, answer);
            }
            Event::EngineReported(server, report) => {
                self.leadership.on_reported(now, &server, report.as_ref());
            }
            Event::Seeds(seeds) => {
                seeds.into_iter().for_each(|seed| self.network.send_initial_heartbeat(now, seed))
            }
            // Ends the loop of `run`.
            Event::TaskPanicked => {}
            Event::Shutdown if self.is_shutting_down => {}
            Event::Shutdown => {
                self.is_shutting_down = true;
                self.leadership.shut_down(now);
                self.next_heartbeat_at = now;
                self.view_is_outdated = true;
            }
        }
    }

    fn on_tick(&mut self, now: Instant) {
        self.view_is_outdated |= std::mem::take(&mut self.peer_loads_changed);
        self.network.reconnect_unacknowledged(now);
        if self.registry.expire_lapsed(now) {
            self.on_records_changed(now);
        }
        self.poll_starts(now);
        self.loads.send_due(now, &mut self.network);
        self.send_leaf_digests(now);
        self.tick_store_access(now);
        self.fetch_catalog(now);
        self.fetch_registry(now);
        let election = self.election(now);
        self.leadership.tick(now, election, &self.network.peers, &self.store_health);
        self.forward_demand(now);
        self.tick_quarantine(now);
        self.network.update_known_nodes(now);
        self.tick_limits(now);
        self.tick_quotas(now);
        self.tick_streams(now);
        if self.network.mesh.is_core && self.catalog_announcer.take_due(now) {
            self.send_heartbeats(now, HeartbeatReceivers::Before(self.catalog_version()));
        }
        if now >= self.next_heartbeat_at {
            if self.network.update_mesh(now) {
                self.on_role_change(now);
            }
            self.in_large_mesh.set(!self.network.mesh.is_full_mesh);
            self.init_leaf_registry(now);
            let is_full_mesh = self.network.mesh.is_full_mesh;
            self.next_heartbeat_at =
                now + if is_full_mesh { HEARTBEAT_PERIOD } else { LARGE_MESH_HEARTBEAT_PERIOD };
            self.send_heartbeats(now, HeartbeatReceivers::All);
            self.repeat_store_reports(now);
            self.network.peers.sweep(now);
            self.update_server_versions(now);
            self.update_read_role(now);
            self.endpoints.send_due(now, self.own_endpoint(), &mut self.network);
            self.view_is_outdated |=
                self.caller_endpoints(now) != **self.published.endpoints.load();
            self.send_node_list(now);
        }
    }

    /// Starts or stops reading the platform's tables, as the node's role requires.
    fn update_read_role(&mut self, now: Instant) {
        let role = self.current_read_role(now);
        self.read_role.send_if_modified(|known| std::mem::replace(known, role) != role);
    }

    fn current_read_role(&self, now: Instant) -> ReadRole {
        let is_holder = self.leadership.is_holder();
        let store_is_unreachable = self.store_health.is_unreachable();
        let mesh = &self.network.mesh;
        if !mesh.is_core && self.access.reads_as_leaf() {
            return self.leaf_read_role(now);
        }
        let conditions = ReadConditions {
            is_core: mesh.is_core,
            core_is_live: mesh.local_cores.iter().any(|vm| self.network.peers.is_live(now, vm)),
            discovery_settled: self.discovery_settled,
            recently_started: now < self.startup_ends_at,
        };
        if conditions.receives_updates() {
            return ReadRole::Off;
        }
        read_role(
            now,
            &self.network.me.vm,
            is_holder,
            store_is_unreachable,
            mesh.is_core && self.access.cores_lost_store(now),
            &self.network.peers,
        )
    }

    /// Acts on the current state: begins, renews or ends the lease term, runs the placement
    /// controller while this node holds the lease, and publishes the view if it has changed.
    fn act_on_state(&mut self, now: Instant) {
        if self.leadership.follow_lease(now, self.catalog.as_deref(), &self.registry) {
            self.next_heartbeat_at = now;
            self.update_read_role(now);
        }
        let nodes = self.network.peers.count() as u32 + 1;
        if let Some(update) = self.leadership.act(now, nodes, self.catalog.as_deref()) {
            let engines = update.engines.clone();
            let message = PeerMessage::Residents { epoch: update.epoch, engines };
            self.network.send_to_cores(now, &message);
            self.apply_residents(now, update.epoch, update.engines);
        }
        if self.view_is_outdated && self.may_publish(now) {
            self.view_is_outdated = false;
            self.publish_view(now);
        }
    }

    /// False while the published view of an earlier control is more complete than this one's.
    fn may_publish(&mut self, now: Instant) -> bool {
        self.keeps_published_view &=
            now < self.startup_ends_at || self.registry.revision() == Revision::ABSENT;
        !self.keeps_published_view
    }

    /// Sends a heartbeat to the `receivers`.
    fn send_heartbeats(&mut self, now: Instant, receivers: HeartbeatReceivers) {
        let heartbeat = Heartbeat {
            seq: 0,
            acked_seq: 0,
            core: self.network.mesh.is_core,
            mesh_topology: self.network.mesh.topology(self.network.has_all_nodes),
            serving: self.is_serving(),
            catalog_version: self.catalog_version(),
            holder: self.leadership.claim(),
            resigned_epoch: self.leadership.resigned_epoch(),
            store: self.store_health.status(now),
            requests_store_probe: self.leadership.requests_store_probe(now, &self.store_health),
            reads_tables: self.reads_tables(),
            registry_revision: self.registry.revision(),
        };
        let leaf_revision = self.leaf_registry.revision();
        self.network.send_heartbeats(now, receivers, &heartbeat, leaf_revision);
    }

    /// True if this node reads the tables, and the store answers it.
    fn reads_tables(&self) -> bool {
        self.read_role.borrow().is_reader() && !self.store_health.is_unreachable()
    }

    fn catalog_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version())
    }

    fn is_serving(&self) -> bool {
        self.catalog.is_some() && !self.is_shutting_down
    }

    /// The address at which callers reach this node, while it accepts requests.
    fn own_endpoint(&self) -> Option<SocketAddr> {
        self.is_serving().then_some(self.network.me.caller_addr)
    }

    fn caller_endpoints(&self, now: Instant) -> CallerEndpoints {
        self.endpoints.current(now, self.own_endpoint(), &self.network)
    }

    /// Number of the nodes at `endpoints`, at least 1, and this node's position among them.
    fn place_among(&self, endpoints: &CallerEndpoints) -> (u32, u32) {
        let own = self.network.me.caller_addr;
        let addrs = || endpoints.same_data_centre.iter().chain(&endpoints.other_data_centres);
        (addrs().count().max(1) as u32, addrs().filter(|addr| **addr < own).count() as u32)
    }

    /// Publishes the current state to the relay and the directory.
    fn publish_view(&mut self, now: Instant) {
        self.control_metrics.on_view_published();
        let endpoints = self.caller_endpoints(now);
        let (live_vms, vm_position) = self.place_among(&endpoints);
        let other_vms_loads = self.loads.others(now, &self.network);
        let view = ClusterView {
            catalog: self.catalog.clone(),
            catalog_is_outdated: self.catalog_fetch.latest() > self.catalog_version(),
            servers: self.server_views(now, &other_vms_loads),
            models_ready_at: self.registry.models_ready_at(),
            has_coordinator: self.has_coordinator(now),
            live_vms,
            vm_position,
            known_vms: self.network.known_nodes.count().max(live_vms),
            quarantine: Arc::clone(self.quarantine.view()),
        };
        self.starts.update_view(now, &view);
        self.published.view.store(Arc::new(view));
        self.published.endpoints.store(Arc::new(endpoints));
        self.published.view_changed.notify_one();
    }
}

#[cfg(test)]
mod tests;
