//! A monotonic clock that includes the time during which the VM was suspended, for lease expiry.

use {
    crate::Clock,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, Instant},
};

/// The kernel's `CLOCK_BOOTTIME`, read as an [`Instant`].
///
/// `Instant::now` doesn't advance while a VM is suspended, so a lease would appear younger than it is.
/// Readings of this clock may be compared only with each other, not with `Instant::now`.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Instant,
    origin_since_boot: Duration,
}

impl BootClock {
    /// Returns a clock whose first reading is the current `Instant`.
    pub fn new() -> Self {
        Self { origin: Instant::now(), origin_since_boot: since_boot() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.origin_since_boot)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let s = u64::try_from(time.tv_sec).unwrap_or(0);
    let ns = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(s, ns)
}
