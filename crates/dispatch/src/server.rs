//! The table of backend servers.

use {
    crate::{
        cluster_view::ServerView, health::Health, load::Load, prompt_log::PromptLog,
        remote_prompts::RemotePrompts, speed::Speed,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Position of a server in the dispatcher's table. It names the same server for as long as
/// something is under way there or the server is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIdx(pub(crate) u32);

impl ServerIdx {
    pub(crate) fn get(self) -> usize {
        self.0 as usize
    }
}

/// Longest pause between events, where no route says how long its streams may pause.
const DEFAULT_PAUSE_LIMIT: Duration = Duration::from_millis(300);
/// Time for which sent prompts are remembered: longer than streams may pause as a rule.
pub(crate) const PROMPT_MEMORY: Duration = Duration::from_secs(1);

/// Part of the longest pause that goes into reading at least, however long steps seem to take.
const PREFILL_FRACTION_MIN: f64 = 0.5;
/// Longest time for which a server's word that it wants no requests is believed.
const BACKOFF_MAX: Duration = Duration::from_secs(300);
/// Part of that time over which VMs that were told the same come back, so that they don't all return at
/// the same moment.
const BACKOFF_SPREAD_FRACTION: f64 = 0.125;
/// The same, at most.
const BACKOFF_SPREAD_MAX: Duration = Duration::from_millis(250);

/// A server with what this VM has under way there.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) view: ServerView,
    /// Its process was found to be gone since its description last changed.
    pub(crate) gone: bool,
    /// It has said that it is about to end. That holds for the rest of its life.
    pub(crate) leaving: bool,
    /// Until when it wants no requests from this VM.
    backoff_until: Option<Instant>,
    /// What this VM has under way there.
    pub(crate) own_load: Load,
    /// Prompts sent by this VM lately.
    recent_prompts: PromptLog,
    /// Shortest pause that the streams of its service may make.
    pub(crate) pause_limit: Duration,
    /// Tokens in an event of such a stream.
    pub(crate) event_tokens: u32,
    /// Prompts that other VMs have sent.
    pub(crate) remote_prompts: RemotePrompts,
    /// Whether it answers as it should.
    pub(crate) health: Health,
    /// How fast it answers.
    pub(crate) speed: Speed,
}

impl Server {
    pub(crate) fn new(view: ServerView) -> Self {
        Self {
            view,
            gone: false,
            leaving: false,
            backoff_until: None,
            own_load: Load::default(),
            recent_prompts: PromptLog::new(PROMPT_MEMORY),
            pause_limit: DEFAULT_PAUSE_LIMIT,
            event_tokens: 1,
            remote_prompts: RemotePrompts::default(),
            health: Health::default(),
            speed: Speed::default(),
        }
    }

    /// Takes a newer view. Returns true if it holds something else now.
    pub(crate) fn update_view(&mut self, view: &ServerView) -> bool {
        let has_changed = !Arc::ptr_eq(&self.view.resident_models, &view.resident_models);
        self.gone &= Arc::ptr_eq(&self.view.record, &view.record);
        self.view = view.clone();
        has_changed
    }

    /// The server wants no requests for `time`. This VM is back after it by the fraction `late` of the
    /// spread. Returns how much of the time is believed.
    pub(crate) fn back_off(
        &mut self,
        now: Instant,
        time: Duration,
        spread_fraction: f64,
    ) -> Duration {
        let time = time.min(BACKOFF_MAX);
        let spread = time.mul_f64(BACKOFF_SPREAD_FRACTION).min(BACKOFF_SPREAD_MAX);
        let until = now + time + spread.mul_f64(spread_fraction);
        self.backoff_until = self.backoff_until.max(Some(until));
        time
    }

    /// True if the server is known to take requests, also if it wants none now.
    pub(crate) fn is_usable(&self) -> bool {
        self.view.usable && !self.gone && !self.leaving
    }

    /// True if the server takes requests now, as far as is known.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.is_usable() && self.backoff_remaining(now).is_zero()
    }

    /// True if the server takes requests now and answers as it should.
    pub(crate) fn is_available_and_healthy(&self, now: Instant) -> bool {
        self.is_available(now) && !self.health.is_ejected(now)
    }

    /// Time for which the server still wants no requests.
    pub(crate) fn backoff_remaining(&self, now: Instant) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// This VM sends a prompt that takes `reading_us` to read.
    pub(crate) fn record_prompt(&mut self, now: Instant, prefill_us: u64) {
        self.recent_prompts.add(now, prefill_us);
    }

    /// Time that reading what was lately sent there takes beyond what is yet to be read, in microseconds.
    /// Where word of other VMs' prompts is late, that may not have been read either.
    pub(crate) fn recently_prefilled_us(&self, now: Instant) -> u64 {
        let own_us: u64 = self.recent_prompts.latest(now, self.pause_limit).sum();
        let recent_us = own_us + self.remote_prompts.latest_us(now, self.pause_limit);
        recent_us.saturating_sub(self.load(now).unread_us)
    }

    /// True if the server can read for `reading_us` now, and before that for `before_us`, without its
    /// streams being late.
    ///
    /// An engine makes a token for each of its streams in a step, and reads prompts that wait in the same
    /// step. So an event takes as many steps as it has tokens, and comes late if reading what waits takes
    /// longer than the streams may pause beside these steps. A prompt for which there is no room even then
    /// goes when nothing else waits.
    pub(crate) fn can_prefill(&self, now: Instant, queued_ahead_us: u64, prefill_us: u64) -> bool {
        let others_us = self.load(now).unread_us + queued_ahead_us;
        let event_s = self.speed.decode_step_s() * f64::from(self.event_tokens);
        let pause_s = self.pause_limit.as_secs_f64();
        let left_s = (pause_s - event_s).max(pause_s * PREFILL_FRACTION_MIN);
        others_us == 0 || self.speed.actual_prefill_s(others_us + prefill_us) <= left_s
    }

    /// What the other VMs have under way there.
    pub(crate) fn estimated_other_vms_load(&self, now: Instant) -> Load {
        self.remote_prompts.estimate_load(now, &self.view.other_vms_load, &self.speed)
    }

    /// What all VMs have under way there.
    pub(crate) fn load(&self, now: Instant) -> Load {
        self.own_load.plus(&self.estimated_other_vms_load(now))
    }
}
