//! Streams of events, passed on as they arrive. How one goes on at another server is in `resume`.

use {
    crate::{
        admitted_request::AdmittedRequest,
        answer_body::{AnswerAborted, AnswerBody},
        answering_attempt::AnsweringAttempt,
        attempt_failure::AttemptFailure,
        dialect::Dialect,
        event_splitter::Event,
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
const EXCESS_EVENTS_MAX: u32 = 16;
/// Shortest time between two events that counts as what one takes.
const MIN_EVENT_GAP: Duration = Duration::from_millis(5);
/// Events under way between a server's connection and the caller's.
const CHANNEL_EVENTS_MAX: usize = 4;

/// What a server sends next: an event, the clean end (`None`), or a failure.
pub(crate) type NextEvent = Result<Option<Event>, AttemptFailure>;

/// A stream whose first event is there.
#[derive(Debug)]
pub(crate) struct EventStream<D: Dialect> {
    pub(crate) answering: AnsweringAttempt<D>,
    /// What was read but not passed on.
    next: Option<NextEvent>,
    /// Id of the last event that was passed on.
    pub(crate) last_event_id: Option<u64>,
    /// When this server's first event was there.
    first_event_at: Instant,
    /// Events of this server that were passed on.
    events: u32,
    /// When the last event was there, of any server.
    last_event_at: Instant,
    /// Longest time between two events, at all servers.
    longest_pause: Duration,
    /// Shortest time between two events of this server.
    min_event_gap: Option<Duration>,
    /// This server counts as an attempt that failed already, since it was silent for long.
    pub(crate) is_counted: bool,
}

/// How far a stream was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardEnd {
    /// All of it was passed on.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The server is silent. It may go on.
    Silent,
    /// This server won't send the rest.
    Failed(AttemptFailure),
}

impl<D: Dialect> EventStream<D> {
    /// Returns a stream that goes on after `last_event_id` with `first`.
    pub(crate) fn new(
        answering: AnsweringAttempt<D>,
        first: Option<Event>,
        last_event_id: Option<u64>,
    ) -> Self {
        let now = answering.now();
        Self {
            answering,
            next: Some(Ok(first)),
            last_event_id,
            first_event_at: now,
            events: 0,
            last_event_at: now,
            longest_pause: Duration::ZERO,
            min_event_gap: None,
            is_counted: false,
        }
    }

    /// Counts the time since the last event of `before`, which this stream continues.
    pub(crate) fn continuing(mut self, before: &Pauses) -> Self {
        let gap = self.last_event_at.saturating_duration_since(before.last_event_at);
        self.longest_pause = before.longest.max(gap);
        self
    }

    /// Pauses up to now.
    pub(crate) fn pauses(&self) -> Pauses {
        Pauses { last_event_at: self.last_event_at, longest: self.longest_pause }
    }

    /// Head of the answer.
    pub(crate) fn head(&self) -> &Parts {
        &self.answering.head
    }

    /// The server that answers.
    pub(crate) fn server(&self) -> ServerIdx {
        self.answering.server()
    }

    /// Passes the stream on, on a task of its own.
    pub(crate) fn spawn(self, relay: &Rc<Relay<D>>, admitted: AdmittedRequest) -> AnswerBody {
        let (sender, receiver) = channel(CHANNEL_EVENTS_MAX);
        tokio::task::spawn_local(self.run(Rc::clone(relay), admitted, sender));
        AnswerBody::Chunks(receiver)
    }

    /// Takes what the silent server has sent after all.
    pub(crate) fn end_silence(&mut self, next: NextEvent) {
        self.record_pause();
        self.next = Some(next);
    }

    async fn run(
        mut self,
        relay: Rc<Relay<D>>,
        mut admitted: AdmittedRequest,
        caller: Sender<Result<Bytes, AnswerAborted>>,
    ) {
        loop {
            let end = self.forward(&relay, &admitted, &caller).await;
            let pauses = self.pauses();
            let continuation = match end {
                ForwardEnd::Complete => return self.finish(&relay, &admitted),
                ForwardEnd::CallerLeft => Err("caller_left"),
                ForwardEnd::Silent => {
                    if !self.is_counted {
                        relay.add_failed_attempt(&admitted, self.server(), AttemptFailure::Silent);
                        self.is_counted = true;
                    }
                    unless_caller_left(&caller, self.hedge_silence(&relay, &mut admitted)).await
                }
                ForwardEnd::Failed(failure) => {
                    relay.fail(&admitted, self.server(), failure, self.is_counted);
                    unless_caller_left(&caller, self.resume(&relay, &mut admitted)).await
                }
            };
            match continuation {
                Ok(stream) => self = stream,
                Err(cause) if caller.is_closed() => {
                    relay.log_stream_ended(&admitted, "caller_left", cause, pauses.longest);
                    return;
                }
                Err(cause) => {
                    relay.log_stream_ended(&admitted, "broken_off", cause, pauses.longest);
                    // The caller may have left by now; then nobody needs to know.
                    let _ = caller.send(Err(AnswerAborted)).await;
                    return;
                }
            }
        }
    }

    /// Passes events on until the stream ends, breaks, pauses for long or runs out of time.
    async fn forward(
        &mut self,
        relay: &Relay<D>,
        admitted: &AdmittedRequest,
        caller: &Sender<Result<Bytes, AnswerAborted>>,
    ) -> ForwardEnd {
        let out_of_time = sleep(admitted.time_left(relay.clock.now()));
        tokio::pin!(out_of_time);
        let silence_limit = admitted.pause_silence_limit();
        loop {
            let next = match self.next.take() {
                Some(next) => next,
                None => tokio::select! {
                    biased;
                    () = caller.closed() => return ForwardEnd::CallerLeft,
                    () = &mut out_of_time => return ForwardEnd::Failed(AttemptFailure::Silent),
                    next = timeout(silence_limit, self.answering.next_event()) => {
                        let Ok(next) = next else { return ForwardEnd::Silent };
                        self.record_pause();
                        next
                    }
                },
            };
            let event = match next {
                Ok(Some(event)) => event,
                Ok(None) => return ForwardEnd::Complete,
                Err(failure) => return ForwardEnd::Failed(failure),
            };
            if !follows(self.last_event_id, event.id) {
                return ForwardEnd::Failed(AttemptFailure::Foreign);
            }
            if self.exceeds_token_limit(admitted) {
                return ForwardEnd::Failed(AttemptFailure::Foreign);
            }
            let id = event.id;
            if caller.send(Ok(event.bytes)).await.is_err() {
                return ForwardEnd::CallerLeft;
            }
            self.last_event_id = id;
            self.events += 1;
        }
    }

    /// True if this server has sent more events than the request may get tokens.
    fn exceeds_token_limit(&self, admitted: &AdmittedRequest) -> bool {
        let tokens_max = admitted.open_request.spec.output_tokens_max;
        tokens_max > 0 && self.events > tokens_max.saturating_add(EXCESS_EVENTS_MAX)
    }

    /// Takes note that the time since the last event is over.
    fn record_pause(&mut self) {
        let now = self.answering.now();
        let pause = now.saturating_duration_since(self.last_event_at);
        self.longest_pause = self.longest_pause.max(pause);
        // Events that came together say nothing of how long one takes.
        if self.events > 0 && pause >= MIN_EVENT_GAP {
            self.min_event_gap = Some(self.min_event_gap.map_or(pause, |gap| gap.min(pause)));
        }
        self.last_event_at = now;
    }

    /// All of the stream was passed on.
    fn finish(self, relay: &Relay<D>, admitted: &AdmittedRequest) {
        let later_events = self.events.saturating_sub(1);
        let tokens = later_events * admitted.open_request.spec.tokens_per_event;
        let time = relay.clock.now().saturating_duration_since(self.first_event_at);
        let tokens_per_event = admitted.open_request.spec.tokens_per_event.max(1);
        let decode_step = self.min_event_gap.map(|gap| gap / tokens_per_event);
        self.answering.generated(tokens, time, decode_step);
        relay.log_stream_ended(admitted, "whole", "", self.longest_pause);
        self.answering.finish();
    }
}

/// Pauses of a stream that another may continue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pauses {
    last_event_at: Instant,
    longest: Duration,
}

/// What `continuation` finds, unless the caller leaves first.
async fn unless_caller_left<D: Dialect>(
    caller: &Sender<Result<Bytes, AnswerAborted>>,
    continuation: impl Future<Output = Result<EventStream<D>, &'static str>>,
) -> Result<EventStream<D>, &'static str> {
    tokio::select! {
        biased;
        () = caller.closed() => Err("caller_left"),
        stream = continuation => stream,
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
