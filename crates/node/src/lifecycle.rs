//! Whether this node serves callers.

use std::cell::Cell;

/// How far a node's life has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleStage {
    /// Waits for its first configuration.
    Starting,
    /// Serves callers.
    Serving,
    /// Was told to end; serves who still comes.
    Leaving,
}

/// The present stage, shared on the traffic thread.
#[derive(Debug)]
pub(crate) struct Lifecycle(Cell<LifecycleStage>);

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Self(Cell::new(LifecycleStage::Starting))
    }

    pub(crate) fn stage(&self) -> LifecycleStage {
        self.0.get()
    }

    /// The configuration is known.
    pub(crate) fn mark_configured(&self) {
        if self.stage() == LifecycleStage::Starting {
            self.0.set(LifecycleStage::Serving);
        }
    }

    /// The node was told to end.
    pub(crate) fn begin_drain(&self) {
        self.0.set(LifecycleStage::Leaving);
    }
}
