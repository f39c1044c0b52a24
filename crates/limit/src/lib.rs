//! Limits on the rate of requests that servers name in their answers, quotas of teams, and how many
//! nodes keep to them together.
//!
//! A server names how many requests per second it takes from all nodes. Each node keeps a
//! [`LimitTable`] of all limits, which nodes merge. Whoever sends to a limited server needs a permit
//! for each request. One node issues the permits for a server, by a [`PermitIssuer`].
//!
//! A team's quota bounds the tokens or requests of all nodes together. One node keeps the team's
//! bucket, by a [`QuotaIssuer`], and grants nodes credit, which they hold in [`QuotaPools`].
//!
//! This crate does no I/O and reads no clock: the time is passed in.

mod known_limit;
mod limit_table;
mod permit;
mod permit_issuer;
mod permit_pool;
mod quota_bucket;
mod quota_issuer;
mod quota_message;
mod quota_pool;
mod quota_pools;
mod quota_rate;
mod quota_window;
mod stated_limit;

pub use crate::{
    known_limit::{KnownLimit, LimitChange, LimitReport},
    limit_table::{LimitTable, LimitUpdate, NamedLimit},
    permit::{PermitDemand, PermitGrant, PermitWish, RankCount},
    permit_issuer::PermitIssuer,
    permit_pool::PermitPool,
    quota_bucket::QuotaBucket,
    quota_issuer::QuotaIssuer,
    quota_message::{QuotaAsk, QuotaGrant, QuotaReport, ReturnedCredit},
    quota_pools::{QuotaPools, QuotaVerdict},
    quota_rate::QuotaRate,
    stated_limit::StatedLimit,
};
