//! What was granted in the last seconds.

use std::time::{Duration, Instant};

/// Time over which the platform sums up what a team has spent.
pub(crate) const WINDOW: Duration = Duration::from_secs(8);
/// Time that the slots cover: the window, and the present slot's time that has yet to pass.
pub(crate) const COVERED: Duration = Duration::from_millis(8_125);
const SLOT: Duration = Duration::from_millis(125);
const SLOTS: usize = (COVERED.as_millis() / SLOT.as_millis()) as usize;

/// Grants of the last 8 s, less what was returned of them, by eighths of a second. A bucket alone would
/// let a team spend returned credit that was granted seconds ago on top of a full window.
#[derive(Clone, Debug)]
pub(crate) struct QuotaWindow {
    origin: Instant,
    /// Number of the present slot since `origin`.
    present: u64,
    slots: [f64; SLOTS],
    sum: f64,
}

impl QuotaWindow {
    pub(crate) fn new(now: Instant) -> Self {
        Self { origin: now, present: 0, slots: [0.0; SLOTS], sum: 0.0 }
    }

    pub(crate) fn clear(&mut self) {
        (self.slots, self.sum) = ([0.0; SLOTS], 0.0);
    }

    /// What was granted and not returned, in the last 8 s to 8.125 s.
    pub(crate) fn sum(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.sum
    }

    pub(crate) fn add(&mut self, now: Instant, tokens: f64) {
        self.advance(now);
        self.slots[(self.present % SLOTS as u64) as usize] += tokens;
        self.sum += tokens;
    }

    /// Removes what was granted `age` ago. Returns false if that is no longer in the window.
    pub(crate) fn remove(&mut self, now: Instant, age: Duration, tokens: f64) -> bool {
        self.advance(now);
        if age >= WINDOW {
            return false;
        }
        let number = self.number_at(now.checked_sub(age).unwrap_or(self.origin));
        let slot = &mut self.slots[(number % SLOTS as u64) as usize];
        let removed = tokens.min(*slot);
        *slot -= removed;
        self.sum -= removed;
        true
    }

    fn number_at(&self, at: Instant) -> u64 {
        let number = at.saturating_duration_since(self.origin).as_millis() / SLOT.as_millis();
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    fn advance(&mut self, now: Instant) {
        let number = self.number_at(now).max(self.present);
        let passed = usize::try_from(number - self.present).unwrap_or(SLOTS).min(SLOTS);
        for step in 0..passed as u64 {
            let slot = &mut self.slots[((number - step) % SLOTS as u64) as usize];
            self.sum -= std::mem::take(slot);
        }
        self.present = number;
    }
}
