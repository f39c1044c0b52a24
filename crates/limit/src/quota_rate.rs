//! The quota of one team over all nodes.

use crate::quota_window::WINDOW;

/// How much a team may spend over all nodes, in the team's unit: tokens or requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRate {
    /// Units that the team may spend each second.
    pub per_s: f64,
    /// Units beyond that in each window; also what the full bucket holds.
    pub burst: f64,
}

impl QuotaRate {
    /// Rate at which the limit over each window may be spent all the time. A bucket that filled at the
    /// bare rate would refuse a team whose steady load lies between the two.
    pub(crate) fn sustained_per_s(&self) -> f64 {
        self.per_s + self.burst / WINDOW.as_secs_f64()
    }

    /// The most that a full bucket and its filling yield within `window_s` seconds.
    pub(crate) fn within(&self, window_s: f64) -> f64 {
        self.per_s * window_s + self.burst
    }
}
