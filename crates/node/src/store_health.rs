//! Whether the store answers this node, and what other nodes say of it.

use {
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Age up to which a failure speaks for the present.
const FAILURE_FRESH: Duration = Duration::from_millis(1500);

/// What a node says of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct StoreStatus {
    /// Time since the store last answered; `None` if it never has.
    pub(crate) answered: Option<Duration>,
    /// Time since a call last failed; `None` if none has.
    pub(crate) failed: Option<Duration>,
}

impl StoreStatus {
    /// True if the node has lately tried and not reached the store.
    pub(crate) fn is_unreachable(&self) -> bool {
        let Some(failed) = self.failed else { return false };
        let answered_since = self.answered.is_some_and(|answered| answered < failed);
        !answered_since && failed < FAILURE_FRESH
    }
}

/// Outcomes of this node's calls to the store.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    answered_at: Option<Instant>,
    failed_at: Option<Instant>,
    is_unreachable: bool,
    /// When the store last came back, after it had been away or from a copy.
    regained_at: Option<Instant>,
}

impl StoreHealth {
    /// The store has answered.
    pub(crate) fn on_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
        if self.is_unreachable {
            self.is_unreachable = false;
            self.regained_at = Some(now);
            log::info!("store_regained");
        }
    }

    /// The store was restored from a copy. Whatever others wrote there since is written again.
    pub(crate) fn on_restored(&mut self, now: Instant) {
        self.regained_at = Some(now);
    }

    /// A call that began at `began_at` has failed. One that the store has answered a later call since
    /// says nothing of the present.
    pub(crate) fn on_failure(&mut self, now: Instant, began_at: Instant, reason: &str) {
        if self.answered_at.is_some_and(|at| at > began_at) {
            return;
        }
        self.failed_at = Some(now);
        if !self.is_unreachable {
            self.is_unreachable = true;
            let silent_ms = self.answered_at.map_or(0, |at| (now - at).as_millis() as u64);
            log::warn!(reason = reason, silent_ms = silent_ms; "store_lost");
        }
    }

    /// True if the latest call has failed.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Time since the store last answered.
    pub(crate) fn time_since_answer(&self, now: Instant) -> Duration {
        self.answered_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// True if the store is away, or came back within `time`.
    pub(crate) fn was_unreachable_within(&self, now: Instant, time: Duration) -> bool {
        self.is_unreachable
            || self.regained_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// What other nodes are told.
    pub(crate) fn status(&self, now: Instant) -> StoreStatus {
        let age = |at: Instant| now.saturating_duration_since(at);
        StoreStatus { answered: self.answered_at.map(age), failed: self.failed_at.map(age) }
    }
}

#[cfg(test)]
mod tests;
