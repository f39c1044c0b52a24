//! The planner daemon: watches engines, holds leases and carries out the placement.
//!
//! Watching is part of this daemon rather than a daemon of its own, because the planner needs the
//! same reports, and one process a VM halves the connections and the state. All decisions are made
//! by the control crate; this crate moves events in and actions out.

mod engine_reports;
mod planner;
mod planner_event;
mod status_endpoint;

pub use crate::planner::{Planner, PlannerError};
