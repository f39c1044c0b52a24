//! Urgency of a request.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// How long a request can wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Must meet its target for the first token, or be refused at once.
    Urgent,
    /// May wait for spare capacity but has to finish in the end.
    Patient,
}

/// The text isn't a priority.
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
