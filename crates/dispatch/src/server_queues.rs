//! Which waiting request goes next.
//!
//! The load that this answers: long prompts wait until their server has little to read. Were each short one
//! that arrives meanwhile to go at once, the server would never have little to read. So a server is kept
//! free for the request that has waited for a while, and those that come later wait behind it.

use {
    crate::{request_spec::RequestSpec, server::ServerIdx},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time before a caller leaves from which its request goes first.
const LEAVING: Duration = Duration::from_millis(700);

/// Part of a request's objective that it waits before a server is kept free for it. Until then shorter
/// prompts go before it, which keeps more requests on time than it makes late.
const AGED_SHARE: f64 = 0.4;

/// Order in which requests go; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePriority {
    rank: u8,
    /// What is late already gives way to what can still be in time, until its caller is about to leave.
    is_late: bool,
    due: Instant,
}

impl QueuePriority {
    /// The turn of `need`.
    pub(crate) fn of(now: Instant, need: &RequestSpec) -> Self {
        let due = need.arrived_at + need.objective;
        let is_leaving = need.first_byte_deadline < now + LEAVING;
        Self { rank: need.rank, is_late: due < now && !is_leaving, due }
    }
}

/// A waiting request, at the server that is likely to take it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    turn: QueuePriority,
    reading_us: u64,
    /// The server is kept free for it.
    is_aged: bool,
}

impl QueuedRequest {
    /// What is known of `need`, whose prompt takes `reading_us` to read.
    pub(crate) fn of(now: Instant, need: &RequestSpec, reading_us: u64) -> Self {
        let waited = now.saturating_duration_since(need.arrived_at);
        let is_aged = waited >= need.objective.mul_f64(AGED_SHARE);
        Self { turn: QueuePriority::of(now, need), reading_us, is_aged }
    }
}

/// Waiting requests by the servers that are likely to take them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerQueues {
    by_server: HashMap<ServerIdx, Vec<QueuedRequest>>,
}

impl ServerQueues {
    /// Nothing waits any more.
    pub(crate) fn clear(&mut self) {
        self.by_server.clear();
    }

    /// `server` is likely to take what is `kept`.
    pub(crate) fn add(&mut self, server: ServerIdx, kept: QueuedRequest) {
        self.by_server.entry(server).or_default().push(kept);
    }

    /// Time that reading what `server` is kept free for takes, of what goes before `turn`, in microseconds.
    pub(crate) fn before(&self, server: ServerIdx, turn: &QueuePriority) -> u64 {
        self.earlier(server, turn).filter(|kept| kept.is_aged).map(|kept| kept.reading_us).sum()
    }

    /// Time that reading all that waits for `server` and goes before `turn` takes, in microseconds.
    pub(crate) fn queued(&self, server: ServerIdx, turn: &QueuePriority) -> u64 {
        self.earlier(server, turn).map(|kept| kept.reading_us).sum()
    }

    fn earlier(
        &self,
        server: ServerIdx,
        turn: &QueuePriority,
    ) -> impl Iterator<Item = &QueuedRequest> {
        self.by_server.get(&server).into_iter().flatten().filter(move |kept| kept.turn < *turn)
    }
}
