//! A request that was read as a whole, with its budget.

use {
    crate::{
        attempt::Whole, end_line::EndLine, leg_failure::LegFailure, received::Received,
        spent::Spent, visit::Visit,
    },
    bytes::Bytes,
    glade_catalog::{EngineClass, Repeat},
    glade_dispatch::ServerIdx,
    hyper::http::request::Parts,
    std::{
        cell::{Ref, RefCell},
        time::{Duration, Instant},
    },
};

/// Times that the route's objective, or the longest pause of its streams, passes before another server
/// is asked.
const SILENT_TIMES: u32 = 3;
/// Shortest silence after which another server is asked.
const SILENT_MIN: Duration = Duration::from_millis(800);

/// A request that was read as a whole, and what it may still spend.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) head: Parts,
    pub(crate) received: Received,
    pub(crate) body: Bytes,
    pub(crate) visit: Visit,
    /// When it must have its final answer.
    pub(crate) answer_by: Instant,
    /// Grows while an attempt that is only silent is still under way.
    spent: RefCell<Spent>,
    /// The failure that a server has answered; better than one of our own.
    failed: RefCell<Option<Whole>>,
    end: EndLine,
}

impl Admitted {
    pub(crate) fn new(
        head: Parts,
        received: Received,
        body: Bytes,
        visit: Visit,
        end: EndLine,
    ) -> Self {
        let answer_by = received.answer_by();
        let (spent, failed) = (RefCell::default(), RefCell::default());
        Self { head, received, body, visit, answer_by, spent, failed, end }
    }

    /// The request has come to `stage`.
    pub(crate) fn enter(&self, stage: &'static str) {
        self.end.enter(stage);
    }

    /// The line that says how the request has ended is written.
    pub(crate) fn ended(&self) {
        self.end.written();
    }

    /// Class of the engines that serve the request; `None` if its servers run no models.
    pub(crate) fn engine_class(&self) -> Option<&EngineClass> {
        let service = self.received.catalog.service(self.visit.need.service.as_str())?;
        service.engine_class.as_ref()
    }

    /// Time left for the answer.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }

    /// Attempts that have failed.
    pub(crate) fn spent(&self) -> Ref<'_, Spent> {
        self.spent.borrow()
    }

    /// Takes note of an attempt that failed at `server`.
    pub(crate) fn spend(&self, server: ServerIdx, failure: LegFailure) {
        self.spent.borrow_mut().add(server, failure);
    }

    /// Lets servers be asked again that reserved no room.
    pub(crate) fn forget_unreserved(&self) {
        self.spent.borrow_mut().forget_unreserved();
    }

    /// Lets servers be asked again that were only silent.
    pub(crate) fn forget_silent(&self) {
        self.spent.borrow_mut().forget_silent();
    }

    /// Keeps the failure that a server has answered.
    pub(crate) fn keep_failed(&self, whole: Whole) {
        *self.failed.borrow_mut() = Some(whole);
    }

    /// Takes the failure that a server has answered if it `is_fit` to be passed on.
    pub(crate) fn take_failed_if(&self, is_fit: impl Fn(&Whole) -> bool) -> Option<Whole> {
        self.failed.borrow_mut().take_if(|whole| is_fit(whole))
    }

    /// A stream has to go on at another server, as if it had just arrived.
    pub(crate) fn begin_anew(&mut self, now: Instant) {
        self.visit.need.arrived_at = now;
        self.visit.need.first_byte_deadline = self.received.give_up_at(now);
    }

    /// True if the route allows another attempt.
    pub(crate) fn may_try_again(&self) -> bool {
        self.spent().allows_another(&self.received.route)
    }

    /// Longest silence of a server before its answer begins, after which another one is asked.
    pub(crate) fn silence_limit(&self) -> Duration {
        let route = &self.received.route;
        self.limit(route.may_repeat(), route.objective)
    }

    /// Longest silence of a server in the middle of a stream, after which another one is asked.
    pub(crate) fn pause_silence_limit(&self) -> Duration {
        let route = &self.received.route;
        self.limit(route.repeat == Repeat::Resumable, route.pause_limit.unwrap_or_default())
    }

    /// Longest silence where the route wants something sent within `wanted`; without end if no other
    /// server may be asked.
    fn limit(&self, may_move: bool, wanted: Duration) -> Duration {
        if may_move && self.may_try_again() {
            (wanted * SILENT_TIMES).max(SILENT_MIN)
        } else {
            Duration::MAX
        }
    }
}
