//! Word of a single prompt.

use serde::{Deserialize, Serialize};

/// A prompt that was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PromptSent {
    /// The server, by the tag of its key.
    pub server: u32,
    /// Time that reading it takes there, in microseconds.
    pub reading_us: u32,
}
