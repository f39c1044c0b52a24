//! Simulates the control threads of many nodes in virtual time, without threads, sockets or a
//! store.

use {
    super::{
        super::Control,
        sim_store::{NodeStoreCalls, SimStore},
    },
    crate::{
        control_metrics::ControlMetrics,
        event::Event,
        fixtures::RecordingTransport,
        peer_message::{PeerBatch, PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
        published_state::{PeerUpdates, PublishedState},
    },
    glade_catalog::{CallerLimits, Catalog},
    glade_clock::{Clock, ManualClock},
    glade_dispatch::ClusterView,
    glade_limit::{PermitGrant, QuotaGrant},
    glade_settings::{NodeListen, NodeSettings, NodeTiming, RetryLimits, VmLimits},
    glade_streams::OriginReply,
    glade_types::Incarnation,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{Receiver, channel},
        task::{LocalEnterGuard, LocalSet},
    },
};

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Time for which a batch waits for the process at its address to start.
const UNDELIVERED_KEPT_FOR: Duration = Duration::from_secs(1);
/// Longest time that a batch takes from one node to another.
const DELIVERY_MAX_MS: u64 = 20;
/// Longest time that a call to the store takes.
const STORE_CALL_MAX_MS: u64 = 150;

/// A running node.
struct RunningNode {
    control: Control,
    transport: RecordingTransport,
    published: PublishedState,
    /// What the node publishes to its request path.
    updates: PeerUpdates,
    /// The node's calls to the simulated store.
    store_calls: NodeStoreCalls,
    _events: Receiver<Event>,
    /// When node discovery writes the node's row; `None` once that is done.
    writes_row_at: Option<Instant>,
    /// When node discovery has read all rows; `None` once that is done.
    reads_rows_at: Option<Instant>,
}

/// A batch in transit.
struct InTransit {
    sent_at: Instant,
    from: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// The nodes, their rows in the store, and the batches in transit between them.
pub(super) struct Deployment {
    clock: ManualClock,
    rng: fastrand::Rng,
    infos: Vec<PeerInfo>,
    nodes: Vec<Option<RunningNode>>,
    rows: Vec<PeerInfo>,
    /// Batches in transit by time of arrival and number.
    in_transit: BTreeMap<(Instant, u64), InTransit>,
    /// When the last batch on each link arrives. Batches on one link don't overtake each other.
    last_arrival_at: BTreeMap<(usize, SocketAddr), Instant>,
    batches_sent: u64,
    /// Bytes of the batches that each node has sent and received.
    pub(super) bytes: Vec<u64>,
    /// Links, as sender and receiver, on which batches are lost.
    pub(super) cut_links: BTreeSet<(usize, usize)>,
    /// Nodes that stand still.
    pub(super) frozen_nodes: BTreeSet<usize>,
    /// Nodes half of whose batches are lost, in both directions.
    pub(super) lossy_nodes: BTreeSet<usize>,
    /// The store that the nodes read and that has the lease; without one their calls get no answer.
    pub(super) store: Option<SimStore>,
    /// Receivers of messages about demand.
    pub(super) demand_receivers: BTreeSet<usize>,
    /// Makes `spawn_local` work. The spawned calls to the store are never polled.
    _local_tasks: LocalEnterGuard,
}

impl Deployment {
    /// Returns a deployment with no running node.
    pub(super) fn new(seed: u64, infos: Vec<PeerInfo>) -> Self {
        Self {
            clock: ManualClock::new(),
            rng: fastrand::Rng::with_seed(seed),
            nodes: infos.iter().map(|_| None).collect(),
            bytes: vec![0; infos.len()],
            infos,
            rows: Vec::new(),
            in_transit: BTreeMap::new(),
            last_arrival_at: BTreeMap::new(),
            batches_sent: 0,
            cut_links: BTreeSet::new(),
            frozen_nodes: BTreeSet::new(),
            lossy_nodes: BTreeSet::new(),
            store: None,
            demand_receivers: BTreeSet::new(),
            _local_tasks: LocalSet::new().enter(),
        }
    }

    /// Starts the process of a node. Its seeds are the nodes before it.
    pub(super) fn start(&mut self, position: usize) {
        let now = self.clock.now();
        let mut node = self.new_node(position, PublishedState::new(now));
        let catalog = Catalog::new(1, CallerLimits::default(), Vec::new(), Vec::new());
        node.control.apply_catalog(now, catalog, "store");
        self.nodes[position] = Some(node);
    }

    /// Starts the control of a running node again, as after a panic.
    pub(super) fn restart_control(&mut self, position: usize) {
        let now = self.clock.now();
        let Some(node) = self.nodes[position].take() else { return };
        let mut node = self.new_node(position, (node.published, node.updates));
        node.control.continue_from_published(now);
        self.nodes[position] = Some(node);
    }

    fn new_node(
        &mut self,
        position: usize,
        (published, updates): (PublishedState, PeerUpdates),
    ) -> RunningNode {
        let now = self.clock.now();
        let me = &mut self.infos[position];
        me.incarnation = Incarnation(me.incarnation.0 + 1);
        let me = me.clone();
        let seeds = self.infos[..position].iter().map(|info| info.peer_addr).collect();
        let transport = RecordingTransport::default();
        let network =
            PeerNetwork::new(me.clone(), Box::new(transport.clone()), ControlMetrics::default());
        let (events, inbox) = channel(1);
        let settings = Arc::new(settings(&me, seeds));
        let clock = Arc::new(self.clock.clone());
        let mut control = Control::new(
            settings,
            clock,
            network,
            published.clone(),
            ControlMetrics::default(),
            events,
        );
        control.contact_seeds(now);
        let store_calls = NodeStoreCalls::default();
        control.leadership.lease_service = Box::new(store_calls.lease_service());
        control.origin_store = Box::new(store_calls.origin_store());
        let writes_row_at = now + self.store_call_time();
        let reads_rows_at = writes_row_at + self.store_call_time();
        RunningNode {
            control,
            transport,
            published,
            updates,
            store_calls,
            _events: inbox,
            writes_row_at: Some(writes_row_at),
            reads_rows_at: Some(reads_rows_at),
        }
    }

    /// Kills the process of a node.
    pub(super) fn kill(&mut self, position: usize) {
        self.nodes[position] = None;
    }

    /// Passes an event to the control thread of a running node.
    pub(super) fn handle(&mut self, position: usize, event: Event) {
        let now = self.clock.now();
        if let Some(node) = &mut self.nodes[position] {
            node.control.handle_event(now, event);
        }
    }

    /// The view that a running node has published.
    pub(super) fn view(&self, position: usize) -> Option<Arc<ClusterView>> {
        self.nodes[position].as_ref().map(|node| node.published.view.load_full())
    }

    /// Takes the permits that a node was granted for its request path, unless the node stands still.
    pub(super) fn take_permits(&mut self, position: usize) -> Vec<PermitGrant> {
        if self.frozen_nodes.contains(&position) {
            return Vec::new();
        }
        let Some(node) = &mut self.nodes[position] else { return Vec::new() };
        std::iter::from_fn(|| node.updates.permits.try_recv().ok()).flatten().collect()
    }

    /// Takes the replies of issuers of quotas to a running node.
    pub(super) fn take_quota_grants(&mut self, position: usize) -> Vec<QuotaGrant> {
        let Some(node) = &mut self.nodes[position] else { return Vec::new() };
        std::iter::from_fn(|| node.updates.quota_grants.try_recv().ok()).flatten().collect()
    }

    /// Takes the answers to a running node's questions about streams.
    pub(super) fn take_origins(&mut self, position: usize) -> Vec<OriginReply> {
        let Some(node) = &mut self.nodes[position] else { return Vec::new() };
        std::iter::from_fn(|| node.updates.origins.try_recv().ok()).flatten().collect()
    }

    /// Has a running node take over a configuration.
    pub(super) fn apply_catalog(&mut self, position: usize, catalog: Catalog) {
        let now = self.clock.now();
        if let Some(node) = &mut self.nodes[position] {
            node.control.apply_catalog(now, catalog, "store");
        }
    }

    /// True if the process of a node runs.
    pub(super) fn runs(&self, position: usize) -> bool {
        self.nodes[position].is_some()
    }

    /// Latest epoch whose lease a running node has resigned.
    pub(super) fn resigned_epoch(&self, position: usize) -> u64 {
        self.nodes[position].as_ref().map_or(0, |node| node.control.leadership.resigned_epoch())
    }

    /// Version of the configuration in force at a running node.
    pub(super) fn catalog_version(&self, position: usize) -> u64 {
        self.nodes[position].as_ref().map_or(0, |node| node.control.catalog_version())
    }

    /// Positions of the running nodes that give orders to engines.
    pub(super) fn holders(&self) -> Vec<usize> {
        self.positions(|control| control.leadership.is_holder())
    }

    /// Positions of the running nodes that read the tables.
    pub(super) fn readers(&self) -> Vec<usize> {
        self.positions(|control| control.read_role.borrow().is_reader())
    }

    /// Positions of the running nodes that are cores.
    pub(super) fn cores(&self) -> Vec<usize> {
        self.positions(|control| control.network.mesh.is_core)
    }

    fn positions(&self, has_role: impl Fn(&Control) -> bool) -> Vec<usize> {
        let has_role =
            |at: &usize| self.nodes[*at].as_ref().is_some_and(|node| has_role(&node.control));
        (0..self.nodes.len()).filter(has_role).collect()
    }

    /// The present time.
    pub(super) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Positions of the running nodes that aren't cores.
    pub(super) fn leaves(&self) -> Vec<usize> {
        let is_leaf = |node: &RunningNode| !node.control.network.mesh.is_core;
        let positions = 0..self.nodes.len();
        positions.filter(|at| self.nodes[*at].as_ref().is_some_and(is_leaf)).collect()
    }

    /// Positions of the running nodes that forward messages for leaves.
    pub(super) fn primary_cores(&self) -> Vec<usize> {
        let is_primary = |node: &RunningNode| {
            let mesh = &node.control.network.mesh;
            mesh.is_primary_core && !mesh.is_full_mesh
        };
        let positions = 0..self.nodes.len();
        positions.filter(|at| self.nodes[*at].as_ref().is_some_and(is_primary)).collect()
    }

    /// Lets virtual time pass.
    pub(super) fn run_for(&mut self, time: Duration) {
        let until = self.clock.now() + time;
        while self.clock.now() < until {
            self.clock.advance(STEP);
            let now = self.clock.now();
            self.deliver(now);
            for position in 0..self.nodes.len() {
                self.run_node(now, position);
            }
        }
    }

    /// Running nodes whose directories list nodes that don't run, with those nodes.
    pub(super) fn stale_nodes(&self) -> BTreeMap<usize, Vec<usize>> {
        self.wrong_directories(|is_listed, other| is_listed && self.nodes[other].is_none())
    }

    /// Running nodes whose directories lack other running nodes, with those nodes.
    pub(super) fn missing_nodes(&self) -> BTreeMap<usize, Vec<usize>> {
        self.wrong_directories(|is_listed, other| !is_listed && self.nodes[other].is_some())
    }

    /// Running nodes whose directories are wrong about other nodes, with those nodes. `is_wrong`
    /// gets whether the directory lists a node, and the node's position.
    fn wrong_directories(
        &self,
        is_wrong: impl Fn(bool, usize) -> bool,
    ) -> BTreeMap<usize, Vec<usize>> {
        let wrong = |position: usize| {
            let endpoints = self.nodes[position].as_ref()?.published.endpoints.load();
            let listed: Vec<&SocketAddr> =
                endpoints.same_data_centre.iter().chain(&endpoints.other_data_centres).collect();
            let is_listed = |other: usize| listed.contains(&&self.infos[other].caller_addr);
            let all = 0..self.infos.len();
            let wrong: Vec<usize> =
                all.filter(|other| is_wrong(is_listed(*other), *other)).collect();
            (!wrong.is_empty()).then_some((position, wrong))
        };
        (0..self.infos.len()).filter_map(wrong).collect()
    }

    fn store_call_time(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(1..=STORE_CALL_MAX_MS))
    }

    fn delivery_time(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(1..=DELIVERY_MAX_MS))
    }

    fn deliver(&mut self, now: Instant) {
        let later = self.in_transit.split_off(&(now, u64::MAX));
        for ((_, number), batch) in std::mem::replace(&mut self.in_transit, later) {
            let at_addr = |info: &PeerInfo| info.peer_addr == batch.to;
            let Some(to) = self.infos.iter().position(at_addr) else { continue };
            if self.cut_links.contains(&(batch.from, to)) {
                continue;
            }
            let is_lossy =
                [batch.from, to].iter().any(|position| self.lossy_nodes.contains(position));
            if is_lossy && self.rng.bool() {
                continue;
            }
            let is_frozen = self.frozen_nodes.contains(&to);
            if let Some(node) = self.nodes[to].as_mut().filter(|_| !is_frozen) {
                self.bytes[to] += batch.bytes.len() as u64;
                let batch = PeerBatch::decode(&batch.bytes, &ControlMetrics::default());
                let batch = Box::new(batch.expect("a batch"));
                let is_demand = |message: &PeerMessage| matches!(message, PeerMessage::Demand(_));
                if batch.messages.iter().any(is_demand) {
                    self.demand_receivers.insert(to);
                }
                node.control.handle_event(now, Event::PeerBatch(batch));
            } else if is_frozen || now < batch.sent_at + UNDELIVERED_KEPT_FOR {
                let due = now + STEP;
                self.last_arrival_at.insert((batch.from, batch.to), due);
                self.in_transit.insert((due, number), batch);
            }
        }
    }

    fn run_node(&mut self, now: Instant, position: usize) {
        if self.frozen_nodes.contains(&position) {
            return;
        }
        let Some(node) = self.nodes[position].as_mut() else { return };
        if node.writes_row_at.take_if(|at| *at <= now).is_some() {
            let me = &self.infos[position];
            self.rows.retain(|row| row.vm != me.vm);
            self.rows.push(me.clone());
        }
        if node.reads_rows_at.take_if(|at| *at <= now).is_some() {
            node.control.handle_event(now, Event::NodesRead(self.rows.clone()));
        }
        if let Some(store) = &mut self.store {
            let control = &node.control;
            let role = *control.read_role.borrow();
            let positions = [control.config_position.get(), control.registry_position.get()];
            let answers =
                store.step(now, position, role, positions, &mut node.store_calls, &mut self.rng);
            answers.into_iter().for_each(|event| node.control.handle_event(now, event));
        }
        node.control.run_due_work(now);
        node.control.network.flush(now);
        let sent = std::mem::take(&mut *node.transport.batches.borrow_mut());
        for (to, bytes) in sent {
            self.batches_sent += 1;
            self.bytes[position] += bytes.len() as u64;
            let due = now + self.delivery_time();
            let arrives_at = self.last_arrival_at.entry((position, to)).or_insert(due);
            *arrives_at = due.max(*arrives_at);
            self.in_transit.insert(
                (*arrives_at, self.batches_sent),
                InTransit { sent_at: now, from: position, to, bytes },
            );
        }
    }
}

fn settings(me: &PeerInfo, seeds: Vec<SocketAddr>) -> NodeSettings {
    NodeSettings {
        vm: me.vm.clone(),
        data_centre: me.data_centre.clone(),
        region: "r-1".to_owned(),
        cpu_share: f64::from(me.cpu_millis) / 1000.0,
        vm_limits: VmLimits::default(),
        first_start: false,
        listen: NodeListen {
            callers: me.caller_addr,
            readiness: me.caller_addr,
            directory: me.caller_addr,
            peers: me.peer_addr,
            metrics: me.caller_addr,
        },
        store: ([127, 0, 0, 1], 9).into(),
        seeds,
        timing: NodeTiming {
            lease_duration: Duration::from_secs(3),
            grace_period: Duration::from_secs(8),
            directory_ttl: Duration::from_secs(2),
            leaving_server_timeout: Duration::from_secs(2),
            registry_heartbeat_interval: Duration::from_millis(1200),
        },
        engines_check_fences: true,
        retry_limits: RetryLimits { share: 0.2, window: Duration::from_secs(10), reserve: 50.0 },
        hedge_share: 0.0,
        loads_window: Duration::from_secs(5),
    }
}
