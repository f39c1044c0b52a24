//! Log lines about single requests. docs/OPERATIONS.md shows how to follow a request through them
//! by its id.

use {
    crate::{
        admitted_request::AdmittedRequest, attempt_failure::AttemptFailure, dialect::Dialect,
        own_answer::OwnAnswer, relay::Relay,
    },
    glade_dispatch::ServerIdx,
    glade_quarantine::BlockedParts,
    glade_streams::StreamOrigin,
    glade_types::{ModelName, RequestId},
    hyper::StatusCode,
    std::time::Duration,
};

impl<D: Dialect> Relay<D> {
    /// Logs the start of an attempt at `server`.
    pub(crate) fn log_sent(&self, admitted: &AdmittedRequest, server: ServerIdx) {
        admitted.enter_stage("at_server");
        let dispatcher = self.dispatcher.borrow();
        let inputs = dispatcher.decision_inputs(self.clock.now(), server);
        let routed = &admitted.routed;
        log::info!(
            id = routed.id.as_str(),
            route = routed.route.name.as_str(),
            team = routed.team.as_ref().map(|team| team.name.as_str()),
            config = routed.catalog.version(),
            model = admitted.open_request.spec.model.as_ref().map_or("", ModelName::as_str),
            prompt = admitted.open_request.spec.prompt_tokens,
            server = dispatcher.record(server).key.id.as_str(),
            version = dispatcher.record(server).version.as_str(),
            resumes = routed.terms.resumes.as_ref().map(RequestId::as_str),
            after_event = routed.terms.last_event_id,
            attempt = admitted.failed_attempts().tried.len() as u64 + 1,
            after_ms = self.after_ms(admitted),
            own = inputs.own_load.in_flight,
            others = inputs.other_vms_load.in_flight,
            unread = inputs.own_load.outstanding_prefill_us + inputs.other_vms_load.outstanding_prefill_us,
            slowness = inputs.slowness,
            step_us = (inputs.decode_step_s * 1e6) as u64,
            near = inputs.same_data_centre,
            failed_share = inputs.failed_share,
            limit_per_s = inputs.limit_per_s;
            "request_sent"
        );
    }

    /// Logs that a request begins to wait for a server.
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

    /// Logs a failed attempt at `server`, and whether that ejected the server.
    pub(crate) fn log_failure(
        &self,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        failure: AttemptFailure,
        ejected_for: Option<Duration>,
    ) {
        let now = self.clock.now();
        let answering = admitted.answering_for(now, server);
        self.metrics.on_failure(failure, answering.is_some());
        let dispatcher = self.dispatcher.borrow();
        let id = dispatcher.record(server).key.id.as_str();
        log::info!(
            id = admitted.routed.id.as_str(),
            server = id,
            failure = failure.name(),
            may_have_run = failure.may_have_run(),
            answering_ms = answering.map(|time| time.as_millis() as u64),
            parts = part_list(admitted.quarantine_parts().iter().copied()).as_str(),
            after_ms = self.after_ms(admitted);
            "attempt_failed"
        );
        if let Some(time) = ejected_for {
            let time_ms = time.as_millis() as u64;
            log::warn!(server = id, time_ms = time_ms, failure = failure.name(); "server_set_aside");
        }
    }

    /// Logs that a request gets a server's answer.
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
            team = admitted.routed.team.as_ref().map(|team| team.name.as_str()),
            status = status.as_u16(),
            after_ms = self.after_ms(admitted);
            "request_answered"
        );
    }

    /// Logs the end of a stream. If the stream is incomplete, `cause` is the reason why no server
    /// continues it.
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

    /// Logs that a request gets an answer of this system.
    pub(crate) fn log_own_answer(&self, admitted: &AdmittedRequest, answer: &OwnAnswer) {
        admitted.mark_end_logged();
        self.metrics.on_own_answer(answer.cause);
        log::warn!(
            id = admitted.routed.id.as_str(),
            status = answer.status.as_u16(),
            cause = answer.cause,
            retry_after_ms = answer.retry_after.map_or(0, |wait| wait.as_millis() as u64),
            model = admitted.open_request.spec.model.as_ref().map_or("", ModelName::as_str),
            team = admitted.routed.team.as_ref().map(|team| team.name.as_str()),
            attempts = admitted.failed_attempts().tried.len() as u64,
            after_ms = self.after_ms(admitted);
            "request_given_up"
        );
    }

    /// Logs that a stream continues at another server.
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
            version = self.dispatcher.borrow().record(server).version.as_str(),
            after_event = last_id.unwrap_or(0),
            after_ms = self.after_ms(admitted);
            "stream_resumed"
        );
    }

    /// Logs what is known of the software version that began the stream which `admitted` takes up.
    pub(crate) fn log_taken_up(&self, admitted: &AdmittedRequest, origin: StreamOrigin) {
        self.metrics.on_taken_up(origin.name());
        let terms = &admitted.routed.terms;
        log::info!(
            id = admitted.routed.id.as_str(),
            resumes = terms.resumes.as_ref().map(RequestId::as_str),
            after_event = terms.last_event_id,
            origin = origin.name(),
            after_ms = self.after_ms(admitted);
            "stream_taken_up"
        );
    }

    /// Logs that a request stays with a `server` that was silent, because the server has sent
    /// something or because no other server takes the request.
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

    /// Logs the end of a hedge, or why a request that is late at `server` isn't hedged.
    pub(crate) fn log_hedge(
        &self,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        delay: Duration,
        outcome: &'static str,
    ) {
        log::info!(
            id = admitted.routed.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            delay_ms = delay.as_millis() as u64,
            outcome = outcome,
            after_ms = self.after_ms(admitted);
            "hedged"
        );
    }

    /// Logs that `server` has reserved capacity for a request which is at a silent server.
    pub(crate) fn log_reserved(&self, admitted: &AdmittedRequest, server: ServerIdx) {
        log::info!(
            id = admitted.routed.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            after_ms = self.after_ms(admitted);
            "room_reserved"
        );
    }

    /// Logs that the connection to a silent `server` is closed because `other` has the request;
    /// `proof` is the evidence for that.
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

    /// Logs that a request is rejected before it is admitted.
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

    /// Logs that a request must not be sent because it holds the `blocked` combination of parts.
    pub(crate) fn log_quarantined(&self, admitted: &AdmittedRequest, blocked: &BlockedParts) {
        self.metrics.on_quarantined();
        let now = self.clock.now();
        log::info!(
            id = admitted.routed.id.as_str(),
            parts = part_list(blocked.parts.iter().copied()).as_str(),
            crashes = blocked.crashes,
            known_ms = now.saturating_duration_since(blocked.since).as_millis() as u64,
            trial_in_ms = blocked.trial_at.saturating_duration_since(now).as_millis() as u64,
            after_ms = self.after_ms(admitted);
            "request_quarantined"
        );
    }

    /// Logs that a request is sent as the trial of the `blocked` combination of parts that it holds.
    pub(crate) fn log_trial(&self, admitted: &AdmittedRequest, blocked: &BlockedParts) {
        log::info!(
            id = admitted.routed.id.as_str(),
            parts = part_list(blocked.parts.iter().copied()).as_str(),
            after_ms = self.after_ms(admitted);
            "quarantine_trial_sent"
        );
    }

    /// Logs that a server whose connection broke can't be connected to.
    pub(crate) fn log_checked(&self, server: ServerIdx, failure: AttemptFailure) {
        log::info!(
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            failure = failure.name();
            "server_checked"
        );
    }

    fn after_ms(&self, admitted: &AdmittedRequest) -> u64 {
        let after = self.clock.now().saturating_duration_since(admitted.routed.arrived_at);
        u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
    }
}

/// The hashes of a prompt's parts as in the caller's header, for logs.
fn part_list(parts: impl Iterator<Item = u64>) -> String {
    let names: Vec<String> = parts.map(|hash| format!("{hash:x}")).collect();
    names.join(",")
}
