//! Nodes for tests of this crate.

use {
    crate::{
        peer_message::{Beat, PeerInfo},
        post::Post,
        store_health::StoreView,
        work::Work,
    },
    glade_platform::Revision,
    glade_types::{DataCentre, Incarnation, VmId},
    std::time::Instant,
};

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
        serving: true,
        catalog_version: 1,
        holder: None,
        resigned_epoch: 0,
        store: StoreView::default(),
        doubts_store: false,
        reads: false,
        registry_revision: Revision::ABSENT,
    }
}

/// Two data centres of `each` nodes. Nodes 1 and 2 of each are larger than the others.
pub(crate) fn deployment(each: u8) -> Vec<PeerInfo> {
    let cpu = |number| if number <= 2 { 500 - u32::from(number) } else { 250 };
    (1..=2)
        .flat_map(|place| (1..=each).map(move |number| node(place, number, cpu(number))))
        .collect()
}

/// What the node at `position` of `nodes` believes if it hears all that it is meant to hear.
pub(crate) fn post_of(now: Instant, nodes: &[PeerInfo], position: usize) -> Post {
    let mut post = Post::new(nodes[position].clone(), Work::default());
    let others = || nodes.iter().filter(|info| info.vm != nodes[position].vm);
    others().for_each(|info| post.peers.on_info(now, info));
    post.plan(now);
    let mesh = post.mesh.clone();
    for info in others().filter(|info| mesh.talks_to(&info.vm)) {
        post.peers.on_beat(now, info, beat(1, mesh.cores.contains(&info.vm)));
    }
    post.plan(now);
    post
}

/// The name of node `number` of `place`.
pub(crate) fn vm(place: u8, number: u8) -> VmId {
    node(place, number, 0).vm
}
