//! The group's share of the weight store.
//!
//! The deployment's limits are divided over the groups that have engines, so that all holders
//! together stay within them without talking.

use std::time::{Duration, Instant};

/// Paces loads of base models for one group.
#[derive(Clone, Debug)]
pub(crate) struct LoadLimiter {
    interval: Duration,
    at_once: u32,
    next_at: Option<Instant>,
}

impl LoadLimiter {
    /// The share of group number `rank` of `groups`.
    pub(crate) fn share(
        loads_per_s: f64,
        max_concurrent_loads: u32,
        groups: u32,
        rank: u32,
    ) -> Self {
        let groups = groups.max(1);
        let rate = loads_per_s / f64::from(groups);
        let remainder = u32::from(rank < max_concurrent_loads % groups);
        Self {
            interval: Duration::from_secs_f64(1.0 / rate),
            at_once: (max_concurrent_loads / groups + remainder).max(1),
            next_at: None,
        }
    }

    /// Changes the share and keeps the time of the next load.
    pub(crate) fn reshare(&mut self, share: Self) {
        *self = Self { next_at: self.next_at, ..share };
    }

    /// True if a load may start while `under_way` others run.
    pub(crate) fn allows(&self, now: Instant, under_way: u32) -> bool {
        under_way < self.at_once && self.next_at.is_none_or(|at| now >= at)
    }

    /// Notes that a load was decided.
    pub(crate) fn started(&mut self, now: Instant) {
        self.next_at = Some(now + self.interval);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_to_the_limit() {
        let total: u32 = (0..3).map(|rank| LoadLimiter::share(2.0, 11, 3, rank).at_once).sum();
        assert_eq!(total, 11);
        let now = Instant::now();
        let mut pacer = LoadLimiter::share(3.0, 6, 3, 0);
        assert!(pacer.allows(now, 1) && !pacer.allows(now, 2));
        pacer.started(now);
        assert!(!pacer.allows(now + Duration::from_millis(999), 0));
        assert!(pacer.allows(now + Duration::from_secs(1), 0));
    }
}
