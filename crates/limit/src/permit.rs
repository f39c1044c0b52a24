//! Permits to send a request to a limited server, as nodes exchange them.

use serde::{Deserialize, Serialize};

/// Number of waiting requests of one urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RankCount {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Number of requests.
    pub count: u32,
}

/// What the request path of a node wants permits of one server for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitWish {
    /// Hash that identifies the run of the server.
    pub server: u32,
    /// Waiting requests by urgency, the most urgent first.
    pub waiting: Vec<RankCount>,
    /// A request was sent elsewhere that could find out whether the server still names its limit.
    pub wants_probe: bool,
}

/// A node's request for permits of one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PermitDemand {
    /// Hash that identifies the run of the server.
    pub server: u32,
    /// Number of permits of the server that the node has received since it started.
    pub received: u32,
    /// The node's time when it sent the request, in milliseconds.
    pub stamp_ms: u32,
    /// Number of nodes for which the sender counts as a part of the deployment: itself and the
    /// nodes whose requests it forwards. Zero if another node counts it.
    pub nodes: u32,
    /// Waiting requests by urgency, the most urgent first.
    pub waiting: Vec<RankCount>,
    /// A request was sent elsewhere that could find out whether the server still names its limit.
    pub wants_probe: bool,
}

/// Permits of one server for one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PermitGrant {
    /// Hash that identifies the run of the server.
    pub server: u32,
    /// Number of permits.
    pub permits: u32,
    /// Stamp of the latest request for permits that the issuer had from the node.
    pub stamp_ms: u32,
    /// The permit is for a request that finds out whether the server still names its limit.
    pub is_probe: bool,
    /// Requests of all nodes that wait for permits of the server, by urgency.
    pub waiting: Vec<RankCount>,
}

/// Number of requests in `counts` that are at least as urgent as `rank`.
pub(crate) fn count_up_to(counts: &[RankCount], rank: u8) -> u32 {
    counts.iter().filter(|ranked| ranked.rank <= rank).map(|ranked| ranked.count).sum()
}
