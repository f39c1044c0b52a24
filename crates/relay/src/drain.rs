//! Which requests a node that drains before it exits still admits, and sends to servers.

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

    /// True if a request that has to be answered by `answer_by` is admitted. A server that stalls may
    /// use all of that time, so an estimate of the request's duration isn't enough.
    pub(crate) fn admits(&self, now: Instant, answer_by: Instant) -> bool {
        let time_limit = answer_by.saturating_duration_since(now);
        self.time_left(now).is_none_or(|left| time_limit < left)
    }

    /// True if an admitted request that may take `longest_duration` can still be sent to a server.
    pub(crate) fn permits_sending(&self, now: Instant, longest_duration: Duration) -> bool {
        self.time_left(now).is_none_or(|left| longest_duration.mul_f64(ESTIMATE_MARGIN) < left)
    }

    /// Time left until requests that have no answer yet are answered by this VM, because the process ends.
    pub(crate) fn unanswered_time_left(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.started_at);
        self.grace_period.saturating_sub(FLUSH_TIME).saturating_sub(elapsed)
    }

    /// Time left for answers; `None` as long as every request is served.
    fn time_left(&self, now: Instant) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.started_at);
        let left = self.grace_period.saturating_sub(elapsed).saturating_sub(FLUSH_TIME);
        (elapsed >= self.grace_period.mul_f64(ADMIT_ALL_SHARE)).then_some(left)
    }
}

#[cfg(test)]
mod tests;
