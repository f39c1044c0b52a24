//! Decides which models are resident on which engines, and sends the load and unload orders.
//!
//! A single [`PlacementController`] acts for all engines at a time: that of the node that holds the
//! leader lease. It keeps a ledger of what each engine holds, built from the engine's own report
//! and from the orders that the engine has accepted since. Every order carries the number of orders
//! that the ledger counts as accepted, and an engine that has accepted a different number rejects
//! the order. This gives two guarantees. Engine memory is never overcommitted, regardless of which
//! other nodes have sent orders and of how late those arrive. And an order without an answer can be
//! resent safely, because the engine carries out at most one of the two.
//!
//! [`plan`] is the placement decision itself: which base model to load on which engine, and which
//! models to evict for it. Nothing in this crate does I/O or reads a clock.

mod demand_table;
mod engine_digest;
mod lease_term;
mod managed_engine;
mod order_waits;
mod placement_controller;
mod plan;
mod rate_limiter;

pub use crate::{
    demand_table::DemandTable,
    engine_digest::{EngineDigest, PendingLoad},
    lease_term::{LeaseTerm, ORDER_ARRIVAL_MAX},
    order_waits::OrderWaits,
    placement_controller::{Action, PlacementController},
    plan::{EngineInput, ModelInput, Move, PlanInput, plan},
    rate_limiter::RateLimiter,
};
