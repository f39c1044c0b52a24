//! What the budget knows of a connection.

use {
    crate::{budget::Usage, kind::Kind, port::Port},
    std::{
        net::IpAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
    },
    tokio::sync::Notify,
};

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It has no request, or an unfinished head.
    Idle,
    /// Its request's body is being read.
    Reading,
    /// Its request is being served.
    Serving,
}

/// What the budget knows of a connection. Its owner writes, the budget reads.
#[derive(Debug)]
pub(crate) struct AccountState {
    pub(crate) source: IpAddr,
    pub(crate) port: Port,
    /// Order in which connections became idle; 0 unless it is.
    idle_rank: AtomicU64,
    is_reading: AtomicBool,
    /// Bytes that the connection has carried in both directions.
    pub(crate) progress_bytes: AtomicU64,
    /// Whether its peer takes no more bytes at present.
    pub(crate) is_write_blocked: AtomicBool,
    /// Whether it waits for room itself.
    pub(crate) is_waiting: AtomicBool,
    held_units: AtomicUsize,
    is_evicted: AtomicBool,
    /// Whether its last request was answered before its end.
    pub(crate) has_unread_rest: AtomicBool,
    pub(crate) evicted: Notify,
    usage: Arc<Usage>,
}

impl AccountState {
    pub(crate) fn new(port: Port, source: IpAddr, usage: Arc<Usage>) -> Self {
        let state = Self {
            source,
            port,
            idle_rank: AtomicU64::new(0),
            is_reading: AtomicBool::new(false),
            progress_bytes: AtomicU64::new(0),
            is_write_blocked: AtomicBool::new(false),
            is_waiting: AtomicBool::new(false),
            held_units: AtomicUsize::new(0),
            is_evicted: AtomicBool::new(false),
            has_unread_rest: AtomicBool::new(false),
            evicted: Notify::new(),
            usage,
        };
        state.enter(Phase::Idle);
        state
    }

    pub(crate) fn enter(&self, phase: Phase) {
        let rank = if phase == Phase::Idle { self.usage.next_rank() } else { 0 };
        self.idle_rank.store(rank, Ordering::Relaxed);
        self.is_reading.store(phase == Phase::Reading, Ordering::Relaxed);
    }

    /// Order in which it became idle, if it is, has nothing to write and isn't told to close.
    pub(crate) fn idle_rank(&self) -> Option<u64> {
        let rank = self.idle_rank.load(Ordering::Relaxed);
        (rank > 0 && !self.is_write_blocked.load(Ordering::Relaxed) && !self.is_evicted())
            .then_some(rank)
    }

    pub(crate) fn is_reading(&self) -> bool {
        self.is_reading.load(Ordering::Relaxed)
    }

    /// True if it waits for its peer, in the middle of a body or of an answer.
    pub(crate) fn waits_for_peer(&self) -> bool {
        let waits = self.is_reading() && !self.is_waiting.load(Ordering::Relaxed);
        (waits || self.is_write_blocked.load(Ordering::Relaxed)) && !self.is_evicted()
    }

    pub(crate) fn held_units(&self) -> usize {
        self.held_units.load(Ordering::Relaxed)
    }

    pub(crate) fn hold(&self, kind: Kind, units: usize) {
        self.held_units.fetch_add(units, Ordering::Relaxed);
        self.usage.units[kind.idx()].fetch_add(units, Ordering::Relaxed);
    }

    pub(crate) fn release(&self, kind: Kind, units: usize) {
        self.held_units.fetch_sub(units, Ordering::Relaxed);
        self.usage.units[kind.idx()].fetch_sub(units, Ordering::Relaxed);
    }

    pub(crate) fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }

    /// Tells its owner to give way.
    pub(crate) fn evict(&self) {
        self.is_evicted.store(true, Ordering::Relaxed);
        self.evicted.notify_waiters();
    }
}
