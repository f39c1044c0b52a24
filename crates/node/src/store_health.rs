//! Tracks whether the platform's store answers this node, and the status that the node reports
//! about it to the other nodes in its heartbeats.

use {
    glade_observe::LIFECYCLE,
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Age up to which a reported failure counts as evidence that the store is unreachable now.
const FAILURE_AGE_MAX: Duration = Duration::from_millis(1500);
/// Time after a failure from which on the store may answer again. A core that makes no calls otherwise
/// checks it then.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What a node reports about the store in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct StoreStatus {
    /// Time since the store last answered a call of the node; `None` if it never has.
    pub(crate) answered: Option<Duration>,
    /// Time since a call of the node last failed; `None` if none has.
    pub(crate) failed: Option<Duration>,
}

impl StoreStatus {
    /// True if the node's latest call to the store has failed.
    pub(crate) fn has_failed(&self) -> bool {
        let Some(failed) = self.failed else { return false };
        self.answered.is_none_or(|answered| answered >= failed)
    }

    /// True if the node's latest call to the store is recent and failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.has_failed() && self.failed.is_some_and(|failed| failed < FAILURE_AGE_MAX)
    }
}

/// Outcomes of this node's calls to the store.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    answered_at: Option<Instant>,
    failed_at: Option<Instant>,
    is_unreachable: bool,
}

impl StoreHealth {
    /// Records that the store has answered a call.
    pub(crate) fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        if self.is_unreachable {
            self.is_unreachable = false;
            let failed_ms = self.failed_at.map_or(0, |at| (now - at).as_millis() as u64);
            log::info!( target: LIFECYCLE, failed_ms = failed_ms; "store_regained");
        }
    }

    /// Records that a call that began at `began_at` has failed. The failure is ignored if the store
    /// has answered another call since `began_at`, because it is then out of date. Returns whether it
    /// counts.
    pub(crate) fn record_failure(&mut self, now: Instant, began_at: Instant, reason: &str) -> bool {
        if self.answered_at.is_some_and(|at| at > began_at) {
            return false;
        }
        self.failed_at = Some(now);
        if !self.is_unreachable {
            self.is_unreachable = true;
            let silent_ms = self.answered_at.map_or(0, |at| (now - at).as_millis() as u64);
            log::warn!( target: LIFECYCLE, reason = reason, silent_ms = silent_ms; "store_lost");
        }
        true
    }

    /// True if the latest call has failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// True if the latest call has failed, so lately that another would fail too.
    pub(crate) fn has_just_failed(&self, now: Instant) -> bool {
        self.is_unreachable && !self.needs_check(now)
    }

    /// True if the latest call has failed, so long ago that the store may have come back since.
    pub(crate) fn needs_check(&self, now: Instant) -> bool {
        let is_old = |at| now.saturating_duration_since(at) >= RECHECK_INTERVAL;
        self.is_unreachable && self.failed_at.is_some_and(is_old)
    }

    /// Time since the store last answered; the maximum if it never has.
    pub(crate) fn time_since_answer(&self, now: Instant) -> Duration {
        self.answered_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Time since a call last failed; `None` if none has.
    pub(crate) fn time_since_failure(&self, now: Instant) -> Option<Duration> {
        self.failed_at.map(|at| now.saturating_duration_since(at))
    }

    /// The status to report to the other nodes.
    pub(crate) fn status(&self, now: Instant) -> StoreStatus {
        let age = |at: Instant| now.saturating_duration_since(at);
        StoreStatus { answered: self.answered_at.map(age), failed: self.failed_at.map(age) }
    }
}

#[cfg(test)]
mod tests;
