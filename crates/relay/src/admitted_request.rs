//! A request that was read as a whole, with its budget.

use {
    crate::{
        attempt_failure::AttemptFailure, end_line::EndLine, failed_attempts::FailedAttempts,
        open_request::OpenRequest, routed_request::RoutedRequest, server_answer::CompleteAnswer,
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
const SILENCE_LIMIT_OBJECTIVES: u32 = 3;
/// Shortest silence after which another server is asked.
const SILENCE_LIMIT_MIN: Duration = Duration::from_millis(800);

/// A request that was read as a whole, and what it may still spend.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) head: Parts,
    pub(crate) routed: RoutedRequest,
    pub(crate) body: Bytes,
    pub(crate) open_request: OpenRequest,
    /// When it must have its final answer.
    pub(crate) answer_by: Instant,
    /// Grows while an attempt that is only silent is still under way.
    failed_attempts: RefCell<FailedAttempts>,
    /// The failure that a server has answered; better than one of our own.
    error_answer: RefCell<Option<CompleteAnswer>>,
    end_line: EndLine,
}

impl AdmittedRequest {
    pub(crate) fn new(
        head: Parts,
        routed: RoutedRequest,
        body: Bytes,
        open_request: OpenRequest,
        end_line: EndLine,
    ) -> Self {
        let answer_by = routed.answer_by();
        let (failed_attempts, error_answer) = (RefCell::default(), RefCell::default());
        Self {
            head,
            routed,
            body,
            open_request,
            answer_by,
            failed_attempts,
            error_answer,
            end_line,
        }
    }

    /// The request has come to `stage`.
    pub(crate) fn enter_stage(&self, stage: &'static str) {
        self.end_line.enter_stage(stage);
    }

    /// The line that says how the request has ended is written.
    pub(crate) fn mark_end_logged(&self) {
        self.end_line.mark_end_logged();
    }

    /// Class of the engines that serve the request; `None` if its servers run no models.
    pub(crate) fn engine_class(&self) -> Option<&EngineClass> {
        let service = self.routed.catalog.service(self.open_request.spec.service.as_str())?;
        service.engine_class.as_ref()
    }

    /// Time left for the answer.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }

    /// Attempts that have failed.
    pub(crate) fn failed_attempts(&self) -> Ref<'_, FailedAttempts> {
        self.failed_attempts.borrow()
    }

    /// Takes note of an attempt that failed at `server`.
    pub(crate) fn add_failed_attempt(&self, server: ServerIdx, failure: AttemptFailure) {
        self.failed_attempts.borrow_mut().add(server, failure);
    }

    /// Lets servers be asked again that reserved no room.
    pub(crate) fn readmit_unreserved(&self) {
        self.failed_attempts.borrow_mut().readmit_unreserved();
    }

    /// Lets servers be asked again that were only silent.
    pub(crate) fn readmit_silent(&self) {
        self.failed_attempts.borrow_mut().readmit_silent();
    }

    /// Keeps the failure that a server has answered.
    pub(crate) fn keep_error_answer(&self, answer: CompleteAnswer) {
        *self.error_answer.borrow_mut() = Some(answer);
    }

    /// Takes the failure that a server has answered if it `is_fit` to be passed on.
    pub(crate) fn take_error_answer_if(
        &self,
        is_fit: impl Fn(&CompleteAnswer) -> bool,
    ) -> Option<CompleteAnswer> {
        self.error_answer.borrow_mut().take_if(|answer| is_fit(answer))
    }

    /// A stream has to go on at another server, as if it had just arrived.
    pub(crate) fn restart_wait(&mut self, now: Instant) {
        self.open_request.spec.arrived_at = now;
        self.open_request.spec.first_byte_deadline = self.routed.give_up_at(now);
    }

    /// True if the route allows another attempt.
    pub(crate) fn may_try_again(&self) -> bool {
        self.failed_attempts().allows_another(&self.routed.route)
    }

    /// Longest silence of a server before its answer begins, after which another one is asked.
    pub(crate) fn silence_limit(&self) -> Duration {
        let route = &self.routed.route;
        self.limit(route.may_repeat(), route.objective)
    }

    /// Longest silence of a server in the middle of a stream, after which another one is asked.
    pub(crate) fn pause_silence_limit(&self) -> Duration {
        let route = &self.routed.route;
        self.limit(route.repeat == Repeat::Resumable, route.pause_limit.unwrap_or_default())
    }

    /// Longest silence where the route wants something sent within `wanted`; without end if no other
    /// server may be asked.
    fn limit(&self, may_try_another: bool, wanted: Duration) -> Duration {
        if may_try_another && self.may_try_again() {
            (wanted * SILENCE_LIMIT_OBJECTIVES).max(SILENCE_LIMIT_MIN)
        } else {
            Duration::MAX
        }
    }
}
