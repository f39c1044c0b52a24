//! A backend server with its state as this VM has it: reported load, requests in flight, health,
//! speed and backoff.

use {
    crate::{
        cluster_view::ServerView, health::Health, load::Load, prompt_log::PromptLog,
        remote_prompts::RemotePrompts, speed::Speed, urgent_reserve::UrgentReserve,
    },
    glade_limit::{KnownLimit, PermitPool},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Index of a server in the dispatcher's table. It refers to the same server for as long as the
/// server is known or has requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIdx(pub(crate) u32);

impl ServerIdx {
    pub(crate) fn get(self) -> usize {
        self.0 as usize
    }
}

/// Longest pause between events, for services whose routes set no limit.
const DEFAULT_PAUSE_LIMIT: Duration = Duration::from_millis(300);
/// Time for which sent prompts are kept: longer than streams usually may pause.
pub(crate) const PROMPT_LOG_AGE_MAX: Duration = Duration::from_secs(1);

/// Minimum fraction of the pause limit that is available for prefill, however long decode steps
/// seem to take.
const PREFILL_FRACTION_MIN: f64 = 0.5;
/// Longest backoff that a server may ask for.
const BACKOFF_MAX: Duration = Duration::from_secs(300);
/// Fraction of a backoff over which the return of VMs is spread, so that VMs that got the same
/// backoff do not all return at the same moment.
const BACKOFF_SPREAD_FRACTION: f64 = 0.125;
/// Upper bound on that spread.
const BACKOFF_SPREAD_MAX: Duration = Duration::from_millis(250);

/// A server with this VM's load at it.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) view: ServerView,
    /// The server's process was found to be gone, and its record has not changed since.
    pub(crate) process_gone: bool,
    /// The server has announced its shutdown, which is final.
    pub(crate) leaving: bool,
    /// Time until which the server asked this VM for no requests.
    backoff_until: Option<Instant>,
    /// Load of this VM at the server.
    pub(crate) own_load: Load,
    /// Prompts that this VM sent recently.
    recent_prompts: PromptLog,
    /// Shortest pause limit of the streams of the service.
    pub(crate) pause_limit: Duration,
    /// Tokens per event of such a stream.
    pub(crate) event_tokens: u32,
    /// Prompts that other VMs have sent.
    pub(crate) remote_prompts: RemotePrompts,
    /// Recent failures and ejection.
    pub(crate) health: Health,
    /// Measured speed.
    pub(crate) speed: Speed,
    /// Room that the server keeps for urgent requests.
    pub(crate) urgent_reserve: UrgentReserve,
    /// Rate limit that the server names in its answers.
    pub(crate) limit: KnownLimit,
    /// Permits to send requests to the server while it names a limit.
    pub(crate) permits: PermitPool,
    /// When a probe of the limit was last wanted.
    pub(crate) probe_wanted_at: Option<Instant>,
    /// When the last refused request was told to come back.
    pub(crate) return_at: Option<Instant>,
}

impl Server {
    pub(crate) fn new(view: ServerView) -> Self {
        Self {
            view,
            process_gone: false,
            leaving: false,
            backoff_until: None,
            own_load: Load::default(),
            recent_prompts: PromptLog::new(PROMPT_LOG_AGE_MAX),
            pause_limit: DEFAULT_PAUSE_LIMIT,
            event_tokens: 1,
            remote_prompts: RemotePrompts::default(),
            health: Health::default(),
            speed: Speed::default(),
            urgent_reserve: UrgentReserve::default(),
            limit: KnownLimit::default(),
            permits: PermitPool::default(),
            probe_wanted_at: None,
            return_at: None,
        }
    }

    /// Applies a newer view. Returns true if the resident models have changed.
    pub(crate) fn update_view(&mut self, now: Instant, view: &ServerView) -> bool {
        self.limit.apply_view(now, view.limit);
        let has_changed = !Arc::ptr_eq(&self.view.resident_models, &view.resident_models);
        self.process_gone &= Arc::ptr_eq(&self.view.record, &view.record);
        self.view = view.clone();
        has_changed
    }

    /// Backs off from the server for `time`, up to a bound, plus a part of the return spread that
    /// `spread_fraction` selects. Returns the bounded time without the spread.
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

    /// True if the server accepts requests, apart from a current backoff.
    pub(crate) fn is_usable(&self) -> bool {
        self.view.usable && !self.process_gone && !self.leaving
    }

    /// True if the server accepts requests now, according to this VM's state.
    pub(crate) fn is_available(&self, now: Instant) -> bool {
        self.is_usable() && self.backoff_remaining(now).is_zero()
    }

    /// True if the server accepts requests now and names no limit, or this VM holds a permit.
    pub(crate) fn may_be_sent_to(&self, now: Instant) -> bool {
        let is_permitted = || self.permits.count(now) > 0 || self.permits.has_probe(now);
        self.is_available(now) && (self.limit.get().is_none() || is_permitted())
    }

    /// True if the server accepts requests now and is not ejected.
    pub(crate) fn is_available_and_healthy(&self, now: Instant) -> bool {
        self.is_available(now) && !self.health.is_ejected(now)
    }

    /// Remaining time of the server's backoff.
    pub(crate) fn backoff_remaining(&self, now: Instant) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that this VM sends a prompt whose prefill takes `prefill_us`.
    pub(crate) fn record_prompt(&mut self, now: Instant, prefill_us: u64) {
        self.recent_prompts.add(now, prefill_us);
    }

    /// Prefill time of the recently sent prompts beyond the outstanding prefill, in microseconds.
    /// Where reports of other VMs' prompts are late, this prefill may be outstanding as well.
    pub(crate) fn recently_prefilled_us(&self, now: Instant) -> u64 {
        let own_us: u64 = self.recent_prompts.latest(now, self.pause_limit).sum();
        let recent_us = own_us + self.remote_prompts.latest_us(now, self.pause_limit);
        recent_us.saturating_sub(self.load(now).outstanding_prefill_us)
    }

    /// True if the server can prefill for `queued_ahead_us` and then for `prefill_us` now without
    /// delaying its streams beyond their pause limit.
    ///
    /// An engine generates one token for each of its streams in a step and prefills waiting prompts
    /// in the same step. So an event takes as many steps as it has tokens, and is late if the
    /// prefill takes longer than the pause limit minus these steps. A prompt that does not fit even
    /// then is sent when nothing else waits for prefill.
    pub(crate) fn can_prefill(&self, now: Instant, queued_ahead_us: u64, prefill_us: u64) -> bool {
        let outstanding_us = self.load(now).outstanding_prefill_us + queued_ahead_us;
        let event_s = self.speed.decode_step_s() * f64::from(self.event_tokens);
        let pause_s = self.pause_limit.as_secs_f64();
        let prefill_budget_s = (pause_s - event_s).max(pause_s * PREFILL_FRACTION_MIN);
        outstanding_us == 0
            || self.speed.actual_prefill_s(outstanding_us + prefill_us) <= prefill_budget_s
    }

    /// Estimated load of the other VMs at the server.
    pub(crate) fn estimated_other_vms_load(&self, now: Instant) -> Load {
        self.remote_prompts.estimate_load(now, &self.view.other_vms_load, &self.speed)
    }

    /// Load of all VMs at the server.
    pub(crate) fn load(&self, now: Instant) -> Load {
        self.own_load.plus(&self.estimated_other_vms_load(now))
    }
}
