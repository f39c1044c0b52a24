//! How a stream goes on at another server, where its route allows that.
//!
//! A server that broke off is left at once. One that is only silent is kept as `pursuit` has it.

use {
    crate::{
        admitted::Admitted,
        dialect::Dialect,
        leg_failure::LegFailure,
        pursuit::{Answer, Asked, Pursued, cause_of},
        reached::Reached,
        relay::Relay,
        stream::{Pauses, Stream},
    },
    glade_catalog::Repeat,
    glade_dispatch::ServerIdx,
    std::{future::ready, pin::pin, rc::Rc},
};

impl<D: Dialect> Stream<D> {
    /// Continues a broken stream at another server.
    ///
    /// # Errors
    ///
    /// Why there is none in time.
    pub(crate) async fn resume(
        self,
        relay: &Rc<Relay<D>>,
        admitted: &mut Admitted,
    ) -> Result<Self, &'static str> {
        let (last_id, pauses) = (self.last_id, self.pauses());
        // Closes the broken attempt's connection, so that its server stops.
        drop(self.leg);
        if admitted.received.route.repeat != Repeat::Resumable {
            return Err("may_run_once");
        }
        admitted.begin_anew(relay.clock.now());
        go_on(relay, admitted, last_id, &pauses).await
    }

    /// Continues a silent server's stream at another one, or where it is if that one wakes first or
    /// no other takes it.
    ///
    /// # Errors
    ///
    /// Why the stream, which has left the silent server, goes on nowhere.
    pub(crate) async fn hand_over(
        mut self,
        relay: &Rc<Relay<D>>,
        admitted: &mut Admitted,
    ) -> Result<Self, &'static str> {
        admitted.begin_anew(relay.clock.now());
        let admitted = &*admitted;
        let (last_id, pauses) = (self.last_id, self.pauses());
        let ask = |reached| -> Answer<'_, Self> { Box::pin(begin(reached, admitted, last_id)) };
        let asked = relay.ask_another(admitted, pin!(self.leg.next_event()), ask).await;
        let (server, answer) = match asked {
            Asked::Awake(next) => {
                relay.log_kept(admitted, self.server(), "awake");
                self.awake(next);
                return Ok(self);
            }
            Asked::Kept(cause) => {
                relay.log_kept(admitted, self.server(), cause);
                return Ok(self);
            }
            Asked::Reserved(server, answer) => {
                relay.log_left(admitted, self.server(), server, "reserved");
                (server, answer)
            }
            Asked::Answered(server, begun) => {
                relay.log_left(admitted, self.server(), server, "answered");
                (server, Box::pin(ready(Ok(begun))) as Answer<'_, Self>)
            }
            Asked::SilentFailed(failure, server, answer) => {
                relay.note_failure(admitted, self.server(), failure);
                (server, answer)
            }
        };
        // Closes the silent server's connection.
        drop(self.leg);
        match first_event(relay, admitted, server, answer, last_id).await {
            Some(stream) => Ok(stream.continuing(&pauses)),
            None => go_on(relay, admitted, last_id, &pauses).await,
        }
    }
}

/// Goes on after `last_id` at another server.
///
/// # Errors
///
/// Why there is none in time.
async fn go_on<D: Dialect>(
    relay: &Rc<Relay<D>>,
    admitted: &Admitted,
    last_id: Option<u64>,
    pauses: &Pauses,
) -> Result<Stream<D>, &'static str> {
    loop {
        let flight = relay.next_flight(admitted).await.map_err(cause_of)?;
        let server = flight.server;
        let answer = Box::pin(async move {
            let reached = Reached::open(flight, admitted).await?;
            begin(reached, admitted, last_id).await
        });
        if let Some(stream) = first_event(relay, admitted, server, answer, last_id).await {
            return Ok(stream.continuing(pauses));
        }
    }
}

/// Waits for the `answer` of `server`, which goes on after `last_id`, or for that of another while it is
/// silent; `None` if the attempt has failed.
async fn first_event<'a, D: Dialect>(
    relay: &Rc<Relay<D>>,
    admitted: &'a Admitted,
    server: ServerIdx,
    answer: Answer<'a, Stream<D>>,
    last_id: Option<u64>,
) -> Option<Stream<D>> {
    let ask = |reached| -> Answer<'a, _> { Box::pin(begin(reached, admitted, last_id)) };
    let Pursued { server, outcome, is_spent } = relay.pursue(admitted, server, answer, ask).await;
    match outcome {
        Ok(mut stream) => {
            relay.log_resumed(admitted, server, last_id);
            stream.is_spent = is_spent;
            Some(stream)
        }
        Err(failure) => {
            relay.fail(admitted, server, failure, is_spent);
            None
        }
    }
}

/// Sends the request, to go on after `last_id`, and waits for the first event.
async fn begin<D: Dialect>(
    reached: Reached<D>,
    admitted: &Admitted,
    last_id: Option<u64>,
) -> Result<Stream<D>, LegFailure> {
    let mut leg = reached.send(admitted, last_id).await?;
    if !leg.head.status.is_success() {
        return Err(LegFailure::Failed);
    }
    let first = leg.first_event(admitted).await?;
    Ok(Stream::new(leg, first, last_id))
}
