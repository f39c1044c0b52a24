//! Waiting requests by the limited server that is expected to take them.

use {
    crate::{server::ServerIdx, server_queues::QueuePriority},
    std::collections::HashMap,
};

/// Waiting requests by the limited server whose next permits they get, the most urgent first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PermitQueues {
    by_server: HashMap<ServerIdx, Vec<QueuePriority>>,
}

impl PermitQueues {
    pub(crate) fn clear(&mut self) {
        self.by_server.clear();
    }

    /// Adds a request that `server` is expected to take.
    pub(crate) fn add(&mut self, server: ServerIdx, priority: QueuePriority) {
        self.by_server.entry(server).or_default().push(priority);
    }

    /// Number of requests that get a permit of `server` before another one with `priority`.
    pub(crate) fn ahead_of(&self, server: ServerIdx, priority: &QueuePriority) -> usize {
        let queue = self.by_server.get(&server).into_iter().flatten();
        queue.filter(|other| *other <= priority).count()
    }

    /// Urgencies of the requests that wait for permits of `server`.
    pub(crate) fn ranks(&self, server: ServerIdx) -> impl Iterator<Item = u8> + '_ {
        self.by_server.get(&server).into_iter().flatten().map(|priority| priority.rank())
    }
}
