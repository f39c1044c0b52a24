//! The running entry.

use {
    crate::{
        caller::CallerPort,
        control::ControlThread,
        events::EntryEvent,
        operator::OperatorPort,
        port::Port,
        shared::{Counts, Shared},
    },
    glade_budget::{Budget, BudgetLimits, Port as BudgetPort},
    glade_clock::Clock,
    glade_daemon::{
        ControlThreadHandle, MembershipDriver, Platform, channel, new_incarnation,
        spawn_control_thread, spawn_vm_list_poll,
    },
    glade_membership::Event,
    glade_observe::Metrics,
    glade_settings::Settings,
    glade_wire::{Envelope, Inbox, Role, WireError},
    poem::{Endpoint, Response},
    std::{
        fmt, io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::SyncSender,
        },
    },
    tokio::{runtime::Handle, time::sleep},
};

/// Why the entry can't start.
#[derive(Debug)]
pub enum EntryError {
    /// The peers' address can't be bound.
    Peers(WireError),
    /// A port can't be bound.
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The system's explanation.
        source: io::Error,
    },
    /// A thread can't be started.
    Thread(io::Error),
    /// The control thread has panicked, so the entry has drained by itself.
    Panicked,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Peers(err) => err.fmt(f),
            Self::Listen { addr, source } => write!(f, "can't listen on {addr}: {source}"),
            Self::Thread(err) => write!(f, "can't start a thread: {err}"),
            Self::Panicked => f.write_str("the control thread panicked; see the log"),
        }
    }
}

impl std::error::Error for EntryError {}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    control: ControlThreadHandle,
    callers: Port,
    _operators: Port,
    _inbox: Inbox,
}

impl Entry {
    /// Starts the entry's threads and tasks.
    ///
    /// # Errors
    ///
    /// See [`EntryError`].
    pub async fn spawn(settings: &Settings, clock: Arc<dyn Clock>) -> Result<Self, EntryError> {
        let runtime = Handle::current();
        let (events, receiver) = channel();
        let incarnation = new_incarnation();
        let platform = Platform::open(&settings.platform);
        let inbox = bind_inbox(settings, &runtime, &events).map_err(EntryError::Peers)?;
        let shared =
            Shared::new(settings, incarnation, Arc::clone(&platform), events.clone(), clock);
        let metrics = Arc::new(Metrics::open("persimmonglade-entry"));
        register_metrics(&metrics, &shared);
        let caller = CallerPort { shared: Arc::clone(&shared), metrics: Arc::clone(&metrics) };
        let vm = settings.vm_limits;
        let budget = Budget::new(BudgetLimits::for_vm(vm.memory_bytes, vm.max_descriptors));
        register_budget_metrics(&metrics, &budget);
        let checked = Arc::clone(&budget);
        runtime.spawn(async move { checked.run().await });
        let callers = bind(settings.vm.caller, &budget, BudgetPort::Callers, caller).await?;
        let operator = OperatorPort { shared: Arc::clone(&shared) };
        let operators = bind(settings.vm.operator, &budget, BudgetPort::Pages, operator).await?;
        spawn_vm_list_poll(&runtime, &platform, &events);
        let peers = MembershipDriver::new(
            settings,
            Role::Entry,
            incarnation,
            &platform,
            &runtime,
            &events,
            shared.now(),
        );
        let mut state = ControlThread::new(Arc::clone(&shared), peers);
        let control = spawn_control_thread(receiver, move |event| state.step(event))
            .map_err(EntryError::Thread)?;
        log::info!("entry of {} started, incarnation {incarnation}", settings.vm.name);
        Ok(Self { shared, control, callers, _operators: operators, _inbox: inbox })
    }

    /// For starting a drain while [`Entry::drained`] is awaited.
    pub fn drain_handle(&self) -> DrainHandle {
        DrainHandle { shared: Arc::clone(&self.shared) }
    }

    /// Waits until a drain was started and has ended: the VM has left the directory, its old
    /// answers have expired, and every request's answer has been written out.
    ///
    /// # Errors
    ///
    /// The control thread has panicked, which starts a drain too.
    pub async fn drained(self) -> Result<(), EntryError> {
        let has_panicked = tokio::select! {
            () = self.shared.drain.started() => false,
            () = self.control.panicked() => true,
        };
        self.shared.drain.start();
        // Callers may keep the directory's answer for its time to live, counted from the moment
        // when the last VM learnt of the drain.
        let timing = &self.shared.settings.timing;
        sleep(timing.directory_ttl + timing.peer_timeout).await;
        self.shared.drain.refuse();
        self.shared.drain.idle().await;
        self.callers.close().await;
        let _ = self.shared.events.send(EntryEvent::Stop);
        self.control.join();
        log::info!("drained");
        if has_panicked { Err(EntryError::Panicked) } else { Ok(()) }
    }
}

/// Starts a drain, as a request of the operator or of the platform would.
#[derive(Clone, Debug)]
pub struct DrainHandle {
    shared: Arc<Shared>,
}

impl DrainHandle {
    /// Starts the drain; a second call changes nothing.
    pub fn drain(&self) {
        self.shared.tell(EntryEvent::Drain(self.shared.vm().clone()));
    }
}

fn bind_inbox(
    settings: &Settings,
    runtime: &Handle,
    events: &SyncSender<EntryEvent>,
) -> Result<Inbox, WireError> {
    let events = events.clone();
    Inbox::bind(runtime, settings.vm.entry_peer, move |envelope: Envelope| {
        if events.try_send(Event::Message(envelope).into()).is_err() {
            log::warn!("control thread is behind; peer message dropped");
        }
    })
}

async fn bind<E>(
    addr: SocketAddr,
    budget: &Arc<Budget>,
    port: BudgetPort,
    endpoint: E,
) -> Result<Port, EntryError>
where
    E: Endpoint<Output = Response> + 'static,
{
    Port::bind(addr, budget, port, endpoint)
        .await
        .map_err(|source| EntryError::Listen { addr, source })
}

fn register_budget_metrics(metrics: &Metrics, budget: &Arc<Budget>) {
    let gauged = Arc::clone(budget);
    metrics.gauge("entry_connections", "Connections that have an account.", move || {
        gauged.connections()
    });
    let counted = Arc::clone(budget);
    metrics.counter("entry_connections_gave_way", "Connections that gave way.", move || {
        counted.evictions()
    });
}

fn register_metrics(metrics: &Metrics, shared: &Arc<Shared>) {
    let counter = |name, description, count: fn(&Counts) -> &AtomicU64| {
        let shared = Arc::clone(shared);
        let read = move || count(&shared.counts).load(Ordering::Relaxed);
        metrics.counter(name, description, read);
    };
    counter("entry_requests", "Requests for models and services.", |c| &c.requests);
    counter("entry_refused", "Requests refused without being run.", |c| &c.refused);
    counter("entry_retries", "Further attempts at idempotent requests.", |c| &c.retries);
    counter("entry_streams_resumed", "Streams resumed on a new connection.", |c| &c.resumed);
    counter("entry_answers_crossed", "Answers dropped: another request's.", |c| &c.crossed);
    counter("entry_answers_broken", "Answers that ended in an error.", |c| &c.broken);
    counter("entry_keyed_calls", "Calls under a caller's key.", |c| &c.keyed_calls);
    counter("entry_token_calls", "Calls under an issued token.", |c| &c.token_calls);
    counter("entry_call_writes", "Writes of call records.", |c| &c.call_writes);
    let gauge = |name, description, read: fn(&Shared) -> u64| {
        let shared = Arc::clone(shared);
        metrics.gauge(name, description, move || read(&shared));
    };
    gauge("entry_under_way", "Requests being served.", |s| {
        u64::try_from(s.drain.under_way()).unwrap_or(0)
    });
    gauge("entry_retry_budget", "Retries that could be made now.", |s| {
        u64::try_from(s.retries.balance()).unwrap_or(0)
    });
    gauge("entry_table_version", "Version of the table in force.", |s| {
        s.routes.load().table.version.0
    });
    gauge("entry_table_age_seconds", "Time since the table in force was received.", |s| {
        s.view
            .load()
            .table_since
            .map_or(0, |since| s.now().saturating_duration_since(since).as_secs())
    });
    gauge("entry_peers_live", "Peers that send heartbeats.", |s| {
        s.view.load().peers.iter().filter(|peer| peer.live).count() as u64
    });
    gauge("entry_takes_work", "1 while this VM takes new work.", |s| {
        u64::from(s.routes.load().accepts_work)
    });
    let view = Arc::clone(shared);
    metrics
        .counter("entry_peer_drops", "Peer messages dropped.", move || view.view.load().peer_drops);
    let view = Arc::clone(shared);
    metrics
        .counter("entry_peer_bytes", "Bytes sent to peers.", move || view.view.load().peer_bytes);
}
