//! Teams: sets of callers that authenticate with the same keys and share a priority and a quota.

use {
    crate::team_key::TeamKey,
    glade_types::TeamName,
    serde::{Deserialize, Serialize},
};

/// What a team's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Tokens of the prompt and of the generated text.
    Tokens,
    /// Requests.
    Requests,
}

/// Limit on what a team's requests use, as a token bucket for the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Tokens that a request without token counts counts as.
    pub plain_tokens: u32,
    /// Units that the bucket gains each second; positive.
    pub rate_per_s: f64,
    /// Most units in the bucket; positive.
    pub burst: f64,
}

/// A set of callers that authenticate with the same keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Team {
    /// Name of the team, which servers are told.
    pub name: TeamName,
    keys: Vec<TeamKey>,
    /// Priority rank of the team's requests in place of the route's; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Limit on the team's requests; `None` if there is no limit.
    pub quota: Option<Quota>,
}

impl Team {
    /// Creates a team whose callers authenticate with any of `keys`.
    pub fn new(name: TeamName, keys: Vec<TeamKey>, rank: Option<u8>, quota: Option<Quota>) -> Self {
        Self { name, keys, rank, quota }
    }

    /// Digests of the team's keys.
    pub fn keys(&self) -> &[TeamKey] {
        &self.keys
    }
}
