//! A request that has been read in full, with its deadline and its limit on attempts.

use {
    crate::{
        attempt_failure::AttemptFailure, end_line::EndLine, failed_attempts::FailedAttempts,
        open_request::OpenRequest, quota_client::QuotaCharge, request_body::RequestBody,
        routed_request::RoutedRequest, server_answer::CompleteAnswer,
    },
    glade_budget::Account,
    glade_catalog::{EngineClass, RetryPolicy},
    glade_dispatch::ServerIdx,
    glade_quarantine::Fingerprint,
    hyper::http::request::Parts,
    std::{
        cell::{Cell, OnceCell, Ref, RefCell},
        time::{Duration, Instant},
    },
};

/// Multiple of the route's latency objective, or of the longest allowed pause of its streams, after
/// which a silent server is hedged.
const SILENCE_LIMIT_OBJECTIVES: u32 = 3;
/// Lower bound of the silence after which a server is hedged.
const SILENCE_LIMIT_MIN: Duration = Duration::from_millis(800);

/// A request that has been read in full, with what remains of its time and attempts.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) head: Parts,
    pub(crate) routed: RoutedRequest,
    pub(crate) body: RequestBody,
    /// The caller's connection in the budget.
    pub(crate) account: Account,
    pub(crate) open_request: OpenRequest,
    /// When the final answer is due.
    pub(crate) answer_by: Instant,
    /// Behind a `RefCell` because attempts are added while one at a silent server is still in
    /// flight.
    failed_attempts: RefCell<FailedAttempts>,
    /// An error that a server has answered, which is passed on in preference to an answer of this
    /// VM.
    error_answer: RefCell<Option<CompleteAnswer>>,
    /// The server whose answer began last, and when it began.
    answer_began: Cell<Option<(ServerIdx, Instant)>>,
    /// The request is a trial of quarantined parts, which is sent once.
    is_trial: Cell<bool>,
    /// See [`Self::quarantine_parts`].
    quarantine_parts: OnceCell<Vec<u64>>,
    /// What the request has taken of its team's quota; `None` without a quota.
    quota_charge: Option<QuotaCharge>,
    end_line: EndLine,
}

impl AdmittedRequest {
    pub(crate) fn new(
        head: Parts,
        routed: RoutedRequest,
        body: RequestBody,
        account: Account,
        open_request: OpenRequest,
        quota_charge: Option<QuotaCharge>,
        end_line: EndLine,
    ) -> Self {
        let answer_by = routed.answer_by();
        let (failed_attempts, error_answer) = (RefCell::default(), RefCell::default());
        Self {
            head,
            routed,
            body,
            account,
            open_request,
            answer_by,
            failed_attempts,
            error_answer,
            answer_began: Cell::new(None),
            is_trial: Cell::new(false),
            quarantine_parts: OnceCell::new(),
            quota_charge,
            end_line,
        }
    }

    /// Records that the request is sent to a server.
    pub(crate) fn spend_quota(&self, now: Instant) {
        if let Some(charge) = &self.quota_charge {
            charge.spend(now);
        }
    }

    /// Records that the answer of `server` has begun.
    pub(crate) fn begin_answer(&self, now: Instant, server: ServerIdx) {
        self.answer_began.set(Some((server, now)));
    }

    /// Time since the answer of `server` began; `None` if it hasn't begun.
    pub(crate) fn answering_for(&self, now: Instant, server: ServerIdx) -> Option<Duration> {
        let began = self.answer_began.get().filter(|(answering, _)| *answering == server);
        began.map(|(_, at)| now.saturating_duration_since(at))
    }

    /// Records that the request has entered `stage`.
    pub(crate) fn enter_stage(&self, stage: &'static str) {
        self.end_line.enter_stage(stage);
    }

    /// Records that a log line about the end of the request has been written.
    pub(crate) fn mark_end_logged(&self) {
        self.end_line.mark_end_logged();
    }

    /// Class of the engines that serve the request; `None` if its servers run no models.
    pub(crate) fn engine_class(&self) -> Option<&EngineClass> {
        let service = self.routed.catalog.service(self.open_request.spec.service.as_str())?;
        service.engine_class.as_ref()
    }

    /// Time left until the answer is due.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.answer_by.saturating_duration_since(now)
    }

    /// The failed attempts so far.
    pub(crate) fn failed_attempts(&self) -> Ref<'_, FailedAttempts> {
        self.failed_attempts.borrow()
    }

    /// Counts a failed attempt at `server`.
    pub(crate) fn add_failed_attempt(&self, server: ServerIdx, failure: AttemptFailure) {
        self.failed_attempts.borrow_mut().add(server, failure);
    }

    /// Replaces the failure of an attempt at `server`, which was counted as silent, by `failure`.
    pub(crate) fn replace_silent(&self, server: ServerIdx, failure: AttemptFailure) {
        self.failed_attempts.borrow_mut().replace_silent(server, failure);
    }

    /// Takes back an attempt at `server` that was counted as silent and goes on.
    pub(crate) fn remove_silent(&self, server: ServerIdx) {
        self.failed_attempts.borrow_mut().remove_silent(server);
    }

    /// Allows another attempt at the servers that made no reservation.
    pub(crate) fn readmit_unreserved(&self) {
        self.failed_attempts.borrow_mut().readmit_unreserved();
    }

    /// Allows another attempt at the servers that were only silent.
    pub(crate) fn readmit_silent(&self) {
        self.failed_attempts.borrow_mut().readmit_silent();
    }

    /// Keeps an error that a server has answered.
    pub(crate) fn keep_error_answer(&self, answer: CompleteAnswer) {
        *self.error_answer.borrow_mut() = Some(answer);
    }

    /// Takes the error that a server has answered, if it `is_fit` to be passed on.
    pub(crate) fn take_error_answer_if(
        &self,
        is_fit: impl Fn(&CompleteAnswer) -> bool,
    ) -> Option<CompleteAnswer> {
        self.error_answer.borrow_mut().take_if(|answer| is_fit(answer))
    }

    /// Records that the caller gets events of the answer.
    pub(crate) fn begin_stream(&mut self) {
        self.open_request.spec.is_continuation = true;
    }

    /// Has the rest of the request run only at servers whose software version has this hash.
    pub(crate) fn require_version(&mut self, software_version: u32) {
        self.open_request.spec.software_version = Some(software_version);
    }

    /// Restarts the wait for a first byte, because the time until now was lost at servers that won't answer.
    pub(crate) fn restart_wait(&mut self, now: Instant) {
        self.open_request.spec.arrived_at = now;
        self.open_request.spec.first_byte_deadline = self.routed.give_up_at(now);
    }

    /// True if the events up to `last_event_id` hold as many tokens as the request allows, so that none can
    /// follow.
    pub(crate) fn has_all_tokens(&self, last_event_id: Option<u64>) -> bool {
        let spec = &self.open_request.spec;
        let tokens = last_event_id.unwrap_or(0).saturating_mul(u64::from(spec.tokens_per_event));
        spec.output_tokens_max > 0 && tokens >= u64::from(spec.output_tokens_max)
    }

    /// Hashes by which the quarantine knows the request: those of the prompt's parts that other requests may share, and the
    /// request's fingerprint. Computed when first needed, since that reads the whole body.
    pub(crate) fn quarantine_parts(&self) -> &[u64] {
        self.quarantine_parts
            .get_or_init(|| self.routed.shared_parts().chain([self.fingerprint()]).collect())
    }

    /// Identifies the request by what it asks for, whoever sends it.
    fn fingerprint(&self) -> u64 {
        let mut fingerprint = Fingerprint::new();
        fingerprint.add(self.routed.route.name.as_str().as_bytes());
        fingerprint.add(self.head.method.as_str().as_bytes());
        let target = self.head.uri.path_and_query().map_or("", |target| target.as_str());
        fingerprint.add(target.as_bytes());
        let model = self.routed.terms.model.as_ref().map_or("", |model| model.as_str());
        fingerprint.add(model.as_bytes());
        fingerprint.add(&self.body.bytes);
        fingerprint.get(!self.body.bytes.is_empty())
    }

    /// Makes the request a trial of quarantined parts.
    pub(crate) fn begin_trial(&self) {
        self.is_trial.set(true);
    }

    /// True if the request is a trial of quarantined parts.
    pub(crate) fn is_trial(&self) -> bool {
        self.is_trial.get()
    }

    /// True if another attempt is allowed.
    pub(crate) fn may_try_again(&self) -> bool {
        !self.is_trial() && self.failed_attempts().allows_another(&self.routed.route)
    }

    /// Longest silence of a server before its answer begins. After that another server is asked.
    pub(crate) fn silence_limit(&self) -> Duration {
        let route = &self.routed.route;
        self.silence_limit_for(route.may_retry(), route.objective)
    }

    /// Longest silence of a server in the middle of a stream. After that another server is asked.
    pub(crate) fn stream_silence_limit(&self) -> Duration {
        let route = &self.routed.route;
        self.silence_limit_for(
            route.retry_policy == RetryPolicy::Resumable,
            route.pause_limit.unwrap_or_default(),
        )
    }

    /// Longest silence of a server that should send something within `expected`. Unlimited if no
    /// other server may be asked.
    fn silence_limit_for(&self, may_try_another: bool, expected: Duration) -> Duration {
        if may_try_another && self.may_try_again() {
            (expected * SILENCE_LIMIT_OBJECTIVES).max(SILENCE_LIMIT_MIN)
        } else {
            Duration::MAX
        }
    }
}
