//! Recent use of servers by each team, for fair shares within a rank.

use {
    crate::{request_spec::RequestSpec, start::name_hash},
    glade_catalog::base_model_of,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time over which a team's use is averaged: some durations of requests. A team that was idle gets no
/// more than about this time's share in advance.
const USE_WINDOW_S: f64 = 4.0;
/// Number of teams from which those without recent use are dropped.
const TEAMS_KEPT: usize = 4096;

/// Team, rank and base model of waiting requests that compete for the same servers.
pub(crate) type ShareKey = (u32, u8, u32);

#[derive(Clone, Copy, Debug)]
struct Use {
    tokens: f64,
    at: Instant,
}

impl Use {
    fn tokens_at(&self, now: Instant) -> f64 {
        let age: Duration = now.saturating_duration_since(self.at);
        self.tokens * (-age.as_secs_f64() / USE_WINDOW_S).exp()
    }
}

/// Tokens of started and waiting requests by team.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamShares {
    started: HashMap<(u32, u8), Use>,
    /// Tokens of waiting requests, which precede further ones of the same key.
    waiting: HashMap<ShareKey, u64>,
    /// A request of a team has been seen. From then on, requests without a team share as one team.
    has_teams: bool,
}

impl TeamShares {
    /// Returns the key of `request`, if the deployment has teams.
    pub(crate) fn key(&self, request: &RequestSpec) -> Option<ShareKey> {
        let team = request.team.or(self.has_teams.then_some(0))?;
        let model = request.model.as_ref().map_or(0, |model| name_hash(base_model_of(model)));
        Some((team, request.rank, model))
    }

    /// Tokens that the request takes from its team's share.
    pub(crate) fn cost(request: &RequestSpec) -> u64 {
        u64::from(request.prompt_tokens) + u64::from(request.output_tokens) + 1
    }

    /// Records that a request was sent.
    pub(crate) fn record_start(&mut self, now: Instant, request: &RequestSpec) {
        self.has_teams |= request.team.is_some();
        let Some((team, rank, _)) = self.key(request) else { return };
        if self.started.len() >= TEAMS_KEPT {
            self.started.retain(|_, used| used.tokens_at(now) >= 1.0);
        }
        let used = self.started.entry((team, rank)).or_insert(Use { tokens: 0.0, at: now });
        *used = Use { tokens: used.tokens_at(now) + Self::cost(request) as f64, at: now };
    }

    /// Recent use of the team and rank of `key`, in tokens.
    pub(crate) fn used(&self, now: Instant, (team, rank, _): ShareKey) -> u64 {
        self.started.get(&(team, rank)).map_or(0, |used| used.tokens_at(now) as u64)
    }

    /// Virtual time at which `request` is due: what its team has used and what waits before it. Zero
    /// without a team.
    pub(crate) fn virtual_time(&self, now: Instant, request: &RequestSpec) -> u64 {
        self.key(request).map_or(0, |key| {
            self.used(now, key) + self.waiting.get(&key).copied().unwrap_or_default()
        })
    }

    /// True if the deployment has teams.
    pub(crate) fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// Forgets the waiting requests.
    pub(crate) fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Adds a waiting request.
    pub(crate) fn add_waiting(&mut self, request: &RequestSpec) {
        self.has_teams |= request.team.is_some();
        if let Some(key) = self.key(request) {
            *self.waiting.entry(key).or_default() += Self::cost(request);
        }
    }
}
