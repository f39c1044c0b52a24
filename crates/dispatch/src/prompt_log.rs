//! Prompts of the last moments.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// When prompts were sent, and how long they take to read, in microseconds. Older ones than its limit are forgotten.
#[derive(Clone, Debug)]
pub(crate) struct PromptLog {
    max_age: Duration,
    /// The oldest first.
    prompts: VecDeque<(Instant, u64)>,
}

impl PromptLog {
    pub(crate) fn new(max_age: Duration) -> Self {
        Self { max_age, prompts: VecDeque::new() }
    }

    /// A prompt is sent that takes `reading_us` to read.
    pub(crate) fn add(&mut self, now: Instant, prefill_us: u64) {
        let is_old = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) > self.max_age;
        while self.prompts.front().is_some_and(is_old) {
            self.prompts.pop_front();
        }
        self.prompts.push_back((now, prefill_us));
    }

    /// All that are remembered, the oldest first. Some may have passed the limit since the last one.
    pub(crate) fn all(&self) -> impl Iterator<Item = (Instant, u64)> {
        self.prompts.iter().copied()
    }

    /// Times to read the prompts of the latest `time`.
    pub(crate) fn latest(&self, now: Instant, time: Duration) -> impl Iterator<Item = u64> {
        let is_in = move |at: &Instant| now.saturating_duration_since(*at) <= time;
        self.all().filter(move |(at, _)| is_in(at)).map(|(_, prefill_us)| prefill_us)
    }
}
