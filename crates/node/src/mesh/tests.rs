//! Which nodes exchange messages, and which nodes a forwarded message reaches.

use {
    super::*,
    crate::{
        fixtures::{deployment, heartbeat, network_of, node, vm},
        peer_message::Heartbeat,
    },
    std::time::Duration,
};

#[test]
fn a_small_deployment_forms_a_full_mesh() {
    let (now, nodes) = (Instant::now(), deployment(6));
    for position in 0..nodes.len() {
        let mesh = network_of(now, &nodes, position).mesh;
        assert!(mesh.is_full_mesh && mesh.is_core && mesh.leaves.is_empty());
        assert_eq!(mesh.cores.len(), nodes.len() - 1);
    }
}

#[test]
fn the_largest_nodes_of_a_data_centre_are_its_cores() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let first = network_of(now, &nodes, 0).mesh;
    assert!(first.is_core && first.is_primary_core && !first.is_full_mesh);
    assert_eq!(first.local_cores, [vm(1, 2)]);
    assert_eq!(first.remote_primaries, [vm(2, 1)]);
    assert_eq!(first.leaves.len(), 8);
    let second = network_of(now, &nodes, 1).mesh;
    assert!(second.is_core && !second.is_primary_core);
    assert_eq!(second.leaves, first.leaves);
}

#[test]
fn a_leaf_connects_only_to_its_own_cores_whatever_the_number_of_nodes() {
    for each in [10, 40, 200] {
        let (now, nodes) = (Instant::now(), deployment(each));
        let mesh = network_of(now, &nodes, 5).mesh;
        assert!(!mesh.is_core);
        let connected: Vec<_> = nodes.iter().filter(|info| mesh.connects_to(&info.vm)).collect();
        assert_eq!(connected.len(), 2, "{each}");
    }
}

#[test]
fn a_leaf_connects_to_every_node_that_declares_itself_its_core() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 5);
    let self_declared =
        Heartbeat { mesh_topology: MeshTopology::CoresAndLeaves, ..heartbeat(1, true) };
    network.peers.on_heartbeat(now, &nodes[7], self_declared);
    network.update_mesh(now);
    assert!(network.mesh.connects_to(&nodes[7].vm));
    assert_eq!(network.mesh.local_cores, [vm(1, 1), vm(1, 2)], "the leaf has chosen other cores");
    let later = now + Duration::from_millis(500);
    network.peers.on_heartbeat(later, &nodes[7], heartbeat(2, false));
    network.update_mesh(later);
    assert!(!network.mesh.connects_to(&nodes[7].vm));
}

#[test]
fn a_node_that_ceases_to_declare_itself_a_core_does_not_count_as_missing() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 5);
    let self_declared =
        Heartbeat { mesh_topology: MeshTopology::CoresAndLeaves, ..heartbeat(1, true) };
    network.peers.on_heartbeat(now, &nodes[7], self_declared);
    for step in 0..10 {
        network.update_mesh(now + Duration::from_millis(350 * step));
    }
    assert!(!network.peers.is_missing(&nodes[7].vm));
}

#[test]
fn connections_are_symmetric() {
    let (now, nodes) = (Instant::now(), deployment(9));
    let meshes: Vec<Mesh> =
        (0..nodes.len()).map(|position| network_of(now, &nodes, position).mesh).collect();
    for (one, mesh) in nodes.iter().zip(&meshes) {
        for (other, other_mesh) in nodes.iter().zip(&meshes).filter(|(other, _)| other.vm != one.vm)
        {
            assert_eq!(
                mesh.connects_to(&other.vm),
                other_mesh.connects_to(&one.vm),
                "{one:?} {other:?}"
            );
        }
    }
}

#[test]
fn the_next_largest_node_replaces_a_core_whose_heartbeats_stop() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 1);
    let later = now + Duration::from_secs(3);
    for info in nodes.iter().filter(|info| info.vm != vm(1, 1) && info.vm != vm(1, 2)) {
        network.peers.on_heartbeat(later, info, heartbeat(2, false));
    }
    network.update_mesh(later);
    assert!(network.mesh.is_primary_core, "the second core has become the primary");
    assert!(!network.mesh.local_cores.contains(&vm(1, 1)));
    // The former primary core sends heartbeats again.
    network.peers.on_heartbeat(later, &nodes[0], heartbeat(9, true));
    network.update_mesh(later);
    assert!(!network.mesh.is_primary_core);
}

#[test]
fn a_node_that_declares_itself_a_core_is_sent_what_cores_are_sent() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 0);
    network.peers.on_heartbeat(now, &nodes[6], heartbeat(2, true));
    network.update_mesh(now);
    assert!(
        network.mesh.cores.contains(&nodes[6].vm) && !network.mesh.leaves.contains(&nodes[6].vm)
    );
}

#[test]
fn a_message_reaches_every_node_whichever_node_sends_it() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let meshes: Vec<Mesh> =
        (0..nodes.len()).map(|position| network_of(now, &nodes, position).mesh).collect();
    for origin in 0..nodes.len() {
        let mut received = vec![0; nodes.len()];
        received[origin] += 1;
        let recipients = |position: usize| {
            let mesh = &meshes[position];
            let is_connected = |vm: &&VmId| mesh.connects_to(vm);
            mesh.cores.iter().chain(&mesh.leaves).filter(is_connected).cloned().collect::<Vec<_>>()
        };
        let mut in_transit: Vec<(usize, VmId)> =
            recipients(origin).into_iter().map(|vm| (origin, vm)).collect();
        while let Some((from, vm)) = in_transit.pop() {
            let position = nodes.iter().position(|info| info.vm == vm).expect("a node");
            received[position] += 1;
            if received[position] > 1 {
                continue;
            }
            let (mesh, sender) = (&meshes[position], &nodes[from].vm);
            if mesh.forwards_to_other_data_centres(sender) {
                let remote_cores = mesh.cores.iter().filter(|vm| !mesh.local_cores.contains(vm));
                in_transit.extend(remote_cores.map(|vm| (position, vm.clone())));
            }
            if mesh.forwards_to_leaves(sender) {
                let leaves = mesh.leaves.iter().filter(|vm| *vm != sender);
                in_transit.extend(leaves.map(|vm| (position, vm.clone())));
            }
        }
        assert!(received.iter().all(|count| (1..=2).contains(count)), "{origin}: {received:?}");
    }
}

#[test]
fn a_data_centre_of_one_node_has_one_core() {
    let now = Instant::now();
    let mut nodes = deployment(10);
    nodes.push(node(3, 1, 120));
    let mesh = network_of(now, &nodes, nodes.len() - 1).mesh;
    assert!(mesh.is_core && mesh.is_primary_core && mesh.leaves.is_empty());
    assert_eq!(mesh.remote_primaries, [vm(1, 1), vm(2, 1)]);
}

/// Two cores that each take the other for the holder of the lease would otherwise send a message
/// back and forth between them.
#[test]
fn a_message_that_a_core_has_sent_to_the_holder_is_not_forwarded() {
    let (now, nodes) = (Instant::now(), deployment(10));
    for position in 0..nodes.len() {
        let mesh = network_of(now, &nodes, position).mesh;
        let forwarded_for =
            nodes.iter().filter(|info| mesh.forwards_to_holder_for(&info.vm)).count();
        assert_eq!(forwarded_for, if mesh.is_core { 8 } else { 0 });
        assert!(mesh.cores.iter().all(|core| !mesh.forwards_to_holder_for(core)));
    }
    let full_mesh = network_of(now, &deployment(5), 0).mesh;
    assert!(full_mesh.cores.iter().all(|core| !full_mesh.forwards_to_holder_for(core)));
}
