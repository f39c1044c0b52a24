//! Pauses between restarts of what panics.

use std::time::{Duration, Instant};

/// First pause.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause.
const PAUSE_MAX: Duration = Duration::from_secs(5);
/// Time without a panic after which the next pause is the shortest again.
const STABLE_TIME: Duration = Duration::from_secs(30);

/// Pauses that grow while one panic follows another.
#[derive(Clone, Debug, Default)]
pub struct RestartPause {
    last: Option<(Instant, Duration)>,
    restarts: u64,
}

impl RestartPause {
    /// The pause before the restart after a panic at `now`.
    pub fn after_panic(&mut self, now: Instant) -> Duration {
        let pause = match self.last {
            Some((at, pause)) if now.saturating_duration_since(at) < STABLE_TIME => {
                (pause * 2).min(PAUSE_MAX)
            }
            _ => PAUSE_MIN,
        };
        self.last = Some((now, pause));
        self.restarts += 1;
        pause
    }

    /// Number of panics so far.
    pub fn restarts(&self) -> u64 {
        self.restarts
    }
}
