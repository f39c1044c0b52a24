//! Paces loads from the weight store.

use std::time::Instant;

/// Loads that may begin at once after a quiet time. The platform tolerates three and a tenth of the
/// rate beyond it in each window; the tenth is left for an order that is carried out late.
const BURST: f64 = 3.0;

/// A token bucket for loads from the weight store.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Returns an empty pacer: whoever gave orders before may just have used its burst.
    pub fn empty(now: Instant) -> Self {
        Self { rate_per_s: 0.0, tokens: 0.0, refilled_at: now }
    }

    /// Sets the loads that may begin in a second.
    pub fn set_rate(&mut self, now: Instant, rate_per_s: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s.max(0.0);
    }

    /// Takes the right to begin a load, if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Loads that may begin now.
    pub fn available(&self, now: Instant) -> usize {
        let since = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.tokens + since * self.rate_per_s).min(BURST) as usize
    }

    fn refill(&mut self, now: Instant) {
        let since = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + since * self.rate_per_s).min(BURST);
        self.refilled_at = now;
    }
}
