//! The end of a node's service.

use std::time::{Duration, Instant};

/// Part of the grace time during which every request is still taken.
const ADMIT_ALL_SHARE: f64 = 0.3;
/// Estimated times are this much longer before they are compared with what is left.
const ESTIMATE_MARGIN: f64 = 1.4;
/// Time kept back at the end of the grace time for the last bytes to leave.
const FLUSH_TIME: Duration = Duration::from_millis(700);
/// Advice to callers that are sent to another node.
pub(crate) const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(30);

/// A node that was told to end.
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
