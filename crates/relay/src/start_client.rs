//! Starts that the coordinator of the data centre decides on.
//!
//! A node of a crowd asks before it sends a request to an engine. Whatever the coordinator does or doesn't
//! say, the node answers for the request: it takes no advice that it knows to be wrong, and decides by
//! itself if there is none in time.

use {
    crate::{
        admitted_request::AdmittedRequest,
        attempt::Attempt,
        dialect::Dialect,
        relay::Relay,
        traffic_update::TrafficUpdate,
        wait_queue::{Refused, StartResult},
    },
    glade_dispatch::{ServerIdx, StartEvent, StartReply, StartRequest, StartVerdict},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{
            Notify,
            mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        },
        time::timeout,
    },
};

/// Time allowed for a first answer. It takes a way there and back, and a little longer where the question
/// is passed on to another data centre.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Period at which a queued request asks again, in case the coordinator has changed.
const QUEUED_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which a coordinator isn't asked after it didn't answer.
const COORDINATOR_BACKOFF: Duration = Duration::from_millis(700);
/// Most events that wait to be told; a VM has a few in the time that they wait.
const PENDING_EVENTS_MAX: usize = 1024;

/// An answer, with where its sender hears what becomes of the request.
type CoordinatorReply = (SocketAddr, StartVerdict);

/// Where a start was decided on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantedStart {
    pub(crate) coordinator: SocketAddr,
    pub(crate) ticket: u32,
}

/// Questions and what is to be told of requests.
#[derive(Debug)]
pub(crate) struct StartClient {
    next_ticket: Cell<u32>,
    pending: RefCell<HashMap<u32, UnboundedSender<CoordinatorReply>>>,
    events: RefCell<Vec<(Option<SocketAddr>, StartEvent)>>,
    has_events: Notify,
    coordinator_silent_until: Cell<Option<Instant>>,
}

impl StartClient {
    /// `first_ticket` differs from one process of a VM to the next.
    pub(crate) fn new(first_ticket: u32) -> Self {
        Self {
            next_ticket: Cell::new(first_ticket),
            pending: RefCell::default(),
            events: RefCell::default(),
            has_events: Notify::new(),
            coordinator_silent_until: Cell::new(None),
        }
    }

    /// Takes answers of the coordinator that hears events at `coordinator`.
    pub(crate) fn on_replies(&self, coordinator: SocketAddr, answers: &[StartReply]) {
        for answer in answers {
            let waiter = self.pending.borrow().get(&answer.ticket).map(|sender| {
                // Nobody waits for it if the request has just been given up.
                let _ = sender.send((coordinator, answer.verdict));
            });
            // A place for a request that nobody here knows of any more.
            if waiter.is_none() && matches!(answer.verdict, StartVerdict::Go { .. }) {
                self.report(Some(coordinator), ended_event(answer.ticket, false, None));
            }
        }
    }

    /// Tells the coordinator at `coordinator`, or the nearest one.
    pub(crate) fn report(&self, coordinator: Option<SocketAddr>, event: StartEvent) {
        let mut events = self.events.borrow_mut();
        if events.len() < PENDING_EVENTS_MAX {
            events.push((coordinator, event));
            self.has_events.notify_one();
        }
    }

    /// Waits until there is something to tell, and returns it.
    pub(crate) async fn next_events(&self) -> Vec<(Option<SocketAddr>, StartEvent)> {
        loop {
            let events = std::mem::take(&mut *self.events.borrow_mut());
            if !events.is_empty() {
                return events;
            }
            self.has_events.notified().await;
        }
    }

    fn register(&self) -> (u32, UnboundedReceiver<CoordinatorReply>) {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket.wrapping_add(1));
        let (sender, receiver) = unbounded_channel();
        self.pending.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }

    fn coordinator_is_silent(&self, now: Instant) -> bool {
        self.coordinator_silent_until.get().is_some_and(|until| now < until)
    }
}

/// The end of a request, for its coordinator.
pub(crate) fn ended_event(ticket: u32, is_success: bool, step: Option<Duration>) -> StartEvent {
    let step_us = step.map(|step| u32::try_from(step.as_micros()).unwrap_or(u32::MAX));
    StartEvent::Ended { ticket, is_good: is_success, step_us }
}

/// A question. Unless a start was granted, its end takes it back.
struct PendingStart<'a> {
    start_client: &'a StartClient,
    ticket: u32,
    /// Who has it.
    coordinator: Option<SocketAddr>,
    is_granted: bool,
}

impl Drop for PendingStart<'_> {
    fn drop(&mut self) {
        self.start_client.pending.borrow_mut().remove(&self.ticket);
        if !self.is_granted {
            self.start_client.report(self.coordinator, ended_event(self.ticket, false, None));
        }
    }
}

impl<D: Dialect> Relay<D> {
    /// Has the coordinator find a server for `admitted`; `None` if there is no advice in time, or none that
    /// can be taken.
    pub(crate) async fn request_start(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
    ) -> Option<StartResult<D>> {
        let spec = &admitted.open_request.spec;
        let needs_coordinator = self.view.load().has_coordinator && spec.model.is_some();
        if !needs_coordinator || self.start_client.coordinator_is_silent(self.clock.now()) {
            return None;
        }
        let (ticket, mut receiver) = self.start_client.register();
        let mut pending_start = PendingStart {
            start_client: &self.start_client,
            ticket,
            coordinator: None,
            is_granted: false,
        };
        self.send_start_request(admitted, ticket);
        let mut reply_received = true;
        let mut is_queued = false;
        loop {
            let wait =
                if reply_received && is_queued { QUEUED_RETRY_INTERVAL } else { REPLY_TIMEOUT };
            let Ok(answer) = timeout(wait, receiver.recv()).await else {
                if !(reply_received && is_queued) {
                    return self.on_coordinator_silence(admitted);
                }
                reply_received = false;
                self.send_start_request(admitted, ticket);
                continue;
            };
            let (coordinator, verdict) = answer?;
            pending_start.coordinator = Some(coordinator);
            reply_received = true;
            match verdict {
                StartVerdict::Queued { missing } => {
                    if !is_queued {
                        self.log_waiting(admitted, missing);
                    }
                    is_queued = true;
                }
                StartVerdict::Refused { reason, retry_after_ms } => {
                    let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                    return Some(Err(Refused { reason, retry_after }));
                }
                StartVerdict::Go { server } => {
                    let server = self.acceptable_server(admitted, server)?;
                    pending_start.is_granted = true;
                    log::info!(
                        id = admitted.routed.id.as_str(),
                        ticket = ticket,
                        by = coordinator.to_string().as_str();
                        "start_granted"
                    );
                    return Some(Ok(self.begin_granted_attempt(
                        admitted,
                        server,
                        GrantedStart { coordinator, ticket },
                    )));
                }
            }
        }
    }

    fn send_start_request(&self, admitted: &AdmittedRequest, ticket: u32) {
        let dispatcher = self.dispatcher.borrow();
        let tag = |server: &ServerIdx| dispatcher.record(*server).key.tag();
        let tried = admitted.failed_attempts().tried.iter().map(tag).collect();
        let request =
            StartRequest::new(self.clock.now(), ticket, &admitted.open_request.spec, tried);
        (self.on_update)(TrafficUpdate::StartWanted(request));
    }

    /// The coordinator doesn't answer: this VM decides by itself for a while.
    fn on_coordinator_silence(&self, admitted: &AdmittedRequest) -> Option<StartResult<D>> {
        let now = self.clock.now();
        if !self.start_client.coordinator_is_silent(now) {
            log::info!(id = admitted.routed.id.as_str(); "coordinator_silent");
        }
        self.start_client.coordinator_silent_until.set(Some(now + COORDINATOR_BACKOFF));
        None
    }

    /// The server with `tag`, unless this VM knows better than to send the request there.
    fn acceptable_server(&self, admitted: &AdmittedRequest, tag: u32) -> Option<ServerIdx> {
        let dispatcher = self.dispatcher.borrow();
        let server = dispatcher.server_by_tag(tag)?;
        let may = dispatcher.may_send_to(self.clock.now(), server)
            && !admitted.failed_attempts().tried.contains(&server);
        may.then_some(server)
    }

    fn begin_granted_attempt(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
        server: ServerIdx,
        grant: GrantedStart,
    ) -> Attempt<D> {
        let now = self.clock.now();
        let id =
            self.dispatcher.borrow_mut().begin_request(now, &admitted.open_request.spec, server);
        Attempt::granted(self, id, server, now, grant)
    }
}
