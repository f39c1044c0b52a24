//! Log lines on single requests. docs/OPERATIONS.md leads through them from a request's id.

use {
    crate::{
        admitted::Admitted, dialect::Dialect, leg_failure::LegFailure, own_answer::OwnAnswer,
        relay::Relay,
    },
    glade_dispatch::ServerIdx,
    glade_types::{ModelName, RequestId},
    hyper::StatusCode,
    std::time::Duration,
};

impl<D: Dialect> Relay<D> {
    /// An attempt at `server` begins.
    pub(crate) fn log_sent(&self, admitted: &Admitted, server: ServerIdx) {
        admitted.enter("at_server");
        let dispatcher = self.dispatcher.borrow();
        let basis = dispatcher.decision_inputs(self.clock.now(), server);
        let received = &admitted.received;
        log::info!(
            id = received.id.as_str(),
            route = received.route.name.as_str(),
            config = received.catalog.version(),
            model = admitted.visit.need.model.as_ref().map_or("", ModelName::as_str),
            prompt = admitted.visit.need.prompt_tokens,
            server = dispatcher.record(server).key.id.as_str(),
            attempt = admitted.spent().tried.len() as u64 + 1,
            after_ms = self.after_ms(admitted),
            own = basis.own_load.in_flight,
            others = basis.other_vms_load.in_flight,
            unread = basis.own_load.unread_us + basis.other_vms_load.unread_us,
            slowness = basis.slowness,
            step_us = (basis.decode_step_s * 1e6) as u64,
            near = basis.same_data_centre,
            failed_share = basis.failed_share;
            "request_sent"
        );
    }

    /// A request begins to wait for a server.
    pub(crate) fn log_waits(&self, admitted: &Admitted, missing: bool) {
        admitted.enter(if missing { "waiting_for_model" } else { "waiting_for_room" });
        self.meters.on_wait();
        log::info!(
            id = admitted.received.id.as_str(),
            model = admitted.visit.need.model.as_ref().map_or("", ModelName::as_str),
            missing = missing,
            after_ms = self.after_ms(admitted);
            "request_waits"
        );
    }

    /// An attempt at `server` has failed.
    pub(crate) fn log_failure(
        &self,
        admitted: &Admitted,
        server: ServerIdx,
        failure: LegFailure,
        set_aside: Option<Duration>,
    ) {
        self.meters.on_failure(failure);
        let dispatcher = self.dispatcher.borrow();
        let id = dispatcher.record(server).key.id.as_str();
        log::info!(
            id = admitted.received.id.as_str(),
            server = id,
            failure = failure.name(),
            may_have_run = failure.may_have_run(),
            after_ms = self.after_ms(admitted);
            "attempt_failed"
        );
        if let Some(time) = set_aside {
            let time_ms = time.as_millis() as u64;
            log::warn!(server = id, time_ms = time_ms, failure = failure.name(); "server_set_aside");
        }
    }

    /// A request gets an answer of a server.
    pub(crate) fn log_answered(&self, admitted: &Admitted, server: ServerIdx, status: StatusCode) {
        if admitted.received.route.streams && status.is_success() {
            admitted.enter("answering");
        } else {
            admitted.ended();
        }
        let after = self.clock.now().saturating_duration_since(admitted.received.at);
        self.meters.on_answer(status.as_u16(), after);
        log::info!(
            id = admitted.received.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            status = status.as_u16(),
            after_ms = self.after_ms(admitted);
            "request_answered"
        );
    }

    /// A stream has ended, whole or not; `cause` says why it goes on nowhere, if it isn't whole.
    pub(crate) fn log_stream_ended(
        &self,
        admitted: &Admitted,
        outcome: &'static str,
        cause: &'static str,
        longest_pause: Duration,
    ) {
        admitted.ended();
        self.meters.on_stream_end(outcome, longest_pause);
        log::info!(
            id = admitted.received.id.as_str(),
            outcome = outcome,
            cause = cause,
            pause_ms = longest_pause.as_millis() as u64,
            attempts = admitted.spent().tried.len() as u64 + 1,
            after_ms = self.after_ms(admitted);
            "stream_ended"
        );
    }

    /// A request gets an answer of the system itself.
    pub(crate) fn log_own_answer(&self, admitted: &Admitted, answer: &OwnAnswer) {
        admitted.ended();
        self.meters.on_own_answer(answer.cause);
        log::warn!(
            id = admitted.received.id.as_str(),
            status = answer.status.as_u16(),
            cause = answer.cause,
            retry_after_ms = answer.retry_after.map_or(0, |wait| wait.as_millis() as u64),
            model = admitted.visit.need.model.as_ref().map_or("", ModelName::as_str),
            attempts = admitted.spent().tried.len() as u64,
            after_ms = self.after_ms(admitted);
            "request_given_up"
        );
    }

    /// A stream goes on at another server.
    pub(crate) fn log_resumed(&self, admitted: &Admitted, server: ServerIdx, last_id: Option<u64>) {
        self.meters.on_resume();
        log::info!(
            id = admitted.received.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            after_event = last_id.unwrap_or(0),
            after_ms = self.after_ms(admitted);
            "stream_resumed"
        );
    }

    /// A request stays with a `server` that was silent, since that woke or no other takes the request.
    pub(crate) fn log_kept(&self, admitted: &Admitted, server: ServerIdx, cause: &'static str) {
        log::info!(
            id = admitted.received.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            cause = cause,
            after_ms = self.after_ms(admitted);
            "server_kept"
        );
    }

    /// `server` has reserved room for a request that a silent one has.
    pub(crate) fn log_reserved(&self, admitted: &Admitted, server: ServerIdx) {
        log::info!(
            id = admitted.received.id.as_str(),
            server = self.dispatcher.borrow().record(server).key.id.as_str(),
            after_ms = self.after_ms(admitted);
            "room_reserved"
        );
    }

    /// The connection to a silent `server` is closed, since `other` has the request; `proof` says what that
    /// rests on.
    pub(crate) fn log_left(
        &self,
        admitted: &Admitted,
        server: ServerIdx,
        other: ServerIdx,
        proof: &'static str,
    ) {
        let dispatcher = self.dispatcher.borrow();
        log::info!(
            id = admitted.received.id.as_str(),
            server = dispatcher.record(server).key.id.as_str(),
            other = dispatcher.record(other).key.id.as_str(),
            proof = proof,
            after_ms = self.after_ms(admitted);
            "server_left"
        );
    }

    /// A request gets an answer of the system before it was read as a whole.
    pub(crate) fn log_rejected(&self, id: Option<&RequestId>, answer: &OwnAnswer) {
        self.meters.on_own_answer(answer.cause);
        log::info!(
            id = id.map_or("", RequestId::as_str),
            status = answer.status.as_u16(),
            cause = answer.cause,
            config_version = self.view.load().catalog.as_ref().map_or(0, |found| found.version());
            "request_rejected"
        );
    }

    fn after_ms(&self, admitted: &Admitted) -> u64 {
        let after = self.clock.now().saturating_duration_since(admitted.received.at);
        u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
    }
}
