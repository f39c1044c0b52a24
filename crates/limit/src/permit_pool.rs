//! The permits of one server that one node holds.

use {
    crate::permit::{PermitGrant, RankCount, count_up_to},
    std::time::{Duration, Instant},
};

/// Time for which a node may use a permit.
const PERMIT_TTL: Duration = Duration::from_millis(500);
/// Time for which a node may use the permit for a probe: until a request comes that fits.
const PROBE_TTL: Duration = Duration::from_secs(1);
/// Time for which the issuer's count of waiting requests holds.
const WAITING_TTL: Duration = Duration::from_secs(1);

/// Permits of one server, and the requests of all nodes that wait for some.
#[derive(Clone, Debug, Default)]
pub struct PermitPool {
    /// Ends of the permits' validity.
    permits: Vec<Instant>,
    probe_until: Option<Instant>,
    waiting: Vec<RankCount>,
    waiting_until: Option<Instant>,
    /// Waiting requests of this node, as last reported to the issuer.
    pub(crate) own_waiting: Vec<RankCount>,
}

impl PermitPool {
    /// Adds the permits of `grant`.
    pub fn add(&mut self, now: Instant, grant: &PermitGrant) {
        self.drop_expired(now);
        if grant.is_probe {
            self.probe_until = (grant.permits > 0).then_some(now + PROBE_TTL);
        } else {
            self.permits.extend((0..grant.permits).map(|_| now + PERMIT_TTL));
        }
        self.waiting.clone_from(&grant.waiting);
        self.waiting_until = Some(now + WAITING_TTL);
    }

    /// Number of permits that may be used at `now`.
    pub fn count(&self, now: Instant) -> usize {
        self.permits.iter().filter(|until| now < **until).count()
    }

    /// True if a request may be sent as a probe.
    pub fn has_probe(&self, now: Instant) -> bool {
        self.probe_until.is_some_and(|until| now < until)
    }

    /// Uses up one permit, the one for a probe first.
    pub fn take(&mut self, now: Instant) {
        if self.has_probe(now) {
            self.probe_until = None;
            return;
        }
        self.drop_expired(now);
        if !self.permits.is_empty() {
            self.permits.remove(0);
        }
    }

    /// Requests of other nodes that wait for permits and are at least as urgent as `rank`.
    pub fn others_ahead(&self, now: Instant, rank: u8) -> u32 {
        if self.waiting_until.is_none_or(|until| until <= now) {
            return 0;
        }
        count_up_to(&self.waiting, rank).saturating_sub(count_up_to(&self.own_waiting, rank))
    }

    /// Records which requests of this node the issuer has been told of.
    pub fn set_own_waiting(&mut self, waiting: &[RankCount]) {
        self.own_waiting = waiting.to_vec();
    }

    fn drop_expired(&mut self, now: Instant) {
        self.permits.retain(|until| now < *until);
    }
}
