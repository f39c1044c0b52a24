//! An abstraction of monotonic clocks, so that time-dependent decisions can be tested in virtual time.
//!
//! Readings are standard [`Instant`]s. Only differences between readings carry meaning; wall-clock
//! time is never compared between VMs.

mod boot_clock;

pub use crate::boot_clock::BootClock;

use std::{
    fmt::Debug,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// A source of monotonic time.
pub trait Clock: Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// The operating system's monotonic clock, which may stop while a VM is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A clock for tests that advances only through [`ManualClock::advance`]. Clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    elapsed_us: Arc<AtomicU64>,
}

impl ManualClock {
    /// Returns a clock with an arbitrary origin.
    pub fn new() -> Self {
        Self { start: Instant::now(), elapsed_us: Arc::default() }
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        let step_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.elapsed_us.fetch_add(step_us, Ordering::Relaxed);
    }

    /// Returns the total time by which the clock has been advanced.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_us.load(Ordering::Relaxed))
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }
}
