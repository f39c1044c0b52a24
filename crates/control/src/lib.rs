//! The decision core of the planner: leases over groups of engines, the ledgers of their engines,
//! and the orders that carry out the placement.
//!
//! The core does no I/O. [`Control::step`] takes an event and the present clock reading and appends
//! the actions that the event calls for. Everything that comes from outside (identity, clock,
//! random seed) is passed in, so that many instances can run in one process under any schedule of
//! events, lost answers and pauses.
//!
//! Nothing that the core remembers has to survive it. A successor takes up the work from the lease
//! row, the ledger rows and what the engines report.

mod config;
mod control;
mod coverage;
mod demand;
mod event;
mod group;
mod pacing;
mod slot;
mod status;

pub use crate::{
    config::ControlConfig,
    control::Control,
    event::{Action, Event, OpId, StoreAnswer},
    status::{ControlStatus, EngineStatus, GroupStatus},
};
