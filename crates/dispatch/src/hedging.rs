//! Hedging policy: after which time another server is asked for the same answer, and whether that may
//! be done.
//!
//! The first attempt is late when it takes longer than nearly all answers of its kind and service
//! did in the last seconds. Times of attempts that lost to a hedge are counted up to their
//! cancellation: without them, hedges would cut the tail that the quantile is taken of, and the delay
//! would shrink until the budget is used up.

use {
    crate::{
        answer_times::AnswerTimes,
        dispatcher::Dispatcher,
        request_spec::RequestSpec,
        retry_budget::{RetryBudget, RetryLimit},
        server::ServerIdx,
    },
    glade_types::ServiceName,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Shortest delay of a hedge. Below it the scheduling of threads decides which answers are late.
const DELAY_MIN: Duration = Duration::from_millis(20);
/// The service is short of room when this fraction of its known slots is taken.
const BUSY_FRACTION: f64 = 0.5;

/// Why a request isn't hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// Half or more of the known slots are taken, or requests wait.
    ShortOfRoom,
    /// Answers take much longer than usual at most servers.
    AllSlow,
    /// No other server takes the request now.
    NoOtherServer,
    /// The hedges that the share allows are used up.
    Budget,
}

impl HedgeRefusal {
    /// Short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ShortOfRoom => "short_of_room",
            Self::AllSlow => "all_slow",
            Self::NoOtherServer => "no_other_server",
            Self::Budget => "budget",
        }
    }
}

/// State of hedging for one service.
#[derive(Debug)]
struct ServiceHedging {
    budget: RetryBudget,
    plain_answers: AnswerTimes,
    first_events: AnswerTimes,
}

impl ServiceHedging {
    fn times(&mut self, is_stream: bool) -> &mut AnswerTimes {
        if is_stream { &mut self.first_events } else { &mut self.plain_answers }
    }
}

/// State of hedging for all services.
#[derive(Debug, Default)]
pub(crate) struct Hedging {
    /// Hedges allowed for each first attempt; 0 turns hedging off.
    share: f64,
    by_service: HashMap<ServiceName, ServiceHedging>,
}

impl Hedging {
    fn is_on(&self) -> bool {
        self.share > 0.0
    }

    /// Hedges are counted in the window of retries. They have no reserve: their sum over all VMs
    /// stays within the share because each VM's does.
    fn limit(&self, retry_limit: RetryLimit) -> RetryLimit {
        RetryLimit { share: self.share, window: retry_limit.window, reserve: 0.0 }
    }

    /// Replaces the share and the window.
    fn set_limit(&mut self, share: f64, retry_limit: RetryLimit) {
        self.share = share;
        let limit = self.limit(retry_limit);
        self.by_service.values_mut().for_each(|service| service.budget.set_limit(limit));
        if !self.is_on() {
            self.by_service.clear();
        }
    }

    /// State for `service`; `None` while hedging is off.
    fn service(
        &mut self,
        now: Instant,
        service: &ServiceName,
        retry_limit: RetryLimit,
    ) -> Option<&mut ServiceHedging> {
        if !self.is_on() {
            return None;
        }
        let limit = self.limit(retry_limit);
        Some(self.by_service.entry(service.clone()).or_insert_with(|| ServiceHedging {
            budget: RetryBudget::new(limit),
            plain_answers: AnswerTimes::new(now),
            first_events: AnswerTimes::new(now),
        }))
    }
}

impl Dispatcher {
    /// Replaces the number of hedges allowed for each first attempt; 0 turns hedging off.
    pub fn set_hedge_share(&mut self, share: f64) {
        self.hedging.set_limit(share, self.retry_limit);
    }

    /// Applies the current limit on retries to hedges, which are counted in the same window.
    pub(crate) fn update_hedge_limit(&mut self) {
        self.set_hedge_share(self.hedging.share);
    }

    /// Counts the first attempt of a request to `service` for the budget of hedges.
    pub(crate) fn count_hedgeable(&mut self, now: Instant, service: &ServiceName) {
        if let Some(hedging) = self.hedging.service(now, service, self.retry_limit) {
            hedging.budget.count_first_attempt(now);
        }
    }

    /// Counts the time to the first byte of an answer, or to the cancellation of its attempt.
    pub(crate) fn record_answer_time(
        &mut self,
        now: Instant,
        service: &ServiceName,
        is_stream: bool,
        time: Duration,
    ) {
        if let Some(hedging) = self.hedging.service(now, service, self.retry_limit) {
            hedging.times(is_stream).record(now, time);
        }
    }

    /// Time after which the first attempt of `request` is late. `None` while hedging is off or too few
    /// answers were seen.
    pub fn hedge_delay(&mut self, now: Instant, request: &RequestSpec) -> Option<Duration> {
        let hedging = self.hedging.service(now, &request.service, self.retry_limit)?;
        let recent = hedging.times(request.is_stream()).recent(now)?;
        Some(recent.late_after.max(DELAY_MIN))
    }

    /// Takes the permission to hedge `request`, which was sent to the servers in `tried`.
    ///
    /// # Errors
    ///
    /// The reason why the request isn't hedged.
    pub fn take_hedge(
        &mut self,
        now: Instant,
        request: &RequestSpec,
        tried: &[ServerIdx],
    ) -> Result<(), HedgeRefusal> {
        if self.is_short_of_room(now, request) {
            return Err(HedgeRefusal::ShortOfRoom);
        }
        let has_other = self.hedge_servers(request).any(|idx| {
            let server = &self.servers[idx.get()];
            !tried.contains(&idx)
                && server.is_available_and_healthy(now)
                && server.may_be_sent_to(now)
        });
        let vms = self.known_vms;
        let Some(hedging) = self.hedging.service(now, &request.service, self.retry_limit) else {
            return Err(HedgeRefusal::Budget);
        };
        let recent = hedging.times(request.is_stream()).recent(now);
        let Some(recent) = recent.filter(|recent| !recent.are_all_slow) else {
            return Err(HedgeRefusal::AllSlow);
        };
        if self.are_most_late(now, request, recent.late_after.max(DELAY_MIN)) {
            return Err(HedgeRefusal::AllSlow);
        }
        if !has_other {
            return Err(HedgeRefusal::NoOtherServer);
        }
        let hedging = self.hedging.service(now, &request.service, self.retry_limit);
        let is_taken = hedging.is_some_and(|hedging| hedging.budget.take(now, vms));
        if is_taken { Ok(()) } else { Err(HedgeRefusal::Budget) }
    }

    /// Returns the permission for a hedge that was not sent.
    pub fn return_hedge(&mut self, now: Instant, service: &ServiceName) {
        if let Some(hedging) = self.hedging.service(now, service, self.retry_limit) {
            hedging.budget.give_back();
        }
    }

    /// Records that the attempt at `server` was cancelled after `time`, because a hedge has won.
    pub fn record_overtaken(
        &mut self,
        now: Instant,
        request: &RequestSpec,
        server: ServerIdx,
        time: Duration,
    ) {
        // Otherwise a server would seem fast whose slow answers are all cancelled.
        self.servers[server.get()].speed.on_answer(time);
        self.record_answer_time(now, &request.service, request.is_stream(), time);
    }

    /// Usable servers that can answer `request`.
    fn hedge_servers(&self, request: &RequestSpec) -> impl Iterator<Item = ServerIdx> {
        self.indices().filter(|idx| {
            let server = &self.servers[idx.get()];
            request.may_run_at(&server.view.record)
                && server.is_usable()
                && request
                    .model
                    .as_ref()
                    .is_none_or(|model| server.view.resident_models.contains(model))
        })
    }

    /// True if several servers are late, and they are half or more of those that owe this VM an answer
    /// of the kind. A server is late if half or more of these answers take longer than `late_after`.
    ///
    /// The median shows a slow spell only when its first answers arrive. In a simulated spell
    /// (`tests/hedging.rs`) all requests were hedged until then.
    fn are_most_late(&self, now: Instant, request: &RequestSpec, late_after: Duration) -> bool {
        let mut owed: HashMap<ServerIdx, (u32, u32)> = HashMap::new();
        for in_flight in self.in_flight_requests.values() {
            let service = &self.servers[in_flight.server.get()].view.record.service;
            let is_of_kind = in_flight.is_stream == request.is_stream()
                && !in_flight.is_answering
                && *service == request.service;
            if is_of_kind {
                let (late, all) = owed.entry(in_flight.server).or_default();
                let age = now.saturating_duration_since(in_flight.sent_at);
                *late += u32::from(age >= late_after);
                *all += 1;
            }
        }
        let late_servers = owed.values().filter(|(late, all)| late * 2 >= *all).count();
        late_servers >= 2 && late_servers * 2 >= owed.len()
    }

    /// True if requests of the service wait, or half or more of the known slots are taken at the
    /// servers that can answer `request`.
    fn is_short_of_room(&self, now: Instant, request: &RequestSpec) -> bool {
        let (mut slots, mut in_flight, mut waiting) = (0, 0, 0);
        for idx in self.hedge_servers(request) {
            let server = &self.servers[idx.get()];
            let load = server.load(now);
            waiting += load.waiting_hundredths;
            if server.view.record.slots > 0 {
                slots += server.view.record.slots;
                in_flight += load.in_flight;
            }
        }
        waiting > 0
            || self.waiting.values().any(|(waiting, _)| waiting.service == request.service)
            || (slots > 0 && f64::from(in_flight) >= f64::from(slots) * BUSY_FRACTION)
    }
}
