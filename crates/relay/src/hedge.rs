//! One answer to a request, from whichever server gives it.
//!
//! A server that sends nothing for long is likely to be in trouble, but may only be reading other
//! prompts. It is left only once another is known to have the request: a model engine reserves room for
//! it first, and doesn't reject it at once when it comes; elsewhere the other's answer has begun. Without
//! a reservation, that no rejection has come yet proves nothing.

use {
    crate::{
        admitted_request::AdmittedRequest, attempt_failure::AttemptFailure,
        connected_attempt::ConnectedAttempt, dialect::Dialect, relay::Relay, wait_queue::Refused,
    },
    glade_dispatch::ServerIdx,
    std::{pin::Pin, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest time for which two engines work on a request. The platform allows 400 ms.
const OVERLAP_MAX: Duration = Duration::from_millis(250);
/// Servers that are asked in turn for a reservation before a request stays where it is for now.
const FAILED_RESERVATIONS_MAX: u32 = 4;

/// An attempt under way, up to a `T`.
pub(crate) type PendingAnswer<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, AttemptFailure>> + 'a>>;

/// What the attempts at a request have come to.
pub(crate) struct HedgedAnswer<T> {
    /// The server of the last attempt.
    pub(crate) server: ServerIdx,
    pub(crate) outcome: Result<T, AttemptFailure>,
    /// The attempt counts as failed already, since its server was silent for long.
    pub(crate) is_counted: bool,
}

/// What came of asking another server, which would answer with a `T`, while the one that owes an `S` was
/// silent.
pub(crate) enum HedgeOutcome<'a, S, T> {
    /// The silent one has sent something, or failed.
    SilenceEnded(Result<S, AttemptFailure>),
    /// Another has reserved room for the request, was sent it, and hasn't rejected it.
    OtherReserved(ServerIdx, PendingAnswer<'a, T>),
    /// Another has answered.
    OtherAnswered(ServerIdx, T),
    /// The silent one has failed, while another may work on the request.
    SilentFailed(AttemptFailure, ServerIdx, PendingAnswer<'a, T>),
    /// No other takes it, and why.
    NoOtherServer(&'static str),
}

impl<D: Dialect> Relay<D> {
    /// Waits for the `answer` of `server`, and asks others, with `begin`, while it is silent.
    pub(crate) async fn answer_with_hedging<'a, T>(
        self: &Rc<Self>,
        admitted: &'a AdmittedRequest,
        mut server: ServerIdx,
        mut answer: PendingAnswer<'a, T>,
        begin: impl Fn(ConnectedAttempt<D>) -> PendingAnswer<'a, T>,
    ) -> HedgedAnswer<T> {
        let mut is_counted = false;
        loop {
            if let Ok(outcome) = timeout(admitted.silence_limit(), &mut answer).await {
                return HedgedAnswer { server, outcome, is_counted };
            }
            if !is_counted {
                self.add_failed_attempt(admitted, server, AttemptFailure::Silent);
                is_counted = true;
            }
            match self.hedge(admitted, &mut answer, &begin).await {
                HedgeOutcome::SilenceEnded(outcome) => {
                    self.log_server_kept(admitted, server, "awake");
                    return HedgedAnswer { server, outcome, is_counted };
                }
                HedgeOutcome::OtherReserved(other, other_answer) => {
                    self.log_server_left(admitted, server, other, "reserved");
                    // Closes the silent server's connection.
                    (server, answer, is_counted) = (other, other_answer, false);
                }
                HedgeOutcome::OtherAnswered(other, answered) => {
                    self.log_server_left(admitted, server, other, "answered");
                    return HedgedAnswer {
                        server: other,
                        outcome: Ok(answered),
                        is_counted: false,
                    };
                }
                HedgeOutcome::SilentFailed(failure, other, other_answer) => {
                    self.note_failure(admitted, server, failure);
                    (server, answer, is_counted) = (other, other_answer, false);
                }
                HedgeOutcome::NoOtherServer(cause) => self.log_server_kept(admitted, server, cause),
            }
        }
    }

    /// Asks other servers while a `silent` one may go on: each for a reservation first, if it makes any,
    /// and then with `begin`.
    pub(crate) async fn hedge<'a, S, T>(
        self: &Rc<Self>,
        admitted: &'a AdmittedRequest,
        mut silent: impl Future<Output = Result<S, AttemptFailure>> + Unpin,
        begin: impl Fn(ConnectedAttempt<D>) -> PendingAnswer<'a, T>,
    ) -> HedgeOutcome<'a, S, T> {
        admitted.readmit_unreserved();
        let mut unreserved = 0;
        while unreserved < FAILED_RESERVATIONS_MAX {
            let found = tokio::select! {
                biased;
                sent = &mut silent => return HedgeOutcome::SilenceEnded(sent),
                found = self.connect_to_next(admitted) => found,
            };
            let (server, connected) = match found {
                Ok(found) => found,
                Err(refused) => return HedgeOutcome::NoOtherServer(refusal_cause(refused)),
            };
            let outcome = match connected {
                Ok(connected) if connected.can_reserve(admitted) => {
                    let reserved = tokio::select! {
                        biased;
                        sent = &mut silent => return HedgeOutcome::SilenceEnded(sent),
                        reserved = connected.reserve(admitted) => reserved,
                    };
                    match reserved {
                        Ok(connected) => {
                            // An engine that dropped the model since, say, rejects the request at once.
                            let answer = begin(connected);
                            race_attempts(admitted, &mut silent, server, answer, true).await
                        }
                        Err(failure) => Err(failure),
                    }
                }
                Ok(connected) => {
                    race_attempts(admitted, &mut silent, server, begin(connected), false).await
                }
                Err(failure) => Err(failure),
            };
            let failure = match outcome {
                Ok(outcome) => return outcome,
                Err(failure) => failure,
            };
            if failure.is_unsent() {
                let service = &admitted.open_request.spec.service;
                self.dispatcher.borrow_mut().return_retry(service);
            }
            unreserved += u32::from(failure == AttemptFailure::NotReserved);
            self.add_failed_attempt(admitted, server, failure);
        }
        HedgeOutcome::NoOtherServer(AttemptFailure::NotReserved.name())
    }

    /// Chooses another server and connects to it.
    ///
    /// # Errors
    ///
    /// There is none in time; `None` stands for a request that may not be tried again.
    pub(crate) async fn connect_to_next(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
    ) -> Result<(ServerIdx, Result<ConnectedAttempt<D>, AttemptFailure>), Option<Refused>> {
        let attempt = self.next_attempt(admitted).await?;
        let server = attempt.server;
        Ok((server, ConnectedAttempt::open(attempt, admitted).await))
    }
}

/// Waits for the `answer` of `server`, or for the `silent` one if that wakes first. Two engines don't both
/// work on the request for long.
///
/// # Errors
///
/// `server` has failed, or made no reservation and hasn't answered soon enough.
async fn race_attempts<'a, S, T>(
    admitted: &AdmittedRequest,
    silent: impl Future<Output = Result<S, AttemptFailure>>,
    server: ServerIdx,
    mut answer: PendingAnswer<'a, T>,
    is_reserved: bool,
) -> Result<HedgeOutcome<'a, S, T>, AttemptFailure> {
    let overlap_max = if admitted.engine_class().is_some() { OVERLAP_MAX } else { Duration::MAX };
    tokio::select! {
        biased;
        sent = silent => Ok(match sent {
            Ok(sent) => {
                // The other may have begun to run it by now.
                admitted.add_failed_attempt(server, AttemptFailure::Silent);
                HedgeOutcome::SilenceEnded(Ok(sent))
            }
            Err(failure) => HedgeOutcome::SilentFailed(failure, server, answer),
        }),
        outcome = &mut answer => outcome.map(|answered| HedgeOutcome::OtherAnswered(server, answered)),
        () = sleep(overlap_max) => if is_reserved {
            Ok(HedgeOutcome::OtherReserved(server, answer))
        } else {
            Err(AttemptFailure::Silent)
        },
    }
}

/// Short name of why no other server takes a request.
pub(crate) fn refusal_cause(refused: Option<Refused>) -> &'static str {
    refused.map_or("no_attempt_left", |refused| refused.reason.name())
}
