//! What is known about a call after an attempt to run it.

use serde::{Deserialize, Serialize};

/// Knowledge about the execution of one call.
///
/// Only [`CallOutcome::NotRun`] permits another attempt of work that isn't idempotent, and only it
/// may be reported to a caller as "was not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The backend server answered.
    Answered,
    /// Proved not run: no byte of the request left this process.
    NotRun,
    /// At least one byte left and no answer came back; it may or may not have run.
    Unknown,
}
