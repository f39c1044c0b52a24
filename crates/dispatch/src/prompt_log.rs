//! Recently sent prompts.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Send times and prefill times, in microseconds, of recent prompts. Prompts older than `max_age`
/// are dropped.
#[derive(Clone, Debug)]
pub(crate) struct PromptLog {
    max_age: Duration,
    /// Ordered from the oldest to the newest.
    prompts: VecDeque<(Instant, u64)>,
}

impl PromptLog {
    pub(crate) fn new(max_age: Duration) -> Self {
        Self { max_age, prompts: VecDeque::new() }
    }

    /// Adds a prompt whose prefill takes `prefill_us`, sent now.
    pub(crate) fn add(&mut self, now: Instant, prefill_us: u64) {
        let is_old = |(at, _): &(Instant, u64)| now.saturating_duration_since(*at) > self.max_age;
        while self.prompts.front().is_some_and(is_old) {
            self.prompts.pop_front();
        }
        self.prompts.push_back((now, prefill_us));
    }

    /// Returns all logged prompts, the oldest first. Prompts are dropped only when one is added, so
    /// some may be older than `max_age`.
    pub(crate) fn all(&self) -> impl Iterator<Item = (Instant, u64)> {
        self.prompts.iter().copied()
    }

    /// Prefill times of the prompts of the latest `time`.
    pub(crate) fn latest(&self, now: Instant, time: Duration) -> impl Iterator<Item = u64> {
        let is_in = move |at: &Instant| now.saturating_duration_since(*at) <= time;
        self.all().filter(move |(at, _)| is_in(at)).map(|(_, prefill_us)| prefill_us)
    }
}
