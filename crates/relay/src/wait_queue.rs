//! Queue of requests that wait for a server.

use {
    crate::{
        admitted_request::AdmittedRequest, attempt::Attempt, dialect::Dialect, relay::Relay,
        traffic_update::TrafficUpdate,
    },
    glade_catalog::WantedModel,
    glade_dispatch::{Refusal, Verdict, WaitId},
    std::{
        cell::RefCell,
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, oneshot},
        time::{sleep, timeout},
    },
};

/// Longest interval at which the queue is checked, if nothing wakes it earlier.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest time between two reports that the same model is wanted.
const MODEL_WANTED_INTERVAL: Duration = Duration::from_millis(100);

/// Why a request can't be sent, and when capacity is likely to be available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    pub(crate) reason: Refusal,
    pub(crate) retry_after: Duration,
}

/// The result of waiting for a server.
pub(crate) type StartResult<D> = Result<Attempt<D>, Refused>;

/// Requests that wait for a server.
#[derive(Debug)]
pub(crate) struct WaitQueue<D: Dialect> {
    senders: RefCell<HashMap<WaitId, oneshot::Sender<StartResult<D>>>>,
    changed: Notify,
    model_wanted_at: RefCell<HashMap<WantedModel, Instant>>,
}

impl<D: Dialect> WaitQueue<D> {
    pub(crate) fn new() -> Self {
        Self {
            senders: RefCell::default(),
            changed: Notify::new(),
            model_wanted_at: RefCell::default(),
        }
    }

    /// Wakes the queue after a change that may let a waiting request start.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }
}

/// Drop guard that removes a waiting request from the queue and from the dispatcher.
struct WaitGuard<'a, D: Dialect> {
    relay: &'a Relay<D>,
    id: WaitId,
}

impl<D: Dialect> Drop for WaitGuard<'_, D> {
    fn drop(&mut self) {
        self.relay.wait_queue.senders.borrow_mut().remove(&self.id);
        self.relay.dispatcher.borrow_mut().cancel_waiting(self.id);
        self.relay.permit_client.on_change();
    }
}

impl<D: Dialect> Relay<D> {
    /// Chooses a server for `admitted`, waiting for one as long as the dispatcher considers that
    /// useful.
    pub(crate) async fn choose_server(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
    ) -> StartResult<D> {
        if let Some(result) = self.request_start(admitted).await {
            return result;
        }
        let now = self.clock.now();
        let verdict = self.dispatcher.borrow().decide(
            now,
            &admitted.open_request.spec,
            &admitted.failed_attempts().tried,
        );
        match verdict {
            Verdict::Send(server) => {
                self.want_probes(now, admitted);
                let id = self.dispatcher.borrow_mut().begin_request(
                    now,
                    &admitted.open_request.spec,
                    server,
                );
                Ok(Attempt::new(self, id, server))
            }
            Verdict::Refuse { reason, retry_after } => {
                self.want_probes(now, admitted);
                Err(Refused { reason, retry_after })
            }
            Verdict::Wait { missing } => {
                if missing {
                    self.report_model_wanted(now, admitted);
                }
                self.log_waiting(admitted, missing);
                let (sender, receiver) = oneshot::channel();
                let id = self
                    .dispatcher
                    .borrow_mut()
                    .enqueue(&admitted.open_request.spec, &admitted.failed_attempts().tried);
                self.wait_queue.senders.borrow_mut().insert(id, sender);
                self.note_limit_wait(admitted);
                let _guard = WaitGuard { relay: self, id };
                let dropped = Refused { reason: Refusal::NoServer, retry_after: POLL_INTERVAL };
                receiver.await.unwrap_or(Err(dropped))
            }
        }
    }

    /// Reports to the lease holder that a model is wanted which no server available to this VM
    /// holds.
    fn report_model_wanted(&self, now: Instant, admitted: &AdmittedRequest) {
        let spec = &admitted.open_request.spec;
        let Some(name) = spec.model.clone() else { return };
        let wanted = WantedModel { name, software_version: spec.software_version };
        let mut model_wanted_at = self.wait_queue.model_wanted_at.borrow_mut();
        let is_recent = model_wanted_at
            .get(&wanted)
            .is_some_and(|at| now.saturating_duration_since(*at) < MODEL_WANTED_INTERVAL);
        if !is_recent {
            model_wanted_at
                .retain(|_, at| now.saturating_duration_since(*at) < MODEL_WANTED_INTERVAL);
            model_wanted_at.insert(wanted.clone(), now);
            (self.on_update)(TrafficUpdate::ModelWanted(wanted));
        }
    }

    /// Starts waiting requests as servers get capacity for them.
    pub(crate) async fn serve_waiting(self: Rc<Self>) {
        loop {
            if self.wait_queue.senders.borrow().is_empty() {
                self.wait_queue.changed.notified().await;
            } else {
                // The queue is checked after a time-out as well as after a change.
                let _ = timeout(POLL_INTERVAL, self.wait_queue.changed.notified()).await;
            }
            if self.view_is_unchecked() {
                sleep(POLL_INTERVAL).await;
                continue;
            }
            let now = self.clock.now();
            let due = self.dispatcher.borrow_mut().poll_waiting(now);
            for (id, verdict, in_flight_id) in due {
                let result = match (verdict, in_flight_id) {
                    (Verdict::Send(server), Some(in_flight_id)) => {
                        Ok(Attempt::new(&self, in_flight_id, server))
                    }
                    (Verdict::Refuse { reason, retry_after }, _) => {
                        Err(Refused { reason, retry_after })
                    }
                    (Verdict::Send(_) | Verdict::Wait { .. }, _) => continue,
                };
                let sender = self.wait_queue.senders.borrow_mut().remove(&id);
                if let Some(sender) = sender {
                    // If the caller has just left, the attempt in `result` is dropped, which ends
                    // it.
                    let _ = sender.send(result);
                }
            }
        }
    }
}
