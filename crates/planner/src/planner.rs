//! [`Planner`], the running daemon: starts the polls, the peer inbox, the status endpoint and the
//! control thread.
//!
//! The control thread owns the membership state and the planner core. Events reach both of them
//! over one channel; the thread carries out their actions, and forwards engines' reports to other
//! daemons.

use {
    crate::{
        engine_reports::{DigestFilter, EngineClients, spawn_report_poll},
        planner_event::PlannerEvent,
        status_endpoint::StatusEndpoint,
    },
    arc_swap::ArcSwap,
    glade_clock::Clock,
    glade_control::{
        Action, Event as CoreEvent, OpId, PlannerConfig, PlannerCore, PlannerStatus, StoreAnswer,
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

/// Age beyond which an engine's report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Longest delay of a report, in addition to the interval at which reports are read.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(2);
/// Interval at which engines' loads are sent to other data centres. It is shorter than
/// [`MAX_REPORT_AGE`], so that the loads are not ignored there before the next ones arrive.
const REMOTE_LOADS_INTERVAL: Duration = Duration::from_secs(2);
/// Number of groups into which the engines of a data centre are divided.
const GROUPS_PER_DATA_CENTRE: u32 = 1;

/// Error on starting the planner.
#[derive(Debug)]
pub enum PlannerError {
    /// The address for messages from peers can't be bound, or a socket can't be created.
    Peers(WireError),
    /// The address of the status endpoint can't be bound.
    Listen {
        /// The address.
        addr: std::net::SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// The control thread can't be started.
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
    control_thread: ControlThreadHandle,
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
        let inbox = bind_inbox(settings, &runtime, &events).map_err(PlannerError::Peers)?;
        let clients = Arc::new(EngineClients::new(settings.timing.order_timeout));
        let published = PublishedState::default();
        serve_status(settings, &published).await?;
        spawn_vm_list_poll(&runtime, &platform, &events);
        spawn_report_poll(
            &runtime,
            Arc::clone(&published.watched_engines),
            Arc::clone(&clients),
            settings.timing.report_poll_interval,
            events.clone(),
        );
        let now = clock.now();
        let config = planner_config(settings, incarnation);
        let mut state = ControlThread {
            membership_driver: MembershipDriver::new(
                settings,
                Role::Planner,
                incarnation,
                &platform,
                &runtime,
                &events,
                now,
            ),
            core: PlannerCore::new(config, now),
            clock,
            engines: HashMap::new(),
            digest_filter: DigestFilter::default(),
            pending_loads: Vec::new(),
            pending_remote_loads: BTreeMap::new(),
            next_remote_send_at: now,
            data_centre: settings.vm.data_centre.clone(),
            platform,
            clients,
            runtime,
            events: events.clone(),
            published,
            actions: Vec::new(),
        };
        let control_thread = spawn_control_thread(receiver, move |event| state.step(event))
            .map_err(PlannerError::Thread)?;
        log::info!("planner of {} started, incarnation {incarnation}", settings.vm.name);
        Ok(Self { events, control_thread, _inbox: inbox })
    }

    /// Waits until the control thread has panicked.
    pub async fn panicked(&self) {
        self.control_thread.panicked().await;
    }

    /// Stops the control thread. The next lease holder resumes the work in progress.
    pub fn stop(self) {
        let _ = self.events.send(PlannerEvent::Shutdown);
        self.control_thread.join();
    }
}

fn bind_inbox(
    settings: &Settings,
    runtime: &Handle,
    events: &SyncSender<PlannerEvent>,
) -> Result<Inbox, WireError> {
    let events = events.clone();
    Inbox::bind(runtime, settings.vm.planner_peer, move |envelope: Envelope| {
        if events.try_send(Event::Message(envelope).into()).is_err() {
            log::warn!("control thread queue is full or closed; dropping message from peer");
        }
    })
}

fn planner_config(settings: &Settings, incarnation: Incarnation) -> PlannerConfig {
    PlannerConfig {
        vm: settings.vm.name.clone(),
        incarnation,
        data_centre: settings.vm.data_centre.clone(),
        lease_duration: settings.timing.lease_duration,
        lease_renew_interval: settings.timing.lease_renew_interval,
        max_report_age: MAX_REPORT_AGE,
        max_report_lag: settings.timing.report_poll_interval + MAX_REPORT_DELAY,
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

/// State that the control thread publishes for the report poll and the status endpoint.
#[derive(Debug, Default)]
struct PublishedState {
    /// Engines whose reports this planner reads.
    watched_engines: Arc<ArcSwap<Vec<BackendRecord>>>,
    status: Arc<ArcSwap<PlannerStatus>>,
    /// Number of messages to peers dropped, and of bytes sent.
    send_counters: Arc<ArcSwap<(u64, u64)>>,
}

async fn serve_status(settings: &Settings, published: &PublishedState) -> Result<(), PlannerError> {
    let addr = settings.vm.planner_metrics;
    let listen = |source| PlannerError::Listen { addr, source };
    let listener = TcpListener::bind(addr).await.map_err(listen)?;
    let acceptor = TcpAcceptor::from_tokio(listener).map_err(listen)?;
    let metrics = Arc::new(Metrics::open("persimmonglade-planner"));
    register_metrics(&metrics, published);
    let endpoint = StatusEndpoint { metrics, status: Arc::clone(&published.status) };
    tokio::spawn(async move {
        if let Err(err) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!("status endpoint failed: {err}");
        }
    });
    Ok(())
}

fn register_metrics(metrics: &Metrics, published: &PublishedState) {
    let status = |read: fn(&PlannerStatus) -> u64| {
        let status = Arc::clone(&published.status);
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
    let send_counters = Arc::clone(&published.send_counters);
    metrics.counter("planner_peer_drops", "Peer messages dropped.", move || send_counters.load().0);
    let send_counters = Arc::clone(&published.send_counters);
    metrics.counter("planner_peer_bytes", "Bytes sent to peers.", move || send_counters.load().1);
}

/// State of the control thread.
struct ControlThread {
    membership_driver: MembershipDriver<PlannerEvent>,
    core: PlannerCore,
    clock: Arc<dyn Clock>,
    /// Records of all engines in the VM list, with the addresses to which orders are sent.
    engines: HashMap<BackendId, BackendRecord>,
    digest_filter: DigestFilter,
    /// Loads to send within the data centre at the next tick.
    pending_loads: Vec<LoadDigest>,
    /// Latest load of each engine that hasn't been sent to other data centres yet.
    pending_remote_loads: BTreeMap<BackendId, LoadDigest>,
    next_remote_send_at: Instant,
    data_centre: DataCentre,
    platform: Arc<Platform>,
    clients: Arc<EngineClients>,
    runtime: Handle,
    events: SyncSender<PlannerEvent>,
    published: PublishedState,
    actions: Vec<Action>,
}

impl ControlThread {
    /// Processes an event, or a tick for `None`. Returns false when the thread has to end.
    fn step(&mut self, event: Option<PlannerEvent>) -> bool {
        let now = self.clock.now();
        match event {
            None => self.tick(now),
            Some(PlannerEvent::Shutdown) => return false,
            Some(PlannerEvent::Core(event)) => self.core_step(now, event),
            Some(PlannerEvent::EngineReported { engine, report }) => {
                self.forward_report(now, &engine, &report);
                self.core_step(now, CoreEvent::EngineReport { engine, report });
            }
            Some(PlannerEvent::Membership(event)) => self.membership_step(now, event),
        }
        true
    }

    fn tick(&mut self, now: Instant) {
        self.membership_step(now, Event::Tick);
        let live = self.membership_driver.membership().live(now, Role::Planner);
        self.core_step(now, CoreEvent::LivePlanners(live));
        self.core_step(now, CoreEvent::Tick);
        self.flush_loads(now);
        if **self.published.watched_engines.load() != self.core.watched_engines() {
            self.published.watched_engines.store(Arc::new(self.core.watched_engines().to_vec()));
        }
        self.published.status.store(Arc::new(self.core.status()));
        self.published.send_counters.store(Arc::new(self.membership_driver.send_counters()));
    }

    fn membership_step(&mut self, now: Instant, event: Event) {
        match &event {
            Event::Message(envelope) => {
                for event in core_events(envelope) {
                    self.core_step(now, event);
                }
            }
            Event::Listing(listing) => self.on_listing(now, listing),
            _ => {}
        }
        if let Some(table) = self.membership_driver.step(now, event) {
            log::info!("table version {} is active", table.version);
            self.core_step(now, CoreEvent::Table(table));
        }
    }

    fn on_listing(&mut self, now: Instant, listing: &Listing) {
        let records = listing.backends.iter();
        self.engines = records.map(|record| (record.id.clone(), record.clone())).collect();
        self.core_step(now, CoreEvent::Listing(listing.clone()));
    }

    /// Forwards the parts of an engine's report that are due to the other daemons: its residency at
    /// once, its load at the next tick.
    fn forward_report(
        &mut self,
        now: Instant,
        engine: &BackendId,
        report: &glade_engine::EngineReport,
    ) {
        let digests = self.digest_filter.take_due(now, engine, report);
        self.pending_loads.extend(digests.load);
        if let Some(residency) = digests.residency {
            self.broadcast(&Message::Residency(residency));
        }
    }

    /// Sends the loads collected since the last tick in one message within the data centre. Other
    /// data centres get the latest load of each engine once per [`REMOTE_LOADS_INTERVAL`], because
    /// they send requests here only when no engine of their own holds the model.
    fn flush_loads(&mut self, now: Instant) {
        let loads = std::mem::take(&mut self.pending_loads);
        if !loads.is_empty() {
            let latest = loads.iter().map(|load| (load.engine.clone(), load.clone()));
            self.pending_remote_loads.extend(latest);
            self.broadcast_loads(loads, true);
        }
        if now >= self.next_remote_send_at && !self.pending_remote_loads.is_empty() {
            self.next_remote_send_at = now + REMOTE_LOADS_INTERVAL;
            let loads = std::mem::take(&mut self.pending_remote_loads).into_values().collect();
            self.broadcast_loads(loads, false);
        }
    }

    fn broadcast_loads(&mut self, loads: Vec<LoadDigest>, is_local: bool) {
        let (message, data_centre) = (Message::Loads(loads), self.data_centre.clone());
        for role in [Role::Entry, Role::Planner] {
            self.membership_driver
                .broadcast(role, &message, |other| (*other == data_centre) == is_local);
        }
    }

    fn broadcast(&mut self, message: &Message) {
        for role in [Role::Entry, Role::Planner] {
            self.membership_driver.broadcast(role, message, |_| true);
        }
    }

    fn core_step(&mut self, now: Instant, event: CoreEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.step(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Transact { op, txn } => {
                    let platform = Arc::clone(&self.platform);
                    self.spawn_store_operation(op, async move {
                        StoreAnswer::Transacted(platform.store.transact(&txn).await)
                    });
                }
                Action::Read { op, key } => {
                    let platform = Arc::clone(&self.platform);
                    self.spawn_store_operation(op, async move {
                        StoreAnswer::Read(platform.store.read(&key).await)
                    });
                }
                Action::Scan { op, prefix } => {
                    let platform = Arc::clone(&self.platform);
                    self.spawn_store_operation(op, async move {
                        StoreAnswer::Scanned(platform.store.scan(&prefix).await)
                    });
                }
                Action::SendOrder { order, send_before } => self.send_order(order, send_before),
            }
        }
        self.actions = actions;
    }

    /// Runs `operation` on the runtime and sends its answer to the control thread. An answer must
    /// not be lost, so the task waits while the channel is full.
    fn spawn_store_operation(
        &self,
        op: OpId,
        operation: impl Future<Output = StoreAnswer> + Send + 'static,
    ) {
        let events = self.events.clone();
        self.runtime.spawn(async move {
            let answer = operation.await;
            send_event(events, CoreEvent::StoreAnswered { op, answer }).await;
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
                "order {} for model {} to engine {}: {outcome:?}",
                order.token.0,
                order.model,
                order.engine
            );
            send_event(events, CoreEvent::OrderOutcome { order, outcome }).await;
        });
    }
}

/// Sends an event to the control thread. While the channel is full, waits without blocking the
/// runtime.
async fn send_event(events: SyncSender<PlannerEvent>, event: CoreEvent) {
    let mut event = PlannerEvent::Core(event);
    loop {
        match events.try_send(event) {
            Ok(()) | Err(std::sync::mpsc::TrySendError::Disconnected(_)) => return,
            Err(std::sync::mpsc::TrySendError::Full(returned)) => event = returned,
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Converts a peer's message into events of the planner core. Returns none for messages that don't
/// concern it.
fn core_events(envelope: &Envelope) -> Vec<CoreEvent> {
    let from = envelope.from.vm.clone();
    match &envelope.message {
        Message::Loads(loads) => loads.iter().cloned().map(CoreEvent::EngineLoad).collect(),
        Message::Residency(residency) => vec![CoreEvent::EngineResidency(residency.clone())],
        Message::Leaving { backend, incarnation } => {
            vec![CoreEvent::EngineLeaving { engine: backend.clone(), incarnation: *incarnation }]
        }
        Message::DemandReport { data_centre, demands } => vec![CoreEvent::DemandReport {
            from,
            data_centre: data_centre.clone(),
            demands: demands.clone(),
        }],
        Message::ModelMissing { engine, incarnation, model } => vec![CoreEvent::ModelMissing {
            engine: engine.clone(),
            incarnation: *incarnation,
            model: model.clone(),
        }],
        _ => vec![],
    }
}
