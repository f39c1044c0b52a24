//! Counters of one backend server, which outlive the route tables: requests in flight and
//! consecutive failures.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of a first ejection.
const EJECTION_TIME_MIN: Duration = Duration::from_secs(1);
/// Most doublings of that duration.
const EJECTION_DOUBLINGS_MAX: u32 = 5;

/// Counters shared between the traffic threads and the control thread.
#[derive(Debug, Default)]
pub struct ServerCounters {
    in_flight: AtomicU32,
    failures: AtomicU32,
    /// Milliseconds since the process started until which the server is ejected.
    ejected_until_ms: AtomicU64,
}

/// A request in flight; dropping the guard counts the request as ended.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<ServerCounters>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerCounters {
    /// Counts a sent request as in flight.
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { counters: Arc::clone(self) }
    }

    /// Requests of this VM in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records a correct answer.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.ejected_until_ms.store(0, Ordering::Relaxed);
    }

    /// Records a broken, wrong or missing answer at `uptime` since the process started. After
    /// several consecutive failures the server is ejected, longer each time; after each ejection
    /// one request probes it.
    pub fn record_failure(&self, uptime: Duration) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let Some(doublings) = failures.checked_sub(FAILURES_TO_EJECT) else { return };
        let ejection_time = EJECTION_TIME_MIN * 2_u32.pow(doublings.min(EJECTION_DOUBLINGS_MAX));
        let until = u64::try_from((uptime + ejection_time).as_millis()).unwrap_or(u64::MAX);
        self.ejected_until_ms.store(until, Ordering::Relaxed);
    }

    /// True if the server may get requests at `uptime`.
    pub fn accepts_requests(&self, uptime: Duration) -> bool {
        let until = self.ejected_until_ms.load(Ordering::Relaxed);
        u128::from(until) <= uptime.as_millis()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_failing_server_is_ejected_longer_each_time_and_probed_in_between() {
        let counters = ServerCounters::default();
        let at = Duration::from_secs;
        counters.record_failure(at(0));
        counters.record_failure(at(0));
        assert!(counters.accepts_requests(at(0)));
        counters.record_failure(at(0));
        assert!(!counters.accepts_requests(Duration::from_millis(999)));
        assert!(counters.accepts_requests(at(1)));
        counters.record_failure(at(1));
        assert!(!counters.accepts_requests(Duration::from_millis(2999)));
        counters.record_success();
        assert!(counters.accepts_requests(at(1)));
    }
}
