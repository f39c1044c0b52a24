//! Prompts that other VMs have sent to a server.
//!
//! What the others have under way is told by period, and is out of date by the time that an engine
//! takes to read a few prompts. Word of each prompt comes sooner, but nobody says when it was read, so
//! that is worked out from how fast the server reads.

use {
    crate::{load::Load, prompt_log::PromptLog, server::RECENT, speed::Speed},
    std::time::{Duration, Instant},
};

/// Age of what is told by period, at most: two periods of a large mesh and the ways.
const TOLD_AGE_MAX: Duration = Duration::from_millis(500);
/// The same, as a rule: half a period and the ways. Younger prompts aren't in what was told.
const TOLD_AGE: Duration = Duration::from_millis(100);

/// Prompts within [`TOLD_AGE_MAX`].
#[derive(Clone, Debug)]
pub(crate) struct SentElsewhere {
    prompts: PromptLog,
}

impl Default for SentElsewhere {
    fn default() -> Self {
        Self { prompts: PromptLog::new(TOLD_AGE_MAX) }
    }
}

impl SentElsewhere {
    /// There is word of a prompt of `tokens`.
    pub(crate) fn on_prompt(&mut self, now: Instant, tokens: u64) {
        self.prompts.add(now, tokens);
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
            unread_tokens: self.unread(now, speed) + told.unread_tokens.saturating_sub(known),
            recent_tokens: self.prompts.latest(now, RECENT).sum(),
            held_tokens: told.held_tokens + untold().sum::<u64>(),
            waiting_hundredths: told.waiting_hundredths,
        }
    }

    /// Tokens that a server of this `speed` has yet to read.
    fn unread(&self, now: Instant, speed: &Speed) -> u64 {
        let mut unread = 0;
        let mut since = None;
        for (at, tokens) in self.prompts.all() {
            unread = left(unread, since, at, speed) + tokens;
            since = Some(at);
        }
        left(unread, since, now, speed)
    }
}

/// What is left at `now` of `unread` tokens at `since`.
fn left(unread: u64, since: Option<Instant>, now: Instant, speed: &Speed) -> u64 {
    let time = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    unread.saturating_sub(speed.tokens_in(time))
}
