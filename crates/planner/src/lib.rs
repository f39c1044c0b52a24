//! The planner daemon: polls engines for reports, holds leases over groups of engines, and sends
//! the orders that carry out the placement of models.
//!
//! Polling is part of this daemon rather than of a separate one, because the planner needs the same
//! reports, and one process per VM halves the connections and the state. The control crate makes
//! all decisions. This crate does the I/O: it feeds events to that crate and carries out its
//! actions.

mod engine_reports;
mod planner;
mod planner_event;
mod status_endpoint;

pub use crate::planner::{Planner, PlannerError};
