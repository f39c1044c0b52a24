//! Open connections of callers.

use {
    std::cell::Cell,
    tokio::sync::{Notify, watch},
};

/// Counts the open connections and signals when they have to close.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    open: Cell<usize>,
    is_closing: watch::Sender<bool>,
    all_closed: Notify,
}

impl CallerConnections {
    pub(crate) fn new() -> Self {
        Self {
            open: Cell::new(0),
            is_closing: watch::Sender::new(false),
            all_closed: Notify::new(),
        }
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub(crate) fn begin(&self) -> OpenConnection<'_> {
        self.open.set(self.open.get() + 1);
        OpenConnection { connections: self }
    }

    /// Number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns once connections have to close.
    pub(crate) async fn closing(&self) {
        // Can't fail, since the sender lives as long as `self`.
        let _ = self.is_closing.subscribe().wait_for(|is_closing| *is_closing).await;
    }

    /// Signals all connections to close, and returns once they are closed.
    pub(crate) async fn close(&self) {
        self.is_closing.send_replace(true);
        while self.open.get() > 0 {
            self.all_closed.notified().await;
        }
    }
}

/// Guard of a connection that counts as open.
#[derive(Debug)]
pub(crate) struct OpenConnection<'a> {
    connections: &'a CallerConnections,
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        let open = self.connections.open.get() - 1;
        self.connections.open.set(open);
        if open == 0 {
            self.connections.all_closed.notify_one();
        }
    }
}
