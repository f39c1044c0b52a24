//! Answers of backend servers, and the loop of attempts that gets one for a request.

use {
    crate::{
        admitted_request::AdmittedRequest,
        answer_body::AnswerBody,
        attempt::Attempt,
        attempt_failure::AttemptFailure,
        connected_attempt::ConnectedAttempt,
        dialect::Dialect,
        drain::RETRY_ELSEWHERE_AFTER,
        event_stream::EventStream,
        hedge::{HedgedAnswer, PendingAnswer},
        hop_by_hop,
        own_answer::OwnAnswer,
        relay::Relay,
        traffic_update::TrafficUpdate,
        wait_queue::Refused,
    },
    bytes::Bytes,
    glade_budget::Reservation,
    glade_dispatch::{Refusal, ServerIdx, StartEvent},
    hyper::{Response, StatusCode, http::response::Parts},
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// `Retry-After` for a request that its servers refused, where nothing else suggests a longer wait.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A server's answer, as far as it has been received.
pub(crate) enum ServerAnswer<D: Dialect> {
    Complete(CompleteAnswer),
    Stream(Box<EventStream<D>>),
}

/// A server's answer, received in full.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    server: ServerIdx,
    head: Parts,
    body: Bytes,
    /// Room that the body takes.
    room: Option<Reservation>,
}

impl<D: Dialect> Relay<D> {
    /// Makes attempts at `admitted` until one yields an answer or no further attempt is allowed.
    pub(crate) async fn answer(
        self: &Rc<Self>,
        mut admitted: AdmittedRequest,
    ) -> Response<AnswerBody> {
        if let Err(refused) = self.require_origin(&mut admitted).await {
            return self.give_up(&admitted, Some(refused));
        }
        loop {
            let attempt = tokio::select! {
                biased;
                attempt = self.next_attempt(&admitted) => attempt,
                () = self.drain_cutoff(&admitted.open_request.spec) => {
                    Err(Some(Refused { reason: Refusal::Leaving, retry_after: RETRY_ELSEWHERE_AFTER }))
                }
            };
            let attempt = match attempt {
                Ok(attempt) => attempt,
                Err(refused) => return self.give_up(&admitted, refused),
            };
            let server = attempt.server;
            let answer: PendingAnswer<'_, _> = Box::pin(Self::run_attempt(&admitted, attempt));
            let send = |connected| -> PendingAnswer<'_, _> {
                Box::pin(Self::finish_attempt(&admitted, connected))
            };
            let hedged = tokio::select! {
                biased;
                hedged = self.answer_with_hedging(&admitted, server, answer, send) => hedged,
                () = self.drain_end() => return self.end_unanswered(&admitted),
            };
            let HedgedAnswer { server, outcome, is_counted } = hedged;
            let failure = match outcome {
                Ok(ServerAnswer::Stream(mut stream)) => {
                    stream.is_counted = is_counted;
                    return self.forward_stream(admitted, *stream);
                }
                Ok(ServerAnswer::Complete(answer)) => return self.forward(&admitted, answer),
                Err(failure) => failure,
            };
            self.handle_failed_attempt(&admitted, server, failure, is_counted);
            if !failure.may_have_run() && admitted.failed_attempts().may_have_run() {
                // A caller that is still connected hasn't left, and the silent servers may answer
                // if they are asked again.
                admitted.restart_wait(self.clock.now());
            }
            let is_fit =
                |answer: &CompleteAnswer| !self.dispatcher.borrow().is_outlier(answer.server);
            if let Some(answer) = admitted.take_error_answer_if(is_fit) {
                return self.forward(&admitted, answer);
            }
        }
    }

    /// Chooses a server for the next attempt, if another attempt is allowed. The error is `None` if
    /// the request has used up its time, its attempts or the retry budget.
    pub(crate) async fn next_attempt(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
    ) -> Result<Attempt<D>, Option<Refused>> {
        let (is_first, has_arrived) = {
            let failed_attempts = admitted.failed_attempts();
            (failed_attempts.tried.is_empty(), failed_attempts.has_arrived())
        };
        let now = self.clock.now();
        if admitted.time_left(now).is_zero() || (!is_first && !admitted.may_try_again()) {
            return Err(None);
        }
        self.until_view_is_checked().await;
        self.start_trial_if_due(admitted).await;
        let chosen = tokio::select! {
            biased;
            refused = self.until_revoked(admitted) => Err(refused),
            refused = self.until_quarantined(admitted) => Err(refused),
            chosen = self.choose_server(admitted) => chosen,
        };
        let attempt = chosen.map_err(|refused| Some(self.keep_trial(admitted, refused)))?;
        let service = &admitted.open_request.spec.service;
        let mut dispatcher = self.dispatcher.borrow_mut();
        if is_first {
            dispatcher.count_first_attempt(self.clock.now(), service);
        } else if has_arrived && !dispatcher.take_retry(self.clock.now(), service) {
            drop(dispatcher);
            log::info!(id = admitted.routed.id.as_str(); "repeat_budget_used_up");
            return Err(None);
        } else if has_arrived {
            self.metrics.on_retry();
        }
        Ok(attempt)
    }

    /// Makes one attempt, up to a complete answer or the first event of a stream.
    async fn run_attempt(
        admitted: &AdmittedRequest,
        attempt: Attempt<D>,
    ) -> Result<ServerAnswer<D>, AttemptFailure> {
        Self::finish_attempt(admitted, ConnectedAttempt::open(attempt, admitted).await?).await
    }

    /// Completes an attempt that has a connection.
    async fn finish_attempt(
        admitted: &AdmittedRequest,
        connected: ConnectedAttempt<D>,
    ) -> Result<ServerAnswer<D>, AttemptFailure> {
        let server = connected.server();
        let resume_after = admitted.routed.terms.last_event_id;
        let mut answering = connected.send(admitted, resume_after).await?;
        if !admitted.routed.route.streams || !answering.head.status.is_success() {
            let time_left = admitted.time_left(answering.now());
            let answer = timeout(time_left, answering.read_body(&admitted.account)).await;
            let (head, body, room) = answer.unwrap_or(Err(AttemptFailure::Silent))?;
            let answer = CompleteAnswer { server, head, body, room };
            if answer.head.status.is_server_error() {
                admitted.keep_error_answer(answer);
                return Err(AttemptFailure::Failed);
            }
            return Ok(ServerAnswer::Complete(answer));
        }
        let first = answering.first_event(admitted, resume_after).await?;
        Ok(ServerAnswer::Stream(Box::new(EventStream::new(answering, first, resume_after))))
    }

    fn forward(&self, admitted: &AdmittedRequest, answer: CompleteAnswer) -> Response<AnswerBody> {
        self.log_answered(admitted, answer.server, answer.head.status);
        if answer.head.status.is_success() {
            self.report_served(admitted);
        }
        self.response(answer.head, AnswerBody::held(answer.body, answer.room))
    }

    fn forward_stream(
        self: &Rc<Self>,
        admitted: AdmittedRequest,
        stream: EventStream<D>,
    ) -> Response<AnswerBody> {
        let head = stream.head().clone();
        self.log_answered(&admitted, stream.server(), head.status);
        let body = stream.spawn(self, admitted);
        self.response(head, body)
    }

    fn response(&self, head: Parts, body: AnswerBody) -> Response<AnswerBody> {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        hop_by_hop::strip(response.headers_mut());
        self.dialect.strip_answer_metadata(response.headers_mut());
        response
    }

    /// The final answer to a request that no server has answered successfully.
    fn give_up(
        &self,
        admitted: &AdmittedRequest,
        refused: Option<Refused>,
    ) -> Response<AnswerBody> {
        if let Some(answer) = admitted.take_error_answer_if(|_| true) {
            return self.forward(admitted, answer);
        }
        let is_revoked = refused.is_some_and(|refused| refused.reason == Refusal::KeyRevoked);
        let answer = if is_revoked && !admitted.failed_attempts().may_have_run() {
            OwnAnswer::rejected(StatusCode::UNAUTHORIZED, Refusal::KeyRevoked.name())
        } else if !admitted.failed_attempts().may_have_run() {
            let (cause, retry_after) = refused
                .map_or(("refused", REFUSED_RETRY_AFTER), |refused| {
                    (refused.reason.name(), self.return_after(admitted, refused))
                });
            if cause == Refusal::VersionUnknown.name() && retry_after.is_zero() {
                OwnAnswer::never_run(cause)
            } else {
                OwnAnswer::not_run(cause, retry_after)
            }
        } else if admitted.time_left(self.clock.now()).is_zero() {
            OwnAnswer::timed_out()
        } else if refused.is_some_and(|refused| refused.reason == Refusal::Quarantined) {
            OwnAnswer::unknown(Refusal::Quarantined.name())
        } else {
            OwnAnswer::unknown("no_answer")
        };
        self.log_own_answer(admitted, &answer);
        answer.into_response()
    }

    /// The final answer to a request that a server has and hasn't answered when this VM exits.
    fn end_unanswered(&self, admitted: &AdmittedRequest) -> Response<AnswerBody> {
        let answer = OwnAnswer::unknown(Refusal::Leaving.name());
        self.log_own_answer(admitted, &answer);
        answer.into_response()
    }

    /// Records a failed attempt at `server`, and counts it against the request.
    pub(crate) fn add_failed_attempt(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        failure: AttemptFailure,
    ) {
        self.record_failure(admitted, server, failure);
        admitted.add_failed_attempt(server, failure);
    }

    /// Records a failed attempt at `server`, and counts it against the request unless it
    /// `is_counted` already.
    pub(crate) fn handle_failed_attempt(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        failure: AttemptFailure,
        is_counted: bool,
    ) {
        admitted.readmit_unreserved();
        if is_counted {
            self.record_silent_failure(admitted, server, failure);
        } else {
            self.add_failed_attempt(admitted, server, failure);
        }
        if !failure.may_have_run() {
            // The silent servers were given up for a server that is now proved not to run the
            // request.
            admitted.readmit_silent();
        }
    }

    /// Records the `failure` of an attempt at `server` that was counted as silent.
    pub(crate) fn record_silent_failure(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        failure: AttemptFailure,
    ) {
        self.record_failure(admitted, server, failure);
        if !failure.may_have_run() {
            admitted.replace_silent(server, failure);
        }
    }

    /// Records a failure of `server` with the dispatcher, the coordinator, the log and the
    /// connection pool.
    pub(crate) fn record_failure(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        failure: AttemptFailure,
    ) {
        let now = self.clock.now();
        let ejected_for =
            self.dispatcher.borrow_mut().record_failure(now, server, failure.weight());
        if failure.weight() > 0 && self.view.load().has_coordinator {
            let tag = self.dispatcher.borrow().record(server).key.short_hash();
            self.start_client
                .report(None, StartEvent::Failed { server: tag, weight: failure.weight() });
        }
        self.log_failure(admitted, server, failure, ejected_for);
        self.report_lost(admitted, server, failure);
        if failure.invalidates_connections() {
            self.idle_connections.borrow_mut().close_all(server);
        }
        if failure.proves_gone() {
            self.report_gone(server);
        }
    }

    /// Records that the process of `server` is gone.
    pub(crate) fn report_gone(&self, server: ServerIdx) {
        let key = self.dispatcher.borrow_mut().mark_gone(server);
        (self.on_update)(TrafficUpdate::ServerGone(key));
    }
}
