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
const CALLER_LEAVING_MARGIN: Duration = Duration::from_millis(700);

/// Part of a request's objective that it waits before a server is kept free for it. Until then shorter
/// prompts go before it, which keeps more requests on time than it makes late.
const RESERVE_AFTER_FRACTION: f64 = 0.4;

/// Order in which requests go; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePriority {
    rank: u8,
    /// What is late already gives way to what can still be in time, until its caller is about to leave.
    is_late: bool,
    due_at: Instant,
}

impl QueuePriority {
    /// The turn of `need`.
    pub(crate) fn of(now: Instant, request: &RequestSpec) -> Self {
        let due_at = request.arrived_at + request.objective;
        let is_leaving = request.first_byte_deadline < now + CALLER_LEAVING_MARGIN;
        Self { rank: request.rank, is_late: due_at < now && !is_leaving, due_at }
    }
}

/// A waiting request, at the server that is likely to take it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    priority: QueuePriority,
    prefill_us: u64,
    /// The server is kept free for it.
    is_reserved: bool,
}

impl QueuedRequest {
    /// What is known of `need`, whose prompt takes `reading_us` to read.
    pub(crate) fn of(now: Instant, request: &RequestSpec, prefill_us: u64) -> Self {
        let waited = now.saturating_duration_since(request.arrived_at);
        let is_reserved = waited >= request.objective.mul_f64(RESERVE_AFTER_FRACTION);
        Self { priority: QueuePriority::of(now, request), prefill_us, is_reserved }
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
    pub(crate) fn add(&mut self, server: ServerIdx, request: QueuedRequest) {
        self.by_server.entry(server).or_default().push(request);
    }

    /// Time that reading what `server` is kept free for takes, of what goes before `turn`, in microseconds.
    pub(crate) fn reserved_prefill_us(&self, server: ServerIdx, priority: &QueuePriority) -> u64 {
        self.ahead_of(server, priority)
            .filter(|request| request.is_reserved)
            .map(|request| request.prefill_us)
            .sum()
    }

    /// Time that reading all that waits for `server` and goes before `turn` takes, in microseconds.
    pub(crate) fn queued_prefill_us(&self, server: ServerIdx, priority: &QueuePriority) -> u64 {
        self.ahead_of(server, priority).map(|request| request.prefill_us).sum()
    }

    fn ahead_of(
        &self,
        server: ServerIdx,
        priority: &QueuePriority,
    ) -> impl Iterator<Item = &QueuedRequest> {
        self.by_server
            .get(&server)
            .into_iter()
            .flatten()
            .filter(move |request| request.priority < *priority)
    }
}
