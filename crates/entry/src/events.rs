//! What reaches the entry's control thread.

use {
    glade_membership::Event,
    glade_table::Table,
    glade_types::{BackendId, Incarnation, ModelName, VmId},
    std::sync::Arc,
};

/// An event of the control thread.
#[derive(Debug)]
pub(crate) enum EntryEvent {
    /// For the membership core.
    Peer(Event),
    /// An edit through this VM was committed.
    Edited(Arc<Table>),
    /// An engine said that it doesn't hold a model.
    Missing { engine: BackendId, incarnation: Incarnation, model: ModelName },
    /// Start to drain the VM of this name.
    Drain(VmId),
    /// The process is to end.
    Stop,
}

impl From<Event> for EntryEvent {
    fn from(event: Event) -> Self {
        Self::Peer(event)
    }
}
