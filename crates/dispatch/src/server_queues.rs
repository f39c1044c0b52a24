//! Order of waiting requests and the reservation of servers for them.
//!
//! The failure that this prevents: long prompts wait until their server has little outstanding
//! prefill. If every short prompt that arrives in the meantime were sent at once, the server would
//! never have little to do. So a server is reserved for a request that has waited for a while, and
//! later requests wait behind it.

use {
    crate::{request_spec::RequestSpec, server::ServerIdx},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time before the caller leaves from which a late request no longer counts as late, so that it goes
/// first. With a longer time, most slots go to requests that are late under sustained overload; without
/// it, requests of a short burst aren't served before their callers leave.
const CALLER_LEAVING_MARGIN: Duration = Duration::from_millis(250);

/// Fraction of its objective that a request needs from its start to its first event: prefill and a few
/// decode steps of an engine whose slots are taken.
const START_FRACTION: f64 = 0.25;

/// Fraction of its latency objective for which a request waits before a server is reserved for it.
/// Until then shorter prompts go first, which keeps more requests on time than it delays.
const RESERVE_AFTER_FRACTION: f64 = 0.4;

/// Order of waiting requests; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePriority {
    rank: u8,
    /// Streams that their callers have a part of go before requests that haven't begun: there are few, and a
    /// caller has no use for half a stream.
    is_new: bool,
    /// Virtual time of the request in the shares of teams; zero without teams.
    virtual_time: u64,
    /// A request that can't be on time any more gives way to requests that can, until its caller is
    /// about to leave.
    is_late: bool,
    due_at: Instant,
}

impl QueuePriority {
    /// Returns the priority of `request` at `virtual_time` in the shares of teams.
    pub(crate) fn of(now: Instant, request: &RequestSpec, virtual_time: u64) -> Self {
        let due_at = request.arrived_at + request.objective;
        let is_leaving = request.first_byte_deadline < now + CALLER_LEAVING_MARGIN;
        let needed = request.objective.mul_f64(START_FRACTION);
        Self {
            rank: request.rank,
            is_new: !request.is_continuation,
            virtual_time,
            is_late: due_at < now + needed && !is_leaving,
            due_at,
        }
    }
}

impl QueuePriority {
    /// Urgency of the request; 0 is the most urgent.
    pub(crate) fn rank(&self) -> u8 {
        self.rank
    }

    /// True if requests of the same rank that arrive later mostly go ahead: the request can't be on time
    /// any more.
    pub(crate) fn gives_way(&self) -> bool {
        self.is_new && self.is_late
    }
}

/// A waiting request in the queue of the server that is expected to take it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    priority: QueuePriority,
    objective: Duration,
    prefill_us: u64,
    /// Whether the server is reserved for the request.
    is_reserved: bool,
}

impl QueuedRequest {
    /// Returns the queue entry of `request`, whose prefill takes `prefill_us`.
    pub(crate) fn of(
        now: Instant,
        request: &RequestSpec,
        priority: QueuePriority,
        prefill_us: u64,
    ) -> Self {
        let waited = now.saturating_duration_since(request.arrived_at);
        let is_reserved = waited >= request.objective.mul_f64(RESERVE_AFTER_FRACTION);
        Self { priority, objective: request.objective, prefill_us, is_reserved }
    }
}

/// Waiting requests by the server that is expected to take them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerQueues {
    by_server: HashMap<ServerIdx, Vec<QueuedRequest>>,
}

impl ServerQueues {
    pub(crate) fn clear(&mut self) {
        self.by_server.clear();
    }

    /// Adds a request that `server` is expected to take.
    pub(crate) fn add(&mut self, server: ServerIdx, request: QueuedRequest) {
        self.by_server.entry(server).or_default().push(request);
    }

    /// Prefill time of the requests ahead of `priority` for which `server` is reserved, in
    /// microseconds.
    pub(crate) fn reserved_prefill_us(&self, server: ServerIdx, priority: &QueuePriority) -> u64 {
        self.ahead_of(server, priority)
            .filter(|request| request.is_reserved)
            .map(|request| request.prefill_us)
            .sum()
    }

    /// True if requests wait that `server` is expected to take.
    pub(crate) fn has_waiting(&self, server: ServerIdx) -> bool {
        self.by_server.get(&server).is_some_and(|queue| !queue.is_empty())
    }

    /// Number of requests ahead of `priority` in the queue of `server`.
    pub(crate) fn count_ahead(&self, server: ServerIdx, priority: &QueuePriority) -> u32 {
        self.ahead_of(server, priority).count() as u32
    }

    /// Number of requests ahead of `priority` that are of its rank and may wait for as long as a
    /// request with this `objective`.
    pub(crate) fn count_alike_ahead(
        &self,
        server: ServerIdx,
        priority: &QueuePriority,
        objective: Duration,
    ) -> u32 {
        let is_alike = |request: &&QueuedRequest| {
            request.priority.rank == priority.rank && request.objective >= objective
        };
        self.ahead_of(server, priority).filter(is_alike).count() as u32
    }

    /// Prefill time of all requests ahead of `priority` in the queue of `server`, in microseconds.
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
