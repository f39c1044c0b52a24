//! The moments at which callers that a VM has refused for a limit are to return to it.
//!
//! All VMs count from the moment at which the server began to name limits, and each has a turn of its own in every
//! round. So callers return one after the other, as often as the server takes requests, whichever VMs refuse them.

use {
    glade_limit::NamedLimit,
    std::time::{Duration, Instant},
};

/// Longest round. The rates of limits may be as small as they like.
const ROUND_MAX_S: f64 = 3600.0;

/// The turns of one VM at one limited server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReturnTurns {
    first: Instant,
    round: Duration,
}

impl ReturnTurns {
    /// Returns the turns of the VM at `position` of `vms` for `limit`, whose rate isn't zero.
    pub(crate) fn new(limit: &NamedLimit, vms: u32, position: u32) -> Self {
        let turns = |count: u32| {
            Duration::from_secs_f64((f64::from(count) / limit.per_second).min(ROUND_MAX_S))
        };
        Self { first: limit.began_at + turns(position), round: turns(vms) }
    }

    /// The first turn at `earliest` or later, and after `last` if that was one.
    pub(crate) fn next(&self, earliest: Instant, last: Option<Instant>) -> Instant {
        // Half a round, because VMs learn of changed limits and of other VMs between two turns.
        let earliest = last.map_or(earliest, |last| earliest.max(last + self.round / 2));
        let time = earliest.saturating_duration_since(self.first);
        if self.round.is_zero() || time.is_zero() {
            return earliest.max(self.first);
        }
        let rounds = (time.as_secs_f64() / self.round.as_secs_f64()).ceil();
        self.first + Duration::from_secs_f64(rounds * self.round.as_secs_f64())
    }
}
