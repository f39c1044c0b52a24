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
const LEASE_KEY: &str = "lease/orders";

/// Performs `action` in a task of its own. The outcome arrives at the control thread as an event
/// that carries `now` as the time at which the call began.
pub(crate) fn perform(
    now: Instant,
    store: &Rc<PlatformStore>,
    events: &Sender<Event>,
    action: LeaseAction,
) {
    let (store, sender) = (Rc::clone(store), events.clone());
    spawn_task(events, async move {
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
