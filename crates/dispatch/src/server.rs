//! The table of backend servers.

use {
    crate::{
        health::Health, load::Load, sent_elsewhere::SentElsewhere, speed::Speed, view::ServerView,
    },
    std::{
        collections::VecDeque,
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

/// Time for which a sent prompt counts as recent: the pause between events that both users allow.
pub(crate) const RECENT: Duration = Duration::from_millis(300);

/// A server with what this VM has under way there.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) view: ServerView,
    /// Its process was found to be gone since its description last changed.
    pub(crate) gone: bool,
    /// What this VM has under way there.
    pub(crate) own: Load,
    /// Prompts sent by this VM within [`RECENT`], the oldest first.
    recent: VecDeque<(Instant, u64)>,
    /// Prompts that other VMs have sent.
    pub(crate) elsewhere: SentElsewhere,
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
            own: Load::default(),
            recent: VecDeque::new(),
            elsewhere: SentElsewhere::default(),
            health: Health::default(),
            speed: Speed::default(),
        }
    }

    /// Takes a newer view.
    pub(crate) fn see(&mut self, view: &ServerView) {
        self.gone &= Arc::ptr_eq(&self.view.record, &view.record);
        self.view = view.clone();
    }

    /// A prompt of `tokens` is sent.
    pub(crate) fn on_prompt(&mut self, now: Instant, tokens: u64) {
        self.forget_old_prompts(now);
        self.recent.push_back((now, tokens));
    }

    /// Forgets prompts that were sent longer ago than [`RECENT`].
    pub(crate) fn forget_old_prompts(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) > RECENT)
        {
            self.recent.pop_front();
        }
    }

    /// What this VM has under way there.
    pub(crate) fn own_load(&self, now: Instant) -> Load {
        let is_recent = |(at, _): &&(Instant, u64)| now.saturating_duration_since(*at) <= RECENT;
        let recent_tokens = self.recent.iter().filter(is_recent).map(|(_, tokens)| tokens).sum();
        Load { recent_tokens, ..self.own }
    }

    /// What the other VMs have under way there.
    pub(crate) fn others_load(&self, now: Instant) -> Load {
        self.elsewhere.correct(now, &self.view.others, &self.speed)
    }

    /// What all VMs have under way there.
    pub(crate) fn load(&self, now: Instant) -> Load {
        self.own_load(now).plus(&self.others_load(now))
    }
}
