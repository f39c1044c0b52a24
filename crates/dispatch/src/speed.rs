//! How fast a server answers, learnt from its answers.

use std::time::Duration;

/// Weight of the newest answer in a mean.
const NEWEST_WEIGHT: f64 = 0.1;
/// Time of a step of an engine before any was seen.
const DEFAULT_DECODE_STEP_S: f64 = 0.008;
/// Bounds on how much slower than its service a single server may seem.
const SLOWNESS_MIN: f64 = 0.7;
const SLOWNESS_MAX: f64 = 8.0;
/// Weights of an answer that says that it is faster, or slower, than it seemed: much may hold up an
/// answer, and nothing speeds one up.
const FASTER_WEIGHT: f64 = 0.2;
const SLOWER_WEIGHT: f64 = 0.03;
/// Time for each generated token before any was seen.
const DEFAULT_TOKEN_S: f64 = 0.008;
/// Time of an answer of a plain service before any was seen.
const DEFAULT_ANSWER_S: f64 = 0.06;

/// Means over a server's answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Speed {
    /// Time of a whole answer, or to the first event of a stream, in seconds.
    answer_s: f64,
    /// Time to a first event beside reading, in seconds.
    first_event_overhead_s: f64,
    /// How much slower this one is than they are.
    slowness: f64,
    /// Time for each generated token, in seconds, what was read meanwhile included.
    token_s: f64,
    /// Time of a step in which nothing is read, in seconds.
    decode_step_s: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            answer_s: DEFAULT_ANSWER_S,
            first_event_overhead_s: 0.0,
            slowness: 1.0,
            token_s: DEFAULT_TOKEN_S,
            decode_step_s: DEFAULT_DECODE_STEP_S,
        }
    }
}

impl Speed {
    /// Takes note of an answer that came after `time`.
    pub(crate) fn on_answer(&mut self, time: Duration) {
        self.answer_s += NEWEST_WEIGHT * (time.as_secs_f64() - self.answer_s);
    }

    /// Takes note of `tokens` that were generated in `time`.
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

    /// Mean time of an answer, in seconds.
    pub(crate) fn answer_s(&self) -> f64 {
        self.answer_s
    }

    /// Takes note of a step in which nothing was read.
    pub(crate) fn on_decode_step(&mut self, time: Duration) {
        self.decode_step_s += NEWEST_WEIGHT * (time.as_secs_f64() - self.decode_step_s);
    }

    /// Time of a step in which nothing is read, in seconds.
    pub(crate) fn decode_step_s(&self) -> f64 {
        self.decode_step_s
    }

    /// Takes note of a prompt that was read alone in `took_s`, where `expected_s` is usual.
    pub(crate) fn on_isolated_prefill(&mut self, took_s: f64, expected_s: f64) {
        let sample = (took_s / expected_s.max(0.001)).clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        let weight = if sample < self.slowness { FASTER_WEIGHT } else { SLOWER_WEIGHT };
        self.slowness += weight * (sample - self.slowness);
    }

    /// Takes over the time to a first event beside reading, in seconds.
    pub(crate) fn set_first_event_overhead_s(&mut self, first_event_overhead_s: f64) {
        self.first_event_overhead_s = first_event_overhead_s;
    }

    /// Time that it takes to read what its service reads in `reading_us`, in seconds.
    pub(crate) fn actual_prefill_s(&self, prefill_us: u64) -> f64 {
        prefill_us as f64 / 1e6 * self.slowness
    }

    /// What its service reads in the time in which this one reads for `time`, in microseconds.
    pub(crate) fn nominal_prefill_us(&self, time: Duration) -> u64 {
        (time.as_secs_f64() * 1e6 / self.slowness) as u64
    }

    /// How much slower than its service it reads.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Time to the first event beside what reading takes, in seconds.
    pub(crate) fn first_event_overhead_s(&self) -> f64 {
        self.first_event_overhead_s
    }
}
