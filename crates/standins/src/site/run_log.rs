//! What backend servers have run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub request_id: String,
    /// The server.
    pub server: String,
    /// Last event that the caller of the run had already.
    pub resumed_after: Option<u64>,
    /// Whether its engine kept a place for it.
    pub reserved: bool,
    /// Whether the run came to its end.
    pub ended: bool,
    /// Whether its caller left before the end of its stream.
    pub left: bool,
}

/// Runs of all servers, in the order of their beginning. Clones share the same list.
#[derive(Clone, Debug, Default)]
pub struct RunLog(Arc<Mutex<Vec<Run>>>);

impl RunLog {
    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().clone()
    }

    /// Runs of one request.
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        self.lock().iter().filter(|run| run.request_id == request_id).cloned().collect()
    }

    pub(crate) fn begin(&self, run: Run) -> usize {
        let mut runs = self.lock();
        runs.push(run);
        runs.len() - 1
    }

    pub(crate) fn end(&self, position: usize) {
        self.lock()[position].ended = true;
    }

    pub(crate) fn leave(&self, position: usize) {
        let run = &mut self.lock()[position];
        run.left = !run.ended;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
