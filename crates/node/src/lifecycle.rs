//! Lifecycle of the node as the traffic thread sees it: starting, serving or draining.

use std::cell::Cell;

/// Stage of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleStage {
    /// The node waits for its first configuration.
    Starting,
    /// The node serves callers.
    Serving,
    /// The node drains: it was told to end, and still serves callers that connect.
    Draining,
}

/// The present stage, shared by the tasks of the traffic thread.
#[derive(Debug)]
pub(crate) struct Lifecycle(Cell<LifecycleStage>);

impl Lifecycle {
    pub(crate) fn new() -> Self {
        Self(Cell::new(LifecycleStage::Starting))
    }

    pub(crate) fn stage(&self) -> LifecycleStage {
        self.0.get()
    }

    /// Records that the node has a configuration.
    pub(crate) fn mark_configured(&self) {
        if self.stage() == LifecycleStage::Starting {
            self.0.set(LifecycleStage::Serving);
        }
    }

    /// Begins the drain, because the process was told to end.
    pub(crate) fn begin_drain(&self) {
        self.0.set(LifecycleStage::Draining);
    }
}
