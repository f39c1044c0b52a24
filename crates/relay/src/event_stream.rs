//! Streams of server-sent events, forwarded as they arrive. `resume` continues a stream at another
//! server.

use {
    crate::{
        admitted_request::AdmittedRequest,
        answer_body::{AnswerAborted, AnswerBody},
        answering_attempt::AnsweringAttempt,
        attempt_failure::AttemptFailure,
        dialect::Dialect,
        event_splitter::Event,
        quarantine::ANSWER_SURE_AFTER,
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
        sync::mpsc::Sender,
        time::{sleep, timeout},
    },
};

/// Number of events beyond the request's token limit after which the server's stream is treated as
/// endless.
const EXCESS_EVENTS_MAX: u32 = 16;
/// Shortest time between two events that counts as the time to generate one. Shorter gaps come from
/// events that arrived together.
const MIN_EVENT_GAP: Duration = Duration::from_millis(5);
/// Age of an answer up to which it proves that the parts of its prompt don't crash engines. Parts may have become
/// harmful since an older answer began.
const PROOF_AGE_MAX: Duration = Duration::from_secs(2);
/// Capacity of the channel between the server's and the caller's connection.
const CHANNEL_EVENTS_MAX: usize = 4;

/// What a server sends next: an event, the clean end of the stream (`None`), or a failure.
pub(crate) type NextEvent = Result<Option<Event>, AttemptFailure>;

/// A stream whose first event has arrived.
#[derive(Debug)]
pub(crate) struct EventStream<D: Dialect> {
    pub(crate) answering: AnsweringAttempt<D>,
    /// Read from the server but not forwarded yet.
    next: Option<NextEvent>,
    /// Id of the last event that was forwarded.
    pub(crate) last_event_id: Option<u64>,
    /// When the first event of this server arrived.
    first_event_at: Instant,
    /// Number of events of this server that were forwarded.
    events: u32,
    /// When the last event of any server arrived.
    last_event_at: Instant,
    /// Longest time between two events, over all servers.
    longest_pause: Duration,
    /// Shortest time between two events of this server, of those that count.
    min_event_gap: Option<Duration>,
    /// Whether this attempt was already counted as failed because its server was silent for long.
    pub(crate) is_counted: bool,
}

/// Why forwarding stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ForwardEnd {
    /// The whole stream was forwarded.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The server is silent. It may send more later.
    Silent,
    /// This server won't send the rest.
    Failed(AttemptFailure),
}

impl<D: Dialect> EventStream<D> {
    /// Returns a stream that continues after `last_event_id` with `first`, or is complete without it.
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

    /// Includes the time since the last event of `before`, which this stream continues, in the
    /// pauses.
    pub(crate) fn continuing(mut self, before: &Pauses) -> Self {
        let gap = self.last_event_at.saturating_duration_since(before.last_event_at);
        self.longest_pause = before.longest.max(gap);
        self
    }

    /// The pauses so far.
    pub(crate) fn pauses(&self) -> Pauses {
        Pauses { last_event_at: self.last_event_at, longest: self.longest_pause }
    }

    /// Head of the answer.
    pub(crate) fn head(&self) -> &Parts {
        &self.answering.head
    }

    pub(crate) fn server(&self) -> ServerIdx {
        self.answering.server()
    }

    /// Forwards the stream in a task of its own.
    pub(crate) fn spawn(self, relay: &Rc<Relay<D>>, admitted: AdmittedRequest) -> AnswerBody {
        let relay = Rc::clone(relay);
        AnswerBody::spawn(CHANNEL_EVENTS_MAX, |caller| self.run(relay, admitted, caller))
    }

    /// Takes the `next` event of a server that was silent and has sent something after all.
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
        let version = relay.dispatcher.borrow().record(self.server()).version_hash();
        admitted.require_version(version);
        admitted.begin_stream();
        relay.report_stream(&admitted, version);
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
                    relay.handle_failed_attempt(&admitted, self.server(), failure, self.is_counted);
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
                    // Sending fails if the caller has left in the meantime, which needs no
                    // handling.
                    let _ = caller.send(Err(AnswerAborted)).await;
                    return;
                }
            }
        }
    }

    /// Forwards events until the stream ends or breaks, the server is silent for too long, or the
    /// time for the answer is over.
    async fn forward(
        &mut self,
        relay: &Relay<D>,
        admitted: &AdmittedRequest,
        caller: &Sender<Result<Bytes, AnswerAborted>>,
    ) -> ForwardEnd {
        let out_of_time = sleep(admitted.time_left(relay.clock.now()));
        tokio::pin!(out_of_time);
        let silence_limit = admitted.stream_silence_limit();
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
            if !event.follows(self.last_event_id) {
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
            if self.answering_for(relay) >= ANSWER_SURE_AFTER {
                self.report_served(relay, admitted);
            }
        }
    }

    /// True if this server has sent more events than the request's token limit allows.
    fn exceeds_token_limit(&self, admitted: &AdmittedRequest) -> bool {
        let tokens_max = admitted.open_request.spec.output_tokens_max;
        tokens_max > 0 && self.events > tokens_max.saturating_add(EXCESS_EVENTS_MAX)
    }

    /// Time since the first event of this server.
    fn answering_for(&self, relay: &Relay<D>) -> Duration {
        relay.clock.now().saturating_duration_since(self.first_event_at)
    }

    /// Reports that the parts of the prompt are sound, unless the answer began too long ago to prove that.
    fn report_served(&self, relay: &Relay<D>, admitted: &AdmittedRequest) {
        if self.answering_for(relay) <= PROOF_AGE_MAX {
            relay.report_served(admitted);
        }
    }

    /// Records the pause since the last event, which is over now.
    fn record_pause(&mut self) {
        let now = self.answering.now();
        let pause = now.saturating_duration_since(self.last_event_at);
        self.longest_pause = self.longest_pause.max(pause);
        // Events that arrived together say nothing about the time to generate one.
        if self.events > 0 && pause >= MIN_EVENT_GAP {
            self.min_event_gap = Some(self.min_event_gap.map_or(pause, |gap| gap.min(pause)));
        }
        self.last_event_at = now;
    }

    /// Reports the throughput, logs the end of the stream and returns the connection to the pool.
    fn finish(self, relay: &Relay<D>, admitted: &AdmittedRequest) {
        let later_events = self.events.saturating_sub(1);
        let tokens = later_events.saturating_mul(admitted.open_request.spec.tokens_per_event);
        let time = relay.clock.now().saturating_duration_since(self.first_event_at);
        let tokens_per_event = admitted.open_request.spec.tokens_per_event.max(1);
        let decode_step = self.min_event_gap.map(|gap| gap / tokens_per_event);
        self.answering.record_generation(tokens, time, decode_step);
        relay.log_stream_ended(admitted, "whole", "", self.longest_pause);
        self.report_served(relay, admitted);
        self.answering.finish();
    }
}

/// Pauses of a stream that another stream may continue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pauses {
    last_event_at: Instant,
    longest: Duration,
}

/// The result of `continuation`, unless the caller leaves first.
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
