//! The running planner.

use {
    crate::{
        engine_reports::{DigestBook, EngineClients, spawn_report_poll},
        planner_event::PlannerEvent,
        status_endpoint::StatusEndpoint,
    },
    arc_swap::ArcSwap,
    glade_clock::Clock,
    glade_control::{
        Action, Event as ControlEvent, OpId, PlannerConfig, PlannerCore, PlannerStatus, StoreAnswer,
    },
    glade_daemon::{
        ControlThreadHandle, MembershipDriver, Platform, channel, new_incarnation,
        spawn_control_thread, spawn_vm_list_poll,
    },
    glade_engine::{Engine, Order, OrderOutcome},
    glade_membership::Event,
    glade_observe::Metrics,
    glade_placement::PlacementPolicy,
    glade_platform::{BackendRecord, Listing, TableService},
    glade_settings::Settings,
    glade_types::{BackendId, DataCentre, Incarnation},
    glade_wire::{Envelope, Inbox, LoadDigest, Message, Role, WireError},
    poem::listener::TcpAcceptor,
    std::{
        collections::{BTreeMap, HashMap},
        fmt, io,
        sync::{Arc, mpsc::SyncSender},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, runtime::Handle},
};

/// Age after which an engine's report no longer counts.
const REPORT_STALE: Duration = Duration::from_secs(3);
/// Longest lag of a report, beyond the period at which reports are read.
const REPORT_LAG: Duration = Duration::from_secs(2);
/// Period at which loads are sent to other data centres; shorter than [`REPORT_STALE`].
const REMOTE_LOADS_EVERY: Duration = Duration::from_secs(2);
/// Groups into which the engines of a data centre are divided.
const GROUPS_PER_DATA_CENTRE: u32 = 1;

/// Why the planner can't start.
#[derive(Debug)]
pub enum PlannerError {
    /// An address can't be bound, or a socket can't be made.
    Peers(WireError),
    /// The status port can't be bound.
    Listen {
        /// The address.
        addr: std::net::SocketAddr,
        /// The system's explanation.
        source: io::Error,
    },
    /// A thread can't be started.
    Thread(io::Error),
}

impl fmt::Display for PlannerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Peers(err) => err.fmt(f),
            Self::Listen { addr, source } => write!(f, "can't listen on {addr}: {source}"),
            Self::Thread(err) => write!(f, "can't start a thread: {err}"),
        }
    }
}

impl std::error::Error for PlannerError {}

/// A running planner.
#[derive(Debug)]
pub struct Planner {
    events: SyncSender<PlannerEvent>,
    control: ControlThreadHandle,
    _inbox: Inbox,
}

impl Planner {
    /// Starts the planner's threads and tasks.
    ///
    /// # Errors
    ///
    /// See [`PlannerError`].
    pub async fn spawn(settings: &Settings, clock: Arc<dyn Clock>) -> Result<Self, PlannerError> {
        let runtime = Handle::current();
        let (events, receiver) = channel();
        let incarnation = new_incarnation();
        let platform = Platform::open(&settings.platform);
        let inbox = bind_inbox(settings, &events).map_err(PlannerError::Peers)?;
        let clients = Arc::new(EngineClients::new(settings.timing.order_timeout));
        let shared = Shared::default();
        serve_status(settings, &shared).await?;
        spawn_vm_list_poll(&runtime, &platform, &events);
        spawn_report_poll(
            &runtime,
            Arc::clone(&shared.watched),
            Arc::clone(&clients),
            settings.timing.report_poll_interval,
            events.clone(),
        );
        let now = clock.now();
        let config = control_config(settings, incarnation);
        let mut state = ControlThread {
            peers: MembershipDriver::new(
                settings,
                Role::Planner,
                incarnation,
                &platform,
                &runtime,
                &events,
                now,
            ),
            control: PlannerCore::new(config, now),
            clock,
            engines: HashMap::new(),
            digests: DigestBook::default(),
            pending_loads: Vec::new(),
            remote_loads: BTreeMap::new(),
            remote_at: now,
            data_centre: settings.vm.data_centre.clone(),
            platform,
            clients,
            runtime,
            events: events.clone(),
            shared,
            actions: Vec::new(),
        };
        let control = spawn_control_thread(receiver, move |event| state.step(event))
            .map_err(PlannerError::Thread)?;
        log::info!("planner of {} started, incarnation {incarnation}", settings.vm.name);
        Ok(Self { events, control, _inbox: inbox })
    }

    /// Stops the control thread. Work under way is resumed by the next lease holder.
    pub fn stop(self) {
        let _ = self.events.send(PlannerEvent::Stop);
        self.control.join();
    }
}

fn bind_inbox(settings: &Settings, events: &SyncSender<PlannerEvent>) -> Result<Inbox, WireError> {
    let events = events.clone();
    Inbox::bind(settings.vm.planner_peer, move |envelope: Envelope| {
        if events.try_send(Event::Message(envelope).into()).is_err() {
            log::warn!("control thread is behind; peer message dropped");
        }
    })
}

fn control_config(settings: &Settings, incarnation: Incarnation) -> PlannerConfig {
    PlannerConfig {
        vm: settings.vm.name.clone(),
        incarnation,
        data_centre: settings.vm.data_centre.clone(),
        lease_duration: settings.timing.lease_duration,
        lease_renew_interval: settings.timing.lease_renew_interval,
        max_report_age: REPORT_STALE,
        max_report_lag: settings.timing.report_poll_interval + REPORT_LAG,
        loads_per_s: settings.pacing.loads_per_s,
        max_concurrent_loads: settings.pacing.max_concurrent_loads,
        groups_per_data_centre: GROUPS_PER_DATA_CENTRE,
        policy: PlacementPolicy {
            attainment_weight: settings.objective.attainment_weight,
            move_weight: settings.objective.move_weight,
            ..PlacementPolicy::default()
        },
        seed: fastrand::u64(..),
    }
}

/// What the control thread publishes for the others.
#[derive(Debug, Default)]
struct Shared {
    watched: Arc<ArcSwap<Vec<BackendRecord>>>,
    status: Arc<ArcSwap<PlannerStatus>>,
    traffic: Arc<ArcSwap<(u64, u64)>>,
}

async fn serve_status(settings: &Settings, shared: &Shared) -> Result<(), PlannerError> {
    let addr = settings.vm.planner_metrics;
    let listen = |source| PlannerError::Listen { addr, source };
    let listener = TcpListener::bind(addr).await.map_err(listen)?;
    let acceptor = TcpAcceptor::from_tokio(listener).map_err(listen)?;
    let metrics = Arc::new(Metrics::open("persimmonglade-planner"));
    register_metrics(&metrics, shared);
    let port = StatusEndpoint { metrics, status: Arc::clone(&shared.status) };
    tokio::spawn(async move {
        if let Err(err) = poem::Server::new_with_acceptor(acceptor).run(port).await {
            log::error!("status port: {err}");
        }
    });
    Ok(())
}

fn register_metrics(metrics: &Metrics, shared: &Shared) {
    let status = |read: fn(&PlannerStatus) -> u64| {
        let status = Arc::clone(&shared.status);
        move || read(&status.load())
    };
    metrics.gauge(
        "planner_leases_held",
        "Groups whose lease this planner holds.",
        status(|s| s.groups.iter().filter(|group| group.epoch.is_some()).count() as u64),
    );
    metrics.gauge(
        "planner_orders_in_doubt",
        "Loads without an answer in the ledgers of held groups.",
        status(|s| s.engines.iter().map(|engine| engine.open_loads as u64).sum()),
    );
    metrics.counter("planner_moves", "Loads and unloads ordered.", status(|s| s.moves));
    metrics.counter(
        "planner_store_writes",
        "Writes to the table service.",
        status(|s| s.store_writes),
    );
    metrics.counter(
        "planner_store_reads",
        "Reads from the table service.",
        status(|s| s.store_reads),
    );
    let traffic = Arc::clone(&shared.traffic);
    metrics.counter("planner_peer_drops", "Peer messages dropped.", move || traffic.load().0);
    let traffic = Arc::clone(&shared.traffic);
    metrics.counter("planner_peer_bytes", "Bytes sent to peers.", move || traffic.load().1);
}

/// State of the control thread.
struct ControlThread {
    peers: MembershipDriver<PlannerEvent>,
    control: PlannerCore,
    clock: Arc<dyn Clock>,
    /// Where each engine listens, for orders.
    engines: HashMap<BackendId, BackendRecord>,
    digests: DigestBook,
    pending_loads: Vec<LoadDigest>,
    /// Latest loads that other data centres haven't been sent yet.
    remote_loads: BTreeMap<BackendId, LoadDigest>,
    remote_at: Instant,
    data_centre: DataCentre,
    platform: Arc<Platform>,
    clients: Arc<EngineClients>,
    runtime: Handle,
    events: SyncSender<PlannerEvent>,
    shared: Shared,
    actions: Vec<Action>,
}

impl ControlThread {
    /// Takes an event, or a tick for `None`; false ends the thread.
    fn step(&mut self, event: Option<PlannerEvent>) -> bool {
        let now = self.clock.now();
        match event {
            None => self.tick(now),
            Some(PlannerEvent::Stop) => return false,
            Some(PlannerEvent::Control(event)) => self.control_step(now, event),
            Some(PlannerEvent::Reported { engine, report }) => {
                self.pass_on(now, &engine, &report);
                self.control_step(now, ControlEvent::EngineReport { engine, report });
            }
            Some(PlannerEvent::Peer(event)) => self.peer_step(now, event),
        }
        true
    }

    fn tick(&mut self, now: Instant) {
        self.peer_step(now, Event::Tick);
        let live = self.peers.membership().live(now, Role::Planner);
        self.control_step(now, ControlEvent::LivePlanners(live));
        self.control_step(now, ControlEvent::Tick);
        self.flush_loads(now);
        if **self.shared.watched.load() != self.control.watched_engines() {
            self.shared.watched.store(Arc::new(self.control.watched_engines().to_vec()));
        }
        self.shared.status.store(Arc::new(self.control.status()));
        self.shared.traffic.store(Arc::new(self.peers.send_counters()));
    }

    fn peer_step(&mut self, now: Instant, event: Event) {
        match &event {
            Event::Message(envelope) => {
                for event in control_events(envelope) {
                    self.control_step(now, event);
                }
            }
            Event::Listing(listing) => self.on_listing(now, listing),
            _ => {}
        }
        if let Some(table) = self.peers.step(now, event) {
            log::info!("table version {} in force", table.version);
            self.control_step(now, ControlEvent::Table(table));
        }
    }

    fn on_listing(&mut self, now: Instant, listing: &Listing) {
        let records = listing.backends.iter();
        self.engines = records.map(|record| (record.id.clone(), record.clone())).collect();
        self.control_step(now, ControlEvent::Listing(listing.clone()));
    }

    /// Sends what is new in an engine's report to the daemons that need it.
    fn pass_on(&mut self, now: Instant, engine: &BackendId, report: &glade_engine::EngineReport) {
        let digests = self.digests.digest(now, engine, report);
        self.pending_loads.extend(digests.load);
        if let Some(residency) = digests.residency {
            self.broadcast(&Message::Residency(residency));
        }
    }

    /// Sends the loads gathered since the last tick in one message: at once within the data centre,
    /// and the latest of each engine now and then to the others, which send there only when their
    /// own engines don't hold a model.
    fn flush_loads(&mut self, now: Instant) {
        let loads = std::mem::take(&mut self.pending_loads);
        if !loads.is_empty() {
            let latest = loads.iter().map(|load| (load.engine.clone(), load.clone()));
            self.remote_loads.extend(latest);
            self.broadcast_loads(loads, true);
        }
        if now >= self.remote_at && !self.remote_loads.is_empty() {
            self.remote_at = now + REMOTE_LOADS_EVERY;
            let loads = std::mem::take(&mut self.remote_loads).into_values().collect();
            self.broadcast_loads(loads, false);
        }
    }

    fn broadcast_loads(&mut self, loads: Vec<LoadDigest>, local: bool) {
        let (message, data_centre) = (Message::Loads(loads), self.data_centre.clone());
        for role in [Role::Entry, Role::Planner] {
            self.peers.broadcast(role, &message, |other| (*other == data_centre) == local);
        }
    }

    fn broadcast(&mut self, message: &Message) {
        for role in [Role::Entry, Role::Planner] {
            self.peers.broadcast(role, message, |_| true);
        }
    }

    fn control_step(&mut self, now: Instant, event: ControlEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.control.step(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Transact { op, txn } => {
                    let platform = Arc::clone(&self.platform);
                    self.answer(op, async move {
                        StoreAnswer::Transacted(platform.store.transact(&txn).await)
                    });
                }
                Action::Read { op, key } => {
                    let platform = Arc::clone(&self.platform);
                    self.answer(
                        op,
                        async move { StoreAnswer::Read(platform.store.read(&key).await) },
                    );
                }
                Action::Scan { op, prefix } => {
                    let platform = Arc::clone(&self.platform);
                    self.answer(op, async move {
                        StoreAnswer::Scanned(platform.store.scan(&prefix).await)
                    });
                }
                Action::SendOrder { order, send_before } => self.send_order(order, send_before),
            }
        }
        self.actions = actions;
    }

    /// Does `work` on the runtime and hands its answer back. An answer must not be lost, so this
    /// waits for room in the channel.
    fn answer(&self, op: OpId, work: impl Future<Output = StoreAnswer> + Send + 'static) {
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let answer = work.await;
            deliver(events, ControlEvent::StoreAnswered { op, answer }).await;
        });
    }

    fn send_order(&self, order: Order, send_before: Instant) {
        let record = self.engines.get(&order.engine);
        let client = record.map(|record| self.clients.get(record));
        let (events, clock) = (self.events.clone(), Arc::clone(&self.clock));
        self.runtime.spawn(async move {
            let outcome = match client {
                Some(client) if clock.now() < send_before => client.execute(&order).await,
                _ => OrderOutcome::NotSent,
            };
            log::info!(
                "order {} of {} to {}: {outcome:?}",
                order.token.0,
                order.model,
                order.engine
            );
            deliver(events, ControlEvent::OrderOutcome { order, outcome }).await;
        });
    }
}

/// Hands an event to the control thread, waiting for room without blocking the runtime.
async fn deliver(events: SyncSender<PlannerEvent>, event: ControlEvent) {
    let mut event = PlannerEvent::Control(event);
    loop {
        match events.try_send(event) {
            Ok(()) | Err(std::sync::mpsc::TrySendError::Disconnected(_)) => return,
            Err(std::sync::mpsc::TrySendError::Full(back)) => event = back,
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The events that a peer's message means for the planner's core.
fn control_events(envelope: &Envelope) -> Vec<ControlEvent> {
    let from = envelope.from.vm.clone();
    match &envelope.message {
        Message::Loads(loads) => loads.iter().cloned().map(ControlEvent::EngineLoad).collect(),
        Message::Residency(residency) => vec![ControlEvent::EngineResidency(residency.clone())],
        Message::Leaving { backend, incarnation } => {
            vec![ControlEvent::EngineLeaving { engine: backend.clone(), incarnation: *incarnation }]
        }
        Message::DemandReport { data_centre, demands } => vec![ControlEvent::DemandReport {
            from,
            data_centre: data_centre.clone(),
            demands: demands.clone(),
        }],
        Message::ModelMissing { engine, incarnation, model } => vec![ControlEvent::ModelMissing {
            engine: engine.clone(),
            incarnation: *incarnation,
            model: model.clone(),
        }],
        _ => vec![],
    }
}
