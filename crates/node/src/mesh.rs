//! Decides which nodes of a deployment exchange messages directly.
//!
//! Up to [`FULL_MESH_NODES_MAX`] nodes form a full mesh: each exchanges messages with all others.
//! Beyond that, each data centre has two *cores*, its largest nodes. Cores exchange messages with
//! each other and with the nodes of their data centre. All other nodes are *leaves*, which exchange
//! messages only with their cores, so that the number of a leaf's connections doesn't grow with the
//! number of nodes. The volume of what a leaf receives still does, see docs/CAPACITY.md. The
//! primary core of a data centre forwards messages between its leaves and the rest of the
//! deployment; the second core takes over as soon as the primary falls silent.
//!
//! Each node computes the cores from the nodes that it knows. Where two nodes disagree for a while
//! there is one core too many, which costs messages and nothing else. Whether there is a full mesh
//! is not computed by each node, because a node that knows few others would wait for heartbeats
//! that they don't send. The first of the live nodes by rank decides it from the number of nodes
//! that it knows, and the others follow the topology in its heartbeats.

use {
    crate::{peer_message::PeerInfo, peers::Peers},
    glade_types::{VmId, rendezvous_score},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        time::Instant,
    },
};

/// Most nodes of a full mesh. The users' smaller sites have seven and eight nodes, and nodes that
/// were replaced still count for a while.
pub(crate) const FULL_MESH_NODES_MAX: usize = 12;
/// Cores of a data centre.
const CORES_PER_DATA_CENTRE: usize = 2;

/// Topology of a deployment's mesh, as a node reports it in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum MeshTopology {
    /// The node has yet to learn which other nodes there are.
    #[default]
    Unknown,
    /// Each node exchanges messages with all others.
    #[serde(rename = "small")]
    FullMesh,
    /// Leaves exchange messages only with their cores.
    #[serde(rename = "large")]
    CoresAndLeaves,
}

/// Which nodes this node exchanges messages with, and its role towards them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Mesh {
    /// This node is a core. In a full mesh every node is.
    pub(crate) is_core: bool,
    /// This node is the primary core of its data centre, which forwards messages for its leaves. In
    /// a full mesh every node is.
    pub(crate) is_primary_core: bool,
    /// Each node exchanges messages with all others.
    pub(crate) is_full_mesh: bool,
    /// All cores but this node.
    pub(crate) cores: BTreeSet<VmId>,
    /// Other nodes of this data centre that aren't cores; empty on a leaf.
    pub(crate) leaves: BTreeSet<VmId>,
    /// The other cores of this node's data centre, the primary core first.
    pub(crate) local_cores: Vec<VmId>,
    /// The primary cores of the other data centres.
    pub(crate) remote_primaries: Vec<VmId>,
    /// Nodes that would be cores if their heartbeats arrived. This node still sends them
    /// heartbeats, because the connection may have failed only in the direction to this node.
    pub(crate) silent_candidates: BTreeSet<VmId>,
    /// Nodes that report that they are cores of a mesh with leaves, and that this node hasn't
    /// chosen as cores.
    pub(crate) self_declared_cores: BTreeSet<VmId>,
}

impl Mesh {
    /// The mesh of a node that knows no other node.
    pub(crate) fn single_node() -> Self {
        Self { is_core: true, is_primary_core: true, is_full_mesh: true, ..Self::default() }
    }

    /// Computes the mesh of the node `me`. `has_all_nodes` states whether `me` has read from the
    /// store which other nodes there are.
    pub(crate) fn compute(now: Instant, me: &PeerInfo, has_all_nodes: bool, peers: &Peers) -> Self {
        let mut by_data_centre: BTreeMap<&str, Vec<&PeerInfo>> = BTreeMap::new();
        for info in peers.infos().chain([me]) {
            by_data_centre.entry(info.data_centre.as_str()).or_default().push(info);
        }
        if is_full_mesh(now, me, has_all_nodes, peers) {
            let cores = peers.infos().map(|info| info.vm.clone()).collect();
            return Self { cores, ..Self::single_node() };
        }
        let mut mesh = Self::default();
        for (data_centre, nodes) in &mut by_data_centre {
            nodes.sort_by_cached_key(|info| rank(info));
            let is_local = *data_centre == me.data_centre.as_str();
            mesh.add_data_centre(nodes, me, is_local, peers);
        }
        // Other nodes may have chosen other cores for a data centre.
        for (info, heartbeat) in peers.live(now).filter(|(_, heartbeat)| heartbeat.core) {
            let is_self_declared = mesh.cores.insert(info.vm.clone());
            if is_self_declared && heartbeat.mesh_topology == MeshTopology::CoresAndLeaves {
                mesh.self_declared_cores.insert(info.vm.clone());
            }
        }
        if mesh.is_core {
            let local = by_data_centre.get(me.data_centre.as_str()).into_iter().flatten();
            let leaves = local.map(|info| &info.vm).filter(|vm| **vm != me.vm);
            mesh.leaves = leaves.filter(|vm| !mesh.cores.contains(*vm)).cloned().collect();
        } else {
            let is_local = |info: &PeerInfo| info.data_centre == me.data_centre;
            mesh.silent_candidates.retain(|vm| peers.info(vm).is_some_and(is_local));
        }
        mesh
    }

    /// Chooses the cores of a data centre from its `nodes`, which are sorted by rank.
    fn add_data_centre(
        &mut self,
        nodes: &[&PeerInfo],
        me: &PeerInfo,
        is_local: bool,
        peers: &Peers,
    ) {
        let mut core_ranks = 0..CORES_PER_DATA_CENTRE;
        for info in nodes {
            if peers.is_missing(&info.vm) {
                self.silent_candidates.insert(info.vm.clone());
                continue;
            }
            let Some(core_rank) = core_ranks.next() else { break };
            if info.vm == me.vm {
                self.is_core = true;
                self.is_primary_core = core_rank == 0;
                continue;
            }
            self.cores.insert(info.vm.clone());
            if is_local {
                self.local_cores.push(info.vm.clone());
            } else if core_rank == 0 {
                self.remote_primaries.push(info.vm.clone());
            }
        }
    }

    /// The topology that this node reports in its heartbeats.
    pub(crate) fn topology(&self, has_all_nodes: bool) -> MeshTopology {
        match (has_all_nodes, self.is_full_mesh) {
            (false, _) => MeshTopology::Unknown,
            (true, true) => MeshTopology::FullMesh,
            (true, false) => MeshTopology::CoresAndLeaves,
        }
    }

    /// True if this node forwards to the holder of the lease what `from` has sent for it.
    pub(crate) fn forwards_to_holder_for(&self, from: &VmId) -> bool {
        self.is_core && self.leaves.contains(from)
    }

    /// True if this node forwards what `from` has sent to the cores of the other data centres.
    pub(crate) fn forwards_to_other_data_centres(&self, from: &VmId) -> bool {
        self.is_primary_core && self.leaves.contains(from)
    }

    /// True if this node forwards what `from` has sent to its leaves.
    pub(crate) fn forwards_to_leaves(&self, from: &VmId) -> bool {
        self.is_primary_core && !self.is_full_mesh && !self.local_cores.contains(from)
    }

    /// True if this node sends heartbeats to `vm`.
    pub(crate) fn connects_to(&self, vm: &VmId) -> bool {
        self.expects_heartbeats_from(vm) || self.self_declared_cores.contains(vm)
    }

    /// True if `vm` should send heartbeats to this node.
    pub(crate) fn expects_heartbeats_from(&self, vm: &VmId) -> bool {
        let is_expected_by_role = if self.is_core {
            self.cores.contains(vm) && !self.self_declared_cores.contains(vm)
                || self.leaves.contains(vm)
        } else {
            self.local_cores.contains(vm)
        };
        is_expected_by_role || self.silent_candidates.contains(vm)
    }
}

/// True if the nodes form a full mesh. The live node that ranks first decides by the number of
/// nodes, and reports its decision in its heartbeats. A node that has read from the store which
/// other nodes there are follows only nodes that rank before it, so that its own report never comes
/// back to it as that of another node.
fn is_full_mesh(now: Instant, me: &PeerInfo, has_all_nodes: bool, peers: &Peers) -> bool {
    let own = rank(me);
    let ranks_before = |info: &PeerInfo| !has_all_nodes || rank(info) < own;
    let reporting =
        peers.live(now).filter(|(_, heartbeat)| heartbeat.mesh_topology != MeshTopology::Unknown);
    let first = reporting.filter(|(info, _)| ranks_before(info)).min_by_key(|(info, _)| rank(info));
    first.map_or(peers.count() < FULL_MESH_NODES_MAX, |(_, heartbeat)| {
        heartbeat.mesh_topology == MeshTopology::FullMesh
    })
}

/// Rank of a node in the choice of cores, the smallest first: larger nodes rank before smaller
/// ones.
fn rank(info: &PeerInfo) -> (Reverse<u32>, Reverse<u64>) {
    (Reverse(info.cpu_millis), Reverse(rendezvous_score("core", info.vm.as_str())))
}

#[cfg(test)]
mod tests;
