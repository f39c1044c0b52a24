//! Rate limit for loads from the weight store.

use std::time::Instant;

/// Loads that may begin at once after an idle period. In each time window the platform tolerates
/// three loads and a tenth of the rate beyond the rate itself; the tenth is left for orders that
/// are carried out late.
const BURST: f64 = 3.0;

/// A token bucket for loads from the weight store.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    rate_per_s: f64,
    permits: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Returns a limiter without permits, because the previous lease holder may just have used its
    /// burst.
    pub fn without_burst(now: Instant) -> Self {
        Self { rate_per_s: 0.0, permits: 0.0, refilled_at: now }
    }

    /// Sets the number of loads that may begin per second.
    pub fn set_rate(&mut self, now: Instant, rate_per_s: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s.max(0.0);
    }

    /// Takes the permit for one load. Returns false if there is none.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.permits < 1.0 {
            return false;
        }
        self.permits -= 1.0;
        true
    }

    /// Number of loads that may begin now.
    pub fn available(&self, now: Instant) -> usize {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        (self.permits + elapsed_s * self.rate_per_s).min(BURST) as usize
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.permits = (self.permits + elapsed_s * self.rate_per_s).min(BURST);
        self.refilled_at = now;
    }
}
