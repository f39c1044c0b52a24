//! Predicted cost of sending a request to a server, for the choice among servers.

use {
    crate::{
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
    },
    std::time::Instant,
};

/// Extra cost of a server in another data centre, in seconds: the round trip between two data
/// centres.
const CROSS_DC_COST_S: f64 = 0.006;
/// Extra cost of each kilobyte transferred to or from another data centre, as a fraction of the
/// request's latency objective: requests that can wait are the first to be charged for distance.
const CROSS_DC_KB_COST_FRACTION: f64 = 0.015;
/// Estimated bytes transferred: for the headers of a request and its answer, for each prompt token,
/// and for each event of an answer.
const HEAD_BYTES: f64 = 800.0;
const PROMPT_TOKEN_BYTES: f64 = 1.0;
const EVENT_BYTES: f64 = 200.0;
/// Fraction of the caller's maximum wait for which a request may be held back so that streams do
/// not stall.
const WAITING_FRACTION: f64 = 0.8;
/// Cost of delaying a stream beyond its pause limit, in seconds of the delaying request's time.
const LATE_STREAM_COST_S: f64 = 0.02;
/// Weight of the prefill time by which a request delays each stream of a server.
const STREAM_DELAY_WEIGHT: f64 = 0.02;

/// True if the prefill of `prefill_us` now would make the server's streams pause too long and the
/// request still has time to wait. Prefill of `queued_ahead_us` goes to the server first.
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
    wait_s
        + first_event_overhead_s
        + server.speed.actual_prefill_s(load.outstanding_prefill_us + prefill_us)
}

/// Cost of sending the request to `server`, in seconds: its own latency and the delay that it
/// causes to others.
pub(crate) fn cost_s(now: Instant, server: &Server, request: &RequestSpec, prefill_us: u64) -> f64 {
    let load = server.load(now);
    // Prefill delays the streams of the server, and a long prefill makes all of them late.
    let stream_delay_s = if request.pause_limit.is_some() && !server.can_prefill(now, 0, prefill_us)
    {
        LATE_STREAM_COST_S
    } else {
        STREAM_DELAY_WEIGHT * server.speed.actual_prefill_s(prefill_us)
    };
    // The constant term breaks ties between servers without outstanding prefill.
    let contention_s = (stream_delay_s + 0.001) * f64::from(load.in_flight);
    let cross_dc_s = if server.view.same_data_centre { 0.0 } else { cross_dc_cost_s(request) };
    predicted_first_byte_s(now, server, request, prefill_us)
        + contention_s
        + cross_dc_s
        + server.health.cost_s(now)
}

/// Cost of the transfer to another data centre and back, in seconds.
fn cross_dc_cost_s(request: &RequestSpec) -> f64 {
    let events = f64::from(request.output_tokens) / f64::from(request.tokens_per_event.max(1));
    let prompt = f64::from(request.prompt_tokens) * PROMPT_TOKEN_BYTES;
    let kilobytes = (HEAD_BYTES + prompt + events * EVENT_BYTES) / 1000.0;
    CROSS_DC_COST_S + CROSS_DC_KB_COST_FRACTION * kilobytes * request.objective.as_secs_f64()
}

/// Returns a hash that orders servers differently for each seed.
pub(crate) fn hash_with_seed(seed: u32, idx: ServerIdx) -> u64 {
    // The constants are those of SplitMix64.
    let mixed = (u64::from(seed) << 32 | u64::from(idx.0)).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed ^ (mixed >> 27)
}

/// Returns a number from 0 to 1 that depends on the seed of the request and on the server.
pub(crate) fn unit_fraction(seed: u32, idx: ServerIdx) -> f64 {
    hash_with_seed(!seed, idx) as f64 / u64::MAX as f64
}
