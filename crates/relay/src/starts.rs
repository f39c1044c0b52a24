//! Starts that the coordinator of the data centre decides on.
//!
//! A node of a crowd asks before it sends a request to an engine. Whatever the coordinator does or doesn't
//! say, the node answers for the request: it takes no advice that it knows to be wrong, and decides by
//! itself if there is none in time.

use {
    crate::{
        admitted::Admitted,
        dialect::Dialect,
        flight::Flight,
        relay::Relay,
        traffic_update::TrafficUpdate,
        waiting::{Refused, Told},
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
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
/// Period at which a queued request asks again, in case the coordinator has changed.
const ASK_AGAIN_EVERY: Duration = Duration::from_millis(400);
/// Time for which a coordinator isn't asked after it didn't answer.
const SILENT_TIME: Duration = Duration::from_millis(700);
/// Most events that wait to be told; a VM has a few in the time that they wait.
const EVENTS_MAX: usize = 1024;

/// An answer, with where its sender hears what becomes of the request.
type Answer = (SocketAddr, StartVerdict);

/// Where a start was decided on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Granted {
    pub(crate) by: SocketAddr,
    pub(crate) ticket: u32,
}

/// Questions and what is to be told of requests.
#[derive(Debug)]
pub(crate) struct Starts {
    next_ticket: Cell<u32>,
    asked: RefCell<HashMap<u32, UnboundedSender<Answer>>>,
    events: RefCell<Vec<(Option<SocketAddr>, StartEvent)>>,
    has_events: Notify,
    silent_until: Cell<Option<Instant>>,
}

impl Starts {
    /// `first_ticket` differs from one process of a VM to the next.
    pub(crate) fn new(first_ticket: u32) -> Self {
        Self {
            next_ticket: Cell::new(first_ticket),
            asked: RefCell::default(),
            events: RefCell::default(),
            has_events: Notify::new(),
            silent_until: Cell::new(None),
        }
    }

    /// Takes answers of the coordinator that hears events at `by`.
    pub(crate) fn on_answers(&self, by: SocketAddr, answers: &[StartReply]) {
        for answer in answers {
            let told = self.asked.borrow().get(&answer.ticket).map(|asked| {
                // Nobody waits for it if the request has just been given up.
                let _ = asked.send((by, answer.verdict));
            });
            // A place for a request that nobody here knows of any more.
            if told.is_none() && matches!(answer.verdict, StartVerdict::Go { .. }) {
                self.tell(Some(by), ended(answer.ticket, false, None));
            }
        }
    }

    /// Tells the coordinator at `by`, or the nearest one.
    pub(crate) fn tell(&self, by: Option<SocketAddr>, event: StartEvent) {
        let mut events = self.events.borrow_mut();
        if events.len() < EVENTS_MAX {
            events.push((by, event));
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

    fn begin(&self) -> (u32, UnboundedReceiver<Answer>) {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket.wrapping_add(1));
        let (teller, told) = unbounded_channel();
        self.asked.borrow_mut().insert(ticket, teller);
        (ticket, told)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.get().is_some_and(|until| now < until)
    }
}

/// The end of a request, for its coordinator.
pub(crate) fn ended(ticket: u32, is_good: bool, step: Option<Duration>) -> StartEvent {
    let step_us = step.map(|step| u32::try_from(step.as_micros()).unwrap_or(u32::MAX));
    StartEvent::Ended { ticket, is_good, step_us }
}

/// A question. Unless a start was granted, its end takes it back.
struct Question<'a> {
    starts: &'a Starts,
    ticket: u32,
    /// Who has it.
    by: Option<SocketAddr>,
    is_granted: bool,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.starts.asked.borrow_mut().remove(&self.ticket);
        if !self.is_granted {
            self.starts.tell(self.by, ended(self.ticket, false, None));
        }
    }
}

impl<D: Dialect> Relay<D> {
    /// Has the coordinator find a server for `admitted`; `None` if there is no advice in time, or none that
    /// can be taken.
    pub(crate) async fn start(self: &Rc<Self>, admitted: &Admitted) -> Option<Told<D>> {
        let need = &admitted.visit.need;
        let is_asked = self.view.load().has_coordinator && need.model.is_some();
        if !is_asked || self.starts.is_silent(self.clock.now()) {
            return None;
        }
        let (ticket, mut told) = self.starts.begin();
        let mut question = Question { starts: &self.starts, ticket, by: None, is_granted: false };
        self.ask(admitted, ticket);
        let mut is_answered = true;
        let mut is_queued = false;
        loop {
            let wait = if is_answered && is_queued { ASK_AGAIN_EVERY } else { ANSWER_TIMEOUT };
            let Ok(answer) = timeout(wait, told.recv()).await else {
                if !(is_answered && is_queued) {
                    return self.on_silence(admitted);
                }
                is_answered = false;
                self.ask(admitted, ticket);
                continue;
            };
            let (by, verdict) = answer?;
            question.by = Some(by);
            is_answered = true;
            match verdict {
                StartVerdict::Queued { missing } => {
                    if !is_queued {
                        self.log_waits(admitted, missing);
                    }
                    is_queued = true;
                }
                StartVerdict::Refused { reason, retry_after_ms } => {
                    let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                    return Some(Err(Refused { reason, retry_after }));
                }
                StartVerdict::Go { server } => {
                    let server = self.acceptable(admitted, server)?;
                    question.is_granted = true;
                    log::info!(
                        id = admitted.received.id.as_str(),
                        ticket = ticket,
                        by = by.to_string().as_str();
                        "start_granted"
                    );
                    return Some(Ok(self.begin_granted(admitted, server, Granted { by, ticket })));
                }
            }
        }
    }

    fn ask(&self, admitted: &Admitted, ticket: u32) {
        let dispatcher = self.dispatcher.borrow();
        let tag = |server: &ServerIdx| dispatcher.record(*server).key.tag();
        let tried = admitted.spent().tried.iter().map(tag).collect();
        let ask = StartRequest::new(self.clock.now(), ticket, &admitted.visit.need, tried);
        (self.on_update)(TrafficUpdate::StartWanted(ask));
    }

    /// The coordinator doesn't answer: this VM decides by itself for a while.
    fn on_silence(&self, admitted: &Admitted) -> Option<Told<D>> {
        let now = self.clock.now();
        if !self.starts.is_silent(now) {
            log::info!(id = admitted.received.id.as_str(); "coordinator_silent");
        }
        self.starts.silent_until.set(Some(now + SILENT_TIME));
        None
    }

    /// The server with `tag`, unless this VM knows better than to send the request there.
    fn acceptable(&self, admitted: &Admitted, tag: u32) -> Option<ServerIdx> {
        let dispatcher = self.dispatcher.borrow();
        let server = dispatcher.server_by_tag(tag)?;
        let may = dispatcher.may_send_to(self.clock.now(), server)
            && !admitted.spent().tried.contains(&server);
        may.then_some(server)
    }

    fn begin_granted(
        self: &Rc<Self>,
        admitted: &Admitted,
        server: ServerIdx,
        granted: Granted,
    ) -> Flight<D> {
        let now = self.clock.now();
        let id = self.dispatcher.borrow_mut().begin_request(now, &admitted.visit.need, server);
        Flight::granted(self, id, server, now, granted)
    }
}
