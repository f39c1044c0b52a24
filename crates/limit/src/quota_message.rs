//! What nodes tell each other about the quotas of teams. Amounts are tokens, or requests where the
//! team's quota counts these.

use serde::{Deserialize, Serialize};

/// Credit that a node returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ReturnedCredit {
    /// Time since the credit was granted or last used, in milliseconds.
    pub age_ms: u32,
    /// The amount.
    pub tokens: u32,
}

/// A node's needs and returns for one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaAsk {
    /// Hash of the team's name.
    pub team: u32,
    /// The node's time when it asked, in milliseconds.
    pub stamp_ms: u32,
    /// Sum of all grants that the node has received, modulo 2^32.
    pub received: u32,
    /// Credit that the node holds for requests to come.
    pub held: u32,
    /// What the node's requests have recently used each second; zero if it wants no advance.
    pub use_per_s: u32,
    /// Sizes of the waiting requests, the first one first.
    pub waiting: Vec<u32>,
    /// Credit that wasn't used.
    pub returned: Vec<ReturnedCredit>,
    /// What the node has used without a grant: for requests that were sent long after they had been
    /// charged, whose first charge is among the returned credit.
    pub taken: u32,
    /// The node has had no reply from the issuer for a while and uses its own share.
    pub is_alone: bool,
}

/// What one node sends to an issuer, or to the core that forwards it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaReport {
    /// Number of nodes for which the sender counts as a part of the deployment: itself and the
    /// nodes whose asks it forwards.
    pub nodes: u32,
    /// Teams for which these nodes count on the receiver.
    pub counted: Vec<u32>,
    /// Teams for which they no longer do.
    pub released: Vec<u32>,
    /// The asks.
    pub asks: Vec<QuotaAsk>,
}

impl QuotaReport {
    /// True if the report says nothing.
    pub fn is_empty(&self) -> bool {
        self.counted.is_empty() && self.released.is_empty() && self.asks.is_empty()
    }
}

/// An issuer's reply to a node's ask.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct QuotaGrant {
    /// Hash of the team's name.
    pub team: u32,
    /// The granted amount.
    pub tokens: u32,
    /// Stamp of the latest ask that the issuer had from the node.
    pub stamp_ms: u32,
    /// What is left in the bucket, less what all nodes' requests wait for.
    pub level: i32,
    /// Rate at which the issuer's bucket fills.
    pub fill_per_s: f32,
}
