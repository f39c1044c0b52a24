//! Counters and latency histograms of the request path.

use {
    crate::attempt_failure::AttemptFailure,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram, Meter},
    },
    std::time::Duration,
};

/// Upper bounds of the latency histograms' buckets, in seconds. They surround the latency
/// objectives of both users, 0.1 s to 3 s.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 3.0, 6.0, 15.0];

/// Metric instruments of the request path.
#[derive(Debug)]
pub(crate) struct Metrics {
    answers: Counter<u64>,
    own_answers: Counter<u64>,
    failures: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    hedges_won: Counter<u64>,
    hedges_refused: Counter<u64>,
    resumed_streams: Counter<u64>,
    streams: Counter<u64>,
    streams_taken_up: Counter<u64>,
    waits: Counter<u64>,
    caller_left: Counter<u64>,
    quarantined: Counter<u64>,
    limit_held: Counter<u64>,
    limit_refused: Counter<u64>,
    quota_held: Counter<u64>,
    quota_refused: Counter<u64>,
    first_byte_s: Histogram<f64>,
    stream_pause_s: Histogram<f64>,
}

impl Metrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter =
            |name, description| meter.u64_counter(name).with_description(description).build();
        let histogram = |name, description| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .with_description(description)
                .build()
        };
        Self {
            answers: counter("answers", "Answers of backend servers passed on, by status."),
            own_answers: counter("own_answers", "Answers of the system itself, by cause."),
            failures: counter(
                "attempt_failures",
                "Attempts without a usable answer, by kind and by whether the answer had begun.",
            ),
            retries: counter("repeats", "Sends of a request beyond its first."),
            hedges: counter("hedges", "Hedges of late requests that were sent."),
            hedges_won: counter("hedges_won", "Hedges whose server took over the request."),
            hedges_refused: counter("hedges_refused", "Late requests not hedged, by cause."),
            resumed_streams: counter("stream_resumes", "Streams continued at another server."),
            streams: counter("streams", "Streams that ended, by outcome."),
            streams_taken_up: counter(
                "streams_taken_up",
                "Streams that callers took up, by what is known of the version that began them.",
            ),
            waits: counter("waits", "Requests that waited for a server."),
            caller_left: counter("left", "Requests whose callers left before an answer, by stage."),
            quarantined: counter(
                "quarantined_requests",
                "Requests kept from servers because of a part of their prompts.",
            ),
            limit_held: counter(
                "limit_held",
                "Requests that waited for a permit of a server that names a limit.",
            ),
            limit_refused: counter(
                "limit_refused",
                "Requests refused because the limits that servers name were used up.",
            ),
            quota_held: counter(
                "quota_held",
                "Requests that waited for credit of their team's quota.",
            ),
            quota_refused: counter(
                "quota_refused",
                "Requests refused because their team's quota was used up.",
            ),
            first_byte_s: histogram("first_byte", "Time to the first byte of an answer."),
            stream_pause_s: histogram(
                "stream_pause",
                "Longest pause between two events of a stream.",
            ),
        }
    }

    pub(crate) fn on_answer(&self, status: u16, after: Duration) {
        self.answers.add(1, &[KeyValue::new("status", i64::from(status))]);
        self.first_byte_s.record(after.as_secs_f64(), &[]);
    }

    pub(crate) fn on_own_answer(&self, cause: &'static str) {
        self.own_answers.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn on_failure(&self, failure: AttemptFailure, is_answering: bool) {
        let stage = if is_answering { "answering" } else { "waiting" };
        let attributes = [KeyValue::new("kind", failure.name()), KeyValue::new("stage", stage)];
        self.failures.add(1, &attributes);
    }

    pub(crate) fn on_retry(&self) {
        self.retries.add(1, &[]);
    }

    pub(crate) fn on_hedge(&self, has_won: bool) {
        self.hedges.add(1, &[]);
        self.hedges_won.add(u64::from(has_won), &[]);
    }

    pub(crate) fn on_hedge_refused(&self, cause: &'static str) {
        self.hedges_refused.add(1, &[KeyValue::new("cause", cause)]);
    }

    pub(crate) fn on_resume(&self) {
        self.resumed_streams.add(1, &[]);
    }

    pub(crate) fn on_stream_end(&self, outcome: &'static str, longest_pause: Duration) {
        self.streams.add(1, &[KeyValue::new("outcome", outcome)]);
        self.stream_pause_s.record(longest_pause.as_secs_f64(), &[]);
    }

    pub(crate) fn on_taken_up(&self, origin: &'static str) {
        self.streams_taken_up.add(1, &[KeyValue::new("origin", origin)]);
    }

    pub(crate) fn on_caller_left(&self, stage: &'static str) {
        self.caller_left.add(1, &[KeyValue::new("stage", stage)]);
    }

    pub(crate) fn on_quarantined(&self) {
        self.quarantined.add(1, &[]);
    }

    pub(crate) fn on_limit_held(&self) {
        self.limit_held.add(1, &[]);
    }

    pub(crate) fn on_limit_refused(&self) {
        self.limit_refused.add(1, &[]);
    }

    pub(crate) fn on_quota_held(&self) {
        self.quota_held.add(1, &[]);
    }

    pub(crate) fn on_quota_refused(&self) {
        self.quota_refused.add(1, &[]);
    }

    pub(crate) fn on_wait(&self) {
        self.waits.add(1, &[]);
    }
}
