//! Whether a server answers as it should, judged by its answers alone.
//!
//! The load that this answers: some servers fail part of their requests, or all, while their own
//! health check is good.

use std::time::{Duration, Instant};

/// Weight of the newest outcome in the share of failures.
const NEWEST_WEIGHT: f64 = 0.2;
/// Share of failures above which a server is set aside.
const EJECTION_SHARE: f64 = 0.45;
/// Share of failures below which earlier times aside are forgotten.
const HEALTHY_SHARE: f64 = 0.15;
/// How long a server is first set aside.
const EJECTION_TIME_MIN: Duration = Duration::from_millis(500);
/// How long a server is set aside at most.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(4);
/// Time that a failure costs a request, in seconds, for servers that can be compared.
const FAILURE_COST_S: f64 = 0.3;

/// Time after which a failure costs half: a server that gets no requests can't show that it is sound again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Outcomes of one server's latest requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failed_share: f64,
    failed_at: Option<Instant>,
    ejected_until: Option<Instant>,
    /// How often it was set aside without a good answer since.
    ejections: u32,
}

impl Health {
    /// Takes note of a good answer.
    pub(crate) fn on_success(&mut self) {
        self.failed_share *= 1.0 - NEWEST_WEIGHT;
        if self.failed_share < HEALTHY_SHARE {
            self.ejections = 0;
        }
    }

    /// Takes note of a failure that counts as `weight` failures. Returns how long the server is set
    /// aside for it, if it is. After that time it is tried again; one more failure sets it aside for
    /// twice as long.
    pub(crate) fn on_failure(&mut self, now: Instant, weight: u32) -> Option<Duration> {
        if weight > 0 {
            self.failed_at = Some(now);
        }
        for _ in 0..weight {
            self.failed_share += NEWEST_WEIGHT * (1.0 - self.failed_share);
        }
        if self.failed_share <= EJECTION_SHARE || self.is_ejected(now) {
            return None;
        }
        let doubled = EJECTION_TIME_MIN * 2_u32.saturating_pow(self.ejections.min(8));
        let ejection_time = doubled.min(EJECTION_TIME_MAX);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection_time);
        Some(ejection_time)
    }

    /// True if the server gets no requests while others can take them.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Time that its failures are likely to cost a request, in seconds.
    pub(crate) fn cost_s(&self, now: Instant) -> f64 {
        let age = self.failed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let halvings = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failed_share * FAILURE_COST_S * (-halvings).exp2()
    }

    /// Share of its latest requests that failed.
    pub(crate) fn failed_share(&self) -> f64 {
        self.failed_share
    }
}
