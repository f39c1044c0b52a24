//! Chooses the backend server for a request, or decides that the request must wait or be refused.
//!
//! Traffic threads call [`decide`] on an immutable [`RouteTable`]. The only shared state that they
//! access is atomic counters, so the traffic path takes no lock. The control thread builds a new
//! table when reports, membership or the operators' table change.
//!
//! Reports lag, so a prediction adds to the reported load what this VM has sent since, scaled for
//! the other VMs that act on the same report. Among equally good servers the choice is random: a
//! fixed order would send the requests of every VM to the same one.

mod decide;
mod limiter;
mod prefix_affinity;
mod retry_budget;
mod route_table;
mod server_counters;

pub use crate::{
    decide::{Decision, Refusal, RequestSpec, RoutingPolicy, decide, pick_service},
    limiter::{Limiter, Permit},
    prefix_affinity::PrefixAffinity,
    retry_budget::RetryBudget,
    route_table::{EngineEntry, RouteTable, ServiceEntry},
    server_counters::{InFlightGuard, ServerCounters},
};
