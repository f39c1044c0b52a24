//! A request that was sent.

use std::time::{Duration, Instant};

/// A request that was sent.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    pub(crate) node: usize,
    /// Events of the whole stream.
    pub(crate) events: u64,
    /// When, by the soak's ticks and by the clock.
    pub(crate) sent_at: Duration,
    pub(crate) began_at: Instant,
    /// Places that engines had kept by then.
    pub(crate) places_before: usize,
}
