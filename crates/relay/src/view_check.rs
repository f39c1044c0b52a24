//! Holds requests back after this process stood still, until the control thread has caught up with the other
//! nodes. The view of before may name servers that have left, or that have started again with other software.

use std::{
    cell::Cell,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Time without any work from which on the process has stood still.
const STANDSTILL_MIN: Duration = Duration::from_secs(1);
/// Longest time for which requests are held back. The control thread needs a heartbeat to another node and one
/// back.
const HOLD_MAX: Duration = Duration::from_millis(600);

/// When the control thread last knew that the view is up to date, as far as other nodes know. Shared by both
/// threads.
#[derive(Debug)]
pub struct ViewCheck {
    base: Instant,
    /// Microseconds since `base`.
    checked_us: AtomicU64,
}

impl ViewCheck {
    /// Returns a check at `now`.
    pub fn new(now: Instant) -> Self {
        Self { base: now, checked_us: AtomicU64::new(0) }
    }

    /// Records that the view is up to date at `now`.
    pub fn record(&self, now: Instant) {
        let since = now.saturating_duration_since(self.base);
        let us = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
        self.checked_us.store(us, Ordering::Release);
    }

    fn checked_at(&self) -> Instant {
        self.base + Duration::from_micros(self.checked_us.load(Ordering::Acquire))
    }
}

/// Whether the process stood still, as the traffic thread sees it.
#[derive(Debug)]
pub(crate) struct Standstill {
    ran_at: Cell<Instant>,
    ended_at: Cell<Option<Instant>>,
}

impl Standstill {
    pub(crate) fn new(now: Instant) -> Self {
        Self { ran_at: Cell::new(now), ended_at: Cell::new(None) }
    }

    /// Records that the traffic thread runs. Called at intervals much shorter than [`STANDSTILL_MIN`].
    pub(crate) fn note_running(&self, now: Instant) {
        if now.saturating_duration_since(self.ran_at.replace(now)) >= STANDSTILL_MIN {
            log::info!("stood_still");
            self.ended_at.set(Some(now));
        }
    }

    /// True if requests are to be held back.
    pub(crate) fn holds(&self, now: Instant, check: &ViewCheck) -> bool {
        self.note_running(now);
        let Some(ended_at) = self.ended_at.get() else { return false };
        let is_over = now.saturating_duration_since(ended_at) >= HOLD_MAX;
        if check.checked_at() >= ended_at || is_over {
            self.ended_at.set(None);
            log::info!(
                held_ms = now.saturating_duration_since(ended_at).as_millis() as u64,
                caught_up = !is_over;
                "view_checked"
            );
        }
        self.ended_at.get().is_some()
    }
}

#[cfg(test)]
mod tests;
