//! Interface to model engines, as the planner uses it: orders, reports, and an HTTP client.
//!
//! Orders use the model repository extension of the Open Inference Protocol (`load`, `unload`,
//! `index`). The load of an engine is read from its Prometheus metrics. The process start time in these
//! metrics identifies the incarnation of the engine. The connection binds every order to an incarnation:
//! the client reads the start time and then sends the order on the same connection, so that an order
//! can't reach a process that was started later.

mod engine_report;
mod http_engine;
mod order;

pub use crate::{
    engine_report::{EngineReport, ResidentModel},
    http_engine::{HttpEngine, LoadParameters, OrderBody, RepositoryEntry},
    order::{FencingToken, Order, OrderKind, OrderOutcome, Refusal},
};

use std::future::Future;

/// A model engine to which the planner sends orders and from which it reads reports.
pub trait Engine: Send + Sync {
    /// Reason for which a report can't be read.
    type Error: std::error::Error + Send;

    /// Sends `order` to the engine and returns its outcome, which is [`OrderOutcome::Unknown`] if the
    /// order may or may not have been carried out.
    fn execute(&self, order: &Order) -> impl Future<Output = OrderOutcome> + Send;

    /// Reads the engine's current report.
    ///
    /// # Errors
    ///
    /// The engine returned no valid report.
    fn report(&self) -> impl Future<Output = Result<EngineReport, Self::Error>> + Send;
}
