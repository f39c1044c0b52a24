//! The callers' port: accepts connections and admits, answers and drains requests.

use {
    crate::{
        admitted_request::AdmittedRequest,
        answer_body::{AnswerBody, ServedBody},
        authentication::redact_keys,
        caller_connections::CallerConnections,
        dialect::Dialect,
        drain::{Drain, RETRY_ELSEWHERE_AFTER},
        end_line::EndLine,
        idle_connections::IdleConnections,
        metrics::Metrics,
        open_request::OpenRequest,
        origin_client::OriginClient,
        own_answer::OwnAnswer,
        permit_client::PermitClient,
        quarantine::QuarantineClient,
        quota_client::{QuotaCharge, QuotaClient},
        request_body::{BodyLimits, RequestBody},
        routed_request::RoutedRequest,
        start_client::StartClient,
        traffic_update::OnTrafficUpdate,
        view_check::{Standstill, ViewCheck},
        wait_queue::WaitQueue,
    },
    arc_swap::ArcSwap,
    glade_budget::{Account, Budget, CallerStream, Port},
    glade_catalog::DemandReport,
    glade_clock::Clock,
    glade_dispatch::{
        ClusterView, Dispatcher, PromptSent, Refusal, RequestSpec, RetryLimit, ServerLoad,
        StartEvent, StartReply,
    },
    glade_limit::{PermitGrant, PermitWish, QuotaAsk, QuotaGrant},
    glade_process::{catch_panic, keep_running},
    glade_streams::OriginReply,
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        header::{CONNECTION, HeaderValue},
        http::request::Parts,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    opentelemetry::metrics::Meter,
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        fmt, io,
        net::SocketAddr,
        pin::pin,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::spawn_local,
        time::sleep,
    },
};

/// Interval at which a draining VM checks whether requests without a server must be sent to another
/// node.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which requests that are held back check whether they may be sent.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Pause after accepting a connection failed, which usually means that file descriptors have run
/// out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Body that is read over if its request is answered before it was read.
const SMALL_REST_BYTES: u64 = 8 << 10;

/// Time for the answer to a request whose connection has to give way.
const ANSWER_BEFORE_CLOSE: Duration = Duration::from_secs(1);

/// What the process passes to a relay.
pub struct RelayDependencies<'a> {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The cluster state, as last published by the control thread.
    pub view: Arc<ArcSwap<ClusterView>>,
    /// When the view was last known to be up to date.
    pub view_check: Arc<ViewCheck>,
    /// Called when the request path has an update for the control thread.
    pub on_update: OnTrafficUpdate,
    /// Limit on retried requests.
    pub retry_limit: RetryLimit,
    /// Hedges allowed for each first attempt; 0 turns hedging off.
    pub hedge_share: f64,
    /// Memory and connections that callers may take.
    pub budget: Arc<Budget>,
    /// Source of the metric instruments.
    pub meter: &'a Meter,
    /// Random number generator.
    pub rng: fastrand::Rng,
}

/// Serves callers on one VM. Runs on the traffic thread.
pub struct Relay<D: Dialect> {
    pub(crate) dialect: D,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: Arc<ArcSwap<ClusterView>>,
    view_check: Arc<ViewCheck>,
    standstill: Standstill,
    pub(crate) dispatcher: Rc<RefCell<Dispatcher>>,
    pub(crate) idle_connections: RefCell<IdleConnections>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) wait_queue: WaitQueue<D>,
    /// Notified when an attempt at a server begins, which may have added a prompt to report.
    pub(crate) prompt_sent: Notify,
    pub(crate) on_update: OnTrafficUpdate,
    pub(crate) start_client: StartClient,
    pub(crate) quarantine: QuarantineClient,
    pub(crate) permit_client: PermitClient,
    pub(crate) quota_client: Rc<QuotaClient>,
    pub(crate) origin_client: OriginClient,
    pub(crate) metrics: Rc<Metrics>,
    /// Notified when another configuration may be in force.
    pub(crate) catalog_changed: Notify,
    drain: Cell<Option<Drain>>,
    drain_began: Notify,
    /// Number of requests that were read and have no complete answer yet.
    pub(crate) in_flight: Rc<Cell<usize>>,
    connections: CallerConnections,
    budget: Arc<Budget>,
}

impl<D: Dialect> fmt::Debug for Relay<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").field("dialect", &self.dialect).finish_non_exhaustive()
    }
}

/// A request that has been read in full and is to be served.
struct Admission {
    routed: RoutedRequest,
    body: RequestBody,
    open_request: OpenRequest,
    quota_charge: Option<QuotaCharge>,
    end_line: EndLine,
}

/// Handle to a running callers' port.
#[derive(Clone, Debug)]
pub struct RelayHandle<D: Dialect> {
    relay: Rc<Relay<D>>,
}

impl<D: Dialect> RelayHandle<D> {
    /// Applies the cluster state that the control thread published last.
    pub fn apply_view(&self) {
        self.relay.apply_view();
    }

    /// Records that the traffic thread runs. Called several times a second.
    pub fn note_running(&self) {
        self.relay.standstill.note_running(self.relay.clock.now());
    }

    /// Requests in flight at each server.
    pub fn loads(&self) -> Vec<ServerLoad> {
        self.relay.dispatcher.borrow().loads()
    }

    /// Demand of callers since the last call of this method.
    pub fn take_demand(&self) -> DemandReport {
        self.relay.dispatcher.borrow_mut().take_demand(self.relay.clock.now())
    }

    /// Waits until prompts have been sent to servers, and returns them.
    pub async fn next_prompts(&self) -> Vec<PromptSent> {
        loop {
            let prompts = self.relay.dispatcher.borrow_mut().take_sent_prompts();
            if !prompts.is_empty() {
                return prompts;
            }
            self.relay.prompt_sent.notified().await;
        }
    }

    /// Records `prompts` that other VMs have sent.
    pub fn on_remote_prompts(&self, prompts: &[PromptSent]) {
        let now = self.relay.clock.now();
        self.relay.dispatcher.borrow_mut().record_remote_prompts(now, prompts);
    }

    /// Waits for events to report to coordinators, and returns them with the address of the
    /// coordinator that each is for; `None` stands for the nearest coordinator.
    pub async fn next_start_events(&self) -> Vec<(Option<SocketAddr>, StartEvent)> {
        self.relay.start_client.next_events().await
    }

    /// Handles the replies of the coordinator that receives events at `coordinator`.
    pub fn on_start_replies(&self, coordinator: SocketAddr, replies: &[StartReply]) {
        self.relay.start_client.on_replies(coordinator, replies);
    }

    /// Permits one request to be sent as the trial of the quarantined combination of parts `key`.
    pub fn grant_trial(&self, key: u64) {
        self.relay.quarantine.grant(self.relay.clock.now(), key);
    }

    /// Waits until other permits for limited servers are wanted than before, and returns all.
    pub async fn next_permit_wishes(&self) -> Vec<PermitWish> {
        self.relay.next_permit_wishes().await
    }

    /// Applies permits that this VM was granted.
    pub fn on_permits(&self, grants: &[PermitGrant]) {
        let now = self.relay.clock.now();
        let mut dispatcher = self.relay.dispatcher.borrow_mut();
        grants.iter().for_each(|grant| dispatcher.add_permits(now, grant));
        self.relay.wait_queue.wake();
    }

    /// Waits until something is to be asked of the issuers of quotas, and returns that.
    pub async fn next_quota_asks(&self) -> Vec<QuotaAsk> {
        self.relay.quota_client.next_asks().await
    }

    /// Applies replies of the issuers of quotas.
    pub fn on_quota_grants(&self, grants: &[QuotaGrant]) {
        self.relay.quota_client.on_grants(grants);
    }

    /// Applies answers to the questions of requests which software versions began streams.
    pub fn on_origins(&self, replies: &[OriginReply]) {
        replies.iter().for_each(|reply| self.relay.origin_client.on_origin(*reply));
    }

    /// Replaces the limit on retried requests.
    pub fn set_retry_limit(&self, limit: RetryLimit) {
        self.relay.dispatcher.borrow_mut().set_retry_limit(limit);
    }

    /// Replaces the number of hedges allowed for each first attempt; 0 turns hedging off.
    pub fn set_hedge_share(&self, share: f64) {
        self.relay.dispatcher.borrow_mut().set_hedge_share(share);
    }

    /// Starts draining: every answer tells its caller to close the connection. The process is
    /// killed after `grace`, so requests that would still be in flight by then are refused with the
    /// advice to try another node.
    pub fn drain(&self, grace: Duration) {
        self.relay.drain.set(Some(Drain::new(self.relay.clock.now(), grace)));
        self.relay.drain_began.notify_waiters();
    }

    /// Number of requests that were read and have no complete answer yet.
    pub fn in_flight(&self) -> usize {
        self.relay.in_flight.get()
    }

    /// Number of connections of callers that are open.
    pub fn open_connections(&self) -> usize {
        self.relay.connections.open()
    }

    /// Accepts no more callers, and closes each connection once its answer has been written out.
    /// Returns when all connections are closed.
    pub async fn close(&self) {
        self.relay.connections.close().await;
    }
}

impl<D: Dialect> Relay<D> {
    /// Binds the callers' port and serves it in local tasks of the current thread.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(
        addr: SocketAddr,
        dialect: D,
        dependencies: RelayDependencies<'_>,
    ) -> io::Result<RelayHandle<D>> {
        let listener = TcpListener::bind(addr).await?;
        let RelayDependencies {
            clock,
            view,
            view_check,
            on_update,
            retry_limit,
            hedge_share,
            budget,
            meter,
            mut rng,
        } = dependencies;
        let mut dispatcher = Dispatcher::new(retry_limit, rng.u32(..));
        dispatcher.set_hedge_share(hedge_share);
        let quota_client = Rc::new(QuotaClient::new(&clock));
        let relay = Rc::new(Self {
            dialect,
            standstill: Standstill::new(clock.now()),
            clock,
            view,
            view_check,
            dispatcher: Rc::new(RefCell::new(dispatcher)),
            idle_connections: RefCell::default(),
            wait_queue: WaitQueue::new(),
            prompt_sent: Notify::new(),
            on_update,
            start_client: StartClient::new(rng.u32(..)),
            quarantine: QuarantineClient::default(),
            permit_client: PermitClient::default(),
            quota_client,
            origin_client: OriginClient::default(),
            metrics: Rc::new(Metrics::new(meter)),
            catalog_changed: Notify::new(),
            rng: RefCell::new(rng),
            drain: Cell::new(None),
            drain_began: Notify::new(),
            in_flight: Rc::default(),
            connections: CallerConnections::new(),
            budget,
        });
        let waiting = Rc::clone(&relay);
        spawn_local(keep_running("serve_waiting", async move || {
            Rc::clone(&waiting).serve_waiting().await;
        }));
        let budget = Arc::clone(&relay.budget);
        spawn_local(keep_running("check_budget", async move || budget.run().await));
        let accepting = Rc::clone(&relay);
        spawn_local(keep_running("accept", async move || {
            Rc::clone(&accepting).accept(&listener).await;
        }));
        Ok(RelayHandle { relay })
    }

    fn apply_view(&self) {
        let view = self.view.load();
        let now = self.clock.now();
        self.dispatcher.borrow_mut().update_view(now, &view);
        self.quarantine.on_view();
        self.catalog_changed.notify_waiters();
        self.idle_connections.borrow_mut().close_expired(self.clock.now());
        self.wait_queue.wake();
    }

    /// True if no request is to be sent yet, since this process stood still and its view may be outdated.
    pub(crate) fn view_is_unchecked(&self) -> bool {
        self.standstill.holds(self.clock.now(), &self.view_check)
    }

    /// Returns once requests may be sent by the view.
    pub(crate) async fn until_view_is_checked(&self) {
        if !self.view_is_unchecked() {
            return;
        }
        while self.view_is_unchecked() {
            sleep(VIEW_CHECK_INTERVAL).await;
        }
        self.apply_view();
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.connections.closing() => return,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let account = tokio::select! {
                        account = self.budget.open_account(Port::Callers, peer.ip()) => account,
                        () = self.connections.closing() => return,
                    };
                    spawn_local(Rc::clone(&self).serve(stream, account));
                }
                Err(err) => {
                    log::warn!(reason = err.to_string().as_str(); "accept_failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one caller's connection, one request after another, until it ends or has to give way.
    async fn serve(self: Rc<Self>, stream: TcpStream, account: Account) {
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!(reason = err.to_string().as_str(); "caller_gone");
            return;
        }
        let _open = self.connections.begin();
        let limits = self.view.load().catalog.as_ref().map(|catalog| *catalog.limits());
        let limits = limits.unwrap_or_default();
        let service = service_fn(|req| {
            let (relay, account) = (Rc::clone(&self), account.clone());
            async move {
                let response = relay.respond_always(req, &account).await;
                Ok::<_, Infallible>(response.map(|body| ServedBody::new(body, account)))
            }
        });
        let stream = CallerStream::new(stream, account.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The timer runs while the connection is idle as well as while a head arrives.
            .header_read_timeout(limits.idle_timeout + limits.head_timeout)
            .max_buf_size(limits.max_head_bytes.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let served = tokio::select! {
            biased;
            served = connection.as_mut() => served,
            () = self.connections.closing() => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    served = connection => served,
                    () = gave_way(&account) => return,
                }
            }
            () = gave_way(&account) => return,
        };
        if let Err(err) = served {
            log::debug!(reason = err.to_string().as_str(); "caller_connection_ended");
        }
    }

    /// Answers a request even if its handling panics, since it may have run by then.
    async fn respond_always(
        self: Rc<Self>,
        req: Request<Incoming>,
        account: &Account,
    ) -> Response<AnswerBody> {
        let id = self.dialect.read_request_id(req.headers());
        catch_panic(Rc::clone(&self).respond(req, account)).await.unwrap_or_else(|_| {
            let answer = OwnAnswer::unknown("panicked");
            self.log_rejected(id.as_ref(), &answer);
            answer.into_response()
        })
    }

    async fn respond(
        self: Rc<Self>,
        req: Request<Incoming>,
        account: &Account,
    ) -> Response<AnswerBody> {
        let (mut head, body) = req.into_parts();
        redact_keys(&mut head.headers);
        // hyper itself reads over the rest of a small body.
        let has_large_body = body.size_hint().upper().is_none_or(|bytes| bytes > SMALL_REST_BYTES);
        account.set_unread_rest(has_large_body);
        account.enter_reading();
        let admitted = self.admit(&head, body, account).await;
        account.enter_serving();
        let mut response = match admitted {
            Ok(Admission { routed, body, open_request, quota_charge, end_line }) => {
                let account = account.clone();
                let admitted = AdmittedRequest::new(
                    head,
                    routed,
                    body,
                    account,
                    open_request,
                    quota_charge,
                    end_line,
                );
                self.answer(admitted).await
            }
            Err(answer) => {
                let id = self.dialect.read_request_id(&head.headers);
                self.log_rejected(id.as_ref(), &answer);
                answer.into_response()
            }
        };
        if self.drain.get().is_some() || account.has_unread_rest() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// True if this VM is draining and may exit before a request with `spec` would be answered.
    fn exits_before(&self, spec: &RequestSpec) -> bool {
        let Some(drain) = self.drain.get() else { return false };
        let now = self.clock.now();
        !drain.permits_sending(now, self.dispatcher.borrow().longest_duration(now, spec))
    }

    /// Returns once it is too late to send a request with `spec` to a server from this VM. Never
    /// returns unless this VM is draining.
    pub(crate) async fn drain_cutoff(&self, spec: &RequestSpec) {
        if self.drain.get().is_none() {
            self.drain_began.notified().await;
        }
        while !self.exits_before(spec) {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Returns once this VM is about to exit, so that requests without an answer are to get one. Never
    /// returns unless this VM is draining.
    pub(crate) async fn drain_end(&self) {
        loop {
            match self.drain.get().map(|drain| drain.unanswered_time_left(self.clock.now())) {
                None => self.drain_began.notified().await,
                Some(Duration::ZERO) => return,
                Some(left) => sleep(left).await,
            }
        }
    }

    /// Reads the whole request and admits it, or returns the answer that rejects it.
    async fn admit(
        &self,
        head: &Parts,
        body: Incoming,
        account: &Account,
    ) -> Result<Admission, OwnAnswer> {
        let arrived_at = self.clock.now();
        let view = self.view.load_full();
        let routed = RoutedRequest::new(&self.dialect, &view, head, arrived_at)?;
        let caller_limits = routed.catalog.limits();
        let limits = BodyLimits {
            bytes_max: caller_limits.max_body_bytes,
            within: routed.answer_by().saturating_duration_since(arrived_at),
            stall_timeout: caller_limits.idle_timeout,
        };
        let end_line = EndLine::begin(routed.id.clone(), arrived_at, &self.clock, &self.metrics);
        let reading = RequestBody::read(body, limits, account);
        let read = tokio::try_join!(reading, self.charge_quota(&routed));
        // From here on the caller of this function logs a rejection.
        let (body, quota_charge) = read.inspect_err(|_| end_line.mark_end_logged())?;
        account.set_unread_rest(false);
        let seed = self.rng.borrow_mut().u32(..);
        let spec = routed.request_spec(seed).ok_or_else(|| {
            end_line.mark_end_logged();
            OwnAnswer::not_run("no_service", ACCEPT_PAUSE)
        })?;
        let now = self.clock.now();
        if self.drain.get().is_some_and(|drain| !drain.admits(now, routed.answer_by())) {
            end_line.mark_end_logged();
            return Err(OwnAnswer::not_run(Refusal::Leaving.name(), RETRY_ELSEWHERE_AFTER));
        }
        let open_request = OpenRequest::begin(&self.dispatcher, &self.in_flight, spec);
        Ok(Admission { routed, body, open_request, quota_charge, end_line })
    }
}

/// Returns once a connection has to give way. One whose body is being read gets an answer before that.
async fn gave_way(account: &Account) {
    account.evicted().await;
    if account.is_reading() {
        sleep(ANSWER_BEFORE_CLOSE).await;
    }
}
