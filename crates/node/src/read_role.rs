//! Which nodes read the platform's tables themselves.
//!
//! Calls to the store are dear and its rates are shared, so two nodes read and tell the others: the
//! holder of the lease, whose renewals show at once when the store stops answering it, and one more.
//! A node that hears no reader reads itself.

use {
    crate::peers::Peers,
    glade_types::{VmId, rendezvous_order},
    std::time::Instant,
};

/// Whether a node reads the platform's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadRole {
    /// Others do and tell it.
    Off,
    /// It does, and so does another that tells what changes sooner.
    Standby,
    /// It does, and tells what changes.
    Primary,
}

impl ReadRole {
    /// True if the node reads.
    pub(crate) fn is_on(self) -> bool {
        self != Self::Off
    }
}

/// A node's place in the mesh, for what concerns reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadConditions {
    /// It is a core.
    pub(crate) is_core: bool,
    /// It hears a core of its data centre.
    pub(crate) hears_core: bool,
    /// It knows from the store which other nodes there are, or the store is in trouble.
    pub(crate) is_enrolled: bool,
    /// It has started so lately that others may yet tell it what it would read.
    pub(crate) is_new: bool,
}

impl ReadConditions {
    /// True if others tell the node what it would read. Were all nodes that start together to read, they
    /// would call the store several times each.
    pub(crate) fn is_told(self) -> bool {
        if self.is_core { self.is_new && !self.is_enrolled } else { self.is_new || self.hears_core }
    }
}

/// Whether the node `me` is to read the platform's tables.
pub(crate) fn read_role(
    now: Instant,
    me: &VmId,
    is_holder: bool,
    store_is_away: bool,
    peers: &Peers,
) -> ReadRole {
    if is_holder {
        return ReadRole::Primary;
    }
    let others = || peers.live(now);
    if !others().any(|(_, heartbeat)| heartbeat.reads_tables) {
        return ReadRole::Primary;
    }
    let usable = others().filter(|(_, heartbeat)| {
        heartbeat.core && !heartbeat.store.is_unreachable() && heartbeat.holder.is_none()
    });
    let names = usable.map(|(info, _)| info.vm.as_str());
    let order = rendezvous_order("readers", names.chain([me.as_str()]));
    if store_is_away || order.first() != Some(&me.as_str()) {
        return ReadRole::Off;
    }
    let holder_reads =
        others().any(|(_, heartbeat)| heartbeat.reads_tables && heartbeat.holder.is_some());
    if holder_reads { ReadRole::Standby } else { ReadRole::Primary }
}

#[cfg(test)]
mod tests;
