//! A connection's account.

use {
    crate::{
        account_state::{AccountState, Phase},
        budget::{Budget, SMALL_BYTES, UNIT_BYTES},
        kind::Kind,
        reservation::Reservation,
    },
    std::{
        fmt,
        sync::{Arc, atomic::Ordering},
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// A connection's account with the budget. The connection's slot is free again once all clones are dropped.
#[derive(Clone)]
pub struct Account {
    inner: Arc<Inner>,
}

struct Inner {
    id: u64,
    budget: Arc<Budget>,
    state: Arc<AccountState>,
    _slot: OwnedSemaphorePermit,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.budget.leave(self.id);
    }
}

impl fmt::Debug for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Account").field("state", &self.inner.state).finish_non_exhaustive()
    }
}

impl Account {
    pub(crate) fn new(
        id: u64,
        budget: Arc<Budget>,
        state: Arc<AccountState>,
        slot: OwnedSemaphorePermit,
    ) -> Self {
        Self { inner: Arc::new(Inner { id, budget, state, _slot: slot }) }
    }

    /// The connection has no request, or only an unfinished head.
    pub fn enter_idle(&self) {
        self.inner.state.enter(Phase::Idle);
    }

    /// The connection's request is being read.
    pub fn enter_reading(&self) {
        self.inner.state.enter(Phase::Reading);
    }

    /// The connection's request has been read and is being served.
    pub fn enter_serving(&self) {
        self.inner.state.enter(Phase::Serving);
    }

    /// True if the body of a request is being read.
    pub fn is_reading(&self) -> bool {
        self.inner.state.is_reading()
    }

    /// True if the last request was answered before its end.
    pub fn has_unread_rest(&self) -> bool {
        self.inner.state.has_unread_rest.load(Ordering::Relaxed)
    }

    /// Records whether the present request has a rest that hasn't been read.
    pub fn set_unread_rest(&self, has_rest: bool) {
        self.inner.state.has_unread_rest.store(has_rest, Ordering::Relaxed);
    }

    /// Records that the connection has carried `bytes`.
    pub fn record_progress(&self, bytes: usize) {
        self.inner.state.progress_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records whether the peer takes no more bytes at present.
    pub fn set_write_blocked(&self, is_blocked: bool) {
        self.inner.state.is_write_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Waits for room for `bytes`, at most for all that the pool of `kind` has.
    pub async fn reserve(&self, kind: Kind, bytes: usize) -> Reservation {
        let budget = &self.inner.budget;
        let pool = budget.pool(kind);
        let units = bytes.div_ceil(UNIT_BYTES).min(pool.capacity).max(1);
        let units_u32 = u32::try_from(units).unwrap_or(u32::MAX);
        let mut permit = Arc::clone(&pool.room).try_acquire_many_owned(units_u32).ok();
        if permit.is_none() && bytes <= SMALL_BYTES {
            permit = Arc::clone(&budget.reserve).try_acquire_many_owned(units_u32).ok();
        }
        let permit = match permit {
            Some(permit) => permit,
            None => {
                let _waiting = Waiting::begin(&self.inner, units);
                let acquired = Arc::clone(&pool.room).acquire_many_owned(units_u32).await;
                acquired.expect("the pool's semaphore is never closed")
            }
        };
        budget.count_grant();
        self.inner.state.hold(kind, units);
        Reservation { permit, kind, state: Arc::clone(&self.inner.state), more: Vec::new() }
    }

    /// Returns once the connection has to give way.
    pub async fn evicted(&self) {
        let state = &self.inner.state;
        let notified = state.evicted.notified();
        if !state.is_evicted() {
            notified.await;
        }
    }
}

/// Guard of an account that waits for room.
struct Waiting<'a> {
    inner: &'a Inner,
    units: usize,
}

impl<'a> Waiting<'a> {
    fn begin(inner: &'a Inner, units: usize) -> Self {
        inner.state.is_waiting.store(true, Ordering::Relaxed);
        inner.budget.begin_wait(units);
        Self { inner, units }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.inner.state.is_waiting.store(false, Ordering::Relaxed);
        self.inner.budget.end_wait(self.units);
    }
}
