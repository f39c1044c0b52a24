//! The log line about a request that ends without a complete answer.

use {
    crate::metrics::Metrics,
    glade_clock::Clock,
    glade_types::RequestId,
    std::{cell::Cell, fmt, rc::Rc, sync::Arc, time::Instant},
};

/// Drop guard that logs the end of a request if no other line about its end has been written, which
/// is the case when its caller leaves or the process exits. Such a request is dropped wherever it
/// happens to be, so no other code can log its end.
pub(crate) struct EndLine {
    id: RequestId,
    arrived_at: Instant,
    clock: Arc<dyn Clock>,
    metrics: Rc<Metrics>,
    /// The last known stage of the request.
    stage: Cell<&'static str>,
    is_end_logged: Cell<bool>,
}

impl fmt::Debug for EndLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndLine").field("id", &self.id).finish_non_exhaustive()
    }
}

impl EndLine {
    /// Starts to watch the request `id`, whose body is being read.
    pub(crate) fn begin(
        id: RequestId,
        arrived_at: Instant,
        clock: &Arc<dyn Clock>,
        metrics: &Rc<Metrics>,
    ) -> Self {
        Self {
            id,
            arrived_at,
            clock: Arc::clone(clock),
            metrics: Rc::clone(metrics),
            stage: Cell::new("reading"),
            is_end_logged: Cell::new(false),
        }
    }

    /// Records that the request has entered `stage`.
    pub(crate) fn enter_stage(&self, stage: &'static str) {
        self.stage.set(stage);
    }

    /// Records that another line about the end of the request has been written.
    pub(crate) fn mark_end_logged(&self) {
        self.is_end_logged.set(true);
    }
}

impl Drop for EndLine {
    fn drop(&mut self) {
        if self.is_end_logged.get() {
            return;
        }
        self.metrics.on_caller_left(self.stage.get());
        let after = self.clock.now().saturating_duration_since(self.arrived_at);
        log::info!(
            id = self.id.as_str(),
            stage = self.stage.get(),
            after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
            "request_left"
        );
    }
}
