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
    pub head_bytes: usize,
    /// Largest accepted request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request head to the end of the head.
    pub head_time: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Limits that apply until the first configuration has been loaded.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
