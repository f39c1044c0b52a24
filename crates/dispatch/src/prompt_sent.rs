//! Report of a single sent prompt, which VMs exchange.

use serde::{Deserialize, Serialize};

/// A prompt that was sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PromptSent {
    /// The server, by the tag of its key.
    pub server: u32,
    /// Time of its prefill, in microseconds.
    #[serde(rename = "reading_us")]
    pub prefill_us: u32,
}
