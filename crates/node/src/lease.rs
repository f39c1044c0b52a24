//! Performs the reads and writes of the leader lease's row in the store. The holder of the lease is
//! the only node that sends load and unload orders to engines.

use {
    crate::{control_task::spawn_task, event::Event},
    glade_adapter::platform_store::PlatformStore,
    glade_lease::LeaseAction,
    glade_platform::{Key, TableService, Txn},
    std::{rc::Rc, time::Instant},
    tokio::sync::mpsc::Sender,
};

/// Key of the lease's row.
pub(crate) const LEASE_KEY: &str = "lease/orders";

/// Performs operations on the lease's row. The outcome arrives at the control thread as an event that
/// carries the time at which the call began.
pub(crate) trait LeaseService {
    /// Starts `action` at `now`.
    fn perform(&self, now: Instant, action: LeaseAction);
}

/// The lease's row in the platform's store.
pub(crate) struct StoredLease {
    pub(crate) store: Rc<PlatformStore>,
    pub(crate) events: Sender<Event>,
}

impl LeaseService for StoredLease {
    /// Performs `action` in a task of its own.
    fn perform(&self, now: Instant, action: LeaseAction) {
        let (store, sender) = (Rc::clone(&self.store), self.events.clone());
        spawn_task(&self.events, async move {
            let key = Key::new(LEASE_KEY);
            let event = match action {
                LeaseAction::Read => Event::LeaseRead(now, store.read(&key).await),
                LeaseAction::Write { expected, row } => {
                    let value = serde_json::to_vec(&row).expect("plain structure");
                    let txn = Txn::compare_and_set(key, expected, value);
                    Event::LeaseWritten(now, store.transact(&txn).await)
                }
            };
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = sender.send(event).await;
        });
    }
}
