//! One node, from its start to its end.

use {
    crate::{
        control::{ControlHandle, spawn_control},
        control_metrics::ControlMetrics,
        directory_handler::DirectoryHandler,
        event::{Event, TrafficReport},
        lifecycle::Lifecycle,
        peer_message::PeerInfo,
        published_state::{PeerUpdates, PublishedState},
        reloader::{Reloader, retry_limit},
        status_page::{Page, bind_page},
    },
    bytes::Bytes,
    glade_adapter::headers::PlatformDialect,
    glade_catalog::DemandReport,
    glade_clock::{BootClock, Clock},
    glade_dispatch::{PromptSent, StartReply},
    glade_observe::Metrics,
    glade_relay::{Relay, RelayDependencies, RelayHandle},
    glade_settings::NodeSettings,
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
        path::PathBuf,
        rc::Rc,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::mpsc::Receiver,
        task::{LocalSet, spawn_local},
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
};

/// Period at which traffic tells the control thread what it has under way. Engines read a prompt in
/// about this time.
const LOADS_EVERY: Duration = Duration::from_millis(50);
/// Shortest period at which traffic tells of prompts; short beside the time that word of them takes.
const PROMPTS_EVERY: Duration = Duration::from_millis(5);
/// Reports of loads for each report of demand.
const LOADS_PER_DEMAND: u32 = 5;

/// Part of the grace time that is kept back for the end of the process itself.
const GRACE_RESERVE: Duration = Duration::from_millis(500);
/// Time beyond the directory's time to live for which callers still come.
const DIRECTORY_SLACK: Duration = Duration::from_millis(500);
/// Period at which a leaving node looks whether requests are under way.
const IDLE_CHECK: Duration = Duration::from_millis(100);

/// Why a node can't run.
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
    /// A runtime or signal handler can't be had.
    System(io::Error),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { addr, reason } => write!(f, "can't listen on {addr}: {reason}"),
            Self::Control(reason) => write!(f, "can't start the control thread: {reason}"),
            Self::System(err) => write!(f, "can't start: {err}"),
        }
    }
}

impl std::error::Error for NodeError {}

impl From<io::Error> for NodeError {
    fn from(err: io::Error) -> Self {
        Self::System(err)
    }
}

/// The node daemon.
#[derive(Debug)]
pub struct Node;

impl Node {
    /// Runs a node until it has been told to end and has served who was there.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn run(settings: NodeSettings, file: PathBuf) -> Result<(), NodeError> {
        let settings = Arc::new(settings);
        let clock: Arc<dyn Clock> = Arc::new(BootClock::new());
        let (published, peer_updates) = PublishedState::new();
        let me = own_info(&settings);
        log::info!(
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
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        LocalSet::new().block_on(
            &runtime,
            serve(settings, file, clock, metrics, published, peer_updates, control),
        )
    }
}

fn own_info(settings: &NodeSettings) -> PeerInfo {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    PeerInfo {
        vm: settings.vm.clone(),
        // Only told apart from others, never compared.
        incarnation: Incarnation(u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX)),
        peers: settings.listen.peers,
        callers: settings.listen.callers,
        data_centre: settings.data_centre.clone(),
        cpu_millis: (settings.cpu_share * 1000.0) as u32,
    }
}

async fn serve(
    settings: Arc<NodeSettings>,
    file: PathBuf,
    clock: Arc<dyn Clock>,
    metrics: Rc<Metrics>,
    published: PublishedState,
    peer_updates: PeerUpdates,
    control: ControlHandle,
) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let hang_up = signal(SignalKind::hangup())?;
    let lifecycle = Rc::new(Lifecycle::new());
    let directory_handler = Rc::new(DirectoryHandler {
        lifecycle: Rc::clone(&lifecycle),
        published: published.clone(),
        ttl_s: Cell::new(settings.timing.directory_ttl.as_secs()),
    });
    let bound = |addr| move |reason| NodeError::Bind { addr, reason };
    let listen = settings.listen;
    let answering = Rc::clone(&directory_handler);
    let questions: Page = Rc::new(move |req| answering.answer(req));
    bind_page(listen.readiness, Rc::clone(&questions)).await.map_err(bound(listen.readiness))?;
    bind_page(listen.directory, questions).await.map_err(bound(listen.directory))?;
    bind_page(listen.metrics, metrics_page(&metrics)).await.map_err(bound(listen.metrics))?;
    let view = Arc::clone(&published.view);
    let events = control.clone();
    let on_update = Box::new(move |update| events.send(Event::TrafficUpdate(update)));
    let retry_limit = retry_limit(&settings);
    let rng = fastrand::Rng::new();
    let meter = metrics.meter();
    let dependencies = RelayDependencies { clock, view, on_update, retry_limit, meter, rng };
    let relay = Relay::bind(listen.callers, PlatformDialect, dependencies)
        .await
        .map_err(bound(listen.callers))?;
    spawn_local(report_traffic(relay.clone(), control.clone()));
    spawn_local(tell_prompts(relay.clone(), control.clone()));
    spawn_local(hear_prompts(peer_updates.prompts, relay.clone()));
    spawn_local(hear_starts(peer_updates.start_replies, relay.clone()));
    spawn_local(tell_starts(relay.clone(), control.clone()));
    spawn_local(follow_view(published, relay.clone(), Rc::clone(&lifecycle)));
    let in_force = Rc::new(RefCell::new(settings));
    let reloader = Reloader {
        file,
        in_force: Rc::clone(&in_force),
        directory_handler,
        relay: relay.clone(),
        control: control.clone(),
    };
    spawn_local(reloader.run(hang_up));
    terminate.recv().await;
    let settings = Arc::clone(&in_force.borrow());
    log::info!("leaving");
    lifecycle.begin_drain();
    control.send(Event::Shutdown);
    let grace = settings.timing.grace;
    relay.drain(grace);
    leave(&settings, &relay).await;
    log::info!("stopped");
    Ok(())
}

/// Shows all metrics in Prometheus' text form, whatever is asked for.
fn metrics_page(metrics: &Rc<Metrics>) -> Page {
    let metrics = Rc::clone(metrics);
    Rc::new(move |_req| {
        let mut response = Response::new(Full::new(Bytes::from(metrics.render())));
        let text = HeaderValue::from_static("text/plain; version=0.0.4");
        response.headers_mut().insert(CONTENT_TYPE, text);
        response
    })
}

/// Serves who still comes, until nobody does and all answers have left, or the grace time is over.
async fn leave(settings: &NodeSettings, relay: &RelayHandle<PlatformDialect>) {
    let timing = &settings.timing;
    let open_for = (timing.directory_ttl + DIRECTORY_SLACK).min(timing.grace / 2);
    sleep(open_for).await;
    let last = timing.grace.saturating_sub(GRACE_RESERVE).saturating_sub(open_for);
    let served = async {
        // Twice in a row, since a caller may be about to send its next request.
        let mut quiet = 0;
        while quiet < 2 {
            sleep(IDLE_CHECK).await;
            quiet = if relay.in_flight() == 0 { quiet + 1 } else { 0 };
        }
        relay.close().await;
    };
    if timeout(last, served).await.is_err() {
        log::info!(under_way = relay.in_flight() as u64; "grace_over");
    }
}

/// Hands each new view to traffic.
async fn follow_view(
    published: PublishedState,
    relay: RelayHandle<PlatformDialect>,
    lifecycle: Rc<Lifecycle>,
) {
    loop {
        published.view_changed.notified().await;
        relay.apply_view();
        if published.view.load().catalog.is_some() {
            lifecycle.mark_configured();
        }
    }
}

/// Tells the control thread which prompts are sent.
async fn tell_prompts(relay: RelayHandle<PlatformDialect>, control: ControlHandle) {
    loop {
        control.send(Event::PromptsSent(relay.next_prompts().await));
        sleep(PROMPTS_EVERY).await;
    }
}

/// Takes word of the other nodes' prompts.
async fn hear_prompts(mut heard: Receiver<Vec<PromptSent>>, relay: RelayHandle<PlatformDialect>) {
    while let Some(prompts) = heard.recv().await {
        relay.on_remote_prompts(&prompts);
    }
}

/// Tells the control thread what has become of requests that coordinators have decided on.
async fn tell_starts(relay: RelayHandle<PlatformDialect>, control: ControlHandle) {
    loop {
        control.send(Event::StartEvents(relay.next_start_events().await));
        sleep(PROMPTS_EVERY).await;
    }
}

/// Takes answers of coordinators.
async fn hear_starts(
    mut heard: Receiver<(SocketAddr, Vec<StartReply>)>,
    relay: RelayHandle<PlatformDialect>,
) {
    while let Some((by, answers)) = heard.recv().await {
        relay.on_start_replies(by, &answers);
    }
}

/// Tells the control thread what traffic has under way, as that changes.
async fn report_traffic(relay: RelayHandle<PlatformDialect>, control: ControlHandle) {
    let mut ticks = interval(LOADS_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut told = Vec::new();
    for count in 0_u32.. {
        ticks.tick().await;
        let now_loads = relay.loads();
        let loads = (now_loads != told).then(|| now_loads.clone());
        told = now_loads;
        let demand = if count.is_multiple_of(LOADS_PER_DEMAND) {
            relay.take_demand()
        } else {
            DemandReport::default()
        };
        if loads.is_some() || !demand.models.is_empty() {
            control.send(Event::TrafficReport(TrafficReport { loads, demand }));
        }
    }
}
