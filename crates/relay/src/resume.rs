//! How a stream goes on at another server, where its route allows that.
//!
//! A server that broke off is left at once. One that is only silent is kept as `pursuit` has it.

use {
    crate::{
        admitted::Admitted,
        dialect::Dialect,
        leg::{LegFailure, Reached},
        pursuit::{Answer, Asked, cause_of},
        relay::Relay,
        stream::{Pauses, Stream},
    },
    glade_catalog::Repeat,
    std::{pin::pin, rc::Rc},
    tokio::time::timeout,
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
        let (server, begun) = match asked {
            Asked::Awake(next) => {
                relay.log_kept(admitted, self.server(), "awake");
                self.awake(next);
                return Ok(self);
            }
            Asked::Kept(cause) => {
                relay.log_kept(admitted, self.server(), cause);
                return Ok(self);
            }
            Asked::Reserved(reached) => {
                let server = reached.server();
                relay.log_left(admitted, self.server(), server, "reserved");
                // Closes the silent server's connection before the request is sent.
                drop(self.leg);
                (server, begin(reached, admitted, last_id).await)
            }
            Asked::Answered(server, begun) => {
                relay.log_left(admitted, self.server(), server, "answered");
                drop(self.leg);
                (server, begun)
            }
            Asked::Failed(failure, server, answer) => {
                relay.note_failure(admitted, self.server(), failure);
                drop(self.leg);
                (server, answer.await)
            }
        };
        match begun {
            Ok(stream) => {
                relay.log_resumed(admitted, server, last_id);
                Ok(stream.continuing(&pauses))
            }
            Err(failure) => {
                relay.spend(admitted, server, failure);
                go_on(relay, admitted, last_id, &pauses).await
            }
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
        let (server, reached) = relay.reach(admitted).await.map_err(cause_of)?;
        let begun = match reached {
            Ok(reached) => begin(reached, admitted, last_id).await,
            Err(failure) => Err(failure),
        };
        match begun {
            Ok(stream) => {
                relay.log_resumed(admitted, server, last_id);
                return Ok(stream.continuing(pauses));
            }
            Err(failure) => relay.spend(admitted, server, failure),
        }
    }
}

/// Sends the request, to go on after `last_id`, and waits for the first event.
async fn begin<D: Dialect>(
    reached: Reached<D>,
    admitted: &Admitted,
    last_id: Option<u64>,
) -> Result<Stream<D>, LegFailure> {
    let first_event = async {
        let mut leg = reached.send(admitted, last_id).await?;
        if !leg.head.status.is_success() {
            return Err(LegFailure::Failed);
        }
        let first = leg.first_event(admitted).await?;
        Ok(Stream::new(leg, first, last_id))
    };
    timeout(admitted.silence_limit(), first_event).await.unwrap_or(Err(LegFailure::Silent))
}
