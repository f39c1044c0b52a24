//! The table of backend servers.

use {
    crate::{
        health::Health, load::Load, prompt_log::PromptLog, sent_elsewhere::SentElsewhere,
        speed::Speed, view::ServerView,
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
    /// Prompts sent by this VM within [`RECENT`].
    recent: PromptLog,
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
            recent: PromptLog::new(RECENT),
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
        self.recent.add(now, tokens);
    }

    /// What this VM has under way there.
    pub(crate) fn own_load(&self, now: Instant) -> Load {
        let recent_tokens = self.recent.latest(now, RECENT).sum();
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
