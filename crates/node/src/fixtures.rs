//! Nodes for tests of this crate.

use {
    crate::{
        mesh::MeshTopology,
        peer_message::{Beat, PeerInfo},
        post::{Carrier, Post},
        store_health::StoreStatus,
        work::Work,
    },
    glade_platform::Revision,
    glade_types::{DataCentre, Incarnation, VmId},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant},
};

/// A parcel with the address that it went to.
type Sent = (SocketAddr, Vec<u8>);

/// Keeps parcels in the place of a network.
#[derive(Clone, Debug, Default)]
pub(crate) struct Carried {
    /// The parcels in order.
    pub(crate) parcels: Rc<RefCell<Vec<Sent>>>,
}

impl Carrier for Carried {
    fn carry(&mut self, addr: SocketAddr, parcel: &[u8]) {
        self.parcels.borrow_mut().push((addr, parcel.to_vec()));
    }

    fn redial(&mut self, _addr: SocketAddr) {}
}

/// A node of `place` whose ports follow from its number there.
pub(crate) fn node(place: u8, number: u8, cpu_millis: u32) -> PeerInfo {
    PeerInfo {
        vm: VmId::new(&format!("vm-{place}-{number:02}")),
        incarnation: Incarnation(1),
        peers: ([10, place, 0, number], 80).into(),
        callers: ([10, place, 0, number], 81).into(),
        data_centre: DataCentre::new(&format!("dc-{place}")),
        cpu_millis,
    }
}

/// A sign of life of a node that takes callers.
pub(crate) fn beat(seq: u64, core: bool) -> Beat {
    Beat {
        seq,
        heard_seq: 0,
        core,
        mesh_size: MeshTopology::Unknown,
        serving: true,
        catalog_version: 1,
        holder: None,
        resigned_epoch: 0,
        store: StoreStatus::default(),
        doubts_store: false,
        reads: false,
        registry_revision: Revision::ABSENT,
    }
}

/// `places` data centres of `each` nodes. Nodes 1 and 2 of each are larger than the others.
pub(crate) fn wide_deployment(places: u8, each: u8) -> Vec<PeerInfo> {
    let cpu = |number| if number <= 2 { 500 - u32::from(number) } else { 250 };
    (1..=places)
        .flat_map(|place| (1..=each).map(move |number| node(place, number, cpu(number))))
        .collect()
}

/// Two data centres of `each` nodes. Nodes 1 and 2 of each are larger than the others.
pub(crate) fn deployment(each: u8) -> Vec<PeerInfo> {
    wide_deployment(2, each)
}

/// What the node at `position` of `nodes` believes if it hears all that it is meant to hear.
pub(crate) fn post_of(now: Instant, nodes: &[PeerInfo], position: usize) -> Post {
    carried_post_of(now, nodes, position).0
}

/// The same, with what it sends.
pub(crate) fn carried_post_of(
    now: Instant,
    nodes: &[PeerInfo],
    position: usize,
) -> (Post, Carried) {
    let carried = Carried::default();
    let carrier = Box::new(carried.clone());
    let mut post = Post::new(nodes[position].clone(), carrier, Work::default());
    let others = || nodes.iter().filter(|info| info.vm != nodes[position].vm);
    others().for_each(|info| post.peers.on_info(now, info));
    post.plan(now);
    let mesh = post.mesh.clone();
    for info in others().filter(|info| mesh.connects_to(&info.vm)) {
        post.peers.on_beat(now, info, beat(1, mesh.cores.contains(&info.vm)));
    }
    post.plan(now);
    (post, carried)
}

/// The name of node `number` of `place`.
pub(crate) fn vm(place: u8, number: u8) -> VmId {
    node(place, number, 0).vm
}
