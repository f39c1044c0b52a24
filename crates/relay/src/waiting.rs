//! Requests that wait for a server.

use {
    crate::{
        admitted::Admitted, dialect::Dialect, flight::Flight, relay::Relay,
        traffic_update::TrafficUpdate,
    },
    glade_catalog::CallerTerms,
    glade_dispatch::{Refusal, Verdict, WaitId},
    glade_types::ModelName,
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
};

/// Period at which waiting requests are looked at when nothing else has happened.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Shortest time between two wishes for the same model.
const WISH_EVERY: Duration = Duration::from_millis(100);

/// Why a request can't be sent, and when there is likely to be room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) reason: Refusal,
    pub(crate) retry_after: Duration,
}

/// What a waiting request is told.
pub(crate) type Told<D> = Result<Flight<D>, Refused>;

/// Requests that wait for a server.
#[derive(Debug)]
pub(crate) struct Waiting<D: Dialect> {
    told: RefCell<HashMap<WaitId, oneshot::Sender<Told<D>>>>,
    changed: Notify,
    wished_at: RefCell<HashMap<ModelName, Instant>>,
}

impl<D: Dialect> Waiting<D> {
    pub(crate) fn new() -> Self {
        Self { told: RefCell::default(), changed: Notify::new(), wished_at: RefCell::default() }
    }

    /// Something has changed that may let a waiting request go.
    pub(crate) fn changed(&self) {
        self.changed.notify_one();
    }
}

/// Forgets a waiting request that nobody waits for any more.
struct Place<'a, D: Dialect> {
    relay: &'a Relay<D>,
    id: WaitId,
}

impl<D: Dialect> Drop for Place<'_, D> {
    fn drop(&mut self) {
        self.relay.waiting.told.borrow_mut().remove(&self.id);
        self.relay.dispatcher.borrow_mut().cancel_waiting(self.id);
    }
}

impl<D: Dialect> Relay<D> {
    /// Finds a server for `admitted`, waiting for one as long as that makes sense.
    pub(crate) async fn place(self: &Rc<Self>, admitted: &Admitted) -> Told<D> {
        if let Some(told) = self.start(admitted).await {
            return told;
        }
        let now = self.clock.now();
        let verdict =
            self.dispatcher.borrow().decide(now, &admitted.visit.need, &admitted.spent().tried);
        match verdict {
            Verdict::Send(server) => {
                let id =
                    self.dispatcher.borrow_mut().begin_request(now, &admitted.visit.need, server);
                Ok(Flight::new(self, id, server))
            }
            Verdict::Refuse { reason, retry_after } => Err(Refused { reason, retry_after }),
            Verdict::Wait { missing } => {
                if missing {
                    self.wish(now, &admitted.received.terms);
                }
                self.log_waits(admitted, missing);
                let (teller, told) = oneshot::channel();
                let id = self
                    .dispatcher
                    .borrow_mut()
                    .enqueue(&admitted.visit.need, &admitted.spent().tried);
                self.waiting.told.borrow_mut().insert(id, teller);
                let _place = Place { relay: self, id };
                let unheard = Refused { reason: Refusal::NoServer, retry_after: LOOK_EVERY };
                told.await.unwrap_or(Err(unheard))
            }
        }
    }

    /// Tells the holder of the lease that a model is missed here.
    fn wish(&self, now: Instant, terms: &CallerTerms) {
        let Some(model) = &terms.model else { return };
        let mut wished_at = self.waiting.wished_at.borrow_mut();
        let is_fresh =
            wished_at.get(model).is_some_and(|at| now.saturating_duration_since(*at) < WISH_EVERY);
        if !is_fresh {
            wished_at.retain(|_, at| now.saturating_duration_since(*at) < WISH_EVERY);
            wished_at.insert(model.clone(), now);
            (self.on_update)(TrafficUpdate::ModelWanted(model.clone()));
        }
    }

    /// Lets waiting requests go as servers get room for them.
    pub(crate) async fn serve_waiting(self: Rc<Self>) {
        loop {
            if self.waiting.told.borrow().is_empty() {
                self.waiting.changed.notified().await;
            } else {
                // Either way it is time to look.
                let _ = timeout(LOOK_EVERY, self.waiting.changed.notified()).await;
            }
            let due = self.dispatcher.borrow_mut().poll_waiting(self.clock.now());
            for (id, verdict, flight) in due {
                let told = match (verdict, flight) {
                    (Verdict::Send(server), Some(flight)) => Ok(Flight::new(&self, flight, server)),
                    (Verdict::Refuse { reason, retry_after }, _) => {
                        Err(Refused { reason, retry_after })
                    }
                    (Verdict::Send(_) | Verdict::Wait { .. }, _) => continue,
                };
                let teller = self.waiting.told.borrow_mut().remove(&id);
                if let Some(teller) = teller {
                    // A caller that has just left drops the flight, which ends it.
                    let _ = teller.send(told);
                }
            }
        }
    }
}
