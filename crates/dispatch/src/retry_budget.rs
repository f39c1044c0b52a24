//! Bounds repeated sends, so that failures can't multiply load.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Slots into which the window is cut.
const WINDOW_SLOTS: u32 = 20;
/// Part of the allowance that is used. The rest covers what other nodes count differently.
const USED_FRACTION: f64 = 0.85;

/// Bound on repeats over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Repeats for each first send.
    pub share: f64,
    /// Window over which both are counted.
    pub window: Duration,
    /// Repeats that are allowed in any window besides, over all VMs.
    pub reserve: f64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    began_at: Instant,
    first_attempts: u32,
    retries: u32,
}

/// First and repeated sends of one VM to one service in the latest window.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    limit: RetryLimit,
    slots: VecDeque<Slot>,
}

impl RetryBudget {
    pub(crate) fn new(limit: RetryLimit) -> Self {
        Self { limit, slots: VecDeque::new() }
    }

    /// Puts another bound in force; what was counted so far stays counted.
    pub(crate) fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a request's first send.
    pub(crate) fn count_first_attempt(&mut self, now: Instant) {
        self.slot(now).first_attempts += 1;
    }

    /// Takes the right to one repeat, if there is one for each of `vms` VMs that share the reserve.
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

    /// Gives back the right to one repeat.
    pub(crate) fn give_back(&mut self) {
        if let Some(slot) = self.slots.iter_mut().rev().find(|slot| slot.retries > 0) {
            slot.retries -= 1;
        }
    }

    /// The slot of the present, after older ones than the window were forgotten.
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
