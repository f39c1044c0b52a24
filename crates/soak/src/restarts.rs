//! Planned restarts of nodes.

use std::time::Duration;

/// Grace period of nodes between the signal to end and the one that kills.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time after the end of the grace period during which answers may still be seen to be cut by it.
const GRACE_AFTERMATH: Duration = Duration::from_secs(1);
/// Time after the signal during which a node may take a request that outlasts the grace period.
const LATE_REQUESTS_TIME: Duration = Duration::from_secs(3);

/// A node's planned restarts.
#[derive(Clone, Copy, Debug, Default)]
struct Restart {
    /// When the present process was told to end.
    told_at: Option<Duration>,
    /// When a process of the node was told to end last.
    last_told_at: Option<Duration>,
}

/// Which nodes were told to end so as to be started again, and when, by the soak's time.
#[derive(Clone, Debug)]
pub(crate) struct Restarts(Vec<Restart>);

impl Restarts {
    pub(crate) fn new(nodes: usize) -> Self {
        Self(vec![Restart::default(); nodes])
    }

    /// True if the present process of `node` was told to end.
    pub(crate) fn is_told(&self, node: usize) -> bool {
        self.0[node].told_at.is_some()
    }

    /// True if some node was told to end and hasn't been started again.
    pub(crate) fn are_under_way(&self) -> bool {
        self.0.iter().any(|restart| restart.told_at.is_some())
    }

    /// `node` is told to end.
    pub(crate) fn tell(&mut self, node: usize, now: Duration) {
        self.0[node] = Restart { told_at: Some(now), last_told_at: Some(now) };
    }

    /// The process of `node` has ended. Returns when it was told to, if it was.
    pub(crate) fn end(&mut self, node: usize) -> Option<Duration> {
        self.0[node].told_at.take()
    }

    /// When `node` was told to end, if its grace period is over.
    pub(crate) fn overdue(&self, node: usize, now: Duration) -> Option<Duration> {
        self.0[node].told_at.filter(|told_at| now > *told_at + GRACE_PERIOD)
    }

    /// True if the end of the grace period may have cut the answer to a request that was sent to
    /// `node` at `sent_at`, and whose server is still at work `now`.
    pub(crate) fn may_cut(&self, node: usize, sent_at: Duration, now: Duration) -> bool {
        self.0[node].last_told_at.is_some_and(|told_at| {
            let last_sixth = told_at + GRACE_PERIOD * 5 / 6;
            let over = told_at + GRACE_PERIOD + GRACE_AFTERMATH;
            sent_at <= told_at + LATE_REQUESTS_TIME && (last_sixth..over).contains(&now)
        })
    }
}

#[cfg(test)]
mod tests;
