//! Starts a node's threads and servers, and drains the node when the process is told to end.

use {
    crate::{
        control::ControlHandle,
        control_metrics::ControlMetrics,
        control_thread::spawn_control,
        directory_handler::DirectoryHandler,
        event::{Event, TrafficReport},
        lifecycle::Lifecycle,
        peer_message::PeerInfo,
        published_state::{PeerUpdates, PublishedState},
        reloader::{ReloadSignal, Reloader, retry_limit},
        signals::Signals,
        status_page::{Page, bind_page},
    },
    bytes::Bytes,
    glade_adapter::platform_dialect::PlatformDialect,
    glade_budget::{Budget, BudgetLimits},
    glade_catalog::DemandReport,
    glade_clock::{BootClock, Clock},
    glade_dispatch::{PromptSent, StartReply},
    glade_limit::{PermitGrant, QuotaGrant},
    glade_observe::{LIFECYCLE, Metrics},
    glade_process::{EndSignals, keep_running},
    glade_relay::{Relay, RelayDependencies, RelayHandle, TrafficUpdate},
    glade_settings::{NodeSettings, NodeTiming},
    glade_streams::OriginReply,
    glade_types::Incarnation,
    http_body_util::Full,
    hyper::{
        Response,
        header::{CONTENT_TYPE, HeaderValue},
    },
    std::{
        cell::{Cell, RefCell},
        fmt, io,
        net::SocketAddr,
        panic::{self, AssertUnwindSafe},
        path::PathBuf,
        rc::Rc,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        sync::mpsc::Receiver,
        task::{LocalSet, spawn_local},
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
};

/// Period at which the traffic thread reports its requests in flight to the control thread. An
/// engine's prefill of a prompt takes about this time.
const LOADS_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest period at which the traffic thread reports sent prompts and start events: short in
/// comparison with the time that these reports take to reach other nodes.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(5);
/// Shortest period at which the traffic thread reports its needs for quotas: a request waits for a grant
/// for 150 ms at most, and each report costs the nodes on its way a batch.
const QUOTA_INTERVAL_MIN: Duration = Duration::from_millis(15);
/// Number of load reports for each demand report.
const LOADS_PER_DEMAND: u32 = 5;
/// Number of load reports after which loads are reported although they haven't changed, because the
/// control thread may have started again.
const LOADS_PER_REPEAT: u32 = 20;

/// Part of the grace time that is reserved for the end of the process itself.
const GRACE_RESERVE: Duration = Duration::from_millis(500);
/// Time after the expiry of the last directory answers during which callers may still connect.
const DIRECTORY_MARGIN: Duration = Duration::from_millis(500);
/// Period at which a draining node checks for requests in flight.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reason why a node can't run.
#[derive(Debug)]
pub enum NodeError {
    /// An address can't be bound.
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The system's explanation.
        reason: io::Error,
    },
    /// The control thread can't be started.
    Control(String),
    /// The traffic thread has panicked outside the tasks that start again.
    Panicked,
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { addr, reason } => write!(f, "can't listen on {addr}: {reason}"),
            Self::Control(reason) => write!(f, "can't start the control thread: {reason}"),
            Self::Panicked => f.write_str("the traffic thread panicked; see its log"),
        }
    }
}

impl std::error::Error for NodeError {}

/// The node daemon.
#[derive(Debug)]
pub struct Node;

impl Node {
    /// Runs a node until the process is told to end and the node has drained.
    ///
    /// # Errors
    ///
    /// The node can't be started.
    pub fn run(signals: Signals, settings: NodeSettings, file: PathBuf) -> Result<(), NodeError> {
        let run = AssertUnwindSafe(|| run(signals, Arc::new(settings), file));
        panic::catch_unwind(run).unwrap_or(Err(NodeError::Panicked))
    }
}

fn run(signals: Signals, settings: Arc<NodeSettings>, file: PathBuf) -> Result<(), NodeError> {
    let Signals { runtime, end, reload } = signals;
    let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
    let (published, peer_updates) = PublishedState::new(clock.now());
    let me = own_info(&settings);
    log::info!( target: LIFECYCLE,
        incarnation = me.incarnation.0,
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let metrics = Rc::new(Metrics::open("persimmonglade-node"));
    let control_metrics = ControlMetrics::default();
    control_metrics.register(&metrics);
    let control = spawn_control(
        Arc::clone(&settings),
        Arc::clone(&clock),
        me,
        published.clone(),
        control_metrics,
    )
    .map_err(|err| NodeError::Control(err.to_string()))?;
    let reload = ReloadSignal { signal: reload, file };
    LocalSet::new().block_on(
        &runtime,
        serve(end, reload, settings, clock, metrics, published, peer_updates, control),
    )
}

fn own_info(settings: &NodeSettings) -> PeerInfo {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    PeerInfo {
        vm: settings.vm.clone(),
        // Incarnations are compared for equality only, never by order.
        incarnation: Incarnation(u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)),
        peer_addr: settings.listen.peers,
        caller_addr: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        cpu_millis: (settings.cpu_share * 1000.0) as u32,
    }
}

#[expect(clippy::too_many_arguments, reason = "called once, by the function above")]
async fn serve(
    mut end: EndSignals,
    reload: ReloadSignal,
    settings: Arc<NodeSettings>,
    clock: Arc<dyn Clock>,
    metrics: Rc<Metrics>,
    published: PublishedState,
    peer_updates: PeerUpdates,
    control: ControlHandle,
) -> Result<(), NodeError> {
    let lifecycle = Rc::new(Lifecycle::new());
    let directory_handler = Rc::new(DirectoryHandler {
        lifecycle: Rc::clone(&lifecycle),
        published: published.clone(),
        ttl_s: Cell::new(settings.timing.directory_ttl.as_secs()),
    });
    let bind_error = |addr| move |reason| NodeError::Bind { addr, reason };
    let listen = settings.listen;
    let vm = settings.vm_limits;
    let budget = Budget::new(BudgetLimits::for_vm(vm.memory_bytes, vm.max_descriptors));
    register_budget(&metrics, &budget);
    let handler = Rc::clone(&directory_handler);
    let directory_page: Page = Rc::new(move |req| handler.respond(req));
    bind_page(listen.readiness, &budget, Rc::clone(&directory_page))
        .await
        .map_err(bind_error(listen.readiness))?;
    bind_page(listen.directory, &budget, directory_page)
        .await
        .map_err(bind_error(listen.directory))?;
    bind_page(listen.metrics, &budget, metrics_page(&metrics))
        .await
        .map_err(bind_error(listen.metrics))?;
    let (view, view_check) = (Arc::clone(&published.view), Arc::clone(&published.view_check));
    let events = control.clone();
    let on_update = Box::new(move |update| {
        events.send(Event::TrafficUpdate(update));
    });
    let (retry_limit, hedge_share) = (retry_limit(&settings), settings.hedge_share);
    let rng = fastrand::Rng::new();
    let meter = metrics.meter();
    let dependencies = RelayDependencies {
        clock,
        view,
        view_check,
        on_update,
        retry_limit,
        hedge_share,
        budget,
        meter,
        rng,
    };
    let relay = Relay::bind(listen.callers, PlatformDialect, dependencies)
        .await
        .map_err(bind_error(listen.callers))?;
    spawn_reports(&relay, &control);
    spawn_receivers(&relay, peer_updates);
    spawn_view_watch(published, &relay, &lifecycle);
    let in_force = Rc::new(RefCell::new(settings));
    let reloader = Reloader {
        in_force: Rc::clone(&in_force),
        directory_handler,
        relay: relay.clone(),
        control: control.clone(),
    };
    spawn_local(reloader.run(reload));
    end.recv().await;
    let timing = in_force.borrow().timing;
    log::info!( target: LIFECYCLE, "leaving");
    lifecycle.begin_drain();
    control.shut_down();
    relay.drain(timing.grace_period);
    let drained = keep_running("drain", async || drain(&timing, &relay).await);
    if timeout(timing.grace_period.saturating_sub(GRACE_RESERVE), drained).await.is_err() {
        log::info!( target: LIFECYCLE, under_way = relay.in_flight() as u64; "grace_over");
    }
    log::info!( target: LIFECYCLE, "stopped");
    Ok(())
}

fn spawn_reports(relay: &RelayHandle<PlatformDialect>, control: &ControlHandle) {
    let (from, to) = (relay.clone(), control.clone());
    spawn_local(keep_running("report_traffic", async move || report_traffic(&from, &to).await));
    let (from, to) = (relay.clone(), control.clone());
    spawn_local(keep_running("report_prompts", async move || report_prompts(&from, &to).await));
    let (from, to) = (relay.clone(), control.clone());
    spawn_local(keep_running("report_start_events", async move || {
        report_start_events(&from, &to).await;
    }));
    let (from, to) = (relay.clone(), control.clone());
    spawn_local(keep_running("report_permit_wishes", async move || {
        report_permit_wishes(&from, &to).await;
    }));
    let (from, to) = (relay.clone(), control.clone());
    spawn_local(keep_running("report_quota_asks", async move || {
        report_quota_asks(&from, &to).await;
    }));
}

fn spawn_receivers(relay: &RelayHandle<PlatformDialect>, updates: PeerUpdates) {
    let PeerUpdates {
        mut prompts,
        mut start_replies,
        mut trials,
        mut permits,
        mut quota_grants,
        mut origins,
    } = updates;
    let to = relay.clone();
    spawn_local(keep_running("receive_prompts", async move || {
        receive_prompts(&mut prompts, &to).await;
    }));
    let to = relay.clone();
    spawn_local(keep_running("receive_start_replies", async move || {
        receive_start_replies(&mut start_replies, &to).await;
    }));
    let to = relay.clone();
    spawn_local(keep_running("receive_trials", async move || {
        receive_trials(&mut trials, &to).await;
    }));
    let to = relay.clone();
    spawn_local(keep_running("receive_permits", async move || {
        receive_permits(&mut permits, &to).await;
    }));
    let to = relay.clone();
    spawn_local(keep_running("receive_origins", async move || {
        receive_origins(&mut origins, &to).await;
    }));
    let to = relay.clone();
    spawn_local(keep_running("receive_quota_grants", async move || {
        receive_quota_grants(&mut quota_grants, &to).await;
    }));
}

fn spawn_view_watch(
    published: PublishedState,
    relay: &RelayHandle<PlatformDialect>,
    lifecycle: &Rc<Lifecycle>,
) {
    let (relay, lifecycle) = (relay.clone(), Rc::clone(lifecycle));
    spawn_local(keep_running("watch_view", async move || {
        watch_view(&published, &relay, &lifecycle).await;
    }));
}

/// Shows what the budget's connections hold.
fn register_budget(metrics: &Metrics, budget: &Arc<Budget>) {
    let read = Arc::clone(budget);
    metrics.gauge_by("budget_bytes", "Bytes reserved, by what holds them.", "kind", move || {
        read.used_bytes()
    });
    let read = Arc::clone(budget);
    metrics.gauge("caller_connections", "Open connections of callers.", move || read.connections());
    let read = Arc::clone(budget);
    metrics.counter(
        "connections_gave_way",
        "Callers' connections that had to give way for lack of memory or descriptors.",
        move || read.evictions(),
    );
}

/// Returns a page that answers every request with all metrics in Prometheus' text format.
fn metrics_page(metrics: &Rc<Metrics>) -> Page {
    let metrics = Rc::clone(metrics);
    Rc::new(move |_req| {
        let mut response = Response::new(Full::new(Bytes::from(metrics.render())));
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, text);
        response
    })
}

/// Serves callers until none sends requests any more and all answers are written.
async fn drain(timing: &NodeTiming, relay: &RelayHandle<PlatformDialect>) {
    log_drain_stage("accepting", relay);
    sleep((timing.directory_ttl + DIRECTORY_MARGIN).min(timing.grace_period / 2)).await;
    log_drain_stage("finishing", relay);
    // Twice in a row, since a caller may be about to send its next request.
    let mut idle_checks = 0;
    while idle_checks < 2 {
        sleep(IDLE_CHECK_INTERVAL).await;
        idle_checks = if relay.in_flight() == 0 { idle_checks + 1 } else { 0 };
    }
    log_drain_stage("closing", relay);
    relay.close().await;
}

/// Logs that a stage of the drain begins, so that the log of a node that ends in the drain tells how
/// far it was and what it still had to do.
fn log_drain_stage(stage: &str, relay: &RelayHandle<PlatformDialect>) {
    let (requests, connections) = (relay.in_flight() as u64, relay.open_connections() as u64);
    log::info!( target: LIFECYCLE, stage = stage, requests = requests, connections = connections; "drain_stage");
}

/// Has the relay apply each view that the control thread publishes. The node serves from the first
/// view with a configuration on.
async fn watch_view(
    published: &PublishedState,
    relay: &RelayHandle<PlatformDialect>,
    lifecycle: &Lifecycle,
) {
    loop {
        published.view_changed.notified().await;
        relay.apply_view();
        if published.view.load().catalog.is_some() {
            lifecycle.mark_configured();
        }
    }
}

/// Reports prompts that traffic has sent to engines to the control thread.
async fn report_prompts(relay: &RelayHandle<PlatformDialect>, control: &ControlHandle) {
    loop {
        control.send(Event::PromptsSent(relay.next_prompts().await));
        sleep(REPORT_INTERVAL_MIN).await;
    }
}

/// Passes prompts of other nodes to traffic.
async fn receive_prompts(
    receiver: &mut Receiver<Vec<PromptSent>>,
    relay: &RelayHandle<PlatformDialect>,
) {
    while let Some(prompts) = receiver.recv().await {
        relay.on_remote_prompts(&prompts);
    }
}

/// Reports outcomes of requests whose starts coordinators have decided on to the control thread.
async fn report_start_events(relay: &RelayHandle<PlatformDialect>, control: &ControlHandle) {
    loop {
        control.send(Event::StartEvents(relay.next_start_events().await));
        sleep(REPORT_INTERVAL_MIN).await;
    }
}

/// Reports which permits for limited servers requests want to the control thread.
async fn report_permit_wishes(relay: &RelayHandle<PlatformDialect>, control: &ControlHandle) {
    loop {
        let wishes = relay.next_permit_wishes().await;
        control.send(Event::TrafficUpdate(TrafficUpdate::PermitsWanted(wishes)));
        sleep(REPORT_INTERVAL_MIN).await;
    }
}

/// Passes permits for limited servers to traffic.
async fn receive_permits(
    receiver: &mut Receiver<Vec<PermitGrant>>,
    relay: &RelayHandle<PlatformDialect>,
) {
    while let Some(permits) = receiver.recv().await {
        relay.on_permits(&permits);
    }
}

/// Reports what requests need of the quotas of teams to the control thread.
async fn report_quota_asks(relay: &RelayHandle<PlatformDialect>, control: &ControlHandle) {
    loop {
        let asks = relay.next_quota_asks().await;
        control.send(Event::TrafficUpdate(TrafficUpdate::QuotaWanted(asks)));
        sleep(QUOTA_INTERVAL_MIN).await;
    }
}

/// Passes replies of the issuers of quotas to traffic.
async fn receive_quota_grants(
    receiver: &mut Receiver<Vec<QuotaGrant>>,
    relay: &RelayHandle<PlatformDialect>,
) {
    while let Some(grants) = receiver.recv().await {
        relay.on_quota_grants(&grants);
    }
}

/// Passes to traffic which software versions began streams.
async fn receive_origins(
    receiver: &mut Receiver<Vec<OriginReply>>,
    relay: &RelayHandle<PlatformDialect>,
) {
    while let Some(origins) = receiver.recv().await {
        relay.on_origins(&origins);
    }
}

/// Passes replies of coordinators to traffic.
async fn receive_start_replies(
    receiver: &mut Receiver<(SocketAddr, Vec<StartReply>)>,
    relay: &RelayHandle<PlatformDialect>,
) {
    while let Some((coordinator, replies)) = receiver.recv().await {
        relay.on_start_replies(coordinator, &replies);
    }
}

/// Passes permitted trials of quarantined parts to traffic.
async fn receive_trials(receiver: &mut Receiver<u64>, relay: &RelayHandle<PlatformDialect>) {
    while let Some(key) = receiver.recv().await {
        relay.grant_trial(key);
    }
}

/// Reports requests in flight, as they change, and demand to the control thread.
async fn report_traffic(relay: &RelayHandle<PlatformDialect>, control: &ControlHandle) {
    let mut ticks = interval(LOADS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_reported = Vec::new();
    for count in 0_u32.. {
        ticks.tick().await;
        relay.note_running();
        let present_loads = relay.loads();
        let is_repeated = count.is_multiple_of(LOADS_PER_REPEAT) && !present_loads.is_empty();
        let is_due = is_repeated || present_loads != last_reported;
        let loads = is_due.then(|| present_loads.clone());
        let demand = if count.is_multiple_of(LOADS_PER_DEMAND) {
            relay.take_demand()
        } else {
            DemandReport::default()
        };
        if loads.is_some() || !demand.models.is_empty() {
            let is_queued = control.send(Event::TrafficReport(TrafficReport { loads, demand }));
            if is_queued && is_due {
                last_reported = present_loads;
            }
        }
    }
}
