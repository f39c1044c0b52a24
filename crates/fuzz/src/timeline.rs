//! Virtual time and the deliveries that are due at it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Deliveries in the order of their time; equal times keep the order of scheduling.
#[derive(Debug)]
pub(crate) struct Timeline<D> {
    start: Instant,
    elapsed: Duration,
    scheduled: u64,
    queue: BTreeMap<(Duration, u64), D>,
}

impl<D> Timeline<D> {
    pub(crate) fn new() -> Self {
        let (start, elapsed) = (Instant::now(), Duration::ZERO);
        Self { start, elapsed, scheduled: 0, queue: BTreeMap::new() }
    }

    /// The present reading.
    pub(crate) fn now(&self) -> Instant {
        self.start + self.elapsed
    }

    /// Time since the world began.
    pub(crate) fn elapsed(&self) -> Duration {
        self.elapsed
    }

    /// Makes `delivery` due after `delay`.
    pub(crate) fn schedule(&mut self, delay: Duration, delivery: D) {
        self.scheduled += 1;
        self.queue.insert((self.elapsed + delay, self.scheduled), delivery);
    }

    /// Takes the next delivery due by `until` and moves time to it; without one, moves time to
    /// `until`.
    pub(crate) fn next(&mut self, until: Duration) -> Option<D> {
        let due = self.queue.first_key_value().map(|(key, _)| *key);
        let Some(key) = due.filter(|(at, _)| *at <= until) else {
            self.elapsed = self.elapsed.max(until);
            return None;
        };
        self.elapsed = self.elapsed.max(key.0);
        self.queue.remove(&key)
    }
}
