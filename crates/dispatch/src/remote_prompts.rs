//! Prompts that other VMs have sent to a server.
//!
//! What the others have under way is told by period, and is out of date by the time that an engine
//! takes to read a few prompts. Word of each prompt comes sooner, but nobody says when it was read, so
//! that is worked out from how fast the server reads.

use {
    crate::{load::Load, prompt_log::PromptLog, server::PROMPT_MEMORY, speed::Speed},
    std::time::{Duration, Instant},
};

/// Age of what is told by period, at most: two periods of a large mesh and the ways.
const REPORT_AGE_MAX: Duration = Duration::from_millis(500);
/// The same, as a rule: half a period and the ways. Younger prompts aren't in what was told.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// About what reading a token takes, for the memory of prompts of which only the time to read is told.
const USUAL_US_PER_TOKEN: u64 = 50;

/// Prompts within [`REMEMBERED`].
#[derive(Clone, Debug)]
pub(crate) struct RemotePrompts {
    prompts: PromptLog,
}

impl Default for RemotePrompts {
    fn default() -> Self {
        Self { prompts: PromptLog::new(PROMPT_MEMORY) }
    }
}

impl RemotePrompts {
    /// There is word of a prompt that takes `reading_us` to read.
    pub(crate) fn record_prompt(&mut self, now: Instant, prefill_us: u64) {
        self.prompts.add(now, prefill_us);
    }

    /// Time that reading the prompts of the latest `time` takes, in microseconds.
    pub(crate) fn latest_us(&self, now: Instant, time: Duration) -> u64 {
        self.prompts.latest(now, time).sum()
    }

    /// What the others have under way, from what they have `told` and the word since.
    pub(crate) fn estimate_load(&self, now: Instant, reported: &Load, speed: &Speed) -> Load {
        let known: u64 = self.prompts.latest(now, REPORT_AGE_MAX).sum();
        if known == 0 {
            return *reported;
        }
        let unreported = || self.prompts.latest(now, REPORT_AGE);
        Load {
            in_flight: reported.in_flight + unreported().count() as u32,
            // What was told beyond the known prompts has waited for long already.
            unread_us: self.unread(now, speed) + reported.unread_us.saturating_sub(known),
            held_tokens: reported.held_tokens + unreported().sum::<u64>() / USUAL_US_PER_TOKEN,
            waiting_hundredths: reported.waiting_hundredths,
        }
    }

    /// What a server of this `speed` has yet to read, in microseconds.
    fn unread(&self, now: Instant, speed: &Speed) -> u64 {
        let mut unread = 0;
        let mut since = None;
        for (at, prefill_us) in self.prompts.all() {
            unread = left(unread, since, at, speed) + prefill_us;
            since = Some(at);
        }
        left(unread, since, now, speed)
    }
}

/// What is left at `now` of what was unread at `since`.
fn left(unread: u64, since: Option<Instant>, now: Instant, speed: &Speed) -> u64 {
    let time = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    unread.saturating_sub(speed.nominal_prefill_us(time))
}
