//! One answer to a request, from whichever server gives it.
//!
//! A server that sends nothing for long is likely to be in trouble, but may only be reading other
//! prompts. It is left only once another is known to have the request: a model engine reserves room for
//! it first, and doesn't reject it at once when it comes; elsewhere the other's answer has begun. Without
//! a reservation, that no rejection has come yet proves nothing.

use {
    crate::{
        admitted::Admitted, dialect::Dialect, leg_failure::LegFailure, reached::Reached,
        relay::Relay, waiting::Refused,
    },
    glade_dispatch::ServerIdx,
    std::{pin::Pin, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest time for which two engines work on a request. The platform allows 400 ms.
const OVERLAP_MAX: Duration = Duration::from_millis(250);
/// Servers that are asked in turn for a reservation before a request stays where it is for now.
const UNRESERVED_MAX: u32 = 4;

/// An attempt under way, up to a `T`.
pub(crate) type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, LegFailure>> + 'a>>;

/// What the attempts at a request have come to.
pub(crate) struct Pursued<T> {
    /// The server of the last attempt.
    pub(crate) server: ServerIdx,
    pub(crate) outcome: Result<T, LegFailure>,
    /// The attempt counts as failed already, since its server was silent for long.
    pub(crate) is_spent: bool,
}

/// What came of asking another server, which would answer with a `T`, while the one that owes an `S` was
/// silent.
pub(crate) enum Asked<'a, S, T> {
    /// The silent one has sent something, or failed.
    Awake(Result<S, LegFailure>),
    /// Another has reserved room for the request, was sent it, and hasn't rejected it.
    Reserved(ServerIdx, Answer<'a, T>),
    /// Another has answered.
    Answered(ServerIdx, T),
    /// The silent one has failed, while another may work on the request.
    SilentFailed(LegFailure, ServerIdx, Answer<'a, T>),
    /// No other takes it, and why.
    Kept(&'static str),
}

impl<D: Dialect> Relay<D> {
    /// Waits for the `answer` of `server`, and asks others, with `begin`, while it is silent.
    pub(crate) async fn pursue<'a, T>(
        self: &Rc<Self>,
        admitted: &'a Admitted,
        mut server: ServerIdx,
        mut answer: Answer<'a, T>,
        begin: impl Fn(Reached<D>) -> Answer<'a, T>,
    ) -> Pursued<T> {
        let mut is_spent = false;
        loop {
            if let Ok(outcome) = timeout(admitted.silence_limit(), &mut answer).await {
                return Pursued { server, outcome, is_spent };
            }
            if !is_spent {
                self.spend(admitted, server, LegFailure::Silent);
                is_spent = true;
            }
            match self.ask_another(admitted, &mut answer, &begin).await {
                Asked::Awake(outcome) => {
                    self.log_kept(admitted, server, "awake");
                    return Pursued { server, outcome, is_spent };
                }
                Asked::Reserved(other, theirs) => {
                    self.log_left(admitted, server, other, "reserved");
                    // Closes the silent server's connection.
                    (server, answer, is_spent) = (other, theirs, false);
                }
                Asked::Answered(other, answered) => {
                    self.log_left(admitted, server, other, "answered");
                    return Pursued { server: other, outcome: Ok(answered), is_spent: false };
                }
                Asked::SilentFailed(failure, other, theirs) => {
                    self.note_failure(admitted, server, failure);
                    (server, answer, is_spent) = (other, theirs, false);
                }
                Asked::Kept(cause) => self.log_kept(admitted, server, cause),
            }
        }
    }

    /// Asks other servers while a `silent` one may go on: each for a reservation first, if it makes any,
    /// and then with `begin`.
    pub(crate) async fn ask_another<'a, S, T>(
        self: &Rc<Self>,
        admitted: &'a Admitted,
        mut silent: impl Future<Output = Result<S, LegFailure>> + Unpin,
        begin: impl Fn(Reached<D>) -> Answer<'a, T>,
    ) -> Asked<'a, S, T> {
        admitted.forget_unreserved();
        let mut unreserved = 0;
        while unreserved < UNRESERVED_MAX {
            let found = tokio::select! {
                biased;
                sent = &mut silent => return Asked::Awake(sent),
                found = self.reach(admitted) => found,
            };
            let (server, reached) = match found {
                Ok(found) => found,
                Err(refused) => return Asked::Kept(cause_of(refused)),
            };
            let asked = match reached {
                Ok(reached) if reached.can_reserve(admitted) => {
                    let reserved = tokio::select! {
                        biased;
                        sent = &mut silent => return Asked::Awake(sent),
                        reserved = reached.reserve(admitted) => reserved,
                    };
                    match reserved {
                        Ok(reached) => {
                            // An engine that dropped the model since, say, rejects the request at once.
                            let answer = begin(reached);
                            race(admitted, &mut silent, server, answer, true).await
                        }
                        Err(failure) => Err(failure),
                    }
                }
                Ok(reached) => race(admitted, &mut silent, server, begin(reached), false).await,
                Err(failure) => Err(failure),
            };
            let failure = match asked {
                Ok(asked) => return asked,
                Err(failure) => failure,
            };
            if failure.never_arrived() {
                let service = &admitted.visit.need.service;
                self.dispatcher.borrow_mut().return_retry(service);
            }
            unreserved += u32::from(failure == LegFailure::NotReserved);
            self.spend(admitted, server, failure);
        }
        Asked::Kept(LegFailure::NotReserved.name())
    }

    /// Chooses another server and connects to it.
    ///
    /// # Errors
    ///
    /// There is none in time; `None` stands for a request that may not be tried again.
    pub(crate) async fn reach(
        self: &Rc<Self>,
        admitted: &Admitted,
    ) -> Result<(ServerIdx, Result<Reached<D>, LegFailure>), Option<Refused>> {
        let flight = self.next_flight(admitted).await?;
        let server = flight.server;
        Ok((server, Reached::open(flight, admitted).await))
    }
}

/// Waits for the `answer` of `server`, or for the `silent` one if that wakes first. Two engines don't both
/// work on the request for long.
///
/// # Errors
///
/// `server` has failed, or made no reservation and hasn't answered soon enough.
async fn race<'a, S, T>(
    admitted: &Admitted,
    silent: impl Future<Output = Result<S, LegFailure>>,
    server: ServerIdx,
    mut answer: Answer<'a, T>,
    is_reserved: bool,
) -> Result<Asked<'a, S, T>, LegFailure> {
    let overlap_max = if admitted.engine_class().is_some() { OVERLAP_MAX } else { Duration::MAX };
    tokio::select! {
        biased;
        sent = silent => Ok(match sent {
            Ok(sent) => {
                // The other may have begun to run it by now.
                admitted.spend(server, LegFailure::Silent);
                Asked::Awake(Ok(sent))
            }
            Err(failure) => Asked::SilentFailed(failure, server, answer),
        }),
        outcome = &mut answer => outcome.map(|answered| Asked::Answered(server, answered)),
        () = sleep(overlap_max) => if is_reserved {
            Ok(Asked::Reserved(server, answer))
        } else {
            Err(LegFailure::Silent)
        },
    }
}

/// Short name of why no other server takes a request.
pub(crate) fn cause_of(refused: Option<Refused>) -> &'static str {
    refused.map_or("no_attempt_left", |refused| refused.reason.name())
}
