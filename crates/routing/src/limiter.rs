//! Concurrency and rate limits of one row of the operators' table, as this VM's share of them.
//!
//! A limit of the table holds for the whole deployment. Every live VM takes an equal share of it,
//! and the shares add up to the limit, so no central counter is needed. The concurrency and the
//! rate limit are both kept in atomics.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Time for which the rate may be used up in one burst.
const BURST: Duration = Duration::from_secs(1);

/// This VM's limits of one row. Zero means no limit, and [`Limiter::EMPTY_SHARE`] means that this VM's
/// share is empty.
#[derive(Debug, Default)]
pub struct Limiter {
    concurrency: AtomicU32,
    in_flight: AtomicU32,
    rate_per_s: AtomicU32,
    /// Virtual time of the next request, in microseconds since the process started (generic cell
    /// rate algorithm).
    next_us: AtomicU64,
    /// Requests started and missed since the counters were last taken.
    started: AtomicU32,
    missed: AtomicU32,
}

/// An admitted request; dropping the permit releases its concurrency slot.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.limiter.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Limiter {
    /// Value of an empty share, for VMs that get none of a limit smaller than the number of VMs.
    pub const EMPTY_SHARE: u32 = u32::MAX;

    /// Returns the share of `limit` for VM number `rank` of `vms`.
    pub fn share(limit: u32, vms: u32, rank: u32) -> u32 {
        if limit == 0 {
            return 0;
        }
        let vms = vms.max(1);
        let share = limit / vms + u32::from(rank < limit % vms);
        if share == 0 { Self::EMPTY_SHARE } else { share }
    }

    /// Sets this VM's shares.
    pub fn set(&self, concurrency: u32, rate_per_s: u32) {
        self.concurrency.store(concurrency, Ordering::Relaxed);
        self.rate_per_s.store(rate_per_s, Ordering::Relaxed);
    }

    /// Admits a request at `uptime` since the process started.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before trying again.
    pub fn admit(self: &Arc<Self>, uptime: Duration) -> Result<Permit, Duration> {
        self.started.fetch_add(1, Ordering::Relaxed);
        let limit = self.concurrency.load(Ordering::Relaxed);
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let permit = Permit { limiter: Arc::clone(self) };
        if limit == Self::EMPTY_SHARE || (limit > 0 && before >= limit) {
            return Err(BURST);
        }
        self.check_rate(uptime).map(|()| permit)
    }

    fn check_rate(&self, uptime: Duration) -> Result<(), Duration> {
        let rate = self.rate_per_s.load(Ordering::Relaxed);
        if rate == 0 {
            return Ok(());
        }
        if rate == Self::EMPTY_SHARE {
            return Err(BURST);
        }
        let now_us = micros(uptime);
        let interval_us = 1_000_000 / u64::from(rate);
        let burst_us = micros(BURST);
        loop {
            let next_us = self.next_us.load(Ordering::Relaxed);
            let start_us = next_us.max(now_us);
            if start_us + interval_us > now_us + burst_us.max(interval_us) {
                return Err(Duration::from_micros(start_us + interval_us - now_us - burst_us));
            }
            let swapped = self.next_us.compare_exchange_weak(
                next_us,
                start_us + interval_us,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            if swapped.is_ok() {
                return Ok(());
            }
        }
    }

    /// Counts a request that missed its latency objective or was refused for lack of capacity.
    pub fn record_missed(&self) {
        self.missed.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests in flight on this VM.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the requests in flight, and the requests started and missed since the last call.
    pub fn take_demand(&self) -> (u32, u32, u32) {
        (
            self.in_flight.load(Ordering::Relaxed),
            self.started.swap(0, Ordering::Relaxed),
            self.missed.swap(0, Ordering::Relaxed),
        )
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_to_the_limit() {
        for (limit, vms) in [(10, 3), (7, 8), (8, 8), (1, 1)] {
            let shares = (0..vms).map(|rank| Limiter::share(limit, vms, rank));
            let total: u32 = shares.filter(|share| *share != Limiter::EMPTY_SHARE).sum();
            assert_eq!(total, limit, "limit {limit} over {vms} VMs");
        }
        assert_eq!(Limiter::share(0, 3, 0), 0);
    }

    #[test]
    fn a_dropped_permit_releases_its_slot() {
        let limiter = Arc::new(Limiter::default());
        limiter.set(2, 0);
        let (first, _second) = (limiter.admit(Duration::ZERO), limiter.admit(Duration::ZERO));
        assert!(limiter.admit(Duration::ZERO).is_err());
        drop(first);
        assert!(limiter.admit(Duration::ZERO).is_ok());
    }

    #[test]
    fn the_rate_allows_one_second_of_burst_and_no_more() {
        let limiter = Arc::new(Limiter::default());
        limiter.set(0, 10);
        let admitted = (0..50).filter(|_| limiter.admit(Duration::ZERO).is_ok()).count();
        assert_eq!(admitted, 10);
        let later = Duration::from_millis(500);
        let admitted = (0..50).filter(|_| limiter.admit(later).is_ok()).count();
        assert_eq!(admitted, 5);
    }
}
