//! Model engines as an interface: orders, reports, and a client over HTTP.
//!
//! Orders use the model repository extension of the open inference protocol (`load`, `unload`,
//! `index`); load is read from the engine's Prometheus metrics, whose start time tells one
//! incarnation from the next. Every order is bound to an incarnation by its connection: the client
//! reads the start time and sends the order on the same connection, so an order can't reach a
//! process that was started later.

mod engine_report;
mod http_engine;
mod order;

pub use crate::{
    engine_report::{EngineReport, ResidentModel},
    http_engine::{HttpEngine, LoadParameters, OrderBody, RepositoryEntry},
    order::{FencingToken, Order, OrderKind, OrderOutcome, Refusal},
};

use std::future::Future;

/// A model engine, seen from the planner.
pub trait Engine: Send + Sync {
    /// Why a report can't be read.
    type Error: std::error::Error + Send;

    /// Carries out `order`, or finds out that it can't be known whether it was.
    fn execute(&self, order: &Order) -> impl Future<Output = OrderOutcome> + Send;

    /// Reads the engine's present report.
    ///
    /// # Errors
    ///
    /// The engine gave no report.
    fn report(&self) -> impl Future<Output = Result<EngineReport, Self::Error>> + Send;
}
