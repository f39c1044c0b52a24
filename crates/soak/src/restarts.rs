//! Planned restarts of nodes.

use std::time::{Duration, Instant};

/// Grace period of nodes between the signal to end and the one that kills.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time after the end of the grace period during which answers may still be seen to be cut by it.
const GRACE_AFTERMATH: Duration = Duration::from_secs(1);
/// Time after the signal during which a node may take a request that outlasts the grace period.
const LATE_REQUESTS_TIME: Duration = Duration::from_secs(3);

/// When a process was told to end, by the soak's ticks and by the clock, which nodes go by. A busy machine
/// is late with ticks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Told {
    pub(crate) tick: Duration,
    pub(crate) at: Instant,
}

/// A node's planned restarts.
#[derive(Clone, Copy, Debug, Default)]
struct Restart {
    /// When the present process was told to end.
    present: Option<Told>,
    /// When a process of the node was told to end last.
    last: Option<Told>,
}

/// Which nodes were told to end so as to be started again, and when.
#[derive(Clone, Debug)]
pub(crate) struct Restarts(Vec<Restart>);

impl Restarts {
    pub(crate) fn new(nodes: usize) -> Self {
        Self(vec![Restart::default(); nodes])
    }

    /// True if the present process of `node` was told to end.
    pub(crate) fn is_told(&self, node: usize) -> bool {
        self.0[node].present.is_some()
    }

    /// True if some node was told to end and hasn't been started again.
    pub(crate) fn are_under_way(&self) -> bool {
        self.0.iter().any(|restart| restart.present.is_some())
    }

    /// `node` is told to end.
    pub(crate) fn tell(&mut self, node: usize, told: Told) {
        self.0[node] = Restart { present: Some(told), last: Some(told) };
    }

    /// The process of `node` has ended. Returns when it was told to, if it was.
    pub(crate) fn end(&mut self, node: usize) -> Option<Told> {
        self.0[node].present.take()
    }

    /// When `node` was told to end, if its grace period is over at the tick `now`.
    pub(crate) fn overdue(&self, node: usize, now: Duration) -> Option<Told> {
        self.0[node].present.filter(|told| now > told.tick + GRACE_PERIOD)
    }

    /// True if the end of the grace period may have cut the answer to a request that was sent to
    /// `node` at `sent_at`, and whose server is still at work `now`.
    pub(crate) fn may_cut(&self, node: usize, sent_at: Instant, now: Instant) -> bool {
        self.0[node].last.is_some_and(|Told { at, .. }| {
            let last_sixth = at + GRACE_PERIOD * 5 / 6;
            let over = at + GRACE_PERIOD + GRACE_AFTERMATH;
            sent_at <= at + LATE_REQUESTS_TIME && (last_sixth..over).contains(&now)
        })
    }
}

#[cfg(test)]
mod tests;
