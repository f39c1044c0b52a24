//! Engines to which a new lease holder must not send orders yet.

use {
    glade_types::BackendId,
    std::{collections::BTreeMap, time::Instant},
};

/// Earliest times for orders to engines. A VM that gets the lease back must not send an engine
/// orders too soon after those of its earlier terms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderWaits {
    /// Earliest time for orders to any engine.
    pub any_engine: Option<Instant>,
    /// Earliest times for orders to single engines.
    pub by_engine: BTreeMap<BackendId, Instant>,
}

impl OrderWaits {
    /// True if `engine` must not get orders at `now`.
    pub fn must_wait(&self, now: Instant, engine: &BackendId) -> bool {
        self.any_engine.max(self.by_engine.get(engine).copied()).is_some_and(|until| now < until)
    }
}
