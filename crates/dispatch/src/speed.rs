//! Measured speed of a server: answer times, prefill and decode.

use std::time::Duration;

/// Weight of the newest sample in a moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in an average over the last few answers.
const RECENT_WEIGHT: f64 = 0.4;
/// Initial estimate of the duration of an engine's decode step.
const DEFAULT_DECODE_STEP_S: f64 = 0.008;
/// Bounds on the factor by which a single server may seem slower than its service.
const SLOWNESS_MIN: f64 = 0.7;
const SLOWNESS_MAX: f64 = 8.0;
/// Weights of samples that are faster or slower than the estimate. Much can delay an answer and
/// nothing speeds one up, so faster samples weigh more.
const FASTER_WEIGHT: f64 = 0.2;
const SLOWER_WEIGHT: f64 = 0.03;
/// Initial estimate of the time per generated token.
const DEFAULT_TOKEN_S: f64 = 0.008;
/// Initial estimate of the answer time of a plain service.
const DEFAULT_ANSWER_S: f64 = 0.06;

/// Moving averages over a server's answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    /// Time to the complete answer, or to the first event of a stream, in seconds.
    answer_s: f64,
    /// The same over the last few answers, which shows a slow spell.
    recent_answer_s: f64,
    /// Time to the first event apart from prefill, in seconds.
    first_event_overhead_s: f64,
    /// Factor by which the server's prefill is slower than that of its service.
    slowness: f64,
    /// Time per generated token, including prefill of other prompts in the meantime, in seconds.
    token_s: f64,
    /// Duration of a decode step without prefill, in seconds.
    decode_step_s: f64,
    /// Time for which a request holds its slot, in seconds, once measured.
    slot_time_s: Option<f64>,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            answer_s: DEFAULT_ANSWER_S,
            recent_answer_s: DEFAULT_ANSWER_S,
            first_event_overhead_s: 0.0,
            slowness: 1.0,
            token_s: DEFAULT_TOKEN_S,
            decode_step_s: DEFAULT_DECODE_STEP_S,
            slot_time_s: None,
        }
    }
}

impl Speed {
    /// Records an answer after `time`.
    pub(crate) fn on_answer(&mut self, time: Duration) {
        self.answer_s += NEWEST_WEIGHT * (time.as_secs_f64() - self.answer_s);
        self.recent_answer_s += RECENT_WEIGHT * (time.as_secs_f64() - self.recent_answer_s);
    }

    /// Mean time of the last few answers, in seconds.
    pub(crate) fn recent_answer_s(&self) -> f64 {
        self.recent_answer_s
    }

    /// Records that `tokens` were generated in `time`.
    pub(crate) fn on_generated(&mut self, tokens: u32, time: Duration) {
        if tokens > 0 {
            let each = time.as_secs_f64() / f64::from(tokens);
            self.token_s += NEWEST_WEIGHT * (each - self.token_s);
        }
    }

    /// Time to generate `tokens`, in seconds.
    pub(crate) fn generate_s(&self, tokens: u32) -> f64 {
        self.token_s * f64::from(tokens)
    }

    /// Mean answer time, in seconds.
    pub(crate) fn answer_s(&self) -> f64 {
        self.answer_s
    }

    /// Records that a request held its slot for `time`.
    pub(crate) fn on_slot_time(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        let slot_time_s = self.slot_time_s.get_or_insert(time_s);
        *slot_time_s += NEWEST_WEIGHT * (time_s - *slot_time_s);
    }

    /// Time for which a request holds its slot, in seconds; `None` before the first measurement.
    pub(crate) fn slot_time_s(&self) -> Option<f64> {
        self.slot_time_s
    }

    /// Records the duration of a decode step without prefill.
    pub(crate) fn on_decode_step(&mut self, time: Duration) {
        self.decode_step_s += NEWEST_WEIGHT * (time.as_secs_f64() - self.decode_step_s);
    }

    /// Duration of a decode step without prefill, in seconds.
    pub(crate) fn decode_step_s(&self) -> f64 {
        self.decode_step_s
    }

    /// Records a prompt that was prefilled alone in `took_s`, where `expected_s` is usual for the
    /// service.
    pub(crate) fn on_isolated_prefill(&mut self, took_s: f64, expected_s: f64) {
        let sample = (took_s / expected_s.max(0.001)).clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        let weight = if sample < self.slowness { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.slowness += weight * (sample - self.slowness);
    }

    /// Sets the time to the first event apart from prefill, in seconds.
    pub(crate) fn set_first_event_overhead_s(&mut self, first_event_overhead_s: f64) {
        self.first_event_overhead_s = first_event_overhead_s;
    }

    /// Time that this server takes for a prefill that usually takes its service `prefill_us`, in
    /// seconds.
    pub(crate) fn actual_prefill_s(&self, prefill_us: u64) -> f64 {
        prefill_us as f64 / 1e6 * self.slowness
    }

    /// Prefill that this server does in `time`, as the time that its service usually takes for it,
    /// in microseconds.
    pub(crate) fn nominal_prefill_us(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * 1e6 / self.slowness) as u64
    }

    /// Factor by which the server's prefill is slower than that of its service.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Time to the first event apart from prefill, in seconds.
    pub(crate) fn first_event_overhead_s(&self) -> f64 {
        self.first_event_overhead_s
    }
}
