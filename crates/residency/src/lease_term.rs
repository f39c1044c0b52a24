//! Lease term: the right of one lease holder to send orders to engines.

use {
    glade_types::VmId,
    std::time::{Duration, Instant},
};

/// Time before the end of the lease after which no order is sent. An order must arrive before the
/// first order of the next holder, even if it is sent from a slow VM.
const SEND_MARGIN: Duration = Duration::from_millis(400);

/// The right of one lease holder to send orders, as of the last confirmed renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// VM that holds the lease.
    pub holder: VmId,
    /// Fencing token. Every later holder has a higher one.
    pub fence: u64,
    /// When the lease ends unless it is renewed.
    pub valid_until: Instant,
}

impl LeaseTerm {
    /// True if an order may be sent at `now`.
    pub fn may_send(&self, now: Instant) -> bool {
        now + SEND_MARGIN < self.valid_until
    }
}
