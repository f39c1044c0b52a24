//! How a stream goes on at another server, where its route allows that.
//!
//! A server that broke off is left at once. One that is only silent is kept as `pursuit` has it.

use {
    crate::{
        admitted::Admitted,
        dialect::Dialect,
        leg::{LegFailure, Reached},
        pursuit::{Answer, Asked},
        relay::Relay,
        stream::{Pauses, Stream},
    },
    glade_catalog::Repeat,
    std::{pin::pin, rc::Rc},
    tokio::time::timeout,
};

impl<D: Dialect> Stream<D> {
    /// Continues a broken stream at another server; `None` if there is none in time.
    pub(crate) async fn resume(
        self,
        relay: &Rc<Relay<D>>,
        admitted: &mut Admitted,
    ) -> Option<Self> {
        let (last_id, pauses) = (self.last_id, self.pauses());
        // Closes the broken attempt's connection, so that its server stops.
        drop(self.leg);
        if admitted.received.route.repeat != Repeat::Resumable {
            return None;
        }
        admitted.begin_anew(relay.clock.now());
        go_on(relay, admitted, last_id, &pauses).await
    }

    /// Continues a silent server's stream at another one, or where it is if that one wakes first or
    /// no other takes it.
    pub(crate) async fn hand_over(
        mut self,
        relay: &Rc<Relay<D>>,
        admitted: &mut Admitted,
    ) -> Option<Self> {
        admitted.begin_anew(relay.clock.now());
        let admitted = &*admitted;
        let (last_id, pauses) = (self.last_id, self.pauses());
        let begin = |reached| -> Answer<'_, Self> { Box::pin(begin(reached, admitted, last_id)) };
        let asked = relay.ask_another(admitted, pin!(self.leg.next_event()), begin).await;
        let (server, begun) = match asked {
            Asked::Awake(next) => {
                relay.log_kept(admitted, self.server(), "awake");
                self.awake(next);
                return Some(self);
            }
            Asked::Kept(cause) => {
                relay.log_kept(admitted, self.server(), cause);
                return Some(self);
            }
            Asked::Answered(server, begun) => {
                drop(self.leg);
                (server, begun)
            }
            Asked::Taken(server, answer) => {
                // Closes the silent server's connection, so that it stops.
                drop(self.leg);
                (server, answer.await)
            }
        };
        match begun {
            Ok(stream) => {
                relay.log_resumed(admitted, server, last_id);
                Some(stream.continuing(&pauses))
            }
            Err(failure) => {
                relay.spend(admitted, server, failure);
                go_on(relay, admitted, last_id, &pauses).await
            }
        }
    }
}

/// Goes on after `last_id` at another server; `None` if there is none in time.
async fn go_on<D: Dialect>(
    relay: &Rc<Relay<D>>,
    admitted: &Admitted,
    last_id: Option<u64>,
    pauses: &Pauses,
) -> Option<Stream<D>> {
    loop {
        let (server, reached) = relay.reach(admitted).await.ok()?;
        let begun = match reached {
            Ok(reached) => begin(reached, admitted, last_id).await,
            Err(failure) => Err(failure),
        };
        match begun {
            Ok(stream) => {
                relay.log_resumed(admitted, server, last_id);
                return Some(stream.continuing(pauses));
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
