//! Prompts that other VMs have sent to a server.
//!
//! What the others have under way is told by period, and is out of date by the time that an engine
//! takes to read a few prompts. Word of each prompt comes sooner, but nobody says when it was read, so
//! that is worked out from how fast the server reads.

use {
    crate::{load::Load, prompt_log::PromptLog, server::REMEMBERED, speed::Speed},
    std::time::{Duration, Instant},
};

/// Age of what is told by period, at most: two periods of a large mesh and the ways.
const TOLD_AGE_MAX: Duration = Duration::from_millis(500);
/// The same, as a rule: half a period and the ways. Younger prompts aren't in what was told.
const TOLD_AGE: Duration = Duration::from_millis(100);

/// About what reading a token takes, for the memory of prompts of which only the time to read is told.
const USUAL_US_PER_TOKEN: u64 = 50;

/// Prompts within [`REMEMBERED`].
#[derive(Clone, Debug)]
pub(crate) struct RemotePrompts {
    prompts: PromptLog,
}

impl Default for RemotePrompts {
    fn default() -> Self {
        Self { prompts: PromptLog::new(REMEMBERED) }
    }
}

impl RemotePrompts {
    /// There is word of a prompt that takes `reading_us` to read.
    pub(crate) fn on_prompt(&mut self, now: Instant, reading_us: u64) {
        self.prompts.add(now, reading_us);
    }

    /// Time that reading the prompts of the latest `time` takes, in microseconds.
    pub(crate) fn latest_us(&self, now: Instant, time: Duration) -> u64 {
        self.prompts.latest(now, time).sum()
    }

    /// What the others have under way, from what they have `told` and the word since.
    pub(crate) fn correct(&self, now: Instant, told: &Load, speed: &Speed) -> Load {
        let known: u64 = self.prompts.latest(now, TOLD_AGE_MAX).sum();
        if known == 0 {
            return *told;
        }
        let untold = || self.prompts.latest(now, TOLD_AGE);
        Load {
            in_flight: told.in_flight + untold().count() as u32,
            // What was told beyond the known prompts has waited for long already.
            unread_us: self.unread(now, speed) + told.unread_us.saturating_sub(known),
            held_tokens: told.held_tokens + untold().sum::<u64>() / USUAL_US_PER_TOKEN,
            waiting_hundredths: told.waiting_hundredths,
        }
    }

    /// What a server of this `speed` has yet to read, in microseconds.
    fn unread(&self, now: Instant, speed: &Speed) -> u64 {
        let mut unread = 0;
        let mut since = None;
        for (at, reading_us) in self.prompts.all() {
            unread = left(unread, since, at, speed) + reading_us;
            since = Some(at);
        }
        left(unread, since, now, speed)
    }
}

/// What is left at `now` of what was unread at `since`.
fn left(unread: u64, since: Option<Instant>, now: Instant, speed: &Speed) -> u64 {
    let time = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    unread.saturating_sub(speed.read_in_us(time))
}
