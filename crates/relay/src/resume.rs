//! How a stream goes on at another server, where its route allows that.
//!
//! A server that broke off is left at once. One that is only silent is kept until another has taken
//! the request, since it may go on, and a refusal elsewhere is no reason to end the answer. Two
//! servers never both go on: once the request is with another, the silent one isn't read any more
//! unless that other proves that it doesn't run it.

use {
    crate::{
        admitted::Admitted,
        dialect::Dialect,
        leg::{Leg, LegFailure, Reached},
        pursuit::{HANDOVER, cause_of},
        relay::Relay,
        stream::{Pauses, Stream},
    },
    glade_catalog::Repeat,
    glade_dispatch::ServerIdx,
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
        let (last_id, pauses) = (self.last_id, self.pauses());
        loop {
            let found = tokio::select! {
                biased;
                next = self.leg.next_event() => {
                    relay.log_kept(admitted, self.server(), "awake");
                    self.awake(next);
                    return Some(self);
                }
                found = relay.reach(admitted) => found,
            };
            let (server, reached) = match found {
                Ok(found) => found,
                // The silent server is all there is.
                Err(refused) => {
                    relay.log_kept(admitted, self.server(), cause_of(refused));
                    return Some(self);
                }
            };
            let failure = match reached {
                Ok(reached) => match offer(self.leg, reached, admitted, last_id).await {
                    Offered::Taken(Ok(stream)) => {
                        relay.log_resumed(admitted, server, last_id);
                        return Some(stream.continuing(&pauses));
                    }
                    Offered::Taken(Err(failure)) => {
                        spend(relay, admitted, server, failure);
                        return go_on(relay, admitted, last_id, &pauses).await;
                    }
                    Offered::Rejected(leg, failure) => {
                        self.leg = leg;
                        failure
                    }
                },
                Err(failure) => failure,
            };
            spend(relay, admitted, server, failure);
        }
    }
}

/// What became of a request that was sent on while its first server is silent.
enum Offered<D: Dialect> {
    /// The other server works on it, or may have.
    Taken(Result<Stream<D>, LegFailure>),
    /// The other server has proved that it doesn't run it. The silent one may go on.
    Rejected(Leg<D>, LegFailure),
}

/// Sends the request on. The `silent` server's connection is closed as soon as the other counts as
/// having taken the request.
async fn offer<D: Dialect>(
    silent: Leg<D>,
    reached: Reached<D>,
    admitted: &Admitted,
    last_id: Option<u64>,
) -> Offered<D> {
    let mut beginning = pin!(begin(reached, admitted, last_id));
    match timeout(HANDOVER, &mut beginning).await {
        Ok(Err(failure)) if !failure.may_have_run() => Offered::Rejected(silent, failure),
        Ok(begun) => Offered::Taken(begun),
        Err(_elapsed) => {
            drop(silent);
            Offered::Taken(beginning.await)
        }
    }
}

/// Goes on after `last_id` at another server; `None` if there is none in time.
async fn go_on<D: Dialect>(
    relay: &Rc<Relay<D>>,
    admitted: &mut Admitted,
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
            Err(failure) => spend(relay, admitted, server, failure),
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

fn spend<D: Dialect>(
    relay: &Relay<D>,
    admitted: &mut Admitted,
    server: ServerIdx,
    failure: LegFailure,
) {
    relay.note_failure(admitted, server, failure);
    admitted.spend(server, failure);
}
