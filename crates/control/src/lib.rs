//! The decision core of the planner process. The planner keeps the models of all inference engines
//! placed: each engine belongs to a group, one planner at a time holds the lease over a group, and
//! the holder reserves memory in the engines' ledgers and sends load and unload orders.
//!
//! The core does no I/O. [`PlannerCore::step`] takes an event and the current clock reading and
//! appends the actions that the caller has to carry out. Identity, clock and random seed are passed
//! in, so that tests can run many instances in one process under any schedule of events, lost
//! answers and pauses.
//!
//! The state of the core need not be persisted. A successor resumes the work from the lease row,
//! the ledger rows and the engines' reports.

mod coverage;
mod demand_aggregator;
mod engine_group;
mod engine_ledger;
mod event;
mod load_limiter;
mod planner_config;
mod planner_core;
mod planner_status;

pub use crate::{
    event::{Action, Event, OpId, StoreAnswer},
    planner_config::PlannerConfig,
    planner_core::PlannerCore,
    planner_status::{EngineStatus, GroupStatus, PlannerStatus},
};
