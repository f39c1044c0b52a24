//! The right to give orders.

use {
    glade_types::VmId,
    std::time::{Duration, Instant},
};

/// Time before a lease's end after which no order is sent: the order must arrive before another
/// holder's first one, also from a slow VM.
const SEND_MARGIN: Duration = Duration::from_millis(400);

/// One holder's right to give orders, as last confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseTerm {
    /// The holder.
    pub holder: VmId,
    /// Its fencing token; every later holder has a higher one.
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
