//! Retry budget: bounds retries, so that failures cannot multiply load.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Number of slots into which the sliding window is divided.
const WINDOW_SLOTS: u32 = 20;
/// Fraction of the budget that is used. The rest is a margin for requests that other nodes count
/// differently.
const USED_FRACTION: f64 = 0.85;

/// Limit on retries over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed for each first attempt.
    pub share: f64,
    /// Window over which first attempts and retries are counted.
    pub window: Duration,
    /// Retries allowed in any window in addition, over all VMs.
    pub reserve: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    began_at: Instant,
    first_attempts: u32,
    retries: u32,
}

/// First attempts and retries of one VM to one service in the latest window.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    slots: VecDeque<Slot>,
}

impl RetryBudget {
    pub(crate) fn new(limit: RetryLimit) -> Self {
        Self { limit, slots: VecDeque::new() }
    }

    /// Replaces the limit; attempts counted so far stay counted.
    pub(crate) fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a first attempt.
    pub(crate) fn count_first_attempt(&mut self, now: Instant) {
        self.slot(now).first_attempts += 1;
    }

    /// Takes the permission for one retry, if there is one. `vms` VMs share the reserve equally.
    pub(crate) fn take(&mut self, now: Instant, vms: u32) -> bool {
        self.slot(now);
        let first_attempts: u32 = self.slots.iter().map(|slot| slot.first_attempts).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = self.limit.share * f64::from(first_attempts)
            + self.limit.reserve / f64::from(vms.max(1));
        if f64::from(retries + 1) > allowed * USED_FRACTION {
            return false;
        }
        self.slot(now).retries += 1;
        true
    }

    /// Returns the permission for one retry.
    pub(crate) fn give_back(&mut self) {
        if let Some(slot) = self.slots.iter_mut().rev().find(|slot| slot.retries > 0) {
            slot.retries -= 1;
        }
    }

    /// Returns the current slot, after dropping slots that are older than the window.
    fn slot(&mut self, now: Instant) -> &mut Slot {
        let window = self.limit.window;
        while self
            .slots
            .front()
            .is_some_and(|slot| now.saturating_duration_since(slot.began_at) >= window)
        {
            self.slots.pop_front();
        }
        let is_current =
            |slot: &Slot| now.saturating_duration_since(slot.began_at) < window / WINDOW_SLOTS;
        if !self.slots.back().is_some_and(is_current) {
            self.slots.push_back(Slot { began_at: now, first_attempts: 0, retries: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
