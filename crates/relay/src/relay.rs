//! The callers' port.

use {
    crate::{
        admitted::Admitted,
        answer_body::AnswerBody,
        caller_connections::CallerConnections,
        dialect::Dialect,
        drain::{Drain, ELSEWHERE},
        end_line::EndLine,
        idle::IdleConnections,
        meters::Meters,
        own_answer::OwnAnswer,
        received::Received,
        starts::Starts,
        traffic_update::OnTrafficUpdate,
        visit::Visit,
        waiting::Waiting,
    },
    arc_swap::ArcSwap,
    bytes::Bytes,
    glade_catalog::DemandReport,
    glade_clock::Clock,
    glade_dispatch::{
        ClusterView, Dispatcher, PromptSent, Refusal, RequestSpec, RetryLimit, ServerLoad,
        StartEvent, StartReply,
    },
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
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
        time::{sleep, timeout},
    },
};

/// Period at which a leaving VM looks at what still waits for a server.
const LAST_CALL_EVERY: Duration = Duration::from_millis(100);

/// Pause after a connection couldn't be accepted, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a relay is given by its process.
pub struct RelayDependencies<'a> {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// What the control thread believes.
    pub view: Arc<ArcSwap<ClusterView>>,
    /// Told what traffic finds out.
    pub on_update: OnTrafficUpdate,
    /// Bound on repeated sends.
    pub repeat_limit: RetryLimit,
    /// For making instruments.
    pub meter: &'a Meter,
    /// Source of chance.
    pub rng: fastrand::Rng,
}

/// Serves callers on one VM. Lives on the traffic thread.
pub struct Relay<D: Dialect> {
    pub(crate) dialect: D,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) view: Arc<ArcSwap<ClusterView>>,
    pub(crate) dispatcher: Rc<RefCell<Dispatcher>>,
    pub(crate) idle: RefCell<IdleConnections>,
    pub(crate) rng: RefCell<fastrand::Rng>,
    pub(crate) waiting: Waiting<D>,
    /// Told when a request begins to count as under way.
    pub(crate) sent: Notify,
    pub(crate) on_update: OnTrafficUpdate,
    pub(crate) starts: Starts,
    pub(crate) meters: Rc<Meters>,
    drain: Cell<Option<Drain>>,
    drain_began: Notify,
    /// Requests that were read and have no complete answer yet.
    pub(crate) under_way: Rc<Cell<usize>>,
    connections: CallerConnections,
}

impl<D: Dialect> fmt::Debug for Relay<D> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").field("dialect", &self.dialect).finish_non_exhaustive()
    }
}

/// A running callers' port.
#[derive(Clone, Debug)]
pub struct RelayHandle<D: Dialect> {
    relay: Rc<Relay<D>>,
}

impl<D: Dialect> RelayHandle<D> {
    /// Takes over what the control thread believes now.
    pub fn apply_view(&self) {
        let view = self.relay.view.load();
        self.relay.dispatcher.borrow_mut().update_view(&view);
        self.relay.idle.borrow_mut().sweep(self.relay.clock.now());
        self.relay.waiting.changed();
    }

    /// What is under way at each server.
    pub fn loads(&self) -> Vec<ServerLoad> {
        self.relay.dispatcher.borrow().loads()
    }

    /// What callers asked for since this was last called.
    pub fn take_demand(&self) -> DemandReport {
        self.relay.dispatcher.borrow_mut().take_demand(self.relay.clock.now())
    }

    /// Waits until prompts were sent, and returns them.
    pub async fn next_prompts(&self) -> Vec<PromptSent> {
        loop {
            let prompts = self.relay.dispatcher.borrow_mut().take_sent_prompts();
            if !prompts.is_empty() {
                return prompts;
            }
            self.relay.sent.notified().await;
        }
    }

    /// Other VMs have sent `prompts`.
    pub fn on_remote_prompts(&self, prompts: &[PromptSent]) {
        let now = self.relay.clock.now();
        self.relay.dispatcher.borrow_mut().record_remote_prompts(now, prompts);
    }

    /// Waits until there is something to tell coordinators of requests, and returns it with where each
    /// hears it; `None` stands for the nearest one.
    pub async fn next_start_events(&self) -> Vec<(Option<SocketAddr>, StartEvent)> {
        self.relay.starts.next_events().await
    }

    /// The coordinator that hears events at `by` has answered.
    pub fn on_start_answers(&self, by: SocketAddr, answers: &[StartReply]) {
        self.relay.starts.on_answers(by, answers);
    }

    /// Puts another bound on repeated sends in force.
    pub fn set_repeat_limit(&self, limit: RetryLimit) {
        self.relay.dispatcher.borrow_mut().set_retry_limit(limit);
    }

    /// Tells callers with each answer to leave. After `grace` the process is killed; requests that
    /// would still be under way by then are sent elsewhere.
    pub fn drain(&self, grace: Duration) {
        self.relay.drain.set(Some(Drain::new(self.relay.clock.now(), grace)));
        self.relay.drain_began.notify_waiters();
    }

    /// Requests that were read and have no complete answer yet.
    pub fn under_way(&self) -> usize {
        self.relay.under_way.get()
    }

    /// Takes no more callers, and closes each connection once its answer has been written out. Returns
    /// when all are closed.
    pub async fn close(&self) {
        self.relay.connections.close().await;
    }
}

impl<D: Dialect> Relay<D> {
    /// Binds the callers' port and serves it on the present thread's local tasks.
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
        let RelayDependencies { clock, view, on_update, repeat_limit, meter, mut rng } =
            dependencies;
        let relay = Rc::new(Self {
            dialect,
            clock,
            view,
            dispatcher: Rc::new(RefCell::new(Dispatcher::new(repeat_limit, rng.u32(..)))),
            idle: RefCell::default(),
            waiting: Waiting::new(),
            sent: Notify::new(),
            on_update,
            starts: Starts::new(rng.u32(..)),
            meters: Rc::new(Meters::new(meter)),
            rng: RefCell::new(rng),
            drain: Cell::new(None),
            drain_began: Notify::new(),
            under_way: Rc::default(),
            connections: CallerConnections::new(),
        });
        tokio::task::spawn_local(Rc::clone(&relay).serve_waiting());
        tokio::task::spawn_local(Rc::clone(&relay).accept(listener));
        Ok(RelayHandle { relay })
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.connections.closing() => return,
            };
            match accepted {
                Ok((stream, _peer)) => {
                    tokio::task::spawn_local(Rc::clone(&self).serve(stream));
                }
                Err(err) => {
                    log::warn!(reason = err.to_string().as_str(); "accept_failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one caller's connection, one request after the other.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        if let Err(err) = stream.set_nodelay(true) {
            log::debug!(reason = err.to_string().as_str(); "caller_gone");
            return;
        }
        let _open = self.connections.begin();
        let limits = self.view.load().catalog.as_ref().map(|catalog| *catalog.limits());
        let limits = limits.unwrap_or_default();
        let service = service_fn(|req| {
            let relay = Rc::clone(&self);
            async move { Ok::<_, Infallible>(relay.respond(req).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // Runs while the connection is idle as well as while a head arrives.
            .header_read_timeout(limits.idle_time + limits.head_time)
            .max_buf_size(limits.head_bytes.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let served = tokio::select! {
            biased;
            served = connection.as_mut() => served,
            () = self.connections.closing() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(err) = served {
            log::debug!(reason = err.to_string().as_str(); "caller_connection_ended");
        }
    }

    async fn respond(self: Rc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        let (head, body) = req.into_parts();
        let mut response = match self.admit(&head, body).await {
            Ok((received, body, visit, end)) => {
                self.answer(Admitted::new(head, received, body, visit, end)).await
            }
            Err(own) => {
                let id = self.dialect.read_request_id(&head.headers);
                self.log_rejected(id.as_ref(), &own);
                own.into_response()
            }
        };
        if self.drain.get().is_some() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// True if this VM is about to end and may do so before `need` would be served.
    fn leaves_before(&self, need: &RequestSpec) -> bool {
        let Some(drain) = self.drain.get() else { return false };
        let now = self.clock.now();
        !drain.takes(now, self.dispatcher.borrow().longest_duration(now, need))
    }

    /// Returns once it is too late for `need` to be sent to a server from here. While this VM isn't
    /// about to end, that is never.
    pub(crate) async fn last_call(&self, need: &RequestSpec) {
        if self.drain.get().is_none() {
            self.drain_began.notified().await;
        }
        while !self.leaves_before(need) {
            sleep(LAST_CALL_EVERY).await;
        }
    }

    /// Reads a request as a whole.
    async fn admit(
        &self,
        head: &Parts,
        body: Incoming,
    ) -> Result<(Received, Bytes, Visit, EndLine), OwnAnswer> {
        let at = self.clock.now();
        let view = self.view.load_full();
        let received = Received::new(&self.dialect, &view, head, at)?;
        let limit = received.catalog.limits().body_bytes;
        let end = EndLine::begin(received.id.clone(), at, &self.clock, &self.meters);
        let body = read_body(body, limit, received.answer_by().saturating_duration_since(at)).await;
        // From here on a rejection is logged as such.
        let body = body.inspect_err(|_| end.written())?;
        let draw = self.rng.borrow_mut().u32(..);
        let need = received.need(draw).ok_or_else(|| {
            end.written();
            OwnAnswer::not_run("no_service", ACCEPT_PAUSE)
        })?;
        if self.leaves_before(&need) {
            end.written();
            return Err(OwnAnswer::not_run(Refusal::Leaving.name(), ELSEWHERE));
        }
        let visit = Visit::begin(&self.dispatcher, &self.under_way, need);
        Ok((received, body, visit, end))
    }
}

/// Reads a request's body of at most `limit` bytes, while there is time for an answer.
async fn read_body(body: Incoming, limit: usize, within: Duration) -> Result<Bytes, OwnAnswer> {
    let Ok(body) = timeout(within, Limited::new(body, limit).collect()).await else {
        return Err(OwnAnswer::rejected(StatusCode::REQUEST_TIMEOUT, "body_late"));
    };
    body.map(|body| body.to_bytes()).map_err(|err| {
        if err.is::<LengthLimitError>() {
            OwnAnswer::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
        } else {
            OwnAnswer::rejected(StatusCode::BAD_REQUEST, "body_broken")
        }
    })
}
