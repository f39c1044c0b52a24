//! Admission control of a node that drains before it exits.

use std::time::{Duration, Instant};

/// Share of the grace period during which every request is still admitted.
const ADMIT_ALL_SHARE: f64 = 0.3;
/// Estimated durations are multiplied by this before they are compared with the time left.
const ESTIMATE_MARGIN: f64 = 1.4;
/// Time reserved at the end of the grace period for writing out the last bytes.
const FLUSH_TIME: Duration = Duration::from_millis(700);
/// `Retry-After` for callers that are sent to another node.
pub(crate) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(30);

/// State of a node that was told to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Drain {
    started_at: Instant,
    grace_period: Duration,
}

impl Drain {
    pub(crate) fn new(started_at: Instant, grace_period: Duration) -> Self {
        Self { started_at, grace_period }
    }

    /// True if a request that may take `longest_duration` can still be served.
    pub(crate) fn admits(&self, now: Instant, longest_duration: Duration) -> bool {
        let elapsed = now.saturating_duration_since(self.started_at);
        if elapsed < self.grace_period.mul_f64(ADMIT_ALL_SHARE) {
            return true;
        }
        let left = self.grace_period.saturating_sub(elapsed).saturating_sub(FLUSH_TIME);
        longest_duration.mul_f64(ESTIMATE_MARGIN) < left
    }
}
