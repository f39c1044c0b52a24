//! Streams of events, passed on as they arrive. How one goes on at another server is in `resume`.

use {
    crate::{
        admitted::Admitted,
        answer_body::{AnswerBody, BrokenOff},
        dialect::Dialect,
        event_splitter::Event,
        leg::Leg,
        leg_failure::LegFailure,
        relay::Relay,
    },
    bytes::Bytes,
    glade_dispatch::ServerIdx,
    hyper::http::response::Parts,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::mpsc::{Sender, channel},
        time::{sleep, timeout},
    },
};

/// Events beyond the tokens that a request may get after which its server is taken to send without end.
const EVENTS_BEYOND_MAX: u32 = 16;
/// Shortest time between two events that counts as what one takes.
const SHORTEST_GAP: Duration = Duration::from_millis(5);
/// Events under way between a server's connection and the caller's.
const EVENTS_IN_HAND: usize = 4;

/// What a server sends next: an event, the clean end (`None`), or a failure.
pub(crate) type Next = Result<Option<Event>, LegFailure>;

/// A stream whose first event is there.
#[derive(Debug)]
pub(crate) struct Stream<D: Dialect> {
    pub(crate) leg: Leg<D>,
    /// What was read but not passed on.
    next: Option<Next>,
    /// Id of the last event that was passed on.
    pub(crate) last_id: Option<u64>,
    /// When this server's first event was there.
    began_at: Instant,
    /// Events of this server that were passed on.
    events: u32,
    /// When the last event was there, of any server.
    event_at: Instant,
    /// Longest time between two events, at all servers.
    longest_pause: Duration,
    /// Shortest time between two events of this server.
    shortest_gap: Option<Duration>,
    /// This server counts as an attempt that failed already, since it was silent for long.
    pub(crate) is_spent: bool,
}

/// How far a stream was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// All of it was passed on.
    Whole,
    /// The caller left.
    CallerLeft,
    /// The server is silent. It may go on.
    Silent,
    /// This server won't send the rest.
    Lost(LegFailure),
}

impl<D: Dialect> Stream<D> {
    /// Returns a stream that goes on after `last_id` with `first`.
    pub(crate) fn new(leg: Leg<D>, first: Option<Event>, last_id: Option<u64>) -> Self {
        let now = leg.now();
        Self {
            leg,
            next: Some(Ok(first)),
            last_id,
            began_at: now,
            events: 0,
            event_at: now,
            longest_pause: Duration::ZERO,
            shortest_gap: None,
            is_spent: false,
        }
    }

    /// Counts the time since the last event of `before`, which this stream continues.
    pub(crate) fn continuing(mut self, before: &Pauses) -> Self {
        let gap = self.event_at.saturating_duration_since(before.event_at);
        self.longest_pause = before.longest.max(gap);
        self
    }

    /// Pauses up to now.
    pub(crate) fn pauses(&self) -> Pauses {
        Pauses { event_at: self.event_at, longest: self.longest_pause }
    }

    /// Head of the answer.
    pub(crate) fn head(&self) -> &Parts {
        &self.leg.head
    }

    /// The server that answers.
    pub(crate) fn server(&self) -> ServerIdx {
        self.leg.server()
    }

    /// Passes the stream on, on a task of its own.
    pub(crate) fn spawn(self, relay: &Rc<Relay<D>>, admitted: Admitted) -> AnswerBody {
        let (sender, receiver) = channel(EVENTS_IN_HAND);
        tokio::task::spawn_local(self.run(Rc::clone(relay), admitted, sender));
        AnswerBody::Pieces(receiver)
    }

    /// Takes what the silent server has sent after all.
    pub(crate) fn awake(&mut self, next: Next) {
        self.note_pause();
        self.next = Some(next);
    }

    async fn run(
        mut self,
        relay: Rc<Relay<D>>,
        mut admitted: Admitted,
        caller: Sender<Result<Bytes, BrokenOff>>,
    ) {
        loop {
            let end = self.pass_on(&relay, &admitted, &caller).await;
            let pauses = self.pauses();
            let goes_on = match end {
                End::Whole => return self.finish(&relay, &admitted),
                End::CallerLeft => Err("caller_left"),
                End::Silent => {
                    if !self.is_spent {
                        relay.spend(&admitted, self.server(), LegFailure::Silent);
                        self.is_spent = true;
                    }
                    unless_closed(&caller, self.hand_over(&relay, &mut admitted)).await
                }
                End::Lost(failure) => {
                    relay.fail(&admitted, self.server(), failure, self.is_spent);
                    unless_closed(&caller, self.resume(&relay, &mut admitted)).await
                }
            };
            match goes_on {
                Ok(stream) => self = stream,
                Err(cause) if caller.is_closed() => {
                    relay.log_stream_ended(&admitted, "caller_left", cause, pauses.longest);
                    return;
                }
                Err(cause) => {
                    relay.log_stream_ended(&admitted, "broken_off", cause, pauses.longest);
                    // The caller may have left by now; then nobody needs to know.
                    let _ = caller.send(Err(BrokenOff)).await;
                    return;
                }
            }
        }
    }

    /// Passes events on until the stream ends, breaks, pauses for long or runs out of time.
    async fn pass_on(
        &mut self,
        relay: &Relay<D>,
        admitted: &Admitted,
        caller: &Sender<Result<Bytes, BrokenOff>>,
    ) -> End {
        let out_of_time = sleep(admitted.time_left(relay.clock.now()));
        tokio::pin!(out_of_time);
        let silence = admitted.pause_silence_limit();
        loop {
            let next = match self.next.take() {
                Some(next) => next,
                None => tokio::select! {
                    biased;
                    () = caller.closed() => return End::CallerLeft,
                    () = &mut out_of_time => return End::Lost(LegFailure::Silent),
                    next = timeout(silence, self.leg.next_event()) => {
                        let Ok(next) = next else { return End::Silent };
                        self.note_pause();
                        next
                    }
                },
            };
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return End::Whole,
                Err(failure) => return End::Lost(failure),
            };
            if !follows(self.last_id, event.id) {
                return End::Lost(LegFailure::Foreign);
            }
            if self.is_endless(admitted) {
                return End::Lost(LegFailure::Foreign);
            }
            let id = event.id;
            if caller.send(Ok(event.bytes)).await.is_err() {
                return End::CallerLeft;
            }
            self.last_id = id;
            self.events += 1;
        }
    }

    /// True if this server has sent more events than the request may get tokens.
    fn is_endless(&self, admitted: &Admitted) -> bool {
        let tokens_max = admitted.visit.need.output_tokens_max;
        tokens_max > 0 && self.events > tokens_max.saturating_add(EVENTS_BEYOND_MAX)
    }

    /// Takes note that the time since the last event is over.
    fn note_pause(&mut self) {
        let now = self.leg.now();
        let pause = now.saturating_duration_since(self.event_at);
        self.longest_pause = self.longest_pause.max(pause);
        // Events that came together say nothing of how long one takes.
        if self.events > 0 && pause >= SHORTEST_GAP {
            self.shortest_gap = Some(self.shortest_gap.map_or(pause, |gap| gap.min(pause)));
        }
        self.event_at = now;
    }

    /// All of the stream was passed on.
    fn finish(self, relay: &Relay<D>, admitted: &Admitted) {
        let later_events = self.events.saturating_sub(1);
        let tokens = later_events * admitted.visit.need.tokens_per_event;
        let time = relay.clock.now().saturating_duration_since(self.began_at);
        let tokens_per_event = admitted.visit.need.tokens_per_event.max(1);
        let step = self.shortest_gap.map(|gap| gap / tokens_per_event);
        self.leg.generated(tokens, time, step);
        relay.log_stream_ended(admitted, "whole", "", self.longest_pause);
        self.leg.finish();
    }
}

/// Pauses of a stream that another may continue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pauses {
    event_at: Instant,
    longest: Duration,
}

/// What `goes_on` finds, unless the caller leaves first.
async fn unless_closed<D: Dialect>(
    caller: &Sender<Result<Bytes, BrokenOff>>,
    goes_on: impl Future<Output = Result<Stream<D>, &'static str>>,
) -> Result<Stream<D>, &'static str> {
    tokio::select! {
        biased;
        () = caller.closed() => Err("caller_left"),
        stream = goes_on => stream,
    }
}

/// True if an event numbered `id` may come after the one numbered `last`.
fn follows(last: Option<u64>, id: Option<u64>) -> bool {
    match (last, id) {
        (Some(last), Some(id)) => id == last + 1,
        (None, Some(_)) => true,
        (_, None) => false,
    }
}
