//! Estimates how long a waiting request waits for a slot, and refuses requests that would wait for too
//! long.
//!
//! The failure that this prevents: a request that can't get a slot in time is held until its caller
//! leaves, and the caller learns too late to turn elsewhere.

use {
    crate::{
        cost::unit_fraction,
        dispatcher::{Dispatcher, InFlightId},
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
        server_queues::QueuePriority,
        urgent_reserve::PATIENT_SLOT_SHARE,
    },
    std::time::{Duration, Instant},
};

/// Bounds of `Retry-After`. Estimates of more than a few seconds say little.
const RETRY_AFTER_MIN_S: f64 = 0.1;
const RETRY_AFTER_MAX_S: f64 = 5.0;
/// Fraction of `Retry-After` over which the returns of callers are spread.
const RETRY_AFTER_SPREAD_FRACTION: f64 = 0.5;

impl Dispatcher {
    /// Records that a request has held its slot until now.
    pub(crate) fn record_slot_time(&mut self, now: Instant, id: InFlightId) {
        let Some(in_flight) = self.in_flight_requests.get(&id) else { return };
        let time = now.saturating_duration_since(in_flight.sent_at);
        self.servers[in_flight.server.get()].speed.on_slot_time(time);
    }

    /// Expected time until a request of this `priority` gets a slot of the server, in seconds; zero
    /// where no request has shown yet how long slots are held.
    ///
    /// Slots become free at the rate at which requests of the measured duration end. Arrivals that go
    /// ahead of the request take their part of these. Patient requests start in what these leave, which
    /// is a small difference of large rates, so the measured rate of their own starts counts as well.
    pub(crate) fn slot_wait_s(
        &self,
        now: Instant,
        idx: ServerIdx,
        request: &RequestSpec,
        priority: &QueuePriority,
    ) -> f64 {
        let server = &self.servers[idx.get()];
        let Some(slot_time_s) = server.speed.slot_time_s() else { return 0.0 };
        let slots = server.view.record.slots.max(1);
        let taken = server.load(now).in_flight + self.queues.count_ahead(idx, priority);
        let Some(missing) = (taken + 1).checked_sub(slots).filter(|missing| *missing > 0) else {
            return 0.0;
        };
        let freed_per_s = f64::from(slots) / slot_time_s.max(0.001);
        let ahead_per_s = server.urgent_reserve.ahead_per_s(now, request, priority.gives_way());
        let share_per_s = freed_per_s / f64::from(PATIENT_SLOT_SHARE);
        let wait_s = f64::from(missing) / (freed_per_s - ahead_per_s).max(share_per_s);
        let Some(starts_per_s) = server.urgent_reserve.patient_starts_per_s(now, request) else {
            return wait_s;
        };
        let alike = self.queues.count_alike_ahead(idx, priority, request.objective) + 1;
        wait_s.min(f64::from(alike) / starts_per_s.max(share_per_s))
    }

    /// True if less than half of the slots for the model of `request` are taken and no request waits
    /// there. Then none is refused for lack of capacity: an estimate may be wrong.
    pub(crate) fn has_much_room(&self, now: Instant, request: &RequestSpec) -> bool {
        let Some(model) = &request.model else { return false };
        let holders = self.holders.get(model).into_iter().flatten();
        let (mut taken, mut slots) = (0, 0);
        for idx in holders {
            let server: &Server = &self.servers[idx.get()];
            if self.queues.has_waiting(*idx) {
                return false;
            }
            if server.is_available_and_healthy(now) && request.may_run_at(&server.view.record) {
                taken += server.load(now).in_flight;
                slots += server.view.record.slots;
            }
        }
        taken * 2 < slots
    }
}

/// Time after which the caller of a refused request is to return, where `excess_s` is the time by
/// which the answer would be late. Callers that are refused together return one after the other.
pub(crate) fn overload_retry_after(request: &RequestSpec, excess_s: f64) -> Duration {
    let spread = RETRY_AFTER_SPREAD_FRACTION * unit_fraction(request.seed, ServerIdx(u32::MAX));
    let time_s = excess_s.clamp(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S) * (1.0 + spread);
    Duration::from_secs_f64(time_s)
}
