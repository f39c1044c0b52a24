//! Outlier ejection: judges a server by the outcomes of its requests.
//!
//! The failure that this handles: some servers fail part or all of their requests while their own
//! health check succeeds.

use std::time::{Duration, Instant};

/// Weight of the newest outcome in the failure share.
const NEWEST_WEIGHT: f64 = 0.2;
/// Failure share above which a server is ejected.
const EJECTION_SHARE: f64 = 0.45;
/// Failure share below which earlier ejections are forgotten.
const HEALTHY_SHARE: f64 = 0.15;
/// Duration of a first ejection.
const EJECTION_TIME_MIN: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(4);
/// Time that a failure costs a request, in seconds, for the comparison of servers.
const FAILURE_COST_S: f64 = 0.3;

/// Time after which the cost of a failure is halved: a server that gets no requests cannot show
/// that it has recovered.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Outcomes of a server's recent requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failed_share: f64,
    failed_at: Option<Instant>,
    ejected_until: Option<Instant>,
    /// Number of ejections since the failure share was last below `HEALTHY_SHARE`.
    ejections: u32,
}

impl Health {
    /// Records a successful answer.
    pub(crate) fn on_success(&mut self) {
        self.failed_share *= 1.0 - NEWEST_WEIGHT;
        if self.failed_share < HEALTHY_SHARE {
            self.ejections = 0;
        }
    }

    /// Records a failure that counts as `weight` failures. Returns the duration of the ejection, if
    /// it ejects the server. After an ejection the server is tried again; one more failure ejects
    /// it for twice as long.
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

    /// True if the server gets no requests while other servers can take them.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    /// Time that the server's failures are expected to cost a request, in seconds.
    pub(crate) fn cost_s(&self, now: Instant) -> f64 {
        let age = self.failed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let halvings = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failed_share * FAILURE_COST_S * (-halvings).exp2()
    }

    /// Recent share of requests that failed.
    pub(crate) fn failed_share(&self) -> f64 {
        self.failed_share
    }
}
