//! Whether a call ran on a backend server, as far as an attempt to send it can prove.

use serde::{Deserialize, Serialize};

/// Whether one call ran, after one attempt to send it.
///
/// A call that isn't idempotent may be retried only after [`CallOutcome::NotRun`]. Only
/// [`CallOutcome::NotRun`] may be reported to a caller as "was not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The backend server answered.
    Answered,
    /// The call provably did not run: no byte of the request left this process.
    NotRun,
    /// At least one byte of the request was sent and no answer was received. The call may or may not have
    /// run.
    Unknown,
}
