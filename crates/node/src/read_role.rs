//! Decides which nodes read the platform's tables themselves.
//!
//! Calls to the store are expensive and share its rate limits, so only two nodes read the tables
//! and send what they have read to the others: the holder of the lease, whose renewals show at once
//! when the store stops answering it, and one other node. A node that receives heartbeats from no
//! reader reads the tables itself. So does a core while no core is known to read with success, and a
//! leaf whose turn it is then, see [`crate::store_access`].

use {
    crate::peers::Peers,
    glade_types::{VmId, rendezvous_order},
    std::time::Instant,
};

/// Whether a node reads the platform's tables, and as which of the readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadRole {
    /// The node doesn't read; other nodes send it what they have read.
    Off,
    /// The node reads, and another node reads too and sends changes to the others sooner.
    Standby,
    /// The node reads, and sends changes to the others as soon as it has read them.
    Primary,
}

impl ReadRole {
    /// True if the node reads the tables.
    pub(crate) fn is_reader(self) -> bool {
        self != Self::Off
    }
}

/// What a node knows about itself that decides whether other nodes send it the tables' contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReadConditions {
    /// The node is a core.
    pub(crate) is_core: bool,
    /// A core of the node's data centre is live.
    pub(crate) core_is_live: bool,
    /// Node discovery has read from the store which other nodes there are, or the store doesn't
    /// answer.
    pub(crate) discovery_settled: bool,
    /// The node has started so recently that others may still send it what it would read.
    pub(crate) recently_started: bool,
}

impl ReadConditions {
    /// True if other nodes send the node what it would read, or may soon do so. If all nodes that
    /// start together read the tables, each would call the store several times.
    pub(crate) fn receives_updates(self) -> bool {
        if self.is_core {
            self.recently_started && !self.discovery_settled
        } else {
            self.recently_started || self.core_is_live
        }
    }
}

/// The role that the node `me` is to take in reading the platform's tables.
pub(crate) fn read_role(
    now: Instant,
    me: &VmId,
    is_holder: bool,
    store_is_unreachable: bool,
    cores_lost_store: bool,
    peers: &Peers,
) -> ReadRole {
    if is_holder || cores_lost_store {
        return ReadRole::Primary;
    }
    let others = || peers.live(now);
    // A leaf reads only while no core does, and stops when one does. Cores don't rely on it.
    if !others().any(|(_, heartbeat)| heartbeat.core && heartbeat.reads_tables) {
        return ReadRole::Primary;
    }
    let candidates = others().filter(|(_, heartbeat)| {
        heartbeat.core && !heartbeat.store.has_failed() && heartbeat.holder.is_none()
    });
    let names = candidates.map(|(info, _)| info.vm.as_str());
    let order = rendezvous_order("readers", names.chain([me.as_str()]));
    if store_is_unreachable || order.first() != Some(&me.as_str()) {
        return ReadRole::Off;
    }
    let holder_reads =
        others().any(|(_, heartbeat)| heartbeat.reads_tables && heartbeat.holder.is_some());
    if holder_reads { ReadRole::Standby } else { ReadRole::Primary }
}

#[cfg(test)]
mod tests;
