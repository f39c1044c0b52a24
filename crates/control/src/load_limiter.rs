//! Limits the rate and the concurrency of loads of base models from the weight store, for one group
//! of engines.
//!
//! The deployment's limits are divided evenly between the groups that have engines, so that all
//! lease holders together stay within the limits without exchanging messages.

use std::time::{Duration, Instant};

/// Rate and concurrency limit on loads of base models for one group.
#[derive(Clone, Debug)]
pub(crate) struct LoadLimiter {
    /// Shortest time between the starts of two loads.
    interval: Duration,
    max_concurrent: u32,
    next_load_at: Option<Instant>,
}

impl LoadLimiter {
    /// Returns the share of the group with the 0-based index `group_idx` among `groups` groups.
    pub(crate) fn share(
        loads_per_s: f64,
        max_concurrent_loads: u32,
        groups: u32,
        group_idx: u32,
    ) -> Self {
        let groups = groups.max(1);
        let rate = loads_per_s / f64::from(groups);
        let remainder = u32::from(group_idx < max_concurrent_loads % groups);
        Self {
            interval: Duration::from_secs_f64(1.0 / rate),
            max_concurrent: (max_concurrent_loads / groups + remainder).max(1),
            next_load_at: None,
        }
    }

    /// Replaces the share and keeps the earliest time of the next load.
    pub(crate) fn set_share(&mut self, share: Self) {
        *self = Self { next_load_at: self.next_load_at, ..share };
    }

    /// Returns true if a load may start while `in_progress` others run.
    pub(crate) fn allows(&self, now: Instant, in_progress: u32) -> bool {
        in_progress < self.max_concurrent && self.next_load_at.is_none_or(|at| now >= at)
    }

    /// Records that a load was decided at `now`.
    pub(crate) fn record_load(&mut self, now: Instant) {
        self.next_load_at = Some(now + self.interval);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_to_the_limit() {
        let total: u32 = (0..3).map(|idx| LoadLimiter::share(2.0, 11, 3, idx).max_concurrent).sum();
        assert_eq!(total, 11);
        let now = Instant::now();
        let mut limiter = LoadLimiter::share(3.0, 6, 3, 0);
        assert!(limiter.allows(now, 1) && !limiter.allows(now, 2));
        limiter.record_load(now);
        assert!(!limiter.allows(now + Duration::from_millis(999), 0));
        assert!(limiter.allows(now + Duration::from_secs(1), 0));
    }
}
