//! Lease term: the right of one lease holder to send orders to engines.

use {
    crate::order_waits::OrderWaits,
    glade_types::VmId,
    std::time::{Duration, Instant},
};

/// Longest time for which an order without an answer may be on its way, even from a slow VM. No
/// order is sent in this time before the end of the lease, so that it arrives before the first
/// order of the next holder.
pub const ORDER_ARRIVAL_MAX: Duration = Duration::from_millis(400);

/// The right of one lease holder to send orders, as of the last confirmed renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// VM that holds the lease.
    pub holder: VmId,
    /// Fencing token. Every later holder has a higher one.
    pub fence: u64,
    /// When the lease ends unless it is renewed.
    pub valid_until: Instant,
    /// Engines that must not get orders yet.
    pub waits: OrderWaits,
}

impl LeaseTerm {
    /// True if an order may be sent at `now`.
    pub fn may_send(&self, now: Instant) -> bool {
        now + ORDER_ARRIVAL_MAX < self.valid_until
    }
}
