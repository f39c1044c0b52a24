//! Reads from the store what tells at which software versions streams can have begun: the servers' entries, and
//! the log of streams.

use {
    crate::{control_task::spawn_task, event::Event, stream_store},
    glade_adapter::{platform_store::PlatformStore, registry},
    glade_platform::{ChangeFeed, Snapshot},
    std::{rc::Rc, time::Instant},
    tokio::sync::mpsc::Sender,
};

/// All rows of the tables.
#[derive(Clone, Debug)]
pub(crate) struct OriginTables {
    pub(crate) registry: Snapshot,
    pub(crate) stream_log: Snapshot,
}

/// Reads the tables. The outcome arrives at the control thread as an [`Event::OriginTablesRead`].
pub(crate) trait OriginStore {
    /// Starts a read at `now`.
    fn read(&self, now: Instant);
}

/// The tables in the platform's store.
pub(crate) struct StoredOrigins {
    pub(crate) store: Rc<PlatformStore>,
    pub(crate) events: Sender<Event>,
}

impl OriginStore for StoredOrigins {
    /// Reads in a task of its own.
    fn read(&self, now: Instant) {
        let (store, sender) = (Rc::clone(&self.store), self.events.clone());
        spawn_task(&self.events, async move {
            let registry = store.snapshot(registry::TABLE);
            let stream_log = store.snapshot(stream_store::TABLE);
            let read = tokio::try_join!(registry, stream_log);
            let tables = read.map(|(registry, stream_log)| OriginTables { registry, stream_log });
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = sender.send(Event::OriginTablesRead(now, tables)).await;
        });
    }
}
