//! Reserved bytes.

use {
    crate::{account_state::AccountState, budget::UNIT_BYTES, kind::Kind},
    std::{fmt, sync::Arc},
    tokio::sync::OwnedSemaphorePermit,
};

/// Reserved bytes, which are free again once this is dropped.
pub struct Reservation {
    pub(crate) permit: OwnedSemaphorePermit,
    pub(crate) kind: Kind,
    pub(crate) state: Arc<AccountState>,
    /// Further room, which may come from another semaphore.
    pub(crate) more: Vec<Reservation>,
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation").field("kind", &self.kind).finish_non_exhaustive()
    }
}

impl Reservation {
    /// Bytes that are reserved.
    pub fn bytes(&self) -> usize {
        let more: usize = self.more.iter().map(Self::bytes).sum();
        self.permit.num_permits() * UNIT_BYTES + more
    }

    /// Adds `more`, which the same connection has reserved, of the same kind. What the reserve holds stays
    /// apart until both are dropped.
    pub fn merge(&mut self, more: Self) {
        self.more.push(more);
    }

    /// Gives back what exceeds `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let own_bytes = self.permit.num_permits() * UNIT_BYTES;
        let mut left_bytes = bytes.saturating_sub(own_bytes);
        for more in &mut self.more {
            more.shrink_to(left_bytes);
            left_bytes = left_bytes.saturating_sub(more.bytes());
        }
        let excess = self.permit.num_permits().saturating_sub(bytes.div_ceil(UNIT_BYTES));
        if let Some(permit) = self.permit.split(excess) {
            self.state.release(self.kind, permit.num_permits());
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.release(self.kind, self.permit.num_permits());
    }
}
