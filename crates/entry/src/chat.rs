//! Requests for models and adapters.

use {
    crate::{
        api_error::ApiError,
        burn::Sample,
        events::EntryEvent,
        proxy::{ANSWER_BYTES_MAX, Head, Upstream, is_crossed},
        relay::{Holding, Relay},
        request::{ModelRequest, read_body},
        shared::{Counts, Serving, Shared},
    },
    glade_http::Method,
    glade_routing::{Decision, EngineEntry, Permit, Refusal, RequestSpec, decide},
    glade_types::Priority,
    poem::{Body, Request, Response, http::StatusCode},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Longest wait for the head of a patient request's answer.
const PATIENT_HEAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Wait for the head of an urgent request's answer, in multiples of its target.
const URGENT_HEAD_FACTOR: u32 = 3;
/// Time allowed for the body of an answer that isn't streamed.
const WHOLE_BODY_TIMEOUT: Duration = Duration::from_secs(300);
/// Advice to callers of a VM that takes no work.
const ELSEWHERE_RETRY: Duration = Duration::from_secs(1);

/// Serves one request.
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
    let body = read_body(shared, &mut req).await?;
    let request = ModelRequest::parse(shared, req.uri().path(), req.headers(), body)?;
    let result = attempt_all(shared, serving, &request).await;
    if let Err(err) = &result {
        let refused = matches!(err, ApiError::NotRun { .. } | ApiError::RateLimited { .. });
        if refused {
            Counts::add(&shared.counts.refused);
        }
        let sample = Sample { refused, ..Sample::default() };
        shared.burn.record(shared.now(), &request.model, sample);
        if let Some(limiter) = shared.routes.load().limiters.get(&request.model) {
            limiter.record_missed();
        }
    }
    result
}

/// Admits the request and tries engines until one answers.
async fn attempt_all(
    shared: &Arc<Shared>,
    serving: Serving,
    request: &ModelRequest,
) -> Result<Response, ApiError> {
    let started_at = shared.now();
    let permit = admit(shared, request)?;
    shared.retries.earn();
    let mut serving = Some((serving, permit));
    let mut avoid = None;
    let mut last = None;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            if !shared.retries.spend() {
                break;
            }
            Counts::add(&shared.counts.retries);
            sleep(backoff(attempt)).await;
        }
        let engine = match choose(shared, request, started_at, avoid.as_ref()).await {
            Ok(engine) => engine,
            // A refusal is only true of the first attempt: an earlier one may have run.
            Err(refusal) => return Err(last.unwrap_or(refusal)),
        };
        match attempt_one(shared, &mut serving, request, &engine, started_at).await {
            Ok(response) => return Ok(response),
            Err(err) => last = Some(err),
        }
        avoid = Some(engine);
    }
    Err(last.unwrap_or_else(|| ApiError::Failed { message: "no engine answered".to_owned() }))
}

fn admit(shared: &Arc<Shared>, request: &ModelRequest) -> Result<Permit, ApiError> {
    let routes = shared.routes.load();
    if !routes.accepts_work {
        return Err(ApiError::NotRun {
            message: "this VM is cut off from the others; not run, use another".to_owned(),
            retry_after: ELSEWHERE_RETRY,
        });
    }
    let Some(limiter) = routes.limiters.get(&request.model) else {
        return Err(ApiError::UnknownModel { model: request.model.to_string() });
    };
    limiter.admit(shared.uptime()).map_err(|retry_after| ApiError::RateLimited { retry_after })
}

/// Waits for the routing decision.
async fn choose(
    shared: &Arc<Shared>,
    request: &ModelRequest,
    started_at: Instant,
    avoid: Option<&EngineEntry>,
) -> Result<EngineEntry, ApiError> {
    loop {
        let waited = shared.now() - started_at;
        let pause = {
            let routes = shared.routes.load();
            let position = |engine: &EngineEntry| {
                routes.engines.iter().position(|other| other.id == engine.id)
            };
            let need = RequestSpec {
                model: &request.model,
                priority: request.priority,
                first_token_within: request.first_token_within.saturating_sub(waited),
                prefix_hash: request.prefix,
                waited,
                avoided_engine: avoid.and_then(position),
            };
            let mut rng = fastrand::Rng::new();
            let uptime = shared.uptime();
            match decide(&routes, &shared.policy, &shared.prefixes, &need, uptime, &mut rng) {
                Decision::Send { engine, .. } => return Ok(routes.engines[engine].clone()),
                Decision::Wait(pause) => pause,
                Decision::Refuse { reason, retry_after } => {
                    return Err(refusal(reason, retry_after));
                }
            }
        };
        // Jitter keeps waiting requests from asking all at once.
        sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
    }
}

fn refusal(reason: Refusal, retry_after: Duration) -> ApiError {
    let message = match reason {
        Refusal::NotResident => "no engine holds this model at present; not run",
        Refusal::Overloaded => "no engine can answer in time; not run",
    };
    ApiError::NotRun { message: message.to_owned(), retry_after }
}

fn backoff(attempt: u32) -> Duration {
    let ceiling = Duration::from_millis(10) * 2_u32.pow(attempt.min(6));
    ceiling.mul_f64(fastrand::f64())
}

/// One attempt at one engine.
async fn attempt_one(
    shared: &Arc<Shared>,
    holding: &mut Option<(Serving, Permit)>,
    request: &ModelRequest,
    engine: &EngineEntry,
    started_at: Instant,
) -> Result<Response, ApiError> {
    let under_way = engine.counters.begin_request();
    let upstream = Upstream {
        addr: engine.addr,
        method: Method::POST,
        path: &request.path,
        id: &request.id,
        priority: Some(request.priority),
        content_type: Some("application/json"),
        last_event: None,
        body: request.body.clone(),
    };
    let within = match request.priority {
        Priority::Urgent => request.first_token_within * URGENT_HEAD_FACTOR,
        Priority::Patient => PATIENT_HEAD_TIMEOUT,
    };
    // An answer that isn't streamed takes as long as all its tokens.
    let within = if request.stream { within } else { within.max(WHOLE_BODY_TIMEOUT) };
    let head = upstream.send(shared, false, within).await.map_err(|err| {
        engine.counters.record_failure(shared.uptime());
        ApiError::Failed { message: err.to_string() }
    })?;
    check_head(shared, request, engine, &head)?;
    shared.prefixes.record(request.prefix, engine.key);
    if request.stream && head.response.status().is_success() {
        let Some((serving, permit)) = holding.take() else {
            return Err(ApiError::Failed { message: "the request was answered before".to_owned() });
        };
        engine.counters.record_success();
        let holding = Holding { _serving: serving, _permit: permit, _under_way: under_way };
        let relay =
            Relay::new(Arc::clone(shared), request.clone(), engine.addr, head, started_at, holding);
        return Ok(Response::builder()
            .content_type("text/event-stream")
            .header("cache-control", "no-cache")
            .header("x-request-id", request.id.as_str())
            .body(Body::from_bytes_stream(relay.into_bytes())));
    }
    whole(shared, request, engine, head, started_at).await
}

/// Judges the head of an answer. A wrong one counts against the engine.
fn check_head(
    shared: &Shared,
    request: &ModelRequest,
    engine: &EngineEntry,
    head: &Head,
) -> Result<(), ApiError> {
    if is_crossed(&head.response, &request.id) {
        Counts::add(&shared.counts.crossed);
        engine.counters.record_failure(shared.uptime());
        return Err(ApiError::Failed { message: "the engine mixed up answers".to_owned() });
    }
    let status = head.response.status();
    if status == StatusCode::NOT_FOUND {
        shared.tell(EntryEvent::Missing {
            engine: engine.id.clone(),
            incarnation: engine.incarnation,
            model: request.model.clone(),
        });
        let message = "the engine no longer holds the model".to_owned();
        return Err(ApiError::Failed { message });
    }
    if status.is_server_error() {
        engine.counters.record_failure(shared.uptime());
        return Err(ApiError::Failed { message: format!("the engine answered status {status}") });
    }
    Ok(())
}

/// Gathers an answer that isn't streamed; a body shorter than announced is an error.
async fn whole(
    shared: &Shared,
    request: &ModelRequest,
    engine: &EngineEntry,
    head: Head,
    started_at: Instant,
) -> Result<Response, ApiError> {
    let reading = glade_http::read_body(engine.addr, head.response, ANSWER_BYTES_MAX);
    let answer = match timeout(WHOLE_BODY_TIMEOUT, reading).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => {
            engine.counters.record_failure(shared.uptime());
            shared.pool.remove_idle(engine.addr);
            return Err(ApiError::Failed { message: "the engine's answer was cut".to_owned() });
        }
    };
    shared.pool.release(head.connection);
    engine.counters.record_success();
    let met = shared.now() - started_at <= request.first_token_within;
    let sample = Sample { first_token_met: met, gaps_met: true, refused: false };
    shared.burn.record(shared.now(), &request.model, sample);
    let content_type = answer.headers.get("content-type").and_then(|value| value.to_str().ok());
    Ok(Response::builder()
        .status(answer.status)
        .content_type(content_type.unwrap_or("application/json"))
        .header("x-request-id", request.id.as_str())
        .body(answer.body))
}
