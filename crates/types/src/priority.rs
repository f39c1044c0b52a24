//! Priority classes of requests.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Priority class of a request, which determines whether the request may be delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// The request must meet its latency objective for the first token, or be refused at once.
    Urgent,
    /// The request may wait for spare capacity, but must eventually complete.
    Patient,
}

/// Error for a text that isn't the name of a [`Priority`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidPriority;

impl fmt::Display for InvalidPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("priority must be \"urgent\" or \"patient\"")
    }
}

impl std::error::Error for InvalidPriority {}

impl FromStr for Priority {
    type Err = InvalidPriority;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "urgent" => Ok(Self::Urgent),
            "patient" => Ok(Self::Patient),
            _ => Err(InvalidPriority),
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Urgent => "urgent",
            Self::Patient => "patient",
        })
    }
}
