//! One answer to a request, from whichever server gives it.
//!
//! A server that sends nothing for long is likely to be in trouble, but may only be reading other
//! prompts. So it is kept until another has taken the request, and what is proved not to run elsewhere
//! ends nothing here. Two servers don't both work on a request for longer than it takes to see that
//! the second hasn't rejected it.

use {
    crate::{
        admitted::Admitted,
        attempt::Answered,
        dialect::Dialect,
        flight::Flight,
        leg::{LegFailure, Reached},
        relay::Relay,
        waiting::Refused,
    },
    glade_dispatch::ServerIdx,
    std::{pin::Pin, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Time after which a request that was sent on counts as taken. A rejection takes a round trip of a
/// few milliseconds; two servers may work on one request for 400 ms at most.
const HANDOVER: Duration = Duration::from_millis(150);

/// What an attempt brings.
pub(crate) type Outcome<D> = Result<Answered<D>, LegFailure>;

/// An attempt under way, up to a `T`.
pub(crate) type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, LegFailure>> + 'a>>;

/// What the attempts at a request have come to.
pub(crate) struct Pursued<D: Dialect> {
    /// The server of the last attempt.
    pub(crate) server: ServerIdx,
    pub(crate) outcome: Outcome<D>,
    /// The attempt counts as failed already, since its server was silent for long.
    pub(crate) is_spent: bool,
}

/// What came of asking another server, for a `T`, while one was silent that owes an `S`.
pub(crate) enum Asked<'a, S, T> {
    /// The silent one has sent something, or failed.
    Awake(S),
    /// Another has answered, or failed and may have run the request.
    Answered(ServerIdx, Result<T, LegFailure>),
    /// Another works on it.
    Taken(ServerIdx, Answer<'a, T>),
    /// No other takes it, and why.
    Kept(&'static str),
}

impl<D: Dialect> Relay<D> {
    /// Sends the request with `flight`, and to others while the server is silent.
    pub(crate) async fn pursue<'a>(
        self: &'a Rc<Self>,
        admitted: &'a Admitted,
        flight: Flight<D>,
    ) -> Pursued<D> {
        let mut server = flight.server;
        let mut answer: Answer<'a, _> = Box::pin(Self::attempt(admitted, flight));
        let mut is_spent = false;
        loop {
            if let Ok(outcome) = timeout(admitted.silence_limit(), &mut answer).await {
                return Pursued { server, outcome, is_spent };
            }
            if !is_spent {
                self.spend(admitted, server, LegFailure::Silent);
                is_spent = true;
            }
            let begin = |reached| -> Answer<'a, _> { Box::pin(Self::finish(admitted, reached)) };
            match self.ask_another(admitted, &mut answer, begin).await {
                Asked::Awake(outcome) => {
                    self.log_kept(admitted, server, "awake");
                    return Pursued { server, outcome, is_spent };
                }
                Asked::Answered(other, outcome) => {
                    self.log_left(admitted, server, other, "answered");
                    return Pursued { server: other, outcome, is_spent: false };
                }
                Asked::Taken(other, theirs) => {
                    self.log_left(admitted, server, other, "not_rejected");
                    // Closes the silent server's connection.
                    (server, answer, is_spent) = (other, theirs, false);
                }
                Asked::Kept(cause) => self.log_kept(admitted, server, cause),
            }
        }
    }

    /// Asks other servers, each with `begin`, while a `silent` one may go on. Once another may have
    /// begun, `silent` isn't waited for any more; the caller is to close its connection then.
    pub(crate) async fn ask_another<'a, S, T>(
        self: &Rc<Self>,
        admitted: &Admitted,
        mut silent: impl Future<Output = S> + Unpin,
        begin: impl Fn(Reached<D>) -> Answer<'a, T>,
    ) -> Asked<'a, S, T> {
        loop {
            let found = tokio::select! {
                biased;
                sent = &mut silent => return Asked::Awake(sent),
                found = self.reach(admitted) => found,
            };
            let (server, reached) = match found {
                Ok(found) => found,
                Err(refused) => return Asked::Kept(cause_of(refused)),
            };
            let failure = match reached {
                Ok(reached) => {
                    let mut answer = begin(reached);
                    match timeout(HANDOVER, &mut answer).await {
                        Ok(Err(failure)) if !failure.may_have_run() => failure,
                        Ok(outcome) => return Asked::Answered(server, outcome),
                        Err(_elapsed) => return Asked::Taken(server, answer),
                    }
                }
                Err(failure) => failure,
            };
            self.spend(admitted, server, failure);
        }
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

/// Short name of why no other server takes a request.
pub(crate) fn cause_of(refused: Option<Refused>) -> &'static str {
    refused.map_or("no_attempt_left", |refused| refused.reason.name())
}
