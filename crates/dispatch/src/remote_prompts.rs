//! Prompts that other VMs have sent to a server, to correct their periodic load reports.
//!
//! Periodic reports of the other VMs' load are out of date by the time in which an engine prefills
//! a few prompts. A report of each prompt arrives sooner, but the end of its prefill is not
//! reported, so it is estimated from the server's prefill speed.

use {
    crate::{load::Load, prompt_log::PromptLog, server::PROMPT_LOG_AGE_MAX, speed::Speed},
    std::time::{Duration, Instant},
};

/// Largest age of a periodic load report: two reporting periods of a large mesh plus the network
/// delay.
const REPORT_AGE_MAX: Duration = Duration::from_millis(500);
/// Typical age of a periodic load report: half a period plus the network delay. Younger prompts are
/// not in the report.
const REPORT_AGE: Duration = Duration::from_millis(100);

/// Typical prefill time per token, to estimate the KV memory of prompts of which only the prefill
/// time is reported.
const TYPICAL_US_PER_TOKEN: u64 = 50;

/// Prompts of other VMs within [`PROMPT_LOG_AGE_MAX`].
#[derive(Clone, Debug)]
pub(crate) struct RemotePrompts {
    prompts: PromptLog,
}

impl Default for RemotePrompts {
    fn default() -> Self {
        Self { prompts: PromptLog::new(PROMPT_LOG_AGE_MAX) }
    }
}

impl RemotePrompts {
    /// Records a report of a prompt whose prefill takes `prefill_us`.
    pub(crate) fn record_prompt(&mut self, now: Instant, prefill_us: u64) {
        self.prompts.add(now, prefill_us);
    }

    /// Prefill time of the prompts of the latest `time`, in microseconds.
    pub(crate) fn latest_us(&self, now: Instant, time: Duration) -> u64 {
        self.prompts.latest(now, time).sum()
    }

    /// Estimates the load of the other VMs from their last `reported` load and the prompts since.
    pub(crate) fn estimate_load(&self, now: Instant, reported: &Load, speed: &Speed) -> Load {
        let known_us: u64 = self.prompts.latest(now, REPORT_AGE_MAX).sum();
        if known_us == 0 {
            return *reported;
        }
        let unreported = || self.prompts.latest(now, REPORT_AGE);
        Load {
            in_flight: reported.in_flight + unreported().count() as u32,
            // Reported prefill beyond the known prompts has been waiting for long already.
            outstanding_prefill_us: self.outstanding_prefill_us(now, speed)
                + reported.outstanding_prefill_us.saturating_sub(known_us),
            held_tokens: reported.held_tokens + unreported().sum::<u64>() / TYPICAL_US_PER_TOKEN,
            waiting_hundredths: reported.waiting_hundredths,
        }
    }

    /// Outstanding prefill of a server of this `speed`, in microseconds.
    fn outstanding_prefill_us(&self, now: Instant, speed: &Speed) -> u64 {
        let mut outstanding_us = 0;
        let mut since = None;
        for (at, prefill_us) in self.prompts.all() {
            outstanding_us = remaining_prefill_us(outstanding_us, since, at, speed) + prefill_us;
            since = Some(at);
        }
        remaining_prefill_us(outstanding_us, since, now, speed)
    }
}

/// Prefill outstanding at `now`, given the prefill outstanding at `since`.
fn remaining_prefill_us(
    outstanding_us: u64,
    since: Option<Instant>,
    now: Instant,
    speed: &Speed,
) -> u64 {
    let time = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    outstanding_us.saturating_sub(speed.nominal_prefill_us(time))
}
