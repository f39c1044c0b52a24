//! Requests starts from the data centre's coordinator, and reports to it what becomes of them. A
//! start is the sending of a request to an engine.
//!
//! Where the data centre has a coordinator, a node asks it for a server before it sends a request
//! to an engine. The node remains responsible for the request whatever the coordinator answers: it
//! rejects a server that is unusable by the node's own state, and chooses a server by itself if no
//! usable answer arrives in time.

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

/// Time limit for the first reply. It covers one round trip, and a little more where the request is
/// forwarded to another data centre.
const REPLY_TIMEOUT: Duration = Duration::from_millis(80);
/// Interval at which a queued request is sent again, in case another coordinator has taken over.
const QUEUED_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the coordinator isn't asked after it failed to reply.
const COORDINATOR_BACKOFF: Duration = Duration::from_millis(700);
/// Most events that wait to be reported. A VM normally has a few at a time.
const PENDING_EVENTS_MAX: usize = 1024;

/// A verdict, and the address at which its coordinator receives events about the request.
type CoordinatorReply = (SocketAddr, StartVerdict);

/// A start that a coordinator has granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantedStart {
    /// Address at which the coordinator receives events about the request.
    pub(crate) coordinator: SocketAddr,
    /// Number of the start request, unique among those of this VM.
    pub(crate) ticket: u32,
}

/// Start requests that wait for a reply, and events that wait to be reported.
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

    /// Handles replies of the coordinator that receives events at `coordinator`.
    pub(crate) fn on_replies(&self, coordinator: SocketAddr, replies: &[StartReply]) {
        for reply in replies {
            let waiter = self.pending.borrow().get(&reply.ticket).map(|sender| {
                // The receiver is gone if the request has just been given up.
                let _ = sender.send((coordinator, reply.verdict));
            });
            // Returns the slot that was granted to a request which no longer exists on this node.
            if waiter.is_none() && matches!(reply.verdict, StartVerdict::Go { .. }) {
                self.report(Some(coordinator), ended_event(reply.ticket, false, None));
            }
        }
    }

    /// Queues an `event` for `coordinator`, or for the nearest coordinator if `None`.
    pub(crate) fn report(&self, coordinator: Option<SocketAddr>, event: StartEvent) {
        let mut events = self.events.borrow_mut();
        if events.len() < PENDING_EVENTS_MAX {
            events.push((coordinator, event));
            self.has_events.notify_one();
        }
    }

    /// Waits until there are events to report, and returns them.
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

/// The event that reports the end of a request to its coordinator.
pub(crate) fn ended_event(
    ticket: u32,
    is_success: bool,
    decode_step: Option<Duration>,
) -> StartEvent {
    let step_us =
        decode_step.map(|decode_step| u32::try_from(decode_step.as_micros()).unwrap_or(u32::MAX));
    StartEvent::Ended { ticket, is_good: is_success, decode_step_us: step_us }
}

/// A start request that waits for a reply. Dropping it withdraws the request unless a start was
/// granted.
struct PendingStart<'a> {
    start_client: &'a StartClient,
    ticket: u32,
    /// The coordinator that replied, if any.
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
    /// Requests a server for `admitted` from the coordinator. Returns `None` if no usable reply
    /// arrives in time.
    pub(crate) async fn request_start(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
    ) -> Option<StartResult<D>> {
        let spec = &admitted.open_request.spec;
        let needs_coordinator = self.view.load().has_coordinator && spec.model.is_some();
        if !needs_coordinator
            || self.start_client.coordinator_is_silent(self.clock.now())
            || self.needs_permit(admitted)
        {
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
            let Ok(reply) = timeout(wait, receiver.recv()).await else {
                if !(reply_received && is_queued) {
                    return self.on_coordinator_silence(admitted);
                }
                reply_received = false;
                self.send_start_request(admitted, ticket);
                continue;
            };
            let (coordinator, verdict) = reply?;
            pending_start.coordinator = Some(coordinator);
            reply_received = true;
            match verdict {
                StartVerdict::Queued { missing } => {
                    if !is_queued {
                        self.log_waiting(admitted, missing);
                    }
                    is_queued = true;
                }
                // The coordinator has chosen among the other servers only.
                StartVerdict::Refused { .. } if self.has_limited_server(admitted) => return None,
                StartVerdict::Refused { reason, retry_after_ms } => {
                    let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                    return Some(Err(Refused { reason, retry_after }));
                }
                StartVerdict::Go { server } => {
                    let server = self.acceptable_server(admitted, server)?;
                    pending_start.is_granted = true;
                    self.want_probes(self.clock.now(), admitted);
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
        let tag = |server: &ServerIdx| dispatcher.record(*server).key.short_hash();
        let spec = &admitted.open_request.spec;
        let tried = admitted.failed_attempts().tried.iter().map(tag).collect();
        let request = StartRequest::new(self.clock.now(), ticket, spec, tried);
        (self.on_update)(TrafficUpdate::StartWanted(request));
    }

    /// Handles a missing reply: this VM chooses servers by itself for a while.
    fn on_coordinator_silence(&self, admitted: &AdmittedRequest) -> Option<StartResult<D>> {
        let now = self.clock.now();
        if !self.start_client.coordinator_is_silent(now) {
            log::info!(id = admitted.routed.id.as_str(); "coordinator_silent");
        }
        self.start_client.coordinator_silent_until.set(Some(now + COORDINATOR_BACKOFF));
        None
    }

    /// The server with `tag`, unless this VM may not send the request to it or an attempt at it has
    /// failed already.
    fn acceptable_server(&self, admitted: &AdmittedRequest, tag: u32) -> Option<ServerIdx> {
        let dispatcher = self.dispatcher.borrow();
        let server = dispatcher.server_by_tag(tag)?;
        let is_acceptable = dispatcher.may_send_to(self.clock.now(), server)
            && dispatcher.is_fit(&admitted.open_request.spec, server)
            && !admitted.failed_attempts().tried.contains(&server);
        is_acceptable.then_some(server)
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
