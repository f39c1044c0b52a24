//! The answer to the question which software version began a stream.

use serde::{Deserialize, Serialize};

/// A stream whose rest a caller wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamQuestion {
    /// Hash of the request that brought the first event; 0 if the caller doesn't name it.
    pub stream: u64,
    /// Hash of the service.
    pub service: u32,
}

impl StreamQuestion {
    /// True if the caller names the stream.
    pub fn is_named(&self) -> bool {
        self.stream != 0
    }
}

/// Which software version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamOrigin {
    /// The one with this hash.
    Version(u32),
    /// The only one that the service has had while the stream can have lasted.
    Only,
    /// Nobody knows, and nobody will.
    Unknown,
    /// Those who may know haven't answered.
    Unanswered,
}

impl StreamOrigin {
    /// Short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Version(_) => "version",
            Self::Only => "only",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Answer to a [`StreamQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamAnswer {
    /// The question.
    pub question: StreamQuestion,
    /// The answer.
    pub origin: StreamOrigin,
}

/// Answer to the question of one of this node's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginReply {
    /// Number of the request.
    pub number: u32,
    /// What is known of the stream.
    pub origin: StreamOrigin,
    /// Hash of the version at which the stream may go on; `None` if it may at none.
    pub version: Option<u32>,
}
