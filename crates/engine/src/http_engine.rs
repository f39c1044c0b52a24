//! HTTP client of an engine: sends load and unload orders, and reads reports from the engine's metrics
//! and repository index.

use {
    crate::{
        Engine,
        engine_report::{EngineReport, ResidentModel},
        order::{Order, OrderKind, OrderOutcome, Refusal},
    },
    glade_http::{Answer, Bytes, Connection, Full, HttpError, Method, Pool, Request, read_body},
    glade_types::{CallOutcome, Incarnation, ModelName},
    percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode},
    prometheus_parse::{Scrape, Value},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Time-out for each request of a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is read: metrics, or an index of a few thousand models.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Milliseconds per second. Incarnations are start times in milliseconds.
const MS_PER_S: f64 = 1000.0;

/// Body of a load or unload request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
    /// Parameters, which the protocol lets each engine define.
    pub parameters: LoadParameters,
}

/// Parameters of a load or unload request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadParameters {
    /// Fencing token of the order.
    pub fencing_token: u64,
    /// Incarnation of the engine to which the order is addressed.
    pub incarnation: u64,
    /// Memory that the model occupies.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Base model, for an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
}

/// One entry of the repository index.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RepositoryEntry {
    /// Name of the model.
    pub name: String,
    /// State of the model: `READY`, or another state that the protocol defines.
    pub state: String,
    /// Memory that the model occupies.
    #[serde(default)]
    pub memory_bytes: u64,
}

/// HTTP client of one engine.
#[derive(Debug)]
pub struct HttpEngine {
    addr: SocketAddr,
    order_timeout: Duration,
    pool: Pool,
}

impl HttpEngine {
    /// Creates a client. If an order isn't answered within `order_timeout`, its outcome is unknown.
    pub fn new(addr: SocketAddr, order_timeout: Duration) -> Self {
        Self { addr, order_timeout, pool: Pool::with_max_answer_bytes(ANSWER_BYTES_MAX) }
    }

    /// Reads the incarnation (the start time) of the process at the other end of `connection`.
    async fn incarnation(&self, connection: &mut Connection) -> Result<Incarnation, HttpError> {
        let head = connection.send(self.get("/metrics"), REPORT_TIMEOUT).await?;
        let reading = read_body(self.addr, head, ANSWER_BYTES_MAX);
        let answer = timeout(REPORT_TIMEOUT, reading)
            .await
            .unwrap_or(Err(HttpError::TimedOut { addr: self.addr }))?;
        Ok(parse_metrics(self.addr, &answer)?.incarnation())
    }

    fn get(&self, path: &str) -> Request<Full<Bytes>> {
        self.request(Method::GET, path, Vec::new())
    }

    fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("method and path are valid")
    }

    fn order_request(&self, order: &Order) -> Request<Full<Bytes>> {
        let (verb, memory_bytes, base) = match &order.kind {
            OrderKind::Load { memory_bytes, base } => ("load", *memory_bytes, base.clone()),
            OrderKind::Unload => ("unload", 0, None),
        };
        let parameters = LoadParameters {
            fencing_token: order.token.0,
            incarnation: order.incarnation.0,
            memory_bytes,
            base,
        };
        let body = serde_json::to_vec(&OrderBody { parameters }).expect("plain structure");
        let name = utf8_percent_encode(order.model.as_str(), NON_ALPHANUMERIC);
        self.request(Method::POST, &format!("/v2/repository/models/{name}/{verb}"), body)
    }
}

impl Engine for HttpEngine {
    type Error = HttpError;

    async fn execute(&self, order: &Order) -> OrderOutcome {
        let Ok(mut connection) = self.pool.connect_new(self.addr).await else {
            return OrderOutcome::NotSent;
        };
        match self.incarnation(&mut connection).await {
            Ok(incarnation) if incarnation == order.incarnation => {}
            // The order hasn't been sent yet, so any failure up to here means that it has no effect.
            Ok(_) | Err(_) => return OrderOutcome::NotSent,
        }
        let req = self.order_request(order);
        match self.pool.fetch_on(connection, req, self.order_timeout).await {
            // The answer to the request for metrics, written once more.
            Ok(answer) if parse_metrics(self.addr, &answer).is_ok() => {
                self.pool.remove_idle(self.addr);
                OrderOutcome::Unknown
            }
            Ok(answer) => order_outcome(answer.status.as_u16()),
            Err(err) if err.outcome() == CallOutcome::NotRun => OrderOutcome::NotSent,
            Err(_) => OrderOutcome::Unknown,
        }
    }

    async fn report(&self) -> Result<EngineReport, HttpError> {
        let answer = self.pool.fetch(self.addr, self.get("/metrics"), REPORT_TIMEOUT).await?;
        let metrics = parse_metrics(self.addr, &answer)?;
        let index = self.request(Method::POST, "/v2/repository/index", b"{}".to_vec());
        let answer = self.pool.fetch(self.addr, index, REPORT_TIMEOUT).await?;
        let entries: Vec<RepositoryEntry> = serde_json::from_slice(&answer.body)
            .map_err(|err| HttpError::Malformed { addr: self.addr, reason: err.to_string() })?;
        Ok(metrics.report(entries))
    }
}

fn order_outcome(status: u16) -> OrderOutcome {
    match status {
        200..=299 => OrderOutcome::Done,
        409 => OrderOutcome::Refused(Refusal::StaleToken),
        507 => OrderOutcome::Refused(Refusal::NoMemory),
        424 => OrderOutcome::Refused(Refusal::BaseMissing),
        400..=499 => OrderOutcome::Refused(Refusal::Other),
        // A server error doesn't show whether the order will still be carried out.
        _ => OrderOutcome::Unknown,
    }
}

/// Parsed metrics of an engine.
#[derive(Debug)]
struct Metrics {
    scrape: Scrape,
}

fn parse_metrics(addr: SocketAddr, answer: &Answer) -> Result<Metrics, HttpError> {
    let malformed = |reason: &str| HttpError::Malformed { addr, reason: reason.to_owned() };
    let text = std::str::from_utf8(&answer.body).map_err(|_| malformed("metrics aren't text"))?;
    let scrape = Scrape::parse(text.lines().map(|line| Ok(line.to_owned())))
        .map_err(|_| malformed("metrics can't be parsed"))?;
    let metrics = Metrics { scrape };
    if metrics.incarnation() == Incarnation(0) {
        return Err(malformed("metrics lack process_start_time_seconds"));
    }
    Ok(metrics)
}

impl Metrics {
    /// Returns the value of the sample called `name`, or zero if there is none.
    fn value(&self, name: &str) -> f64 {
        let sample = self.scrape.samples.iter().find(|sample| sample.metric == name);
        match sample.map(|sample| &sample.value) {
            Some(Value::Counter(v) | Value::Gauge(v) | Value::Untyped(v)) => *v,
            _ => 0.0,
        }
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation((self.value("process_start_time_seconds") * MS_PER_S).round() as u64)
    }

    fn report(&self, entries: Vec<RepositoryEntry>) -> EngineReport {
        let requests = self.value("engine_requests_total").max(1.0);
        let resident = entries.into_iter().filter(|entry| entry.state == "READY");
        EngineReport {
            incarnation: self.incarnation(),
            memory_bytes: self.value("engine_memory_bytes") as u64,
            accelerators: self.value("engine_accelerators") as u32,
            running: self.value("vllm:num_requests_running") as u32,
            waiting: self.value("vllm:num_requests_waiting") as u32,
            slots: self.value("engine_batch_slots") as u32,
            mean_request: Duration::from_secs_f64(
                (self.value("engine_request_seconds_total") / requests).max(0.0),
            ),
            leaving: self.value("engine_leaving") > 0.0,
            resident: resident
                .map(|entry| ResidentModel {
                    name: ModelName::new(&entry.name),
                    memory_bytes: entry.memory_bytes,
                })
                .collect(),
        }
    }
}
