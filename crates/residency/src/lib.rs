//! Decides which models reside on which engines, and gives the orders.
//!
//! One [`PlacementController`] at a time acts for all engines: the node that holds the lease. It keeps a ledger
//! of what each engine holds, built from the engine's own report and from the orders that the engine
//! has accepted since. Every order names the number of orders that the ledger knows of, so an engine
//! whose state isn't the one in the ledger refuses it. Two things follow: memory is never
//! overcommitted, whoever else has given orders and however late they arrive; and an order without
//! an answer is simply sent again, since only one of the two can be carried out.
//!
//! [`plan`] is the placement decision by itself: which base model to load where, and what makes
//! room for it. Nothing here does I/O or reads a clock.

mod demand_table;
mod engine_digest;
mod lease_term;
mod managed_engine;
mod placement_controller;
mod plan;
mod rate_limiter;

pub use crate::{
    demand_table::DemandTable,
    engine_digest::{EngineDigest, PendingLoad},
    lease_term::LeaseTerm,
    placement_controller::{Action, PlacementController},
    plan::{EngineInput, ModelInput, Move, PlanInput, plan},
    rate_limiter::RateLimiter,
};
