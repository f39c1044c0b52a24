//! The control thread: owns what the node believes, and acts for all engines while it holds the
//! lease.

mod peer_handlers;
mod store_handlers;
mod traffic_handlers;

use {
    crate::{
        control_metrics::ControlMetrics,
        demand_aggregator::DemandAggregator,
        endpoint_exchange::EndpointExchange,
        event::{Event, WatchedTable},
        leadership::{Leadership, LeadershipConfig},
        leaf_digest::{NameTable, PendingDigests},
        leaf_registry::LeafRegistry,
        load_exchange::LoadExchange,
        node_discovery::{FIRST_START_SPREAD, NodeDiscovery},
        peer_message::{Heartbeat, PeerBatch, PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
        prompt_exchange::PromptExchange,
        published_state::{CallerEndpoints, PublishedState},
        read_role::{ReadConditions, ReadRole, read_role},
        registry::Registry,
        registry_update::RegistryUpdate,
        start_exchange::StartExchange,
        store_health::StoreHealth,
        table_watcher::{TableWatcher, WatchPosition},
    },
    glade_adapter::{config, registry, store::PlatformStore},
    glade_catalog::Catalog,
    glade_clock::Clock,
    glade_dispatch::ClusterView,
    glade_platform::{Change, Era},
    glade_relay::TrafficUpdate,
    glade_settings::NodeSettings,
    glade_wire::{Inbox, Outbox},
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{
            mpsc::{Receiver, Sender, channel},
            watch,
        },
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Events that may wait for the control thread.
const EVENTS_MAX: usize = 1024;
/// Period of the control thread's own work.
const TICK: Duration = Duration::from_millis(50);
/// Period of signs of life to other nodes.
const BEAT_EVERY: Duration = Duration::from_millis(200);
/// The same in a mesh with leaves, whose cores beat to many.
const LARGE_BEAT_EVERY: Duration = Duration::from_millis(350);

/// Time after a node's start for which others may tell it what it would read from the store.
const START_PATIENCE: Duration = Duration::from_millis(1200);

/// State of the control thread.
struct Control {
    settings: Arc<NodeSettings>,
    clock: Arc<dyn Clock>,
    published: PublishedState,
    events: Sender<Event>,
    store: Rc<PlatformStore>,
    health: StoreHealth,
    network: PeerNetwork,
    leadership: Leadership,
    catalog: Option<Arc<Catalog>>,
    /// Latest version that another node has named, and since when this node has been behind it.
    catalog_elsewhere: u64,
    catalog_behind_since: Option<Instant>,
    registry: Registry,
    /// What this node's leaves know of the registry, if it speaks for them.
    leaf_registry: LeafRegistry,
    /// What this node's leaves have yet to be told of engines, if it speaks for them.
    untold_digests: PendingDigests,
    /// Names of the configuration in force.
    names: NameTable,
    registry_position: WatchPosition,
    config_position: WatchPosition,
    /// Shared with those who follow tables.
    in_large_mesh: Rc<Cell<bool>>,
    /// The rows of all nodes were read, or the store is in trouble, and every call may be the one that it
    /// answers.
    is_enrolled: bool,
    /// When this node reads the platform's tables even if it can't tell whether others do.
    reads_from: Instant,
    /// Whether this node reads the platform's tables itself.
    reads: watch::Sender<ReadRole>,
    loads: LoadExchange,
    prompts: PromptExchange,
    starts: StartExchange,
    demand: DemandAggregator,
    endpoints: EndpointExchange,
    leaving: bool,
    tick_at: Instant,
    beat_at: Instant,
    /// When demand and known nodes are passed on next.
    demand_at: Instant,
    nodes_at: Instant,
    catalog_asked_at: Option<Instant>,
    /// Latest era of the store that it or another node has named.
    era: Option<Era>,
    /// When this process started.
    started_at: Instant,
    dirty: bool,
    /// Other nodes have told of their loads since the last view.
    loads_dirty: bool,
    rng: fastrand::Rng,
    control_metrics: ControlMetrics,
}

/// A running control thread. It ends with the process.
#[derive(Clone, Debug)]
pub(crate) struct ControlHandle {
    events: Sender<Event>,
}

impl ControlHandle {
    /// Tells the control thread, unless it is far behind.
    pub(crate) fn send(&self, event: Event) {
        if self.events.try_send(event).is_err() {
            log::warn!("control_behind");
        }
    }
}

/// Starts the control thread.
pub(crate) fn spawn_control(
    settings: Arc<NodeSettings>,
    clock: Arc<dyn Clock>,
    me: PeerInfo,
    published: PublishedState,
    control_metrics: ControlMetrics,
) -> Result<ControlHandle, Box<dyn std::error::Error>> {
    let (events, inbox) = channel(EVENTS_MAX);
    let handle = ControlHandle { events: events.clone() };
    let deliver = handle.clone();
    let received = control_metrics.clone();
    let inbox_thread = Inbox::bind_frames(settings.listen.peers, move |bytes| {
        let batch = PeerBatch::decode(bytes, &received)?;
        deliver.send(Event::PeerBatch(Box::new(batch)));
        Ok(())
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let _inbox_thread = inbox_thread;
        let network = PeerNetwork::new(me, Box::new(Outbox::new()), control_metrics.clone());
        let control = Control::new(settings, clock, network, published, control_metrics, events);
        LocalSet::new().block_on(&runtime, control.run(inbox));
    };
    thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok(handle)
}

impl Control {
    fn new(
        settings: Arc<NodeSettings>,
        clock: Arc<dyn Clock>,
        network: PeerNetwork,
        published: PublishedState,
        control_metrics: ControlMetrics,
        events: Sender<Event>,
    ) -> Self {
        let now = clock.now();
        let spread = if settings.first_start { FIRST_START_SPREAD } else { Duration::ZERO };
        let reads_from = now + spread + START_PATIENCE;
        let store = Rc::new(PlatformStore::new(settings.store));
        let mut rng = fastrand::Rng::new();
        let terms = LeadershipConfig {
            vm: network.me.vm.clone(),
            incarnation: network.me.incarnation,
            handover_limit: settings.timing.lease,
            engines_check_fences: settings.engines_check_fences,
        };
        let leadership = Leadership::new(now, terms, Rc::clone(&store), events.clone(), rng.fork());
        Self {
            settings,
            clock,
            published,
            events,
            store,
            health: StoreHealth::default(),
            prompts: PromptExchange::new(&network.me),
            starts: StartExchange::default(),
            network,
            leadership,
            catalog: None,
            catalog_elsewhere: 0,
            catalog_behind_since: None,
            registry: Registry::default(),
            leaf_registry: LeafRegistry::default(),
            untold_digests: PendingDigests::default(),
            names: NameTable::default(),
            registry_position: WatchPosition::new(),
            config_position: WatchPosition::new(),
            in_large_mesh: Rc::default(),
            is_enrolled: false,
            reads_from,
            reads: watch::Sender::new(ReadRole::Off),
            loads: LoadExchange::new(now),
            demand: DemandAggregator::new(now),
            endpoints: EndpointExchange::new(now),
            leaving: false,
            tick_at: now,
            beat_at: now,
            demand_at: now,
            nodes_at: now,
            catalog_asked_at: None,
            era: None,
            started_at: now,
            dirty: true,
            loads_dirty: false,
            rng,
            control_metrics,
        }
    }

    async fn run(mut self, mut inbox: Receiver<Event>) {
        self.spawn_feeds();
        self.greet_seeds(self.clock.now());
        loop {
            let now = self.clock.now();
            self.network.flush(now);
            let wake_at = self.wake_at();
            tokio::select! {
                event = inbox.recv() => {
                    let Some(event) = event else { return };
                    self.take(self.clock.now(), event);
                }
                () = sleep(wake_at.saturating_duration_since(now)) => {}
            }
            self.do_due(self.clock.now());
        }
    }

    fn greet_seeds(&mut self, now: Instant) {
        for seed in self.settings.seeds.clone() {
            self.network.send_initial_heartbeat(now, seed);
        }
    }

    /// When there is something to do, whatever happens until then.
    fn wake_at(&self) -> Instant {
        let due = [self.prompts.due(), self.network.due(), self.starts.due()];
        due.into_iter().flatten().fold(self.tick_at, Instant::min)
    }

    /// Takes note of an event, and does what follows from it unless that can wait for the next tick.
    fn take(&mut self, now: Instant, event: Event) {
        let can_wait = event.is_prompts() || !self.network.mesh.is_full_mesh && event.is_routine();
        self.on_event(now, event);
        if !can_wait {
            self.act(now);
        }
    }

    /// Does what is due.
    fn do_due(&mut self, now: Instant) {
        if now >= self.tick_at {
            self.on_tick(now);
            self.act(now);
            self.tick_at = now + self.tick_every();
        }
        self.prompts.forward(now, &mut self.network);
        if self.starts.due().is_some_and(|due| due <= now) {
            self.look_at_starts(now);
        }
    }

    /// Period of this node's own work: leaves of a large mesh decide nothing for others.
    fn tick_every(&self) -> Duration {
        if self.network.mesh.is_core { TICK } else { TICK.max(self.network.leaf_batch_delay()) }
    }

    fn spawn_feeds(&mut self) {
        let followed = [
            (config::TABLE, WatchedTable::Configuration, &self.config_position),
            (registry::TABLE, WatchedTable::Registry, &self.registry_position),
        ];
        for (table, followed, position) in followed {
            let feed = TableWatcher {
                store: Rc::clone(&self.store),
                table,
                followed,
                position: position.clone(),
                reads: self.reads.subscribe(),
                in_large_mesh: Rc::clone(&self.in_large_mesh),
                events: self.events.clone(),
                clock: Arc::clone(&self.clock),
                rng: self.rng.fork(),
            };
            spawn_local(feed.run());
        }
        spawn_local(self.roll_call().answer());
    }

    pub(crate) fn roll_call(&mut self) -> NodeDiscovery<PlatformStore> {
        NodeDiscovery {
            store: Rc::clone(&self.store),
            me: self.network.me.clone(),
            is_first_start: self.settings.first_start,
            events: self.events.clone(),
            rng: self.rng.fork(),
        }
    }

    fn on_event(&mut self, now: Instant, event: Event) {
        self.note_store(now, &event);
        if let Some(era) = self.store.era() {
            self.note_era(now, era);
        }
        match event {
            Event::Snapshot(WatchedTable::Configuration, snapshot) => {
                self.config_position.reach(snapshot.revision);
                snapshot.rows.iter().for_each(|row| self.on_configuration(now, row));
            }
            Event::Changes(WatchedTable::Configuration, _, changes) => {
                self.config_position.reach(changes.revision);
                for change in &changes.changes {
                    if let Change::Written(row) = change {
                        self.on_configuration(now, row);
                    }
                }
            }
            Event::Snapshot(WatchedTable::Registry, snapshot) => {
                self.on_read_registry(
                    now,
                    RegistryUpdate::from_snapshot(&snapshot, self.lapses(now)),
                );
            }
            Event::Changes(WatchedTable::Registry, after, changes) => {
                self.on_read_registry(
                    now,
                    RegistryUpdate::from_changes(after, &changes, self.lapses(now)),
                );
            }
            Event::StoreCallFailed(..) => {}
            Event::NodesRead(rows) => {
                self.network.add_all_nodes(now, &rows);
                self.is_enrolled = true;
                self.beat_at = now;
            }
            Event::NodeDiscoveryFailed => {
                self.is_enrolled = true;
                self.beat_at = now;
            }
            Event::PeerBatch(batch) => self.on_peer_batch(now, *batch),
            Event::TrafficReport(report) => self.on_traffic(now, report),
            Event::PromptsSent(sent) => self.prompts.on_local(now, sent, &mut self.network),
            Event::TrafficUpdate(TrafficUpdate::ModelWanted(model)) => self.on_wish(now, model),
            Event::TrafficUpdate(TrafficUpdate::ServerGone(key)) => {
                if self.on_gone(now, &key) {
                    self.network.broadcast(now, &PeerMessage::ServerGone(key));
                }
            }
            Event::TrafficUpdate(TrafficUpdate::StartWanted(ask)) => self.on_start_wanted(now, ask),
            Event::StartEvents(events) => self.on_start_events(now, events),
            Event::TrafficUpdate(TrafficUpdate::ServerLeaving(key)) => {
                if self.registry.on_leaving(&key) {
                    self.on_records(now);
                    self.network.broadcast(now, &PeerMessage::ServerLeaving(key));
                }
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
            Event::Shutdown => {
                self.leaving = true;
                self.leadership.shut_down(now);
                self.beat_at = now;
                self.dirty = true;
            }
        }
    }

    fn on_tick(&mut self, now: Instant) {
        self.dirty |= std::mem::take(&mut self.loads_dirty);
        self.network.reconnect_unacknowledged(now);
        if self.registry.sweep(now) {
            self.on_records(now);
        }
        self.look_at_starts(now);
        self.loads.send_due(now, &mut self.network);
        self.tell_leaf_digests(now);
        self.leadership.tick(now, self.network.mesh.is_core, &self.network.peers, &self.health);
        self.pass_demand(now);
        if now >= self.beat_at {
            if self.network.update_mesh(now) {
                self.on_role(now);
            }
            self.in_large_mesh.set(!self.network.mesh.is_full_mesh);
            self.note_leaves(now);
            let is_full_mesh = self.network.mesh.is_full_mesh;
            self.beat_at = now + if is_full_mesh { BEAT_EVERY } else { LARGE_BEAT_EVERY };
            self.heartbeat(now);
            self.network.peers.sweep(now);
            self.choose_readers(now);
            self.endpoints.send_due(now, self.own_entrance(), &mut self.network);
            self.dirty |= self.current_entrances(now) != **self.published.endpoints.load();
            self.tell_nodes(now);
        }
    }

    /// Begins or ends reading the platform's tables.
    fn choose_readers(&mut self, now: Instant) {
        let reads = self.current_read_role(now);
        self.reads.send_if_modified(|known| std::mem::replace(known, reads) != reads);
    }

    fn current_read_role(&self, now: Instant) -> ReadRole {
        let is_holder = self.leadership.is_holder();
        let away = self.health.is_unreachable();
        let mesh = &self.network.mesh;
        let place = ReadConditions {
            is_core: mesh.is_core,
            hears_core: mesh.local_cores.iter().any(|vm| self.network.peers.is_live(now, vm)),
            is_enrolled: self.is_enrolled,
            is_new: now < self.reads_from,
        };
        if place.is_told() {
            return ReadRole::Off;
        }
        read_role(now, &self.network.me.vm, is_holder, away, &self.network.peers)
    }

    /// What follows from what is believed now.
    fn act(&mut self, now: Instant) {
        if self.leadership.follow_lease(now, self.catalog.as_deref(), &self.registry) {
            self.beat_at = now;
            self.choose_readers(now);
        }
        let nodes = self.network.peers.count() as u32 + 1;
        if let Some(news) = self.leadership.act(now, nodes, self.catalog.as_deref()) {
            let engines = news.engines.clone();
            let message = PeerMessage::Residents { epoch: news.epoch, engines };
            self.network.send_to_cores(now, &message);
            self.on_residents(now, news.epoch, news.engines);
        }
        if self.dirty {
            self.dirty = false;
            self.publish(now);
        }
    }

    /// Tells all nodes that this one lives.
    fn heartbeat(&mut self, now: Instant) {
        let heartbeat = Heartbeat {
            seq: 0,
            acked_seq: 0,
            core: self.network.mesh.is_core,
            mesh_size: self.network.mesh.size(self.network.has_all_nodes),
            serving: self.is_serving(),
            catalog_version: self.catalog_version(),
            holder: self.leadership.claim(),
            resigned_epoch: self.leadership.resigned_epoch(),
            store: self.health.status(now),
            requests_store_probe: self.leadership.requests_store_probe(now, &self.health),
            reads_tables: self.reads.borrow().is_on() && !self.health.is_unreachable(),
            registry_revision: self.registry.revision(),
        };
        self.network.send_heartbeats(now, &heartbeat, self.leaf_registry.revision());
    }

    fn catalog_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version())
    }

    fn is_serving(&self) -> bool {
        self.catalog.is_some() && !self.leaving
    }

    /// Where callers reach this node, while it takes them.
    fn own_entrance(&self) -> Option<SocketAddr> {
        self.is_serving().then_some(self.network.me.callers)
    }

    fn current_entrances(&self, now: Instant) -> CallerEndpoints {
        self.endpoints.current(now, self.own_entrance(), &self.network)
    }

    /// Tells traffic what is believed now.
    fn publish(&mut self, now: Instant) {
        self.control_metrics.on_view_published();
        let endpoints = self.current_entrances(now);
        let live_vms =
            (endpoints.same_data_centre.len() + endpoints.other_data_centres.len()).max(1) as u32;
        let others = self.loads.others(now, &self.network);
        let view = ClusterView {
            catalog: self.catalog.clone(),
            catalog_is_outdated: self.catalog_elsewhere > self.catalog_version(),
            servers: self.registry.views(now, &self.network.me.data_centre, &others),
            models_ready_at: self.registry.arriving(),
            has_coordinator: self.is_coordinated(now),
            live_vms,
        };
        self.starts.sync(&view);
        self.published.view.store(Arc::new(view));
        self.published.endpoints.store(Arc::new(endpoints));
        self.published.view_changed.notify_one();
    }
}

#[cfg(test)]
mod tests;
