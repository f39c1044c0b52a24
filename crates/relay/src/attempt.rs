//! The attempts that one request is given.

use {
    crate::{
        admitted::Admitted,
        answer_body::AnswerBody,
        dialect::Dialect,
        drain::ELSEWHERE,
        flight::Flight,
        hop,
        leg_failure::LegFailure,
        own_answer::OwnAnswer,
        pursuit::{Answer, Pursued},
        reached::Reached,
        relay::Relay,
        stream::Stream,
        traffic_update::TrafficUpdate,
        waiting::Refused,
    },
    bytes::Bytes,
    glade_dispatch::{Refusal, ServerIdx, StartEvent},
    hyper::{Response, http::response::Parts},
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Advice to callers after servers have refused a request that nothing else speaks against.
const REFUSED_RETRY: Duration = Duration::from_millis(300);

/// An answer of a server, as far as it is there.
pub(crate) enum Answered<D: Dialect> {
    Whole(Whole),
    Stream(Box<Stream<D>>),
}

/// A whole answer of a server.
#[derive(Debug)]
pub(crate) struct Whole {
    server: ServerIdx,
    head: Parts,
    body: Bytes,
}

impl<D: Dialect> Relay<D> {
    /// Gets an answer to `admitted`.
    pub(crate) async fn answer(self: &Rc<Self>, admitted: Admitted) -> Response<AnswerBody> {
        loop {
            let flight = tokio::select! {
                biased;
                flight = self.next_flight(&admitted) => flight,
                () = self.last_call(&admitted.visit.need) => {
                    Err(Some(Refused { reason: Refusal::Leaving, retry_after: ELSEWHERE }))
                }
            };
            let flight = match flight {
                Ok(flight) => flight,
                Err(refused) => return self.give_up(&admitted, refused),
            };
            let server = flight.server;
            let answer: Answer<'_, _> = Box::pin(Self::attempt(&admitted, flight));
            let begin = |reached| -> Answer<'_, _> { Box::pin(Self::finish(&admitted, reached)) };
            let Pursued { server, outcome, is_spent } =
                self.pursue(&admitted, server, answer, begin).await;
            let failure = match outcome {
                Ok(Answered::Stream(mut stream)) => {
                    stream.is_spent = is_spent;
                    return self.pass_stream_on(admitted, *stream);
                }
                Ok(Answered::Whole(whole)) => return self.pass_on(&admitted, whole),
                Err(failure) => failure,
            };
            self.fail(&admitted, server, failure, is_spent);
            let is_fit = |whole: &Whole| !self.dispatcher.borrow().is_outlier(whole.server);
            if let Some(whole) = admitted.take_failed_if(is_fit) {
                return self.pass_on(&admitted, whole);
            }
        }
    }

    /// A server for the next attempt, if there may be one. `None` in the error stands for a request
    /// that has used up its time, its attempts or the budget of repeats.
    pub(crate) async fn next_flight(
        self: &Rc<Self>,
        admitted: &Admitted,
    ) -> Result<Flight<D>, Option<Refused>> {
        let (is_first, has_arrived) = {
            let spent = admitted.spent();
            (spent.tried.is_empty(), spent.has_arrived())
        };
        let now = self.clock.now();
        if admitted.time_left(now).is_zero() || (!is_first && !admitted.may_try_again()) {
            return Err(None);
        }
        let flight = self.place(admitted).await.map_err(Some)?;
        let service = &admitted.visit.need.service;
        let mut dispatcher = self.dispatcher.borrow_mut();
        if is_first {
            dispatcher.count_first_attempt(self.clock.now(), service);
        } else if has_arrived && !dispatcher.take_retry(self.clock.now(), service) {
            drop(dispatcher);
            log::info!(id = admitted.received.id.as_str(); "repeat_budget_used_up");
            return Err(None);
        } else if has_arrived {
            self.meters.on_repeat();
        }
        Ok(flight)
    }

    /// One attempt, up to an answer that is whole, or whose first event is there.
    async fn attempt(admitted: &Admitted, flight: Flight<D>) -> Result<Answered<D>, LegFailure> {
        Self::finish(admitted, Reached::open(flight, admitted).await?).await
    }

    /// The rest of an attempt that has a connection.
    async fn finish(admitted: &Admitted, reached: Reached<D>) -> Result<Answered<D>, LegFailure> {
        let server = reached.server();
        let resume_after = admitted.received.terms.last_event_id;
        let mut leg = reached.send(admitted, resume_after).await?;
        if !admitted.received.route.streams || !leg.head.status.is_success() {
            let time_left = admitted.time_left(leg.now());
            let whole = timeout(time_left, leg.gather()).await;
            let (head, body) = whole.unwrap_or(Err(LegFailure::Silent))?;
            let whole = Whole { server, head, body };
            if whole.head.status.is_server_error() {
                admitted.keep_failed(whole);
                return Err(LegFailure::Failed);
            }
            return Ok(Answered::Whole(whole));
        }
        let first = leg.first_event(admitted).await?;
        Ok(Answered::Stream(Box::new(Stream::new(leg, first, resume_after))))
    }

    fn pass_on(&self, admitted: &Admitted, whole: Whole) -> Response<AnswerBody> {
        self.log_answered(admitted, whole.server, whole.head.status);
        self.response(whole.head, AnswerBody::whole(whole.body))
    }

    fn pass_stream_on(
        self: &Rc<Self>,
        admitted: Admitted,
        stream: Stream<D>,
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
        hop::strip(response.headers_mut());
        self.dialect.strip_answer_metadata(response.headers_mut());
        response
    }

    /// The final answer to a request that no server has answered well.
    fn give_up(&self, admitted: &Admitted, refused: Option<Refused>) -> Response<AnswerBody> {
        if let Some(whole) = admitted.take_failed_if(|_| true) {
            return self.pass_on(admitted, whole);
        }
        let answer = if !admitted.spent().may_have_run() {
            let (cause, retry_after) = refused.map_or(("refused", REFUSED_RETRY), |refused| {
                (refused.reason.name(), refused.retry_after)
            });
            OwnAnswer::not_run(cause, retry_after)
        } else if admitted.time_left(self.clock.now()).is_zero() {
            OwnAnswer::timed_out()
        } else {
            OwnAnswer::unknown("no_answer")
        };
        self.log_own_answer(admitted, &answer);
        answer.into_response()
    }

    /// Takes note of an attempt that failed at `server`, and counts it.
    pub(crate) fn spend(&self, admitted: &Admitted, server: ServerIdx, failure: LegFailure) {
        self.note_failure(admitted, server, failure);
        admitted.spend(server, failure);
    }

    /// Takes note of an attempt that failed at `server`, and counts it unless it `is_spent` already.
    pub(crate) fn fail(
        &self,
        admitted: &Admitted,
        server: ServerIdx,
        failure: LegFailure,
        is_spent: bool,
    ) {
        admitted.forget_unreserved();
        if is_spent {
            self.note_failure(admitted, server, failure);
        } else {
            self.spend(admitted, server, failure);
        }
        if !failure.may_have_run() {
            // They were left for a server that doesn't run the request.
            admitted.forget_silent();
        }
    }

    /// Takes note of a failure of `server`.
    pub(crate) fn note_failure(&self, admitted: &Admitted, server: ServerIdx, failure: LegFailure) {
        let now = self.clock.now();
        let set_aside = self.dispatcher.borrow_mut().record_failure(now, server, failure.weight());
        if failure.weight() > 0 && self.view.load().has_coordinator {
            let tag = self.dispatcher.borrow().record(server).key.tag();
            self.starts.tell(None, StartEvent::Failed { server: tag, weight: failure.weight() });
        }
        self.log_failure(admitted, server, failure, set_aside);
        if failure.spoils_connections() {
            self.idle.borrow_mut().forget(server);
        }
        if failure.proves_gone() {
            let key = self.dispatcher.borrow_mut().mark_gone(server);
            (self.on_update)(TrafficUpdate::ServerGone(key));
        }
    }
}
