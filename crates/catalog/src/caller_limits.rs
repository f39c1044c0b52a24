//! Limits on callers' connections and requests, which guard against oversized and slow requests.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Limits on one caller's connection and its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallerLimits {
    /// Largest accepted request head, in bytes.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: usize,
    /// Largest accepted request body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a request head to the end of the head.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until the first configuration has been loaded.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
