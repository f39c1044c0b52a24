//! A stand-in model engine.
//!
//! It batches up to a number of requests, queues the others (urgent ones first), streams tokens
//! whose text is a function of model and position, resumes a stream from the identifier of the last
//! event received, and keeps models in limited memory.

use {
    crate::{
        endless_body::with_endless_body,
        faults::{FaultSwitch, Faults},
        layout::ENGINE_MEMORY_BYTES,
        reply::json,
        weights::WeightStore,
    },
    futures_util::stream::{self, StreamExt},
    glade_engine::{OrderBody, RepositoryEntry},
    poem::{
        Body, Endpoint, IntoResponse, Request, Response,
        http::{HeaderMap, StatusCode},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore},
        time::sleep,
    },
};

/// Places in the batch.
const SLOTS: u32 = 16;
/// Time to the first token on an idle engine.
const PREFILL: Duration = Duration::from_millis(10);
/// Time between two tokens.
const PER_TOKEN: Duration = Duration::from_millis(5);
/// Tokens of an answer that doesn't state a number.
const DEFAULT_TOKENS: u32 = 16;
/// Most tokens of an answer.
const MAX_TOKENS: u32 = 4096;
/// Period at which a patient request looks for a place.
const PATIENT_RETRY: Duration = Duration::from_millis(5);
/// Time for which a stream pauses, longer than the entry waits before it resumes one.
const STREAM_PAUSE: Duration = Duration::from_secs(3);
/// Parts of a stream before a stream fault strikes.
const PARTS_BEFORE_FAULT: u32 = 3;

/// A model held by the engine.
#[derive(Clone, Debug)]
struct Held {
    memory_bytes: u64,
    ready: bool,
}

#[derive(Debug, Default)]
struct Memory {
    models: BTreeMap<String, Held>,
    highest_token: u64,
    /// Most memory ever taken, to show that it was never overcommitted.
    peak_bytes: u64,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct EngineStandIn {
    pub(crate) name: String,
    pub(crate) faults: FaultSwitch,
    enforces_fencing: bool,
    started_ms: AtomicU64,
    memory: Mutex<Memory>,
    batch: Arc<Semaphore>,
    urgent_waiting: AtomicU32,
    waiting: AtomicU32,
    requests: AtomicU64,
    request_us: AtomicU64,
    weights: Arc<WeightStore>,
}

/// What the control port shows of an engine.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EngineState {
    name: String,
    models: Vec<String>,
    taken_bytes: u64,
    peak_bytes: u64,
    capacity_bytes: u64,
    requests: u64,
}

#[derive(Debug, Deserialize)]
struct Generate {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

impl EngineStandIn {
    pub(crate) fn new(name: &str, enforces_fencing: bool, weights: Arc<WeightStore>) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            faults: FaultSwitch::default(),
            enforces_fencing,
            started_ms: AtomicU64::new(wall_ms()),
            memory: Mutex::default(),
            batch: Arc::new(Semaphore::new(SLOTS as usize)),
            urgent_waiting: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            requests: AtomicU64::new(0),
            request_us: AtomicU64::new(0),
            weights,
        })
    }

    /// Forgets everything, as a restarted process would.
    pub(crate) fn restart(&self) {
        let mut memory = self.memory();
        memory.models.clear();
        memory.highest_token = 0;
        let later = wall_ms().max(self.started_ms.load(Ordering::Relaxed) + 1);
        self.started_ms.store(later, Ordering::Relaxed);
    }

    pub(crate) fn state(&self) -> EngineState {
        let memory = self.memory();
        EngineState {
            name: self.name.clone(),
            models: memory.models.keys().cloned().collect(),
            taken_bytes: memory.taken_bytes(),
            peak_bytes: memory.peak_bytes,
            capacity_bytes: ENGINE_MEMORY_BYTES,
            requests: self.requests.load(Ordering::Relaxed),
        }
    }

    fn memory(&self) -> std::sync::MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn metrics(&self) -> String {
        let running = SLOTS - u32::try_from(self.batch.available_permits()).unwrap_or(SLOTS);
        let seconds = self.request_us.load(Ordering::Relaxed) as f64 / 1e6;
        format!(
            "process_start_time_seconds {started}\nengine_memory_bytes {ENGINE_MEMORY_BYTES}\n\
             engine_accelerators 4\nengine_batch_slots {SLOTS}\n\
             vllm:num_requests_running {running}\nvllm:num_requests_waiting {waiting}\n\
             engine_requests_total {requests}\nengine_request_seconds_total {seconds}\n\
             engine_leaving {leaving}\n",
            started = self.started_ms.load(Ordering::Relaxed) as f64 / 1000.0,
            waiting = self.waiting.load(Ordering::Relaxed),
            requests = self.requests.load(Ordering::Relaxed),
            leaving = u32::from(self.faults.get().leaving),
        )
    }

    fn index(&self) -> Vec<RepositoryEntry> {
        let memory = self.memory();
        let entry = |(name, held): (&String, &Held)| RepositoryEntry {
            name: name.clone(),
            state: if held.ready { "READY" } else { "LOADING" }.to_owned(),
            memory_bytes: held.memory_bytes,
        };
        memory.models.iter().map(entry).collect()
    }

    /// Carries out an order as the faults say.
    async fn order(self: &Arc<Self>, model: &str, verb: &str, body: &OrderBody) -> StatusCode {
        let faults = self.faults.get();
        if self.faults.take(|faults| &mut faults.lost_orders) {
            std::future::pending::<()>().await;
        }
        if faults.late_orders_ms > 0 {
            // The order goes on although its sender may have given up.
            let (engine, model) = (Arc::clone(self), model.to_owned());
            let (verb, body) = (verb.to_owned(), body.clone());
            let late = tokio::spawn(async move {
                sleep(Duration::from_millis(faults.late_orders_ms)).await;
                engine.carry_out(&model, &verb, &body).await
            });
            return late.await.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        }
        if faults.doubled_orders {
            let (first, second) =
                (self.carry_out(model, verb, body), self.carry_out(model, verb, body));
            let (first, second) = tokio::join!(first, second);
            return if first.is_success() { first } else { second };
        }
        self.carry_out(model, verb, body).await
    }

    async fn carry_out(self: &Arc<Self>, model: &str, verb: &str, body: &OrderBody) -> StatusCode {
        let parameters = &body.parameters;
        {
            let mut memory = self.memory();
            let token = parameters.fencing_token;
            if self.enforces_fencing && token <= memory.highest_token {
                return StatusCode::CONFLICT;
            }
            memory.highest_token = memory.highest_token.max(token);
            if verb == "unload" {
                memory.models.remove(model);
                return StatusCode::OK;
            }
            if let Err(status) = memory.reserve(model, body) {
                return status;
            }
        }
        self.weights.load(parameters.base.is_some()).await;
        if let Some(held) = self.memory().models.get_mut(model) {
            held.ready = true;
        }
        StatusCode::OK
    }

    async fn generate(self: &Arc<Self>, headers: &HeaderMap, body: &[u8]) -> Response {
        let Ok(request) = serde_json::from_slice::<Generate>(body) else {
            return error(StatusCode::BAD_REQUEST, "malformed request");
        };
        let ready = self.memory().models.get(&request.model).is_some_and(|held| held.ready);
        if !ready {
            return error(StatusCode::NOT_FOUND, "model is not loaded");
        }
        let begun = Instant::now();
        let patient = headers.get("x-priority").is_some_and(|value| value == "patient");
        let place = self.place(patient).await;
        sleep(PREFILL).await;
        let mut id = header(headers, "x-request-id").unwrap_or_default();
        if self.faults.take(|faults| &mut faults.crossed_answers) {
            id = "another-request".to_owned();
        }
        let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS);
        let done = Done { engine: Arc::clone(self), begun, _place: place };
        if !request.stream {
            sleep(PER_TOKEN * tokens).await;
            return whole_answer(&id, &request.model, tokens);
        }
        let resume_at = header(headers, "last-event-id")
            .and_then(|last| last.rsplit_once(':')?.1.parse::<u32>().ok())
            .map_or(0, |last| last + 1);
        if resume_at > 0 && self.faults.take(|faults| &mut faults.refused_resumes) {
            return error(StatusCode::SERVICE_UNAVAILABLE, "can't go on");
        }
        if resume_at > 0 && self.faults.take(|faults| &mut faults.unanswered_resumes) {
            std::future::pending::<()>().await;
        }
        self.stream(id, request.model, tokens, resume_at, done)
    }

    /// Waits for a place in the batch. Patient requests yield to urgent ones.
    async fn place(&self, patient: bool) -> Option<OwnedSemaphorePermit> {
        let _waiting = Waiting::new(&self.waiting);
        if !patient {
            let _urgent = Waiting::new(&self.urgent_waiting);
            return Arc::clone(&self.batch).acquire_owned().await.ok();
        }
        loop {
            if self.urgent_waiting.load(Ordering::Relaxed) == 0
                && let Ok(place) = Arc::clone(&self.batch).try_acquire_owned()
            {
                return Some(place);
            }
            sleep(PATIENT_RETRY).await;
        }
    }

    fn stream(
        self: &Arc<Self>,
        id: String,
        model: String,
        tokens: u32,
        resume_at: u32,
        done: Done,
    ) -> Response {
        let fault = if self.faults.take(|faults| &mut faults.cut_streams) {
            Some(StreamFault::Cut)
        } else if self.faults.take(|faults| &mut faults.silent_streams) {
            Some(StreamFault::Silent)
        } else if self.faults.take(|faults| &mut faults.paused_streams) {
            Some(StreamFault::Pause)
        } else {
            None
        };
        let request_id = id.clone();
        let parts = stream::unfold((resume_at, done), move |(position, done)| {
            let (id, model) = (id.clone(), model.clone());
            async move {
                if position > tokens {
                    return None;
                }
                if fault.is_some() && position == resume_at + PARTS_BEFORE_FAULT {
                    match fault {
                        Some(StreamFault::Silent) => std::future::pending::<()>().await,
                        Some(StreamFault::Pause) => sleep(STREAM_PAUSE).await,
                        _ => {
                            let cut = std::io::Error::other("cut");
                            return Some((Err(cut), (tokens + 1, done)));
                        }
                    }
                }
                if position < tokens {
                    sleep(PER_TOKEN).await;
                }
                let part = stream_part(&id, &model, position, tokens);
                Some((Ok(bytes::Bytes::from(part)), (position + 1, done)))
            }
        });
        Response::builder()
            .content_type("text/event-stream")
            .header("x-request-id", request_id)
            .body(Body::from_bytes_stream(parts.boxed()))
    }
}

#[derive(Clone, Copy, Debug)]
enum StreamFault {
    Cut,
    Silent,
    Pause,
}

/// Counts a request as done when its answer ends or its caller goes away.
struct Done {
    engine: Arc<EngineStandIn>,
    begun: Instant,
    _place: Option<OwnedSemaphorePermit>,
}

impl Drop for Done {
    fn drop(&mut self) {
        let took_us = u64::try_from(self.begun.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.engine.requests.fetch_add(1, Ordering::Relaxed);
        self.engine.request_us.fetch_add(took_us, Ordering::Relaxed);
    }
}

/// Counts up while it lives.
struct Waiting<'a>(&'a AtomicU32);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Memory {
    fn taken_bytes(&self) -> u64 {
        self.models.values().map(|held| held.memory_bytes).sum()
    }

    /// Takes memory for a model, without any check against overcommitment: the system has to see to
    /// that. The peak shows whether it did.
    fn reserve(&mut self, model: &str, body: &OrderBody) -> Result<(), StatusCode> {
        let base = body.parameters.base.as_ref().map(ToString::to_string);
        let base_ready = |base: &String| self.models.get(base).is_some_and(|held| held.ready);
        if !base.as_ref().is_none_or(base_ready) {
            return Err(StatusCode::FAILED_DEPENDENCY);
        }
        let memory_bytes = body.parameters.memory_bytes;
        self.models.entry(model.to_owned()).or_insert(Held { memory_bytes, ready: false });
        self.peak_bytes = self.peak_bytes.max(self.taken_bytes());
        Ok(())
    }
}

/// The text of one token: any reader can tell whether an answer is whole and its own.
fn token_text(model: &str, position: u32) -> String {
    format!("{model}#{position} ")
}

fn whole_answer(id: &str, model: &str, tokens: u32) -> Response {
    let content: String = (0..tokens).map(|position| token_text(model, position)).collect();
    let body = serde_json::json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "stop",
        }],
        "usage": {"prompt_tokens": 1, "completion_tokens": tokens, "total_tokens": tokens + 1},
    });
    Response::builder()
        .content_type("application/json")
        .header("x-request-id", id)
        .body(body.to_string())
}

fn stream_part(id: &str, model: &str, position: u32, tokens: u32) -> String {
    if position == tokens {
        return format!("id: {id}:{position}\ndata: [DONE]\n\n");
    }
    let data = serde_json::json!({
        "id": format!("chatcmpl-{id}"),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{
            "index": 0,
            "delta": {"content": token_text(model, position)},
            "finish_reason": null,
        }],
    });
    format!("id: {id}:{position}\ndata: {data}\n\n")
}

fn error(status: StatusCode, message: &str) -> Response {
    let body = serde_json::json!({"error": {"message": message, "type": "engine_error"}});
    Response::builder().status(status).content_type("application/json").body(body.to_string())
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The HTTP side of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EnginePort(pub(crate) Arc<EngineStandIn>);

impl Endpoint for EnginePort {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let engine = &self.0;
        if !engine.faults.pass().await {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        let path = req.uri().path().to_owned();
        let body = req.take_body().into_bytes().await?;
        let answer = match path.as_str() {
            "/metrics" => engine.metrics().into_response(),
            "/v2/repository/index" => json(&engine.index()),
            "/v1/chat/completions" | "/v1/completions" => {
                engine.faults.with_status(engine.generate(req.headers(), &body).await)
            }
            _ => self.order(&path, &body).await,
        };
        if engine.faults.take(|faults: &mut Faults| &mut faults.lost_answers) {
            std::future::pending::<()>().await;
        }
        if engine.faults.get().endless_bodies {
            return Ok(with_endless_body(answer));
        }
        Ok(answer)
    }
}

impl EnginePort {
    async fn order(&self, path: &str, body: &[u8]) -> Response {
        let rest = path.strip_prefix("/v2/repository/models/");
        let Some((model, verb)) = rest.and_then(|rest| rest.rsplit_once('/')) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        let Ok(body) = serde_json::from_slice::<OrderBody>(body) else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let model = percent_encoding::percent_decode_str(model).decode_utf8_lossy();
        self.0.order(&model, verb, &body).await.into_response()
    }
}
