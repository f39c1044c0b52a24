//! The token bucket of one team at its issuer.

use {
    crate::{
        quota_rate::QuotaRate,
        quota_window::{COVERED, QuotaWindow},
    },
    std::time::{Duration, Instant},
};

/// Most that a bucket lends to a request which is larger than the full bucket, times the share of
/// the nodes. Stays under half of the 17,000 that the platform allows for delay, summed over all
/// parts of a deployment.
const OVERDRAFT_MAX: f64 = 8_000.0;

/// A bucket that fills with a share of a team's rate.
#[derive(Clone, Debug)]
pub struct QuotaBucket {
    level: f64,
    filled_at: Instant,
    rate: QuotaRate,
    share: f64,
    window: QuotaWindow,
}

impl QuotaBucket {
    /// Returns an empty bucket that fills from `fills_from` on.
    pub fn new(now: Instant, fills_from: Instant) -> Self {
        Self {
            level: 0.0,
            filled_at: fills_from,
            rate: QuotaRate { per_s: 0.0, burst: 0.0 },
            share: 0.0,
            window: QuotaWindow::new(now),
        }
    }

    /// Fills the bucket up to `now`, for the `share` of the deployment's nodes that count on it.
    pub fn fill(&mut self, now: Instant, rate: QuotaRate, share: f64) {
        let time_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        // A share that has grown counts from now on only: until now others may have used it.
        let past_share = share.min(self.share);
        let window_s = COVERED.as_secs_f64();
        if rate.within(window_s) < self.rate.within(window_s) {
            // The new limit binds one window after the change.
            self.window.clear();
        }
        let filled = self.level + rate.sustained_per_s() * past_share * time_s;
        self.level = filled.min(rate.burst * past_share);
        (self.rate, self.share) = (rate, share);
    }

    /// What the bucket holds. Negative after a request that was larger than the full bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Rate at which the bucket fills.
    pub fn fill_per_s(&self) -> f64 {
        self.rate.sustained_per_s() * self.share
    }

    /// What the bucket holds beyond half of what it can hold.
    pub fn beyond_half(&self) -> f64 {
        self.level - self.rate.burst * self.share / 2.0
    }

    /// Takes `tokens` out if the bucket holds enough, or is full and may lend the rest.
    pub fn try_take(&mut self, now: Instant, tokens: u32) -> bool {
        let full = self.rate.burst * self.share;
        if self.level < f64::from(tokens).min(full) || !self.may_ever_take(tokens) {
            return false;
        }
        let tokens = f64::from(tokens);
        let overdraft = if tokens > full { OVERDRAFT_MAX } else { 0.0 };
        let allowed = self.rate.within(COVERED.as_secs_f64()) + overdraft;
        if self.window.sum(now) + tokens > allowed {
            return false;
        }
        self.take(now, tokens);
        true
    }

    /// False if a request of `tokens` is larger than the full bucket and what it may lend.
    pub fn may_ever_take(&self, tokens: u32) -> bool {
        f64::from(tokens) <= (self.rate.burst + OVERDRAFT_MAX) * self.share
    }

    /// Takes out what was already spent.
    pub fn take_spent(&mut self, now: Instant, tokens: u32) {
        self.take(now, f64::from(tokens));
    }

    fn take(&mut self, now: Instant, tokens: f64) {
        self.level -= tokens;
        self.window.add(now, tokens);
    }

    /// Takes back `tokens` that were granted `age` ago and not used.
    pub fn give_back(&mut self, now: Instant, age: Duration, tokens: u32) {
        let tokens = f64::from(tokens);
        if self.window.remove(now, age, tokens) {
            let full = (self.rate.burst * self.share).max(self.level);
            self.level = (self.level + tokens).min(full);
        }
    }
}
