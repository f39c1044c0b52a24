//! Log lines on single requests. docs/OPERATIONS.md leads through them from a request's id.

use {
    crate::{
        admitted_request::AdmittedRequest, attempt_failure::AttemptFailure, dialect::Dialect,
        own_answer::OwnAnswer, relay::Relay,
    },
    glade_dispatch::ServerIdx,
    glade_types::{ModelName, RequestId},
    hyper::StatusCode,
    std::time::Duration,
};

impl<D: Dialect> Relay<D> {
    /// An attempt at `server` begins.
    pub(crate) fn log_sent(&self, admitted: &AdmittedRequest, server: ServerIdx) {
        admitted.enter_stage("at_server");
        let dispatcher = self.dispatcher.borrow();
        let inputs = dispatcher.decision_inputs(self.clock.now(), server);
        let routed = &admitted.routed;
        log::info!(
            id = routed.id.as_str(),
            route = routed.route.name.as_str(),
            config = routed.catalog.version(),
            model = admitted.open_request.spec.model.as_ref().map_or("", ModelName::as_str),
            prompt = admitted.open_request.spec.prompt_tokens,
            server = dispatcher.record(server).key.id.as_str(),
            attempt = admitted.failed_attempts().tried.len() as u64 + 1,
            after_ms = self.after_ms(admitted),
            own = inputs.own.in_flight,
            others = inputs.others.in_flight,
            unread = inputs.own.unread_us + inputs.others.unread_us,
            slowness = inputs.slowness,
            step_us = (inputs.step_s * 1e6) as u64,
            near = inputs.same_data_centre,
            failed_share = inputs.failed_share;
            "request_sent"
        );
    }

    /// A request begins to wait for a server.
    pub(crate) fn log_waiting(&self, admitted: &AdmittedRequest, missing: bool) {
        admitted.enter_stage(if missing { "waiting_for_model" } else { "waiting_for_room" });
        self.metrics.on_wait();
        log::info!(
            id = admitted.routed.id.as_str(),
            model = admitted.open_request.spec.model.as_ref().map_or("", ModelName::as_str),
            missing = missing,
            after_ms = self.after_ms(admitted);
            "request_waits"
        );
    }

    /// An attempt at `server` has failed.
    pub(crate) fn log_failure(
        &self,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        failure: AttemptFailure,
        ejected_for: Option<Duration>,
    ) {
        self.metrics.on_failure(failure);
        let dispatcher = self.dispatcher.borrow();
        let id = dispatcher.record(server).key.id.as_str();
        log::info!(
            id = admitted.routed.id.as_str(),
            server = id,
            failure = failure.name(),
            may_have_run = failure.may_have_run(),
            after_ms = self.after_ms(admitted);
            "attempt_failed"
        );
        if let Some(time) = ejected_for {
            let time_ms = time.as_millis() as u64;
            log::warn!(server = id, time_ms = time_ms, failure = failure.name(); "server_set_aside");
        }
    }

    /// A request gets an answer of a server.
    pub(crate) fn log_answered(
        &self,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        status: StatusCode,
    ) {
        if admitted.routed.route.streams && status.is_success() {
            admitted.enter_stage("answering");
        } else {
            admitted.mark_end_logged();
        }
        let after = self.clock.now().saturating_duration_since(admitted.routed.arrived_at);
        self.metrics.on_answer(status.as_u16(), after);
        log::info!(
            id = admitted.routed.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            status = status.as_u16(),
            after_ms = self.after_ms(admitted);
            "request_answered"
        );
    }

    /// A stream has ended, whole or not; `cause` says why it goes on nowhere, if it isn't whole.
    pub(crate) fn log_stream_ended(
        &self,
        admitted: &AdmittedRequest,
        outcome: &'static str,
        cause: &'static str,
        longest_pause: Duration,
    ) {
        admitted.mark_end_logged();
        self.metrics.on_stream_end(outcome, longest_pause);
        log::info!(
            id = admitted.routed.id.as_str(),
            outcome = outcome,
            cause = cause,
            pause_ms = longest_pause.as_millis() as u64,
            attempts = admitted.failed_attempts().tried.len() as u64 + 1,
            after_ms = self.after_ms(admitted);
            "stream_ended"
        );
    }

    /// A request gets an answer of the system itself.
    pub(crate) fn log_own_answer(&self, admitted: &AdmittedRequest, answer: &OwnAnswer) {
        admitted.mark_end_logged();
        self.metrics.on_own_answer(answer.cause);
        log::warn!(
            id = admitted.routed.id.as_str(),
            status = answer.status.as_u16(),
            cause = answer.cause,
            retry_after_ms = answer.retry_after.map_or(0, |wait| wait.as_millis() as u64),
            model = admitted.open_request.spec.model.as_ref().map_or("", ModelName::as_str),
            attempts = admitted.failed_attempts().tried.len() as u64,
            after_ms = self.after_ms(admitted);
            "request_given_up"
        );
    }

    /// A stream goes on at another server.
    pub(crate) fn log_resumed(
        &self,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        last_id: Option<u64>,
    ) {
        self.metrics.on_resume();
        log::info!(
            id = admitted.routed.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            after_event = last_id.unwrap_or(0),
            after_ms = self.after_ms(admitted);
            "stream_resumed"
        );
    }

    /// A request stays with a `server` that was silent, since that woke or no other takes the request.
    pub(crate) fn log_server_kept(
        &self,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        cause: &'static str,
    ) {
        log::info!(
            id = admitted.routed.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            cause = cause,
            after_ms = self.after_ms(admitted);
            "server_kept"
        );
    }

    /// `server` has reserved room for a request that a silent one has.
    pub(crate) fn log_reserved(&self, admitted: &AdmittedRequest, server: ServerIdx) {
        log::info!(
            id = admitted.routed.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            after_ms = self.after_ms(admitted);
            "room_reserved"
        );
    }

    /// The connection to a silent `server` is closed, since `other` has the request; `proof` says what that
    /// rests on.
    pub(crate) fn log_server_left(
        &self,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        other: ServerIdx,
        proof: &'static str,
    ) {
        let dispatcher = self.dispatcher.borrow();
        log::info!(
            id = admitted.routed.id.as_str(),
            server = dispatcher.record(server).key.id.as_str(),
            other = dispatcher.record(other).key.id.as_str(),
            proof = proof,
            after_ms = self.after_ms(admitted);
            "server_left"
        );
    }

    /// A request gets an answer of the system before it was read as a whole.
    pub(crate) fn log_rejected(&self, id: Option<&RequestId>, answer: &OwnAnswer) {
        self.metrics.on_own_answer(answer.cause);
        log::info!(
            id = id.map_or("", RequestId::as_str),
            status = answer.status.as_u16(),
            cause = answer.cause,
            config_version = self.view.load().catalog.as_ref().map_or(0, |found| found.version());
            "request_rejected"
        );
    }

    fn after_ms(&self, admitted: &AdmittedRequest) -> u64 {
        let after = self.clock.now().saturating_duration_since(admitted.routed.arrived_at);
        u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
    }
}
