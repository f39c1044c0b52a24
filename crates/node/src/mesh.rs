//! Which nodes talk to which.
//!
//! Up to [`FULL_MESH_NODES_MAX`] nodes all talk to all. Beyond that, each data centre has two *cores*, its largest
//! nodes; cores talk to each other and to the nodes of their data centre, and all others are *leaves*
//! that talk to their cores alone. So the number of a leaf's connections doesn't grow with that of
//! nodes; what it is told still does, see docs/CAPACITY.md. The first core of a data centre speaks for
//! it and passes on what comes from elsewhere; the second takes its place as soon as it falls silent.
//! Every node works the cores out for itself from what it knows; where two differ for a while there is
//! a core too many, which costs messages and nothing else. Whether all talk to all is not for each node
//! to work out: one that knows few others would wait for signs of life that they don't send. The node
//! that would be the first core of all decides, and the others go by what it says.

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

/// Most nodes of a deployment in which all talk to all. The users' smaller sites have seven and eight,
/// and nodes that were replaced are known for a while longer.
pub(crate) const FULL_MESH_NODES_MAX: usize = 12;
/// Cores of a data centre.
const CORES_EACH: usize = 2;

/// Whether all nodes of a deployment talk to all, as a node says in its signs of life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum MeshTopology {
    /// The node has yet to learn which others there are.
    #[default]
    Unknown,
    /// All talk to all.
    #[serde(rename = "small")]
    FullMesh,
    /// Leaves talk to their cores alone.
    #[serde(rename = "large")]
    CoresAndLeaves,
}

/// Who a node talks to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Mesh {
    /// This node is a core.
    pub(crate) is_core: bool,
    /// This node is the first core of its data centre, which speaks for it.
    pub(crate) is_primary_core: bool,
    /// All nodes talk to all.
    pub(crate) is_full_mesh: bool,
    /// All cores but this node.
    pub(crate) cores: BTreeSet<VmId>,
    /// Other nodes of this data centre that are no cores; empty on a leaf.
    pub(crate) leaves: BTreeSet<VmId>,
    /// The other cores of this node's data centre, the first one first.
    pub(crate) local_cores: Vec<VmId>,
    /// The first cores of the other data centres.
    pub(crate) remote_primaries: Vec<VmId>,
    /// Nodes that would be cores if they were heard. They are still told that this node lives: it is
    /// they who may not be heard here.
    pub(crate) missed: BTreeSet<VmId>,
    /// Nodes that take themselves for cores of a large mesh, and that this one hasn't chosen.
    pub(crate) unchosen: BTreeSet<VmId>,
}

impl Mesh {
    /// The mesh of a node that knows no other.
    pub(crate) fn single_node() -> Self {
        Self { is_core: true, is_primary_core: true, is_full_mesh: true, ..Self::default() }
    }

    /// Works out who `me` talks to. `knows_nodes` says whether it has learnt which others there are.
    pub(crate) fn plan(now: Instant, me: &PeerInfo, knows_nodes: bool, peers: &Peers) -> Self {
        let mut by_place: BTreeMap<&str, Vec<&PeerInfo>> = BTreeMap::new();
        for info in peers.infos().chain([me]) {
            by_place.entry(info.data_centre.as_str()).or_default().push(info);
        }
        if is_full_mesh(now, me, knows_nodes, peers) {
            let cores = peers.infos().map(|info| info.vm.clone()).collect();
            return Self { cores, ..Self::single_node() };
        }
        let mut mesh = Self::default();
        for (place, nodes) in &mut by_place {
            nodes.sort_by_cached_key(|info| rank(info));
            let is_near = *place == me.data_centre.as_str();
            mesh.add_place(nodes, me, is_near, peers);
        }
        // Other nodes may see a data centre differently.
        for (info, heartbeat) in peers.live(now).filter(|(_, heartbeat)| heartbeat.core) {
            let is_unchosen = mesh.cores.insert(info.vm.clone());
            if is_unchosen && heartbeat.mesh_size == MeshTopology::CoresAndLeaves {
                mesh.unchosen.insert(info.vm.clone());
            }
        }
        if mesh.is_core {
            let near = by_place.get(me.data_centre.as_str()).into_iter().flatten();
            let leaves = near.map(|info| &info.vm).filter(|vm| **vm != me.vm);
            mesh.leaves = leaves.filter(|vm| !mesh.cores.contains(*vm)).cloned().collect();
        } else {
            let is_near = |info: &PeerInfo| info.data_centre == me.data_centre;
            mesh.missed.retain(|vm| peers.info(vm).is_some_and(is_near));
        }
        mesh
    }

    /// Chooses the cores of a data centre from its `nodes`, which are in order.
    fn add_place(&mut self, nodes: &[&PeerInfo], me: &PeerInfo, is_near: bool, peers: &Peers) {
        let mut ranks = 0..CORES_EACH;
        for info in nodes {
            if peers.is_missing(&info.vm) {
                self.missed.insert(info.vm.clone());
                continue;
            }
            let Some(rank) = ranks.next() else { break };
            if info.vm == me.vm {
                self.is_core = true;
                self.is_primary_core = rank == 0;
                continue;
            }
            self.cores.insert(info.vm.clone());
            if is_near {
                self.local_cores.push(info.vm.clone());
            } else if rank == 0 {
                self.remote_primaries.push(info.vm.clone());
            }
        }
    }

    /// What this node says of the mesh.
    pub(crate) fn size(&self, knows_nodes: bool) -> MeshTopology {
        match (knows_nodes, self.is_full_mesh) {
            (false, _) => MeshTopology::Unknown,
            (true, true) => MeshTopology::FullMesh,
            (true, false) => MeshTopology::CoresAndLeaves,
        }
    }

    /// True if this node passes on to the holder of the lease what `from` has sent for it.
    pub(crate) fn forwards_to_holder_for(&self, from: &VmId) -> bool {
        self.is_core && self.leaves.contains(from)
    }

    /// True if this node passes on what `from` has sent to the cores of the other data centres.
    pub(crate) fn forwards_to_other_data_centres(&self, from: &VmId) -> bool {
        self.is_primary_core && self.leaves.contains(from)
    }

    /// True if this node passes on what `from` has sent to its leaves.
    pub(crate) fn forwards_to_leaves(&self, from: &VmId) -> bool {
        self.is_primary_core && !self.is_full_mesh && !self.local_cores.contains(from)
    }

    /// True if this node sends its signs of life to `vm`.
    pub(crate) fn connects_to(&self, vm: &VmId) -> bool {
        self.expects_heartbeats_from(vm) || self.unchosen.contains(vm)
    }

    /// True if signs of life of `vm` are due.
    pub(crate) fn expects_heartbeats_from(&self, vm: &VmId) -> bool {
        let is_of_role = if self.is_core {
            self.cores.contains(vm) && !self.unchosen.contains(vm) || self.leaves.contains(vm)
        } else {
            self.local_cores.contains(vm)
        };
        is_of_role || self.missed.contains(vm)
    }
}

/// True if all nodes talk to all: by the word of the first node in rank that `me` hears, or by the number
/// of nodes if that is `me`. Nodes go only by those before them, so that none hears its own word again.
fn is_full_mesh(now: Instant, me: &PeerInfo, knows_nodes: bool, peers: &Peers) -> bool {
    let own = rank(me);
    let goes_before = |info: &PeerInfo| !knows_nodes || rank(info) < own;
    let heard =
        peers.live(now).filter(|(_, heartbeat)| heartbeat.mesh_size != MeshTopology::Unknown);
    let first = heard.filter(|(info, _)| goes_before(info)).min_by_key(|(info, _)| rank(info));
    first.map_or(peers.count() < FULL_MESH_NODES_MAX, |(_, heartbeat)| {
        heartbeat.mesh_size == MeshTopology::FullMesh
    })
}

/// Place of a node among all, the smallest first.
fn rank(info: &PeerInfo) -> (Reverse<u32>, Reverse<u64>) {
    (Reverse(info.cpu_millis), Reverse(rendezvous_score("core", info.vm.as_str())))
}

#[cfg(test)]
mod tests;
