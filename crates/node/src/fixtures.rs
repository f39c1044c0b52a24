//! Nodes, heartbeats and a recording transport for the tests of this crate.

use {
    crate::{
        control_metrics::ControlMetrics,
        mesh::MeshTopology,
        peer_message::{Heartbeat, PeerInfo},
        peer_network::{PeerNetwork, Transport},
        store_health::StoreStatus,
    },
    glade_platform::Revision,
    glade_types::{DataCentre, Incarnation, VmId},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Instant},
};

/// A batch with the address that it was sent to.
type Sent = (SocketAddr, Vec<u8>);

/// Transport that records batches instead of sending them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordingTransport {
    /// The batches in the order in which they were sent.
    pub(crate) batches: Rc<RefCell<Vec<Sent>>>,
}

impl Transport for RecordingTransport {
    fn send_batch(&mut self, addr: SocketAddr, batch: &[u8]) {
        self.batches.borrow_mut().push((addr, batch.to_vec()));
    }

    fn reconnect(&mut self, _addr: SocketAddr) {}
}

/// Node `number` of data centre `data_centre`; its addresses follow from both numbers.
pub(crate) fn node(data_centre: u8, number: u8, cpu_millis: u32) -> PeerInfo {
    PeerInfo {
        vm: VmId::new(&format!("vm-{data_centre}-{number:02}")),
        incarnation: Incarnation(1),
        peer_addr: ([10, data_centre, 0, number], 80).into(),
        caller_addr: ([10, data_centre, 0, number], 81).into(),
        data_centre: DataCentre::new(&format!("dc-{data_centre}")),
        cpu_millis,
    }
}

/// Heartbeat of a node that accepts callers.
pub(crate) fn heartbeat(seq: u64, core: bool) -> Heartbeat {
    Heartbeat {
        seq,
        acked_seq: 0,
        core,
        mesh_topology: MeshTopology::Unknown,
        serving: true,
        catalog_version: 1,
        holder: None,
        resigned_epoch: 0,
        store: StoreStatus::default(),
        requests_store_probe: false,
        reads_tables: false,
        registry_revision: Revision::ABSENT,
    }
}

/// `data_centres` data centres of `nodes_each` nodes. Nodes 1 and 2 of each data centre are larger
/// than the others.
pub(crate) fn multi_data_centre_deployment(data_centres: u8, nodes_each: u8) -> Vec<PeerInfo> {
    let cpu = |number| if number <= 2 { 500 - u32::from(number) } else { 250 };
    (1..=data_centres)
        .flat_map(|data_centre| {
            (1..=nodes_each).map(move |number| node(data_centre, number, cpu(number)))
        })
        .collect()
}

/// Two data centres of `nodes_each` nodes. Nodes 1 and 2 of each data centre are larger than the
/// others.
pub(crate) fn deployment(nodes_each: u8) -> Vec<PeerInfo> {
    multi_data_centre_deployment(2, nodes_each)
}

/// State of the node at `position` of `nodes` after it has received all heartbeats that the mesh
/// provides for.
pub(crate) fn network_of(now: Instant, nodes: &[PeerInfo], position: usize) -> PeerNetwork {
    recorded_network_of(now, nodes, position).0
}

/// The same state, and the transport that records what the node sends.
pub(crate) fn recorded_network_of(
    now: Instant,
    nodes: &[PeerInfo],
    position: usize,
) -> (PeerNetwork, RecordingTransport) {
    let transport = RecordingTransport::default();
    let boxed = Box::new(transport.clone());
    let mut network = PeerNetwork::new(nodes[position].clone(), boxed, ControlMetrics::default());
    let others = || nodes.iter().filter(|info| info.vm != nodes[position].vm);
    others().for_each(|info| network.peers.on_node_info(now, info));
    network.update_mesh(now);
    let mesh = network.mesh.clone();
    for info in others().filter(|info| mesh.connects_to(&info.vm)) {
        network.peers.on_heartbeat(now, info, heartbeat(1, mesh.cores.contains(&info.vm)));
    }
    network.update_mesh(now);
    (network, transport)
}

/// VM of node `number` of data centre `data_centre`.
pub(crate) fn vm(data_centre: u8, number: u8) -> VmId {
    node(data_centre, number, 0).vm
}
