//! Calls to plain services.
//!
//! A call that may be repeated is retried like any idempotent work. A call that may not is sent
//! once, on a connection opened for it; under a key it also remembers its outcome, either in the
//! table service (the caller's own key) or in this VM's memory (a token that this VM issued).

use {
    crate::{
        api_error::ApiError,
        burn::Sample,
        proxy::{ANSWER_BYTES_MAX, Head, Upstream, is_crossed, passed_on},
        request::{call_key, read_body, request_id},
        shared::{Counts, Serving, Shared},
    },
    futures_util::{StreamExt, TryStreamExt},
    glade_http::{BodyExt, HttpError, Method},
    glade_once::{
        CallReply, CallStep, KeyedCall, Owner, StoredAnswer, Token, TokenDecision, call_row_key,
    },
    glade_platform::{TableService, Txn, TxnAnswer},
    glade_routing::{Permit, ServiceEntry, pick_service},
    glade_table::{Row, RowKind},
    glade_types::{CallOutcome, IdempotencyKey, ModelName, RequestId, stable_hash},
    glade_wire::Role,
    poem::{Body, Request, Response, http::StatusCode},
    std::{
        io,
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Path under which plain services are reached.
pub(crate) const SERVICES_PATH: &str = "/services/";
/// Attempts at an idempotent call, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Longest wait for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest answer that is remembered for repetitions.
const MAX_STORED_BYTES: usize = 64 << 10;
/// Times that the record of an outcome is written.
const RECORD_ATTEMPTS: u32 = 20;
/// Longest wait of the caller for that record.
const RECORD_WAIT: Duration = Duration::from_millis(300);
/// Pause between two of these.
const RECORD_PAUSE: Duration = Duration::from_secs(3);
/// Advice when not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long an abandoned attempt is remembered.
const ABANDONED_TTL: Duration = Duration::from_secs(3600);

/// A checked call.
#[derive(Clone, Debug)]
struct Call {
    id: RequestId,
    row: Row,
    method: Method,
    path: String,
    content_type: Option<String>,
    body: bytes::Bytes,
}

impl Call {
    /// Identifies the request under its key: a key may not be used for two different ones.
    fn hash(&self) -> u64 {
        let mut text = format!("{} {}\n", self.method, self.path).into_bytes();
        text.extend_from_slice(&self.body);
        stable_hash(&text)
    }

    /// Reads may always be repeated, whatever the row says.
    fn may_be_repeated(&self) -> bool {
        self.row.idempotent || self.method.is_safe()
    }

    fn upstream(&self, server: &ServiceEntry) -> Upstream<'_> {
        Upstream {
            addr: server.addr,
            method: self.method.clone(),
            path: &self.path,
            id: &self.id,
            priority: None,
            content_type: self.content_type.as_deref(),
            last_event: None,
            body: self.body.clone(),
        }
    }
}

/// Serves one call.
pub(crate) async fn serve(shared: &Arc<Shared>, serving: Serving, req: Request) -> Response {
    match run(shared, serving, req).await {
        Ok(response) => response,
        Err(err) => err.to_response(),
    }
}

async fn run(
    shared: &Arc<Shared>,
    serving: Serving,
    mut req: Request,
) -> Result<Response, ApiError> {
    let key = call_key(req.headers())?.map(str::to_owned);
    let body = read_body(shared, &mut req).await?;
    let call = parse(shared, &req, body)?;
    let permit = admit(shared, &call)?;
    let started_at = shared.now();
    let result = match key {
        _ if call.may_be_repeated() => repeatable(shared, &call, (serving, permit)).await,
        None => once(shared, &call).await.into_response(shared, &call),
        Some(key) => match Token::parse(&key) {
            Some(token) => with_token(shared, &call, &token).await,
            None => with_key(shared, &call, &key).await,
        },
    };
    let sample = Sample {
        first_token_met: result.is_ok()
            && shared.now() - started_at <= call.row.targets.first_token,
        gaps_met: true,
        refused: matches!(&result, Err(ApiError::NotRun { .. })),
    };
    shared.burn.record(shared.now(), &call.row.name, sample);
    result
}

fn parse(shared: &Shared, req: &Request, body: bytes::Bytes) -> Result<Call, ApiError> {
    let rest = req.uri().path().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let routes = shared.routes.load();
    let row = routes.table.row(name).filter(|row| row.kind == RowKind::Service);
    let row = row.ok_or_else(|| ApiError::UnknownModel { model: name.to_owned() })?;
    let query = req.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let content_type = req.headers().get("content-type").and_then(|value| value.to_str().ok());
    Ok(Call {
        id: request_id(shared),
        row: row.clone(),
        method: req.method().clone(),
        path: format!("/{path}{query}"),
        content_type: content_type.map(str::to_owned),
        body,
    })
}

fn admit(shared: &Arc<Shared>, call: &Call) -> Result<Permit, ApiError> {
    let routes = shared.routes.load();
    if !routes.accepts_work {
        return Err(not_run("this VM is cut off from the others"));
    }
    let Some(limiter) = routes.limiters.get(&call.row.name) else {
        return Err(ApiError::UnknownModel { model: call.row.name.to_string() });
    };
    limiter.admit(shared.uptime()).map_err(|retry_after| ApiError::RateLimited { retry_after })
}

fn not_run(reason: &str) -> ApiError {
    ApiError::NotRun { message: format!("{reason}; not run"), retry_after: RETRY_AFTER }
}

fn pick(shared: &Shared, name: &ModelName, avoid: Option<&ServiceEntry>) -> Option<ServiceEntry> {
    let mut rng = fastrand::Rng::new();
    pick_service(&shared.routes.load(), name, avoid, shared.uptime(), &mut rng).cloned()
}

/// A call that may be repeated: tried at several servers, its answer streamed through.
async fn repeatable(
    shared: &Arc<Shared>,
    call: &Call,
    holding: (Serving, Permit),
) -> Result<Response, ApiError> {
    shared.retries.earn();
    let mut avoid: Option<ServiceEntry> = None;
    let mut last = not_run("no server of this service is live");
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            if !shared.retries.spend() {
                break;
            }
            Counts::add(&shared.counts.retries);
        }
        let name = &call.row.name;
        let server = pick(shared, name, avoid.as_ref()).or_else(|| pick(shared, name, None));
        let Some(server) = server else { break };
        let _under_way = server.counters.begin_request();
        match call.upstream(&server).send(shared, false, HEAD_TIMEOUT).await {
            Ok(head) if is_crossed(&head.response, &call.id) => {
                Counts::add(&shared.counts.crossed);
                server.counters.record_failure(shared.uptime());
                last = ApiError::Failed { message: "the server mixed up answers".to_owned() };
            }
            Ok(head) if head.response.status().is_server_error() => {
                server.counters.record_failure(shared.uptime());
                let status = head.response.status();
                last = ApiError::Failed { message: format!("the server answered {status}") };
            }
            Ok(head) => {
                server.counters.record_success();
                return Ok(stream_through(head, holding));
            }
            Err(err) => {
                server.counters.record_failure(shared.uptime());
                last = ApiError::Failed { message: err.to_string() };
            }
        }
        avoid = Some(server);
    }
    Err(last)
}

/// Passes an answer on as it comes. A cut body ends the caller's connection without its end mark.
fn stream_through(head: Head, holding: (Serving, Permit)) -> Response {
    let (parts, body) = head.response.into_parts();
    let mut response = Response::builder().status(parts.status);
    for (name, value) in parts.headers.iter().filter(|(name, value)| passed_on(name, value)) {
        response = response.header(name.clone(), value.clone());
    }
    let connection = head.connection;
    let frames = body.into_data_stream().map_err(io::Error::other).map(move |frame| {
        // The accounts and the connection are kept for as long as the body is read.
        let _ = (&holding, &connection);
        frame
    });
    response.body(Body::from_bytes_stream(frames))
}

/// What became of the one dispatch of a call.
#[derive(Debug)]
enum Dispatched {
    Answered(StoredAnswer),
    NotRun(String),
    Unknown(String),
}

impl Dispatched {
    fn outcome(&self) -> CallOutcome {
        match self {
            Self::Answered(_) => CallOutcome::Answered,
            Self::NotRun(_) => CallOutcome::NotRun,
            Self::Unknown(_) => CallOutcome::Unknown,
        }
    }

    fn stored(&self) -> Option<StoredAnswer> {
        match self {
            Self::Answered(answer) if answer.body.len() <= MAX_STORED_BYTES => Some(answer.clone()),
            _ => None,
        }
    }

    fn into_response(self, shared: &Shared, call: &Call) -> Result<Response, ApiError> {
        match self {
            Self::Answered(answer) => Ok(answer_response(&answer, &call.id, false)),
            Self::NotRun(reason) => Err(not_run(&reason)),
            Self::Unknown(reason) => {
                Counts::add(&shared.counts.broken);
                let message = format!("{reason}; it may have run and will not be run again");
                Err(ApiError::Unknown { message })
            }
        }
    }
}

fn answer_response(answer: &StoredAnswer, id: &RequestId, repeated: bool) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Response::builder()
        .status(status)
        .content_type(answer.content_type.as_deref().unwrap_or("application/octet-stream"))
        .header("x-request-id", id.as_str())
        .header("idempotent-replayed", if repeated { "true" } else { "false" })
        .body(answer.body.clone())
}

/// Sends the call once, on a connection opened just now. Only a failure before the first byte
/// counts as not run; then another server may be tried.
async fn once(shared: &Arc<Shared>, call: &Call) -> Dispatched {
    let mut avoid: Option<ServiceEntry> = None;
    let mut reason = "no server of this service is live".to_owned();
    for _ in 0..MAX_ATTEMPTS {
        let Some(server) = pick(shared, &call.row.name, avoid.as_ref()) else { break };
        let _under_way = server.counters.begin_request();
        match call.upstream(&server).send(shared, true, HEAD_TIMEOUT).await {
            Ok(head) if is_crossed(&head.response, &call.id) => {
                server.counters.record_failure(shared.uptime());
                Counts::add(&shared.counts.crossed);
                return Dispatched::Unknown("the server mixed up answers".to_owned());
            }
            Ok(head) => return gather(shared, &server, head).await,
            Err(err @ (HttpError::NotConnected { .. } | HttpError::Refused { .. })) => {
                server.counters.record_failure(shared.uptime());
                reason = err.to_string();
            }
            Err(err) => {
                server.counters.record_failure(shared.uptime());
                return Dispatched::Unknown(err.to_string());
            }
        }
        avoid = Some(server);
    }
    Dispatched::NotRun(reason)
}

async fn gather(shared: &Shared, server: &ServiceEntry, head: Head) -> Dispatched {
    let reading = glade_http::read_body(server.addr, head.response, ANSWER_BYTES_MAX);
    match timeout(HEAD_TIMEOUT, reading).await {
        Ok(Ok(answer)) => {
            let content_type = answer.headers.get("content-type");
            server.counters.record_success();
            Dispatched::Answered(StoredAnswer {
                status: answer.status.as_u16(),
                content_type: content_type.and_then(|value| value.to_str().ok()).map(str::to_owned),
                body: answer.body.to_vec(),
            })
        }
        Ok(Err(_)) | Err(_) => {
            server.counters.record_failure(shared.uptime());
            Dispatched::Unknown("the answer was cut".to_owned())
        }
    }
}

/// A call under a token of this or another VM.
async fn with_token(
    shared: &Arc<Shared>,
    call: &Call,
    token: &Token,
) -> Result<Response, ApiError> {
    Counts::add(&shared.counts.token_calls);
    let hash = call.hash();
    let verdict = {
        let mut tokens = shared.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        tokens.redeem(shared.now(), token, hash)
    };
    match verdict {
        TokenDecision::Dispatch => {}
        TokenDecision::Replayed(answer) => return Ok(answer_response(&answer, &call.id, true)),
        TokenDecision::InFlight => return Err(under_way("the call is under way here")),
        TokenDecision::Unknown => {
            let message = "an earlier attempt has no known outcome; it will not be run again";
            return Err(ApiError::Unknown { message: message.to_owned() });
        }
        TokenDecision::Reused => return Err(ApiError::KeyReused),
        TokenDecision::Expired => return Err(expired("the token is too old")),
        TokenDecision::NotIssuedHere => return Err(foreign_token(shared, token)),
    }
    // The task goes on when the caller goes away, so that the outcome is always recorded.
    let (shared_task, call_task, token) = (Arc::clone(shared), call.clone(), token.clone());
    let task = tokio::spawn(async move {
        let dispatched = once(&shared_task, &call_task).await;
        let mut tokens = shared_task.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        match (dispatched.outcome(), dispatched.stored()) {
            (CallOutcome::Answered, Some(answer)) => tokens.record_answer(&token, hash, answer),
            (CallOutcome::NotRun, _) => tokens.record_not_run(&token),
            (CallOutcome::Answered | CallOutcome::Unknown, _) => {
                tokens.record_unknown(&token, hash)
            }
        }
        drop(tokens);
        dispatched
    });
    finish(shared, call, task.await)
}

fn finish(
    shared: &Shared,
    call: &Call,
    dispatched: Result<Dispatched, tokio::task::JoinError>,
) -> Result<Response, ApiError> {
    match dispatched {
        Ok(dispatched) => dispatched.into_response(shared, call),
        Err(err) => Err(ApiError::Unknown { message: err.to_string() }),
    }
}

fn under_way(message: &str) -> ApiError {
    ApiError::UnderWay {
        message: format!("{message}; this attempt was not run"),
        retry_after: RETRY_AFTER,
    }
}

fn expired(reason: &str) -> ApiError {
    let message = format!("{reason}; it will not be run, whether it ran before isn't known");
    ApiError::Unknown { message }
}

/// A token that names another VM or an earlier life of this one. A VM that is only silent may still
/// run the call.
fn foreign_token(shared: &Shared, token: &Token) -> ApiError {
    let view = shared.view.load();
    let issuer = view
        .peers
        .iter()
        .filter(|peer| peer.role == Role::Entry && peer.vm == token.vm)
        .find(|peer| peer.incarnation <= token.incarnation);
    match issuer {
        Some(peer) => under_way(&format!(
            "only VM {} can judge this token, at http://{}",
            token.vm, peer.caller
        )),
        None => expired("the VM that issued the token is gone"),
    }
}

/// A call under the caller's own key.
async fn with_key(shared: &Arc<Shared>, call: &Call, key: &str) -> Result<Response, ApiError> {
    Counts::add(&shared.counts.keyed_calls);
    // The task goes on when the caller goes away, so that the outcome is always recorded.
    let (shared_task, call_task, key) = (Arc::clone(shared), call.clone(), key.to_owned());
    let task = tokio::spawn(async move { drive_key(&shared_task, &call_task, &key).await });
    match task.await {
        Ok(Ok(dispatched)) => dispatched.into_response(shared, call),
        Ok(Err(reply)) => reply_response(reply, call),
        Err(err) => Err(ApiError::Unknown { message: err.to_string() }),
    }
}

/// Claims the key, dispatches if this attempt may, and records the outcome.
async fn drive_key(shared: &Arc<Shared>, call: &Call, key: &str) -> Result<Dispatched, CallReply> {
    let owner = Owner {
        vm: shared.vm().clone(),
        incarnation: shared.incarnation,
        attempt: shared.next_number(),
    };
    let row = call_row_key(&call.row.name, &IdempotencyKey::new(key));
    let (mut keyed, mut step) = KeyedCall::start(row, owner, call.hash());
    loop {
        step = match step {
            CallStep::Transact(txn) => {
                Counts::add(&shared.counts.call_writes);
                let answer = shared.platform.store.transact(&txn).await;
                keyed.on_txn_result(answer, |owner| is_abandoned(shared, owner))
            }
            CallStep::Read(row) => {
                let answer = shared.platform.store.read(&row).await;
                keyed.on_read_result(answer, |owner| is_abandoned(shared, owner))
            }
            CallStep::Dispatch => break,
            CallStep::Reply(reply) => {
                if keyed.may_be_abandoned() {
                    abandon(shared, keyed.owner());
                }
                return Err(reply);
            }
        };
    }
    let dispatched = once(shared, call).await;
    let record = keyed.on_outcome(dispatched.outcome(), dispatched.stored());
    // A caller that has its answer finds it again through any VM at once. When the table service
    // gives no answer the caller isn't kept waiting: the record is written later.
    let rest = shared.begin_rest();
    let recorded = tokio::spawn(record_outcome(Arc::clone(shared), record, rest));
    let _ = timeout(RECORD_WAIT, recorded).await;
    Ok(dispatched)
}

/// Writes the record of an outcome, over and over while the table service gives no answer.
async fn record_outcome(shared: Arc<Shared>, record: Txn, _rest: Serving) {
    for _ in 0..RECORD_ATTEMPTS {
        Counts::add(&shared.counts.call_writes);
        match shared.platform.store.transact(&record).await {
            // A conflict means that an earlier try landed although its answer was lost.
            Ok(TxnAnswer::Committed(_) | TxnAnswer::Conflict(_)) => return,
            Err(err) => log::debug!("record of a call: {err}"),
        }
        sleep(RECORD_PAUSE).await;
    }
    log::warn!("the outcome of a call couldn't be recorded; repetitions will find it unknown");
}

fn is_abandoned(shared: &Shared, owner: &Owner) -> bool {
    let abandoned = shared.abandoned.lock().unwrap_or_else(PoisonError::into_inner);
    abandoned.contains_key(owner)
}

fn abandon(shared: &Shared, owner: &Owner) {
    let now = shared.now();
    let mut abandoned = shared.abandoned.lock().unwrap_or_else(PoisonError::into_inner);
    abandoned.retain(|_, at| now < *at + ABANDONED_TTL);
    abandoned.insert(owner.clone(), now);
}

fn reply_response(reply: CallReply, call: &Call) -> Result<Response, ApiError> {
    match reply {
        CallReply::Replayed(answer) => Ok(answer_response(&answer, &call.id, true)),
        CallReply::NotRun { reason } => Err(ApiError::AttemptNotRun {
            message: format!(
                "the call can't be registered ({reason}); this attempt was not run, ask again with \
                 the same key; a token of POST /v1/call-tokens needs no store"
            ),
            retry_after: RETRY_AFTER,
        }),
        CallReply::OwnedByOther { owner } => {
            Err(under_way(&format!("an attempt through VM {} owns this key", owner.vm)))
        }
        CallReply::Unknown => {
            let message = "an earlier attempt has no known outcome; it will not be run again";
            Err(ApiError::Unknown { message: message.to_owned() })
        }
        CallReply::KeyReused => Err(ApiError::KeyReused),
    }
}
