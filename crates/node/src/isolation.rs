//! Notices that this node has lost nearly all of its peers at once, so that it is probably cut off
//! from them and can't serve them as holder of the lease.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A node that at most one in this many of its recent peers exchange heartbeats with is isolated. The share
/// is small because a holder that yields to peers that have died leaves the lease to nobody meanwhile.
const REMAINING_SHARE: usize = 8;
/// Fewest peers before the loss.
const PEERS_MIN: usize = 8;
/// Time for which lost peers count. It exceeds the time for which an isolated node leaves the lease to
/// others; a node that nobody has relieved by then serves those that still hear it.
const WINDOW: Duration = Duration::from_secs(12);
/// Time between two counts that are kept.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of peers in the recent past that this node heard, and that heard it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Isolation {
    counts: VecDeque<(Instant, usize)>,
}

impl Isolation {
    /// Records that this node and `mutual` peers hear each other. Returns true if that is nearly none
    /// of those that did.
    pub(crate) fn update(&mut self, now: Instant, mutual: usize) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self.counts.front().is_some_and(|(at, _)| age(*at) > WINDOW) {
            self.counts.pop_front();
        }
        match self.counts.back_mut() {
            Some((at, count)) if age(*at) < COUNT_INTERVAL => *count = mutual.max(*count),
            _ => self.counts.push_back((now, mutual)),
        }
        let peak = self.counts.iter().map(|(_, count)| *count).max().unwrap_or(0);
        peak >= PEERS_MIN && mutual * REMAINING_SHARE <= peak
    }
}
