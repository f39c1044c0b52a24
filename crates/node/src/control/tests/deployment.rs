//! Control threads of many nodes in virtual time, without threads, sockets or a store.

use {
    super::super::Control,
    crate::{
        control_metrics::ControlMetrics,
        event::Event,
        fixtures::RecordingTransport,
        peer_message::{PeerBatch, PeerInfo},
        peer_network::PeerNetwork,
        published_state::PublishedState,
    },
    glade_catalog::{CallerLimits, Catalog},
    glade_clock::{Clock, ManualClock},
    glade_settings::{NodeListen, NodeSettings, NodeTiming, RepeatLimits},
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

const STEP: Duration = Duration::from_millis(5);
/// Time for which a parcel waits for the process at its address to start.
const KEPT: Duration = Duration::from_secs(1);
/// Longest time that a message takes.
const WAY_MAX_MS: u64 = 20;
/// Longest time that a call to the store takes.
const CALL_MAX_MS: u64 = 150;

/// A node that runs.
struct Running {
    control: Control,
    carried: RecordingTransport,
    published: PublishedState,
    _events: Receiver<Event>,
    /// When its row is written, and when it has read all rows, while that is to come.
    writes_at: Option<Instant>,
    reads_at: Option<Instant>,
}

/// A parcel on its way.
struct OnTheWay {
    sent_at: Instant,
    from: usize,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Nodes, the rows that they find each other by, and what they send each other.
pub(super) struct Deployment {
    clock: ManualClock,
    rng: fastrand::Rng,
    infos: Vec<PeerInfo>,
    nodes: Vec<Option<Running>>,
    rows: Vec<PeerInfo>,
    batches: BTreeMap<(Instant, u64), OnTheWay>,
    /// When the last parcel on each way arrives: none overtakes another.
    last_due: BTreeMap<(usize, SocketAddr), Instant>,
    sent: u64,
    /// From whom to whom nothing arrives.
    pub(super) cut: BTreeSet<(usize, usize)>,
    /// Calls to the store that nodes make are never polled.
    _calls: LocalEnterGuard,
}

impl Deployment {
    /// Returns a deployment of which nothing runs.
    pub(super) fn new(seed: u64, infos: Vec<PeerInfo>) -> Self {
        Self {
            clock: ManualClock::new(),
            rng: fastrand::Rng::with_seed(seed),
            nodes: infos.iter().map(|_| None).collect(),
            infos,
            rows: Vec::new(),
            batches: BTreeMap::new(),
            last_due: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            _calls: LocalSet::new().enter(),
        }
    }

    /// Starts the process of a node, which knows the addresses of those before it.
    pub(super) fn start(&mut self, position: usize) {
        let now = self.clock.now();
        let me = &mut self.infos[position];
        me.incarnation = Incarnation(me.incarnation.0 + 1);
        let me = me.clone();
        let seeds = self.infos[..position].iter().map(|info| info.peers).collect();
        let (carried, (published, _)) = (RecordingTransport::default(), PublishedState::new());
        let network =
            PeerNetwork::new(me.clone(), Box::new(carried.clone()), ControlMetrics::default());
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
        control.greet_seeds(now);
        let catalog = Catalog::new(1, CallerLimits::default(), Vec::new(), Vec::new());
        control.on_catalog(now, catalog, "store");
        let writes_at = now + self.call();
        let reads_at = writes_at + self.call();
        self.nodes[position] = Some(Running {
            control,
            carried,
            published,
            _events: inbox,
            writes_at: Some(writes_at),
            reads_at: Some(reads_at),
        });
    }

    /// Ends the process of a node without warning.
    pub(super) fn kill(&mut self, position: usize) {
        self.nodes[position] = None;
    }

    /// Lets time pass.
    pub(super) fn play(&mut self, time: Duration) {
        let until = self.clock.now() + time;
        while self.clock.now() < until {
            self.clock.advance(STEP);
            let now = self.clock.now();
            self.deliver(now);
            for position in 0..self.nodes.len() {
                self.step(now, position);
            }
        }
    }

    /// Directories of running nodes that name others that don't run, with those.
    pub(super) fn leftovers(&self) -> BTreeMap<usize, Vec<usize>> {
        self.directories(|is_named, other| is_named && self.nodes[other].is_none())
    }

    /// Directories of running nodes that lack others, with those.
    pub(super) fn gaps(&self) -> BTreeMap<usize, Vec<usize>> {
        self.directories(|is_named, other| !is_named && self.nodes[other].is_some())
    }

    /// Directories of running nodes, with the nodes that are wrong there by whether they are named.
    fn directories(&self, is_wrong: impl Fn(bool, usize) -> bool) -> BTreeMap<usize, Vec<usize>> {
        let wrong = |position: usize| {
            let endpoints = self.nodes[position].as_ref()?.published.endpoints.load();
            let named: Vec<&SocketAddr> =
                endpoints.same_data_centre.iter().chain(&endpoints.other_data_centres).collect();
            let is_named = |other: usize| named.contains(&&self.infos[other].callers);
            let all = 0..self.infos.len();
            let wrong: Vec<usize> =
                all.filter(|other| is_wrong(is_named(*other), *other)).collect();
            (!wrong.is_empty()).then_some((position, wrong))
        };
        (0..self.infos.len()).filter_map(wrong).collect()
    }

    fn call(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(1..=CALL_MAX_MS))
    }

    fn way(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(1..=WAY_MAX_MS))
    }

    fn deliver(&mut self, now: Instant) {
        let later = self.batches.split_off(&(now, u64::MAX));
        for ((_, number), batch) in std::mem::replace(&mut self.batches, later) {
            let at_addr = |info: &PeerInfo| info.peers == batch.to;
            let Some(to) = self.infos.iter().position(at_addr) else { continue };
            if self.cut.contains(&(batch.from, to)) {
                continue;
            }
            if let Some(node) = &mut self.nodes[to] {
                let batch = PeerBatch::decode(&batch.bytes, &ControlMetrics::default());
                let batch = Box::new(batch.expect("a parcel"));
                node.control.take(now, Event::PeerBatch(batch));
            } else if now < batch.sent_at + KEPT {
                let due = now + STEP;
                self.last_due.insert((batch.from, batch.to), due);
                self.batches.insert((due, number), batch);
            }
        }
    }

    fn step(&mut self, now: Instant, position: usize) {
        let Some(node) = self.nodes[position].as_mut() else { return };
        if node.writes_at.take_if(|at| *at <= now).is_some() {
            let me = &self.infos[position];
            self.rows.retain(|row| row.vm != me.vm);
            self.rows.push(me.clone());
        }
        if node.reads_at.take_if(|at| *at <= now).is_some() {
            node.control.take(now, Event::NodesRead(self.rows.clone()));
        }
        node.control.do_due(now);
        node.control.network.flush(now);
        let sent = std::mem::take(&mut *node.carried.batches.borrow_mut());
        for (to, bytes) in sent {
            self.sent += 1;
            let due = now + self.way();
            let last = self.last_due.entry((position, to)).or_insert(due);
            *last = due.max(*last);
            self.batches
                .insert((*last, self.sent), OnTheWay { sent_at: now, from: position, to, bytes });
        }
    }
}

fn settings(me: &PeerInfo, seeds: Vec<SocketAddr>) -> NodeSettings {
    NodeSettings {
        vm: me.vm.clone(),
        data_centre: me.data_centre.clone(),
        region: "r-1".to_owned(),
        cpu_share: f64::from(me.cpu_millis) / 1000.0,
        first_start: false,
        listen: NodeListen {
            callers: me.callers,
            readiness: me.callers,
            directory: me.callers,
            peers: me.peers,
            metrics: me.callers,
        },
        store: ([127, 0, 0, 1], 9).into(),
        seeds,
        timing: NodeTiming {
            lease: Duration::from_secs(3),
            grace: Duration::from_secs(8),
            directory_ttl: Duration::from_secs(2),
            leaving_server: Duration::from_secs(2),
            registry_beat: Duration::from_millis(1200),
        },
        engines_check_fences: true,
        repeats: RepeatLimits { share: 0.2, window: Duration::from_secs(10), reserve: 50.0 },
        loads_window: Duration::from_secs(5),
    }
}
