//! Slots and prefill time that a server keeps free for urgent requests.
//!
//! The failure that this prevents: requests that may wait for long take every slot that becomes free.
//! Urgent requests that arrive in the meantime find none before their callers leave. So a patient
//! request starts only while the server has room for the urgent requests that are expected to arrive
//! before the next slots become free. A small share of the slots is exempt, so that patient requests
//! are served under any load.

use {
    crate::request_spec::RequestSpec,
    std::time::{Duration, Instant},
};

/// Factor between the objectives of two requests from which the longer one is patient. Requests of
/// similar objectives compete by rank and due time alone.
const PATIENT_OBJECTIVE_RATIO: u32 = 4;
/// Time over which arrival rates are averaged. Shorter times follow chance, longer ones keep slots
/// free after a burst has ended.
const RATE_WINDOW_S: f64 = 2.0;
/// Time over which the rate of starts of patient requests is averaged. They start in the lulls of
/// urgent ones, so a shorter time would show none for a while.
const STARTS_WINDOW_S: f64 = 8.0;
/// Part of the arrivals of its own rank that count as ahead of a late request. With all of them, late
/// requests are refused in short bursts that end soon enough.
const OWN_RANK_AHEAD: f64 = 0.8;
/// Part of their objective during which the urgent requests arrive for which room is kept. Those
/// that find no slot at once may wait for the rest of their objective.
const RESERVE_OBJECTIVE_FRACTION: f64 = 0.25;
/// Largest fraction of the slots that is kept free.
const RESERVED_FRACTION_MAX: f64 = 0.5;
/// One slot in this many is open to patient requests whatever urgent requests are expected.
pub(crate) const PATIENT_SLOT_SHARE: u32 = 16;
/// Fraction of its objective from which a patient request takes the slots of the patient share before
/// urgent requests: the rest suffices to be on time.
const WAITED_LONG_FRACTION: f64 = 0.5;
/// Fraction of its maximum wait before its first-byte deadline from which it takes them in any case.
const DEADLINE_NEAR_FRACTION: f64 = 0.25;
/// Number of distinct kinds of requests that are told apart. Deployments have a few routes.
const KINDS_MAX: usize = 32;

/// Requests of the same rank and objective at one server.
#[derive(Clone, Copy, Debug)]
struct KindLoad {
    rank: u8,
    objective: Duration,
    in_flight: u32,
    /// Recent arrivals, and the prefill time of their prompts, each weighted by its age.
    arrivals: f64,
    prefill_us: f64,
    updated_at: Instant,
    /// Recent starts, each weighted by its age.
    starts: f64,
    started_at: Instant,
}

impl KindLoad {
    fn is_kind_of(&self, request: &RequestSpec) -> bool {
        self.rank == request.rank && self.objective == request.objective
    }

    /// True if `request` gives way to requests of this kind.
    fn is_urgent_beside(&self, request: &RequestSpec) -> bool {
        self.rank <= request.rank && self.objective * PATIENT_OBJECTIVE_RATIO <= request.objective
    }

    fn starts_decay(&self, now: Instant) -> f64 {
        (-now.saturating_duration_since(self.started_at).as_secs_f64() / STARTS_WINDOW_S).exp()
    }

    fn decay(&self, now: Instant) -> f64 {
        (-now.saturating_duration_since(self.updated_at).as_secs_f64() / RATE_WINDOW_S).exp()
    }
}

/// Room for expected urgent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Reserve {
    /// Slots to keep free.
    pub(crate) slots: u32,
    /// Prefill time to keep free, in microseconds.
    pub(crate) prefill_us: u64,
}

/// Recent arrivals and requests in flight of one server, by kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgentReserve {
    kinds: Vec<KindLoad>,
}

impl UrgentReserve {
    fn kind(&mut self, now: Instant, request: &RequestSpec) -> Option<&mut KindLoad> {
        let position = self.kinds.iter().position(|kind| kind.is_kind_of(request));
        if position.is_none() && self.kinds.len() < KINDS_MAX {
            self.kinds.push(KindLoad {
                rank: request.rank,
                objective: request.objective,
                in_flight: 0,
                arrivals: 0.0,
                prefill_us: 0.0,
                updated_at: now,
                starts: 0.0,
                started_at: now,
            });
            return self.kinds.last_mut();
        }
        position.map(|position| &mut self.kinds[position])
    }

    /// Records the arrival of a request that this server gets with the probability `share`.
    pub(crate) fn record_arrival(
        &mut self,
        now: Instant,
        request: &RequestSpec,
        prefill_us: u64,
        share: f64,
    ) {
        let Some(kind) = self.kind(now, request) else { return };
        let decay = kind.decay(now);
        kind.arrivals = kind.arrivals * decay + share;
        kind.prefill_us = kind.prefill_us * decay + share * prefill_us as f64;
        kind.updated_at = now;
    }

    /// Records that a request was sent. Returns true if its end must be recorded.
    pub(crate) fn begin(&mut self, now: Instant, request: &RequestSpec) -> bool {
        let Some(kind) = self.kind(now, request) else { return false };
        kind.in_flight += 1;
        kind.starts = kind.starts * kind.starts_decay(now) + 1.0;
        kind.started_at = now;
        true
    }

    /// Records the end of a request of this `rank` and `objective`.
    pub(crate) fn end(&mut self, rank: u8, objective: Duration) {
        let is_kind = |kind: &&mut KindLoad| kind.rank == rank && kind.objective == objective;
        if let Some(kind) = self.kinds.iter_mut().find(is_kind) {
            kind.in_flight = kind.in_flight.saturating_sub(1);
        }
    }

    /// Room to keep free when `request` starts, at a server of `slots` slots.
    ///
    /// The mean number of urgent requests is expected, and one standard deviation more.
    pub(crate) fn for_request(&self, now: Instant, request: &RequestSpec, slots: u32) -> Reserve {
        let (mut arrivals, mut prefill_us) = (0.0, 0.0);
        for kind in self.kinds.iter().filter(|kind| kind.is_urgent_beside(request)) {
            let windows =
                kind.decay(now) * kind.objective.as_secs_f64() * RESERVE_OBJECTIVE_FRACTION
                    / RATE_WINDOW_S;
            arrivals += kind.arrivals * windows;
            prefill_us += kind.prefill_us * windows;
        }
        let slots_max = (f64::from(slots) * RESERVED_FRACTION_MAX).floor();
        Reserve {
            slots: (arrivals + arrivals.sqrt()).round().min(slots_max) as u32,
            prefill_us: prefill_us as u64,
        }
    }

    /// Rate of arrivals that go ahead of `request`, in requests per second. Most of its own rank do so
    /// if it `gives_way`.
    pub(crate) fn ahead_per_s(&self, now: Instant, request: &RequestSpec, gives_way: bool) -> f64 {
        let part_ahead = |kind: &KindLoad| {
            if kind.rank < request.rank || kind.is_urgent_beside(request) {
                1.0
            } else if gives_way && kind.rank == request.rank {
                OWN_RANK_AHEAD
            } else {
                0.0
            }
        };
        let per_s = |kind: &KindLoad| kind.arrivals * kind.decay(now) / RATE_WINDOW_S;
        self.kinds.iter().map(|kind| part_ahead(kind) * per_s(kind)).sum()
    }

    /// Rate at which requests of the kind of `request` start, in requests per second, if it is patient
    /// beside other kinds.
    pub(crate) fn patient_starts_per_s(&self, now: Instant, request: &RequestSpec) -> Option<f64> {
        if !self.kinds.iter().any(|kind| kind.is_urgent_beside(request)) {
            return None;
        }
        let kind = self.kinds.iter().find(|kind| kind.is_kind_of(request))?;
        Some(kind.starts * kind.starts_decay(now) / STARTS_WINDOW_S)
    }

    /// True if `request` is patient beside other requests at the server and the patient requests in
    /// flight take less than their share of `slots`.
    pub(crate) fn has_patient_share(&self, request: &RequestSpec, slots: u32) -> bool {
        let patient = self
            .kinds
            .iter()
            .filter(|kind| kind.rank >= request.rank && kind.objective >= request.objective);
        let in_flight: u32 = patient.map(|kind| kind.in_flight).sum();
        in_flight < (slots / PATIENT_SLOT_SHARE).max(1)
            && self.kinds.iter().any(|kind| kind.is_urgent_beside(request))
    }
}

/// True if `request` has waited for much of its objective or its first-byte deadline comes near.
pub(crate) fn has_waited_long(now: Instant, request: &RequestSpec) -> bool {
    let max_wait = request.first_byte_deadline.saturating_duration_since(request.arrived_at);
    let left = request.first_byte_deadline.saturating_duration_since(now);
    let waited = now.saturating_duration_since(request.arrived_at);
    waited >= request.objective.mul_f64(WAITED_LONG_FRACTION)
        || left < max_wait.mul_f64(DEADLINE_NEAR_FRACTION)
}
