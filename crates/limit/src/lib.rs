//! Limits on the rate of requests that servers name in their answers, and how many nodes keep to
//! them together.
//!
//! A server names how many requests per second it takes from all nodes. Each node keeps a
//! [`LimitTable`] of all limits, which nodes merge. Whoever sends to a limited server needs a permit
//! for each request. One node issues the permits for a server, by a [`PermitIssuer`].
//!
//! This crate does no I/O and reads no clock: the time is passed in.

mod known_limit;
mod limit_table;
mod permit;
mod permit_issuer;
mod permit_pool;
mod stated_limit;

pub use crate::{
    known_limit::{KnownLimit, LimitChange, LimitReport},
    limit_table::{LimitTable, LimitUpdate, NamedLimit},
    permit::{PermitDemand, PermitGrant, PermitWish, RankCount},
    permit_issuer::PermitIssuer,
    permit_pool::PermitPool,
    stated_limit::StatedLimit,
};
