//! HTTP client by which the control thread sends orders to engines and requests their reports.

use {
    crate::{control_task::spawn_task, event::Event},
    glade_adapter::{engine, platform_dialect},
    glade_catalog::{EngineOrder, EngineReport, OrderAnswer, ServerKey},
    glade_http::{Answer, Pool},
    glade_relay::TrafficUpdate,
    glade_types::CallOutcome,
    hyper::StatusCode,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::mpsc::Sender,
};

/// Time-out of an order. Engines answer within a few milliseconds; an answer that takes longer is
/// lost as a rule, and the order can be sent again without harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time-out of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest answer that is read: a report names a few hundred requests in progress and the models
/// and adapters that the engine holds.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// Client for the engines' control interface. Results arrive as events of the control thread.
#[derive(Debug)]
pub(crate) struct EngineClient {
    pool: Pool,
    events: Sender<Event>,
}

impl EngineClient {
    pub(crate) fn new(events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self { pool: Pool::with_max_answer_bytes(ANSWER_BYTES_MAX), events })
    }

    /// Sends an order, on a new connection, because an answer to an order doesn't name it. The answer
    /// arrives as an [`Event::OrderAnswered`].
    pub(crate) fn send_order(self: &Rc<Self>, order: EngineOrder) {
        let client = Rc::clone(self);
        spawn_task(&self.events, async move {
            let req = engine::encode_order(&order);
            let answer = match client.pool.fetch_on_new(order.addr, req, ORDER_TIMEOUT).await {
                Ok(answer) => {
                    client.report_leaving(&order.server, &answer).await;
                    engine::decode_order_answer(answer.status)
                }
                Err(err) => {
                    let reason = err.to_string();
                    log::info!(server = order.server.id.as_str(), reason = reason.as_str(); "order_unanswered");
                    debug_assert!(err.outcome() != CallOutcome::Answered);
                    OrderAnswer::Unclear
                }
            };
            client.send_event(Event::OrderAnswered(order, answer)).await;
        });
    }

    /// Requests an engine's report, which arrives as an [`Event::EngineReported`].
    pub(crate) fn request_report(self: &Rc<Self>, server: ServerKey, addr: SocketAddr) {
        let client = Rc::clone(self);
        spawn_task(&self.events, async move {
            let report = client.report(&server, addr).await;
            client.send_event(Event::EngineReported(server, report)).await;
        });
    }

    async fn report(&self, server: &ServerKey, addr: SocketAddr) -> Option<EngineReport> {
        let req = engine::report_request(&server.id, addr);
        let log_failure = |reason: String| {
            log::info!(server = server.id.as_str(), reason = reason.as_str(); "report_failed");
        };
        match self.pool.fetch(addr, req, REPORT_TIMEOUT).await {
            Ok(answer) if answer.status == StatusCode::OK => {
                self.report_leaving(server, &answer).await;
                engine::decode_report(&answer.body).map_err(|err| log_failure(err.to_string())).ok()
            }
            Ok(answer) => {
                log_failure(format!("status {}", answer.status));
                None
            }
            Err(err) => {
                log_failure(err.to_string());
                None
            }
        }
    }

    /// Sends an event if an answer of `server` states that the server is about to end.
    async fn report_leaving(&self, server: &ServerKey, answer: &Answer) {
        // A server that rejects a request as meant for another has taken over the address of
        // `server`.
        let is_other_server = answer.status == StatusCode::MISDIRECTED_REQUEST;
        if !is_other_server && platform_dialect::is_leaving(&answer.headers) {
            self.send_event(Event::TrafficUpdate(TrafficUpdate::ServerLeaving(server.clone())))
                .await;
        }
    }

    async fn send_event(&self, event: Event) {
        // The channel closes only when the process ends, so a failed send needs no handling.
        let _ = self.events.send(event).await;
    }
}
