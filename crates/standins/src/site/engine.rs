//! Backend servers: model engines that stream events, and plain servers.

use {
    crate::site::{
        earlier_answer::{EarlierAnswer, RawWriter, RepeatedAt},
        engine_fault::EngineFault,
        http::{Body, Handled, broken, listen, pieces, serve, whole},
        run_log::{Run, RunLog, SeenTeam},
        store::SiteStore,
        work::Work,
    },
    bytes::Bytes,
    glade_adapter::{
        engine::{decode_order, encode_order_answer, encode_report},
        platform_dialect::{PlatformDialect, stand_in},
        registry, reservation,
    },
    glade_catalog::{
        EngineReport, OrderAnswer, OrderKind, RequestMetadata, Residence, ServerKey, ServerRecord,
        ServerState, base_model_of, is_adapter,
    },
    glade_limit::StatedLimit,
    glade_relay::{AnswerMetadata, Dialect},
    glade_types::{BackendId, DataCentre, ModelName, ServiceName, SoftwareVersion},
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::Incoming,
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        future::pending,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        sync::mpsc::{Sender, channel},
        task::JoinHandle,
        time::sleep,
    },
};

/// Path of orders.
const ORDER_PATH: &str = "/order";
/// Time after a request was read when its answer has been written, as a rule.
const IDLE_AFTER: Duration = Duration::from_millis(400);
/// Time to load a model.
const LOAD_TIME: Duration = Duration::from_millis(60);
/// Pause between the bytes of a stream that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(40);
/// Time for which an engine sends nothing, longer than a node waits before it asks another.
const LONG_PAUSE: Duration = Duration::from_millis(1_800);
/// Time for which a server that a request has crashed doesn't listen.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Pause between attempts to listen again.
const LISTEN_RETRY: Duration = Duration::from_millis(20);
/// Events under way to a caller.
const EVENTS_IN_HAND: usize = 4;
/// Tokens of an event.
const TOKENS_PER_EVENT: u64 = 5;

/// Software version that servers have unless a test says otherwise, and what it writes.
pub const FIRST_VERSION: &str = "v1";
pub(crate) const FIRST_VERSION_WORD: &str = "token";

/// What a server is.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Its name.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Base models that it holds at its start; none for a plain server.
    pub models: Vec<String>,
    /// Whether it runs models.
    pub is_engine: bool,
    /// Least number of events of a stream; more if its caller asks for more tokens.
    pub events: u64,
    /// Pause between events, and before a whole answer.
    pub pause: Duration,
}

#[derive(Debug)]
struct State {
    record: ServerRecord,
    /// Version that it runs from its next start on.
    next_version: SoftwareVersion,
    bases: BTreeMap<ModelName, Vec<ModelName>>,
    loading: bool,
    orders_accepted: u64,
    fence: u64,
    fault: EngineFault,
    /// Its answers say that it leaves.
    says_leaving: bool,
    /// Requests that it has rejected.
    rejections: u64,
    /// Places that it keeps.
    reservations: BTreeSet<String>,
    reservations_made: u64,
    /// Least length of a whole answer.
    answer_bytes: usize,
    /// What its answers state as its limit, a value a line.
    limit_text: Option<String>,
    /// When an answer first stated that.
    limit_stated_at: Option<Instant>,
    /// Part of a prompt on which it crashes as it begins to answer, unless the part is the last.
    crash_part: Option<u64>,
    /// Body of the requests on which it crashes as it begins to answer.
    crash_body: Option<String>,
    /// Times that a request has crashed it.
    crashes: u64,
    /// It has crashed and hasn't started again.
    is_down: bool,
    /// Serves its connections while it runs.
    task: Option<JoinHandle<()>>,
    /// It has ended for good.
    ended: bool,
    /// Where it listens, which may not be what the registry says.
    addr: SocketAddr,
}

#[derive(Debug)]
struct Shared {
    spec: ServerSpec,
    store: SiteStore,
    log: RunLog,
    state: Mutex<State>,
}

/// A running backend server. Dropping it is a crash: its connections break, its entry stays.
#[derive(Debug)]
pub struct SiteServer {
    shared: Arc<Shared>,
}

impl Drop for SiteServer {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.ended = true;
        state.task.take().into_iter().for_each(|task| task.abort());
    }
}

impl SiteServer {
    /// Starts a server on a free port and registers it.
    pub async fn spawn(spec: ServerSpec, store: &SiteStore, log: &RunLog) -> Self {
        let listener = listen(([127, 0, 0, 1], 0).into()).await;
        let addr = listener.local_addr().expect("a bound socket has an address");
        let bases: BTreeMap<ModelName, Vec<ModelName>> =
            spec.models.iter().map(|name| (ModelName::new(name), Vec::new())).collect();
        let record = ServerRecord {
            key: ServerKey { id: BackendId::new(&spec.id), start_time_ms: 1_000 },
            service: ServiceName::new(&spec.service),
            addr,
            data_centre: DataCentre::new("dc-1"),
            version: SoftwareVersion::new(&spec.version),
            slots: 16,
            state: ServerState::Ready,
            warm_up_remaining: Duration::ZERO,
            residents: Vec::new(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        };
        let state = State {
            next_version: record.version.clone(),
            record,
            bases,
            loading: false,
            orders_accepted: 0,
            fence: 0,
            fault: EngineFault::None,
            says_leaving: false,
            rejections: 0,
            reservations: BTreeSet::new(),
            reservations_made: 0,
            answer_bytes: 0,
            limit_text: None,
            limit_stated_at: None,
            crash_part: None,
            crash_body: None,
            crashes: 0,
            is_down: false,
            task: None,
            ended: false,
            addr,
        };
        let shared = Arc::new(Shared {
            spec,
            store: store.clone(),
            log: log.clone(),
            state: Mutex::new(state),
        });
        shared.register();
        shared.serve_on(listener);
        Self { shared }
    }

    /// Has the server crash on each request whose prompt holds `part` before its last part.
    pub fn crash_on(&self, part: Option<u64>) {
        self.shared.lock().crash_part = part;
    }

    /// States a limit in all answers to requests, as the lines of `text`; none if that is `None`.
    pub fn state_limit(&self, text: Option<&str>) {
        let mut state = self.shared.lock();
        state.limit_text = text.map(str::to_owned);
        state.limit_stated_at = None;
    }

    /// When an answer first stated the present limit.
    pub fn limit_stated_at(&self) -> Option<Instant> {
        self.shared.lock().limit_stated_at
    }

    /// Has the server crash on each request with `body`.
    pub fn crash_on_body(&self, body: Option<&str>) {
        self.shared.lock().crash_body = body.map(str::to_owned);
    }

    /// Times that a request has crashed the server.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().crashes
    }

    /// Ends the process of the server, which starts again after a while, whatever it runs.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Tells its runs apart: the time at which the present one began.
    pub fn run(&self) -> u64 {
        self.shared.lock().record.key.start_time_ms
    }

    /// Its name.
    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.shared.lock().record.addr
    }

    /// Names another address in the registry, of something that passes connections on.
    pub fn advertise(&self, addr: SocketAddr) {
        self.shared.lock().record.addr = addr;
        self.shared.register();
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: EngineFault) {
        self.shared.lock().fault = fault;
    }

    /// Makes whole answers at least this long.
    pub fn set_answer_bytes(&self, bytes: usize) {
        self.shared.lock().answer_bytes = bytes;
    }

    /// Says in the registry that it leaves.
    pub fn leave(&self) {
        self.shared.lock().record.state = ServerState::Leaving { remaining: None };
        self.shared.register();
    }

    /// Says in its answers, and nowhere else, that it leaves.
    pub fn leave_in_answers(&self) {
        self.shared.lock().says_leaving = true;
    }

    /// Requests that it has rejected.
    pub fn rejections(&self) -> u64 {
        self.shared.lock().rejections
    }

    /// Has it run another version of its software from its next start on, after which it holds no models.
    pub fn set_version(&self, version: &str) {
        self.shared.lock().next_version = SoftwareVersion::new(version);
    }

    /// Version of its software.
    pub fn version(&self) -> String {
        self.shared.lock().record.version.to_string()
    }

    /// Begins another life under the same name and at the same address, with nothing of before.
    pub fn begin_anew(&self) {
        {
            let mut state = self.shared.lock();
            state.record.version = state.next_version.clone();
            state.record.key.start_time_ms += 1;
            state.record.state = ServerState::Ready;
            state.says_leaving = false;
            state.orders_accepted = 0;
            state.fence = 0;
        }
        self.shared.register();
    }

    /// Writes its entry again.
    pub fn register(&self) {
        self.shared.register();
    }

    /// Removes its entry.
    pub fn unregister(&self) {
        self.shared.store.delete(&format!("{}/{}", registry::TABLE, self.shared.spec.id));
    }

    /// Ends it for good: its connections break, and its entry is removed.
    pub fn end(self) {
        self.unregister();
        self.shared.log.crash(&self.shared.spec.id);
    }

    /// Models and adapters that it holds.
    pub fn holds(&self) -> Vec<String> {
        let state = self.shared.lock();
        let all =
            state.bases.iter().flat_map(|(base, adapters)| std::iter::once(base).chain(adapters));
        all.map(ModelName::to_string).collect()
    }

    /// Highest fencing token of its orders.
    pub fn fence(&self) -> u64 {
        self.shared.lock().fence
    }
}

impl State {
    fn residents(&self) -> Vec<Residence> {
        let residence = |(model, adapters): (&ModelName, &Vec<ModelName>)| Residence {
            model: model.clone(),
            adapters: adapters.clone(),
        };
        self.bases.iter().map(residence).collect()
    }

    fn holds(&self, name: &ModelName) -> bool {
        self.bases.iter().any(|(base, adapters)| base == name || adapters.contains(name))
    }
}

impl Shared {
    fn serve_on(self: &Arc<Self>, listener: TcpListener) {
        let served = Arc::clone(self);
        let task = serve(listener, move |req| handle(Arc::clone(&served), req));
        self.lock().task = Some(task);
    }

    fn see_team(&self, request_id: &str, headers: &HeaderMap) {
        self.log.see_team(SeenTeam {
            request_id: request_id.to_owned(),
            teams: stand_in::read_teams(headers),
            has_key: headers.contains_key(AUTHORIZATION),
            at: Instant::now(),
        });
    }

    /// True if a request with `terms` and `body` crashes the server.
    fn crashes_on(&self, terms: &RequestMetadata, body: &[u8]) -> bool {
        let shared_parts = terms.prompt_parts.iter().rev().skip(1);
        let state = self.lock();
        if state.crash_body.as_ref().is_some_and(|crashing| crashing.as_bytes() == body) {
            return true;
        }
        state.crash_part.is_some_and(|part| shared_parts.into_iter().any(|at| at.hash == part))
    }

    /// Breaks all connections, and starts again after a while, with the models of its first start.
    fn crash(self: &Arc<Self>) {
        let addr = {
            let mut state = self.lock();
            let Some(task) = state.task.take() else { return };
            task.abort();
            state.crashes += 1;
            state.is_down = true;
            state.fence = 0;
            state.addr
        };
        self.log.crash(&self.spec.id);
        tokio::spawn(Arc::clone(self).start_again(addr));
    }

    async fn start_again(self: Arc<Self>, addr: SocketAddr) {
        sleep(RESTART_TIME).await;
        let listener = loop {
            match TcpListener::bind(addr).await {
                Ok(listener) => break listener,
                Err(_) => sleep(LISTEN_RETRY).await,
            }
        };
        {
            let mut state = self.lock();
            if state.ended {
                return;
            }
            state.record.key.start_time_ms += 1;
            let is_upgraded = state.record.version != state.next_version;
            state.record.version = state.next_version.clone();
            state.is_down = false;
            state.orders_accepted = 0;
            state.fence = 0;
            state.loading = false;
            let models = self.spec.models.iter().filter(|_| !is_upgraded);
            state.bases = models.map(|name| (ModelName::new(name), Vec::new())).collect();
        }
        self.register();
        self.serve_on(listener);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the server's entry.
    fn register(&self) {
        let (key, value) = {
            let mut state = self.lock();
            state.record.residents = state.residents();
            (format!("{}/{}", registry::TABLE, self.spec.id), registry::encode(&state.record))
        };
        self.store.put(&key, value);
    }

    /// Marks of an answer to the request called `id`.
    fn marks(&self, id: &str, signed: bool) -> AnswerMetadata {
        AnswerMetadata {
            request_id: Some(glade_types::RequestId::new(id)),
            server: Some(BackendId::new(&self.spec.id)),
            not_run: !signed,
            signed,
            leaving: self.lock().says_leaving,
            backoff: None,
            rate_limit: StatedLimit::None,
        }
    }

    /// An answer to a call that isn't a caller's request.
    fn own(&self, mut response: Response<Body>) -> Response<Body> {
        let marks =
            AnswerMetadata { leaving: self.lock().says_leaving, ..AnswerMetadata::default() };
        stand_in::write_answer_metadata(response.headers_mut(), &marks);
        response
    }

    fn answer(&self, status: StatusCode, marks: &AnswerMetadata, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        stand_in::write_answer_metadata(response.headers_mut(), marks);
        let mut state = self.lock();
        if let Some(text) = &state.limit_text {
            stand_in::write_limit_text(response.headers_mut(), text);
            state.limit_stated_at.get_or_insert_with(Instant::now);
        }
        drop(state);
        response
    }

    /// Takes an order.
    fn order(self: &Arc<Self>, body: &[u8]) -> OrderAnswer {
        let Ok(order) = decode_order(body) else { return OrderAnswer::Refused };
        let mut state = self.lock();
        if order.fence < state.fence {
            return OrderAnswer::Fenced;
        }
        state.fence = order.fence;
        if state.loading || order.expected_orders != state.orders_accepted {
            return OrderAnswer::Conflict;
        }
        state.orders_accepted += 1;
        let base =
            is_adapter(&order.subject).then(|| ModelName::new(base_model_of(&order.subject)));
        match (order.kind, base) {
            (OrderKind::Load, Some(base)) => {
                state.bases.entry(base).or_default().push(order.subject);
            }
            (OrderKind::Unload, Some(base)) => {
                state.bases.entry(base).or_default().retain(|held| *held != order.subject);
            }
            (OrderKind::Unload, None) => {
                state.bases.remove(&order.subject);
                drop(state);
                self.register();
            }
            (OrderKind::Load, None) => {
                state.loading = true;
                let shared = Arc::clone(self);
                tokio::spawn(async move {
                    sleep(LOAD_TIME).await;
                    {
                        let mut state = shared.lock();
                        state.loading = false;
                        state.bases.insert(order.subject, Vec::new());
                    }
                    shared.register();
                });
            }
        }
        OrderAnswer::Accepted
    }

    /// Keeps a place, unless the server rejects requests or says nothing.
    async fn reserve(&self) -> Response<Body> {
        let fault = self.lock().fault;
        match fault {
            EngineFault::Hangs => return pending().await,
            EngineFault::Rejects
            | EngineFault::RejectsUnnamed
            | EngineFault::RejectsAfter(_)
            | EngineFault::Closed(_) => {
                return whole(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
            }
            EngineFault::ReservesAfter(time) => sleep(time).await,
            _ => {}
        }
        let name = {
            let mut state = self.lock();
            state.says_leaving |= state.fault == EngineFault::LeavesWhenAsked;
            state.reservations_made += 1;
            let name = format!("{}-{}", self.spec.id, state.reservations_made);
            state.reservations.insert(name.clone());
            name
        };
        self.log.keep_place(&name, &self.spec.id);
        whole(StatusCode::OK, reservation::encode_answer(&name))
    }

    /// Writes an earlier answer once more if the server's fault is that.
    fn repeat_answer(&self, writer: &RawWriter, path: &str) -> io::Result<()> {
        let answer = match self.lock().fault {
            EngineFault::RepeatsAnswer(answer) if path != ORDER_PATH => answer,
            EngineFault::RepeatsOrderAnswer(answer) if path == ORDER_PATH => answer,
            EngineFault::RepeatsPlaceAnswer(answer) if path == reservation::PATH => answer,
            _ => return Ok(()),
        };
        match answer.at {
            RepeatedAt::NextRequest if writer.is_kept() => writer.write(answer)?,
            RepeatedAt::NextRequest => {}
            RepeatedAt::Idle => {
                tokio::spawn(repeat_when_idle(writer.clone(), answer));
            }
        }
        Ok(())
    }

    fn report(&self) -> EngineReport {
        let state = self.lock();
        EngineReport {
            start_time_ms: state.record.key.start_time_ms,
            orders_accepted: state.orders_accepted,
            order_in_flight: state.loading,
            residents: state.residents(),
            ..EngineReport::default()
        }
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Handled {
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| broken())?.to_bytes();
    if shared.lock().is_down {
        return Err(broken());
    }
    if let Some(writer) = head.extensions.get::<RawWriter>() {
        shared.repeat_answer(writer, head.uri.path())?;
    }
    match head.uri.path() {
        "/report" => Ok(shared.own(whole(StatusCode::OK, encode_report(&shared.report())))),
        ORDER_PATH => Ok(shared.own(whole(encode_order_answer(shared.order(&body)), Vec::new()))),
        reservation::PATH => {
            shared.see_team("", &head.headers);
            Ok(shared.own(shared.reserve().await))
        }
        _ => run(shared, &head.headers, &body).await,
    }
}

/// Writes `answer` unless the connection carries another request by then.
async fn repeat_when_idle(writer: RawWriter, answer: EarlierAnswer) {
    let requests = writer.requests();
    sleep(IDLE_AFTER).await;
    if writer.requests() == requests {
        // The other side may have closed the connection.
        let _ = writer.write(answer);
    }
}

/// Runs a caller's request.
async fn run(shared: Arc<Shared>, headers: &HeaderMap, body: &[u8]) -> Handled {
    let terms = PlatformDialect.read_caller_terms(headers).unwrap_or_default();
    let id = terms.request_id.as_ref().map_or("", |id| id.as_str()).to_owned();
    shared.see_team(&id, headers);
    let (expected, _time_left) = stand_in::read_server_and_time_left(headers);
    let misdirected = expected.is_some_and(|expected| expected != shared.spec.id);
    let reserved = stand_in::read_reservation_name(headers);
    let (held, fault, has_place) = {
        let mut state = shared.lock();
        let held = terms.model.as_ref().is_none_or(|model| state.holds(model));
        let has_place = reserved.as_ref().is_none_or(|name| state.reservations.remove(name));
        (held, state.fault, has_place)
    };
    reserved.iter().for_each(|name| shared.log.claim_place(name));
    let empty = || whole(StatusCode::OK, Vec::new()).into_body();
    if misdirected || !held {
        shared.log.reject(&id, &shared.spec.id);
        let marks = shared.marks(&id, false);
        return Ok(shared.answer(StatusCode::MISDIRECTED_REQUEST, &marks, empty()));
    }
    let lost_place = (!has_place).then_some(Duration::ZERO);
    if let Some(time) = fault.rejects_after(reserved.is_some()).or(lost_place) {
        shared.log.reject(&id, &shared.spec.id);
        sleep(time).await;
        shared.lock().rejections += 1;
        let backoff = match fault {
            EngineFault::Closed(time) => Some(time),
            _ => None,
        };
        let mut marks = AnswerMetadata { backoff, ..shared.marks(&id, false) };
        marks.request_id.take_if(|_| fault == EngineFault::RejectsUnnamed);
        return Ok(shared.answer(StatusCode::SERVICE_UNAVAILABLE, &marks, empty()));
    }
    // Before the log shows the run: it doesn't say what the server begins to say afterwards.
    let marks = shared.marks(&id, true);
    let work = shared.log.begin(Run {
        request_id: id.clone(),
        server: shared.spec.id.clone(),
        version: shared.lock().record.version.to_string(),
        resumes: terms.resumes.as_ref().map(ToString::to_string),
        resumed_after: terms.last_event_id,
        reserved: reserved.is_some(),
        fault,
        ended: false,
        left: false,
        stopped: false,
        overlaps: false,
    });
    if shared.crashes_on(&terms, body) {
        shared.crash();
        return Err(broken());
    }
    if shared.lock().is_down {
        // It has crashed since the request was read.
        shared.log.crash(&shared.spec.id);
        return Err(broken());
    }
    match fault {
        EngineFault::Hangs => return pending().await,
        EngineFault::FailsAs(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            return Ok(shared.answer(status, &shared.marks(&id, true), empty()));
        }
        EngineFault::Fails | EngineFault::FailsAfter(_) => {
            if let EngineFault::FailsAfter(time) = fault {
                sleep(time).await;
            }
            let marks = shared.marks(&id, true);
            return Ok(shared.answer(StatusCode::INTERNAL_SERVER_ERROR, &marks, empty()));
        }
        EngineFault::Crosses => {
            let marks = shared.marks("another-request", true);
            return Ok(shared.answer(StatusCode::OK, &marks, empty()));
        }
        EngineFault::None
        | EngineFault::BreaksAfter(_)
        | EngineFault::SpoilsResumed { .. }
        | EngineFault::SendsInstead(_)
        | EngineFault::PausesAfter(_)
        | EngineFault::TricklesAfter(_)
        | EngineFault::Rejects
        | EngineFault::RejectsUnnamed
        | EngineFault::RejectsAfter(_)
        | EngineFault::RejectsReserved
        | EngineFault::RejectsReservedAfter(_)
        | EngineFault::ReservesAfter(_)
        | EngineFault::LeavesWhenAsked
        | EngineFault::Closed(_)
        | EngineFault::Crashes
        | EngineFault::RepeatsAnswer(_)
        | EngineFault::RepeatsOrderAnswer(_)
        | EngineFault::RepeatsPlaceAnswer(_) => {}
    }
    if shared.spec.is_engine {
        let (sender, receiver) = channel(EVENTS_IN_HAND);
        tokio::spawn(stream(Arc::clone(&shared), terms, fault, work, sender));
        let mut response = shared.answer(StatusCode::OK, &marks, pieces(receiver));
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, events);
        return Ok(response);
    }
    sleep(shared.spec.pause).await;
    if matches!(fault, EngineFault::PausesAfter(_)) {
        sleep(LONG_PAUSE).await;
    }
    if matches!(fault, EngineFault::BreaksAfter(_)) {
        return Err(broken());
    }
    work.end();
    let text = format!("answer of {} to {id}", shared.spec.id);
    let padding = " ".repeat(shared.lock().answer_bytes.saturating_sub(text.len()));
    let body = (padding + &text).into_bytes();
    Ok(shared.answer(StatusCode::OK, &marks, whole(StatusCode::OK, body).into_body()))
}

/// Sends single bytes until the caller leaves.
async fn trickle(sender: &Sender<io::Result<Bytes>>) {
    while sender.send(Ok(Bytes::from_static(b":"))).await.is_ok() {
        sleep(TRICKLE_PAUSE).await;
    }
}

/// Works on a stream until its end, or until its caller leaves.
async fn stream(
    shared: Arc<Shared>,
    terms: RequestMetadata,
    fault: EngineFault,
    work: Work,
    sender: Sender<io::Result<Bytes>>,
) {
    tokio::select! {
        biased;
        () = sender.closed() => work.leave(),
        is_whole = events(&shared, &terms, fault, &sender) => {
            if is_whole {
                work.end();
            }
        }
    }
}

/// Sends the events of a run, from the one after the last that its caller had. True if all were sent.
async fn events(
    shared: &Shared,
    terms: &RequestMetadata,
    fault: EngineFault,
    sender: &Sender<io::Result<Bytes>>,
) -> bool {
    let first = terms.last_event_id.map_or(1, |last| last + 1);
    if let Some(text) = text_in_place_of_events(fault, terms) {
        // The caller may have left.
        let _ = sender.send(Ok(Bytes::from_static(text.as_bytes()))).await;
        return false;
    }
    let version = shared.lock().record.version.clone();
    let last = shared.spec.events.max(u64::from(terms.output_tokens_max) / TOKENS_PER_EVENT);
    for (sent, id) in (first..=last).enumerate() {
        if breaks_after(fault) == Some(sent as u64) {
            break_off(shared, sender).await;
            return false;
        }
        if fault == EngineFault::PausesAfter(sent as u64) {
            sleep(LONG_PAUSE).await;
        }
        if fault == EngineFault::TricklesAfter(sent as u64) {
            trickle(sender).await;
            return false;
        }
        sleep(shared.spec.pause).await;
        let event = event_text(id, version.as_str());
        if sender.send(Ok(Bytes::from(event))).await.is_err() {
            return false;
        }
    }
    if breaks_after(fault) == Some(shared.spec.events) {
        break_off(shared, sender).await;
        return false;
    }
    true
}

/// The event `id` of a stream of a server that runs `version` of its software. Each version writes
/// other words.
pub fn event_text(id: u64, version: &str) -> String {
    let word = if version == FIRST_VERSION { FIRST_VERSION_WORD } else { version };
    format!("id: {id}\ndata: {word}-{id}\n\n")
}

/// Breaks the connection once the events before have left.
async fn break_off(shared: &Shared, sender: &Sender<io::Result<Bytes>>) {
    sleep(shared.spec.pause).await;
    // The caller may have left.
    let _ = sender.send(Err(broken())).await;
}

/// Events of a stream after which a server with `fault` breaks off.
fn breaks_after(fault: EngineFault) -> Option<u64> {
    match fault {
        EngineFault::BreaksAfter(events) | EngineFault::SpoilsResumed { events, .. } => {
            Some(events)
        }
        _ => None,
    }
}

/// What a server with `fault` sends in place of the events that `terms` ask for.
fn text_in_place_of_events(fault: EngineFault, terms: &RequestMetadata) -> Option<&'static str> {
    match fault {
        EngineFault::SendsInstead(text) => Some(text),
        EngineFault::SpoilsResumed { text, .. } => terms.last_event_id.map(|_| text),
        _ => None,
    }
}
