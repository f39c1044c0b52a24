//! Continues a stream at another server, where its route allows that.
//!
//! After a failure, the connection to the server is closed at once. The connection to a server that
//! is only silent is kept open until another server has taken over, as described in `hedge`.

use {
    crate::{
        admitted_request::AdmittedRequest,
        attempt_failure::AttemptFailure,
        connected_attempt::ConnectedAttempt,
        dialect::Dialect,
        event_stream::{EventStream, Pauses},
        hedge::{HedgeCause, HedgeOutcome, HedgedAnswer, PendingAnswer, refusal_cause},
        relay::Relay,
    },
    glade_catalog::RetryPolicy,
    glade_dispatch::ServerIdx,
    std::{future::ready, pin::pin, rc::Rc},
};

impl<D: Dialect> EventStream<D> {
    /// Continues a broken stream at another server.
    ///
    /// # Errors
    ///
    /// The reason why no server continues the stream in time.
    pub(crate) async fn resume(
        self,
        relay: &Rc<Relay<D>>,
        admitted: &mut AdmittedRequest,
    ) -> Result<Self, &'static str> {
        let (last_event_id, pauses) = (self.last_event_id, self.pauses());
        // Closes the broken attempt's connection, so that its server stops working on the request.
        drop(self.answering);
        if admitted.routed.route.retry_policy != RetryPolicy::Resumable {
            return Err("may_run_once");
        }
        admitted.restart_wait(relay.clock.now());
        resume_elsewhere(relay, admitted, last_event_id, &pauses).await
    }

    /// Continues a silent server's stream at another server, or at the same one if that sends
    /// something first or no other server takes over.
    ///
    /// # Errors
    ///
    /// The reason why no server continues the stream after the silent server was given up.
    pub(crate) async fn hedge_silence(
        mut self,
        relay: &Rc<Relay<D>>,
        admitted: &mut AdmittedRequest,
    ) -> Result<Self, &'static str> {
        admitted.restart_wait(relay.clock.now());
        let admitted = &*admitted;
        let (last_event_id, pauses) = (self.last_event_id, self.pauses());
        let send = |connected| -> PendingAnswer<'_, Self> {
            Box::pin(send_and_await_event(connected, admitted, last_event_id))
        };
        let hedged = relay
            .hedge(admitted, pin!(self.answering.next_event()), send, HedgeCause::Silent)
            .await;
        let (server, answer) = match hedged {
            HedgeOutcome::SilenceEnded(next) => {
                relay.log_server_kept(admitted, self.server(), "awake");
                self.end_silence(next);
                return Ok(self);
            }
            HedgeOutcome::NoOtherServer(cause) => {
                relay.log_server_kept(admitted, self.server(), cause);
                return Ok(self);
            }
            HedgeOutcome::OtherReserved(server, answer) => {
                relay.log_server_left(admitted, self.server(), server, "reserved");
                (server, answer)
            }
            HedgeOutcome::OtherAnswered(server, stream) => {
                relay.log_server_left(admitted, self.server(), server, "answered");
                (server, Box::pin(ready(Ok(stream))) as PendingAnswer<'_, Self>)
            }
            HedgeOutcome::SilentFailed(failure, server, answer) => {
                relay.record_failure(admitted, self.server(), failure);
                (server, answer)
            }
        };
        // Closes the connection to the silent server.
        drop(self.answering);
        match first_event(relay, admitted, server, answer, last_event_id).await {
            Some(stream) => Ok(stream.continuing(&pauses)),
            None => resume_elsewhere(relay, admitted, last_event_id, &pauses).await,
        }
    }
}

/// Continues the stream after `last_event_id` at another server.
///
/// # Errors
///
/// The reason why no server continues the stream in time.
async fn resume_elsewhere<D: Dialect>(
    relay: &Rc<Relay<D>>,
    admitted: &AdmittedRequest,
    last_event_id: Option<u64>,
    pauses: &Pauses,
) -> Result<EventStream<D>, &'static str> {
    loop {
        let attempt = relay.next_attempt(admitted).await.map_err(refusal_cause)?;
        let server = attempt.server;
        let answer = Box::pin(async move {
            let connected = ConnectedAttempt::open(attempt, admitted).await?;
            send_and_await_event(connected, admitted, last_event_id).await
        });
        if let Some(stream) = first_event(relay, admitted, server, answer, last_event_id).await {
            return Ok(stream.continuing(pauses));
        }
    }
}

/// Waits for the first event after `last_event_id` in the `answer` of `server`, or in the answer of
/// another server if `server` is silent. Returns `None` if the attempt has failed.
async fn first_event<'a, D: Dialect>(
    relay: &Rc<Relay<D>>,
    admitted: &'a AdmittedRequest,
    server: ServerIdx,
    answer: PendingAnswer<'a, EventStream<D>>,
    last_event_id: Option<u64>,
) -> Option<EventStream<D>> {
    let send = |connected| -> PendingAnswer<'a, _> {
        Box::pin(send_and_await_event(connected, admitted, last_event_id))
    };
    let HedgedAnswer { server, outcome, is_counted } =
        relay.answer_with_hedging(admitted, server, answer, send).await;
    match outcome {
        Ok(mut stream) => {
            relay.log_resumed(admitted, server, last_event_id);
            stream.is_counted = is_counted;
            Some(stream)
        }
        Err(failure) => {
            relay.handle_failed_attempt(admitted, server, failure, is_counted);
            None
        }
    }
}

/// Sends the request for the events after `last_event_id`, and waits for the first of them.
async fn send_and_await_event<D: Dialect>(
    connected: ConnectedAttempt<D>,
    admitted: &AdmittedRequest,
    last_event_id: Option<u64>,
) -> Result<EventStream<D>, AttemptFailure> {
    let mut answering = connected.send(admitted, last_event_id).await?;
    if !answering.head.status.is_success() {
        return Err(AttemptFailure::Failed);
    }
    let first = answering.first_event(admitted, last_event_id).await?;
    Ok(EventStream::new(answering, first, last_event_id))
}
