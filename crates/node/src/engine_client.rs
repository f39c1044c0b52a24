//! Sends orders to engines and asks for their reports.

use {
    crate::event::Event,
    glade_adapter::{engine, headers},
    glade_catalog::{EngineOrder, EngineReport, OrderAnswer, ServerKey},
    glade_http::{Answer, Pool},
    glade_relay::TrafficUpdate,
    glade_types::CallOutcome,
    hyper::StatusCode,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::mpsc::Sender, task::spawn_local},
};

/// Time allowed for the answer to an order. Engines answer within a few milliseconds; an answer
/// that takes longer is lost as a rule, and the order can be sent again without harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time allowed for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest answer of an engine that is read: a report names a few hundred runs and what is held.
const ANSWER_BYTES_MAX: usize = 1 << 20;

/// Talks to engines for the control thread.
#[derive(Debug)]
pub(crate) struct EngineClient {
    pool: Pool,
    events: Sender<Event>,
}

impl EngineClient {
    pub(crate) fn new(events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self { pool: Pool::bounded(ANSWER_BYTES_MAX), events })
    }

    /// Sends an order; its answer arrives as an event.
    pub(crate) fn order(self: &Rc<Self>, order: EngineOrder) {
        let caller = Rc::clone(self);
        spawn_local(async move {
            let req = engine::encode_order(&order);
            let answer = match caller.pool.fetch(order.addr, req, ORDER_TIMEOUT).await {
                Ok(answer) => {
                    caller.heed(&order.server, &answer).await;
                    engine::decode_order_answer(answer.status)
                }
                Err(err) => {
                    let reason = err.to_string();
                    log::info!(server = order.server.id.as_str(), reason = reason.as_str(); "order_unanswered");
                    debug_assert!(err.outcome() != CallOutcome::Answered);
                    OrderAnswer::Unclear
                }
            };
            caller.tell(Event::OrderAnswered(order, answer)).await;
        });
    }

    /// Asks for an engine's report; it arrives as an event.
    pub(crate) fn request_report(self: &Rc<Self>, server: ServerKey, addr: SocketAddr) {
        let caller = Rc::clone(self);
        spawn_local(async move {
            let report = caller.report(&server, addr).await;
            caller.tell(Event::EngineReported(server, report)).await;
        });
    }

    async fn report(&self, server: &ServerKey, addr: SocketAddr) -> Option<EngineReport> {
        let req = engine::report_request(&server.id, addr);
        let unread = |reason: String| {
            log::info!(server = server.id.as_str(), reason = reason.as_str(); "report_failed");
        };
        match self.pool.fetch(addr, req, REPORT_TIMEOUT).await {
            Ok(answer) if answer.status == StatusCode::OK => {
                self.heed(server, &answer).await;
                engine::decode_report(&answer.body).map_err(|err| unread(err.to_string())).ok()
            }
            Ok(answer) => {
                unread(format!("status {}", answer.status));
                None
            }
            Err(err) => {
                unread(err.to_string());
                None
            }
        }
    }

    /// Takes what an answer of `server` says of the server itself.
    async fn heed(&self, server: &ServerKey, answer: &Answer) {
        // Another server has taken over the address if it rejects what was meant for this one.
        let is_other = answer.status == StatusCode::MISDIRECTED_REQUEST;
        if !is_other && headers::says_leaving(&answer.headers) {
            self.tell(Event::TrafficUpdate(TrafficUpdate::ServerLeaving(server.clone()))).await;
        }
    }

    async fn tell(&self, event: Event) {
        // The control thread ends only with the process.
        let _ = self.events.send(event).await;
    }
}
