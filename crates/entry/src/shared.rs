//! What traffic, operators and the control thread share.

use {
    crate::{burn::BurnBook, events::EntryEvent},
    arc_swap::ArcSwap,
    glade_clock::Clock,
    glade_daemon::Platform,
    glade_http::Pool,
    glade_membership::PeerStatus,
    glade_once::{Owner, TokenRegistry},
    glade_routing::{PrefixAffinity, RetryBudget, RouteTable, RoutingPolicy},
    glade_settings::Settings,
    glade_types::{BackendId, DataCentre, Incarnation, VmId},
    serde::Serialize,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
            mpsc::SyncSender,
        },
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// A backend server as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct BackendStatus {
    pub(crate) id: BackendId,
    pub(crate) kind: String,
    pub(crate) data_centre: DataCentre,
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) usable: bool,
    pub(crate) leaving: bool,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    pub(crate) memory_bytes: u64,
    pub(crate) resident: Vec<String>,
}

/// What the control thread publishes besides the route table.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlView {
    pub(crate) peers: Vec<PeerStatus>,
    pub(crate) backends: Vec<BackendStatus>,
    pub(crate) peer_drops: u64,
    pub(crate) peer_bytes: u64,
    pub(crate) table_since: Option<Instant>,
}

/// Counts of what happened to requests.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) requests: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) retries: AtomicU64,
    pub(crate) resumed: AtomicU64,
    pub(crate) crossed: AtomicU64,
    pub(crate) broken: AtomicU64,
    pub(crate) keyed_calls: AtomicU64,
    pub(crate) token_calls: AtomicU64,
    pub(crate) call_writes: AtomicU64,
}

impl Counts {
    pub(crate) fn add(count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Whether the VM is draining, and how many requests it still serves.
#[derive(Debug, Default)]
pub(crate) struct DrainState {
    draining: AtomicBool,
    refusing: AtomicBool,
    under_way: AtomicI64,
    changed: Notify,
}

/// A request being served, or what is left to do for one; the VM doesn't exit while one lives.
#[derive(Debug)]
pub(crate) struct Serving {
    shared: Arc<Shared>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.shared.drain.under_way.fetch_sub(1, Ordering::AcqRel);
        self.shared.drain.changed.notify_waiters();
    }
}

impl DrainState {
    /// True once the VM has left the directory.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Leaves the directory.
    pub(crate) fn start(&self) {
        self.draining.store(true, Ordering::Release);
        self.changed.notify_waiters();
    }

    /// Refuses new requests from now on.
    pub(crate) fn refuse(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Waits until draining has started.
    pub(crate) async fn started(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_draining() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until no request is being served.
    pub(crate) async fn idle(&self) {
        loop {
            let changed = self.changed.notified();
            if self.under_way.load(Ordering::Acquire) == 0 {
                return;
            }
            changed.await;
        }
    }

    /// Requests being served.
    pub(crate) fn under_way(&self) -> i64 {
        self.under_way.load(Ordering::Acquire)
    }
}

/// State of the whole process outside the control thread.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    clock: Arc<dyn Clock>,
    started_at: Instant,
    pub(crate) platform: Arc<Platform>,
    pub(crate) routes: ArcSwap<RouteTable>,
    pub(crate) view: ArcSwap<ControlView>,
    pub(crate) pool: Pool,
    pub(crate) policy: RoutingPolicy,
    pub(crate) prefixes: PrefixAffinity,
    pub(crate) retries: RetryBudget,
    pub(crate) counts: Counts,
    pub(crate) drain: DrainState,
    pub(crate) burn: BurnBook,
    pub(crate) tokens: Mutex<TokenRegistry>,
    /// Attempts of keyed calls that never dispatched although their row may exist.
    pub(crate) abandoned: Mutex<HashMap<Owner, Instant>>,
    pub(crate) events: SyncSender<EntryEvent>,
    next_request: AtomicU64,
}

impl Shared {
    pub(crate) fn new(
        settings: &Settings,
        incarnation: Incarnation,
        platform: Arc<Platform>,
        events: SyncSender<EntryEvent>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let tokens = TokenRegistry::new(
            settings.vm.name.clone(),
            incarnation,
            settings.timing.token_ttl,
            fastrand::u64(..),
        );
        Arc::new(Self {
            settings: settings.clone(),
            incarnation,
            started_at: clock.now(),
            burn: BurnBook::new(clock.now()),
            clock,
            platform,
            routes: ArcSwap::default(),
            view: ArcSwap::default(),
            pool: Pool::new(),
            policy: RoutingPolicy::default(),
            prefixes: PrefixAffinity::default(),
            retries: RetryBudget::default(),
            counts: Counts::default(),
            drain: DrainState::default(),
            tokens: Mutex::new(tokens),
            abandoned: Mutex::default(),
            events,
            next_request: AtomicU64::new(1),
        })
    }

    /// Time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.now() - self.started_at
    }

    /// The present reading of the clock.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// A number that no other request of this incarnation has.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Registers a request, unless the VM no longer takes any.
    pub(crate) fn begin(self: &Arc<Self>) -> Option<Serving> {
        // Counted first, so that a drain that starts now waits for this request.
        let serving = self.begin_rest();
        let refuses = self.drain.refusing.load(Ordering::Acquire);
        (!refuses).then_some(serving)
    }

    /// Registers what is left to do for a request that is being served.
    pub(crate) fn begin_rest(self: &Arc<Self>) -> Serving {
        self.drain.under_way.fetch_add(1, Ordering::AcqRel);
        Serving { shared: Arc::clone(self) }
    }

    /// Tells the control thread; an event that doesn't fit is dropped.
    pub(crate) fn tell(&self, event: EntryEvent) {
        if self.events.try_send(event).is_err() {
            log::warn!("control thread is behind; event dropped");
        }
    }

    /// Name of this VM.
    pub(crate) fn vm(&self) -> &VmId {
        &self.settings.vm.name
    }
}
