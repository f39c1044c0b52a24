//! A run that is under way.

use crate::site::run_log::RunLog;

/// A run that a server works on. Dropping it notes that it does so no more.
#[derive(Debug)]
pub(crate) struct Work {
    log: RunLog,
    position: usize,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.log.change(self.position, |run| run.stopped = true);
    }
}

impl Work {
    pub(crate) fn new(log: &RunLog, position: usize) -> Self {
        Self { log: log.clone(), position }
    }

    /// The run has come to its end.
    pub(crate) fn end(self) {
        self.log.change(self.position, |run| run.ended = true);
    }

    /// The run's caller has left before the end of its stream.
    pub(crate) fn leave(self) {
        self.log.change(self.position, |run| run.left = true);
    }
}
