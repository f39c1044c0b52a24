//! Counters of one backend server that outlive any one route table.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

/// Failures in a row after which a server is set aside.
const FAILURES_TO_SET_ASIDE: u32 = 3;
/// First time for which a server is set aside.
const SET_ASIDE_MIN: Duration = Duration::from_secs(1);
/// Doublings of that time at most.
const SET_ASIDE_DOUBLINGS: u32 = 5;

/// Counters shared between the traffic threads and the control thread.
#[derive(Debug, Default)]
pub struct ServerCounters {
    under_way: AtomicU32,
    failures: AtomicU32,
    /// Milliseconds since the process started until which the server is set aside.
    set_aside_until_ms: AtomicU64,
}

/// A request under way; dropping it counts it as ended.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<ServerCounters>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerCounters {
    /// Counts a request as sent.
    pub fn begin_request(self: &Arc<Self>) -> InFlightGuard {
        self.under_way.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { counters: Arc::clone(self) }
    }

    /// Requests of this VM under way at the server.
    pub fn in_flight(&self) -> u32 {
        self.under_way.load(Ordering::Relaxed)
    }

    /// Notes a proper answer.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.set_aside_until_ms.store(0, Ordering::Relaxed);
    }

    /// Notes a broken, wrong or missing answer at `uptime` since the process started. After a few
    /// in a row the server is set aside, longer each time; then one request probes it.
    pub fn record_failure(&self, uptime: Duration) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let Some(beyond) = failures.checked_sub(FAILURES_TO_SET_ASIDE) else { return };
        let pause = SET_ASIDE_MIN * 2_u32.pow(beyond.min(SET_ASIDE_DOUBLINGS));
        let until = u64::try_from((uptime + pause).as_millis()).unwrap_or(u64::MAX);
        self.set_aside_until_ms.store(until, Ordering::Relaxed);
    }

    /// True while the server may get requests at `uptime`.
    pub fn accepts_requests(&self, uptime: Duration) -> bool {
        let until = self.set_aside_until_ms.load(Ordering::Relaxed);
        u128::from(until) <= uptime.as_millis()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_failing_server_is_set_aside_longer_each_time_and_probed_in_between() {
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
