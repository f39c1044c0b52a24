//! What sending a request to a server costs, by prediction.

use {
    crate::{
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
    },
    std::time::Instant,
};

/// Extra cost of a server in another data centre, in seconds: both ways between two of them.
const REMOTE_COST_S: f64 = 0.006;
/// Extra cost of each kilobyte that goes to or comes from there, as a part of the request's latency
/// objective: who can wait pays for distance first.
const REMOTE_KB_COST_FRACTION: f64 = 0.015;
/// Bytes on the way: of heads, of a token of a prompt, of an event of an answer.
const HEAD_BYTES: f64 = 800.0;
const PROMPT_TOKEN_BYTES: f64 = 1.0;
const EVENT_BYTES: f64 = 200.0;
/// Part of its caller's patience that a request may wait so that streams don't stall.
const WAITING_FRACTION: f64 = 0.8;
/// Cost of making a stream late, in seconds of the request that does.
const LATE_STREAM_COST_S: f64 = 0.02;
/// Weight of the time that a request's prompt takes from each stream of a server.
const STREAM_DELAY_WEIGHT: f64 = 0.02;

/// True if reading the prompt now, which takes `reading_us`, would make the streams of the server pause too
/// long, and the request has time to wait. What takes `before_us` goes there first.
pub(crate) fn stalls_streams(
    now: Instant,
    server: &Server,
    request: &RequestSpec,
    queued_ahead_us: u64,
    prefill_us: u64,
) -> bool {
    let waited = now.saturating_duration_since(request.arrived_at);
    let max_wait = request.first_byte_deadline.saturating_duration_since(request.arrived_at);
    request.pause_limit.is_some()
        && waited < max_wait.mul_f64(WAITING_FRACTION)
        && !server.can_prefill(now, queued_ahead_us, prefill_us)
}

/// Predicted time to the first byte, in seconds.
pub(crate) fn predicted_first_byte_s(
    now: Instant,
    server: &Server,
    request: &RequestSpec,
    prefill_us: u64,
) -> f64 {
    let load = server.load(now);
    let slots = server.view.record.slots.max(1);
    let queued = (load.in_flight + 1).saturating_sub(slots);
    let wait_s = server.speed.answer_s() * f64::from(queued) / f64::from(slots);
    let first_event_overhead_s =
        if request.model.is_some() { server.speed.first_event_overhead_s() } else { 0.0 };
    wait_s + first_event_overhead_s + server.speed.actual_prefill_s(load.unread_us + prefill_us)
}

/// Cost of sending the request to `server`, in seconds: its own time, and what it does to others.
pub(crate) fn cost_s(now: Instant, server: &Server, request: &RequestSpec, prefill_us: u64) -> f64 {
    let load = server.load(now);
    // Reading a prompt holds up the streams of the server, and a long one makes all of them late.
    let stream_delay_s = if request.pause_limit.is_some() && !server.can_prefill(now, 0, prefill_us)
    {
        LATE_STREAM_COST_S
    } else {
        STREAM_DELAY_WEIGHT * server.speed.actual_prefill_s(prefill_us)
    };
    // The last part breaks ties between servers that have nothing to read.
    let contention_s = (stream_delay_s + 0.001) * f64::from(load.in_flight);
    let remote_s = if server.view.same_data_centre { 0.0 } else { remote_cost_s(request) };
    predicted_first_byte_s(now, server, request, prefill_us)
        + contention_s
        + remote_s
        + server.health.cost_s(now)
}

/// Cost of the way to another data centre and back, in seconds.
fn remote_cost_s(request: &RequestSpec) -> f64 {
    let events = f64::from(request.output_tokens) / f64::from(request.tokens_per_event.max(1));
    let prompt = f64::from(request.prompt_tokens) * PROMPT_TOKEN_BYTES;
    let kilobytes = (HEAD_BYTES + prompt + events * EVENT_BYTES) / 1000.0;
    REMOTE_COST_S + REMOTE_KB_COST_FRACTION * kilobytes * request.objective.as_secs_f64()
}

/// A number that orders servers differently for each draw.
pub(crate) fn hash_with_seed(seed: u32, idx: ServerIdx) -> u64 {
    // The constants of SplitMix64.
    let mixed = (u64::from(seed) << 32 | u64::from(idx.0)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed ^ (mixed >> 27)
}

/// A number from 0 to 1, drawn for the request and the server.
pub(crate) fn unit_fraction(seed: u32, idx: ServerIdx) -> f64 {
    hash_with_seed(!seed, idx) as f64 / u64::MAX as f64
}
