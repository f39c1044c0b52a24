//! The nodes of the deployment, those that have fallen silent included.
//!
//! A silent node may only be cut off from this one, and still serve callers and send to servers. Bounds that hold over
//! all nodes are shared out among all of them, so that parts of the deployment that have lost each other keep to a bound
//! together.

use {
    crate::peer_network::PeerNetwork,
    glade_types::VmId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time for which a silent node counts.
const SILENT_NODE_COUNTS_FOR: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct KnownNode {
    seen_at: Instant,
    /// The node last said that it takes no callers, so that it sends nothing once it is silent.
    has_left: bool,
}

/// The other nodes of the deployment, by VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownNodes {
    by_vm: BTreeMap<VmId, KnownNode>,
}

impl KnownNodes {
    /// Records which nodes `network` knows.
    pub(crate) fn update(&mut self, now: Instant, network: &PeerNetwork) {
        let peers = &network.peers;
        for info in peers.infos() {
            let new = KnownNode { seen_at: now, has_left: false };
            self.by_vm.entry(info.vm.clone()).or_insert(new).seen_at = now;
        }
        for (info, heartbeat) in peers.live(now) {
            if let Some(node) = self.by_vm.get_mut(&info.vm) {
                node.has_left = !heartbeat.serving;
            }
        }
        self.by_vm.retain(|vm, node| {
            let is_gone = node.has_left && !peers.is_live(now, vm);
            !is_gone && now.saturating_duration_since(node.seen_at) < SILENT_NODE_COUNTS_FOR
        });
    }

    /// Number of nodes, this one included.
    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.by_vm.len() + 1).unwrap_or(u32::MAX)
    }
}
