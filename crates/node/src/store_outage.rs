//! Judges whether the store was away from all nodes, so that entries of live servers may have expired.
//!
//! A node's own calls can't tell an outage of the store from a store that turns this node away, and a node
//! that makes no calls learns of neither. So this rests on all answers and failures that the node knows of,
//! its own and those that others report with their heartbeats.

use {
    crate::store_health::StoreStatus,
    std::time::{Duration, Instant},
};

/// Time after the end of an outage during which missing entries may have expired because of it: servers find
/// out that the store is back, and write their entries again.
const EXPIRY_TIME: Duration = Duration::from_millis(1500);

/// Times at which the store has answered, or hasn't answered, a call of any node.
#[derive(Clone, Debug)]
pub(crate) struct StoreOutage {
    /// Shortest outage after which entries of live servers may be missing.
    shortest: Duration,
    /// First and latest answer known of.
    answered: Option<(Instant, Instant)>,
    /// Latest failure known of.
    failed_at: Option<Instant>,
    /// When the latest outage ended, or the store was restored from a backup.
    ended_at: Option<Instant>,
}

impl StoreOutage {
    /// Returns a state without any knowledge. Servers renew their entries at the `heartbeat_interval`, and
    /// entries outlast several of these; a shorter outage can't be the reason why one expires.
    pub(crate) fn new(heartbeat_interval: Duration) -> Self {
        Self { shortest: heartbeat_interval, answered: None, failed_at: None, ended_at: None }
    }

    /// Records that the store answered a call of some node at `at`.
    pub(crate) fn on_answer(&mut self, at: Instant) {
        let Some((_, latest)) = &mut self.answered else {
            self.answered = Some((at, at));
            return;
        };
        let silence = at.saturating_duration_since(*latest);
        let has_failed = self.failed_at.is_some_and(|failed| failed > *latest);
        *latest = at.max(*latest);
        if has_failed && silence >= self.shortest {
            self.ended_at = Some(at);
            log::info!(lasted_ms = silence.as_millis() as u64; "store_outage_ended");
        }
    }

    /// Records that a call of some node failed at `at`.
    pub(crate) fn on_failure(&mut self, at: Instant) {
        self.failed_at = Some(self.failed_at.map_or(at, |known| known.max(at)));
    }

    /// Records what another node reports.
    pub(crate) fn on_peer_status(&mut self, now: Instant, status: StoreStatus) {
        let at = |age: Option<Duration>| age.and_then(|age| now.checked_sub(age));
        if let Some(at) = at(status.failed) {
            self.on_failure(at);
        }
        if let Some(at) = at(status.answered) {
            self.on_answer(at);
        }
    }

    /// Records that the store was restored from a backup. Servers then write again whatever they had
    /// written since the backup was taken.
    pub(crate) fn on_restore(&mut self, now: Instant) {
        self.ended_at = Some(now);
    }

    /// Time since the store last answered any node, as far as is known; the maximum if it never has.
    pub(crate) fn time_since_answer(&self, now: Instant) -> Duration {
        self.answered.map_or(Duration::MAX, |(_, latest)| now.saturating_duration_since(latest))
    }

    /// True if entries that are missing from a read at `now` may be those of live servers.
    pub(crate) fn may_hide_servers(&self, now: Instant) -> bool {
        self.may_have_hidden_servers(now, Duration::ZERO)
    }

    /// True if entries that were missing at `now`, or up to `time` before, were not those of live servers,
    /// whatever another node says: this node has known for long enough that the store answers.
    pub(crate) fn rules_out_hidden_servers(&self, now: Instant, time: Duration) -> bool {
        let has_known = |(first, _)| now.saturating_duration_since(first) >= EXPIRY_TIME + time;
        self.answered.is_some_and(has_known) && !self.may_have_hidden_servers(now, time)
    }

    fn may_have_hidden_servers(&self, now: Instant, time: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EXPIRY_TIME + time;
        self.ended_at.is_some_and(is_recent) || self.is_out(now)
    }

    /// True if the store is away from all nodes, as far as is known.
    fn is_out(&self, now: Instant) -> bool {
        let Some((_, latest)) = self.answered else { return self.failed_at.is_some() };
        self.failed_at.is_some_and(|failed| failed > latest)
            && now.saturating_duration_since(latest) >= self.shortest
    }
}

#[cfg(test)]
mod tests;
