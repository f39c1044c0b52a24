//! Batching of messages, and the traffic that a leaf of a large mesh receives, in virtual time.

use {
    super::*,
    crate::{
        endpoint_exchange::EndpointExchange,
        fixtures::{
            RecordingTransport, deployment, heartbeat, multi_data_centre_deployment,
            recorded_network_of,
        },
        load_exchange::LoadExchange,
        peer_message::{LoadScope, PeerBatch},
        peer_prompt::{PeerPrompt, node_hash},
        prompt_exchange::PromptExchange,
    },
    glade_dispatch::{Load, PromptSent, ServerLoad},
};

/// Bytes a second that a node may send, and receive, for messages between nodes.
const CONTROL_BYTES_PER_S: usize = 23_000;
/// Number of engines in the users' largest deployment.
const SERVERS: u32 = 160;
/// Prompts that each node of that deployment sends in a second.
const PROMPTS_PER_NODE_S: u64 = 3;
const STEP: Duration = Duration::from_millis(10);
const SIMULATED_S: u64 = 10;

/// Batches and bytes that one leaf receives in a second.
#[derive(Debug)]
struct LeafTraffic {
    batches_per_s: f64,
    bytes_per_s: usize,
}

fn loads(in_flight: u32) -> Vec<ServerLoad> {
    let load =
        Load { in_flight, outstanding_prefill_us: 900, held_tokens: 20_000, waiting_hundredths: 0 };
    (1..=SERVERS).map(|server| ServerLoad { server: server << 24, load }).collect()
}

/// Simulates the primary core of a mesh of five data centres, with `each` nodes each, under load.
fn simulate(each: u8) -> LeafTraffic {
    let (start, nodes) = (Instant::now(), multi_data_centre_deployment(5, each));
    let (mut network, transport) = recorded_network_of(start, &nodes, 0);
    assert!(network.mesh.is_primary_core);
    let leaf = nodes.iter().find(|info| network.mesh.leaves.contains(&info.vm)).expect("a leaf");
    let (mut exchange, mut prompts) = (LoadExchange::new(start), PromptExchange::new(&nodes[0]));
    let mut endpoints = EndpointExchange::new(start);
    let prompts_in_step = |node: usize, now: Duration| {
        let at =
            |now: Duration| (now.as_millis() as u64 * PROMPTS_PER_NODE_S + 31 * node as u64) / 1000;
        at(now) - at(now.saturating_sub(STEP))
    };
    let steps = SIMULATED_S * 1000 / STEP.as_millis() as u64;
    for step in 1..=steps {
        let (since, now) = (STEP * step as u32, start + STEP * step as u32);
        for (position, info) in nodes.iter().enumerate().skip(1) {
            if step % 35 == 0 && network.mesh.connects_to(&info.vm) {
                network.peers.on_heartbeat(
                    now,
                    info,
                    heartbeat(step, network.mesh.cores.contains(&info.vm)),
                );
            }
            let prompt = PromptSent { server: (step as u32) << 20, prefill_us: 900 };
            let reported = vec![PeerPrompt { sender_hash: node_hash(&info.vm), prompt }];
            for _ in 0..prompts_in_step(position, since) {
                prompts.on_remote(now, info, &reported, &network);
            }
        }
        for remote in nodes.iter().filter(|info| network.mesh.remote_primaries.contains(&info.vm)) {
            let sum = loads(1 + step as u32 % 9);
            network.peers.on_loads(now, remote, LoadScope::DataCentre, sum);
        }
        if step % 35 == 0 {
            network.send_heartbeats(
                now,
                HeartbeatReceivers::All,
                &heartbeat(step, true),
                Revision::ABSENT,
            );
            endpoints.send_due(now, Some(nodes[0].caller_addr), &mut network);
        }
        if step % 5 == 0 {
            exchange.send_due(now, &mut network);
        }
        prompts.forward(now, &mut network);
        network.flush(now);
    }
    let batches = transport.batches.borrow();
    let to_leaf: Vec<usize> = batches
        .iter()
        .filter(|(to, _)| *to == leaf.peer_addr)
        .map(|(_, bytes)| bytes.len())
        .collect();
    LeafTraffic {
        batches_per_s: to_leaf.len() as f64 / SIMULATED_S as f64,
        bytes_per_s: to_leaf.iter().sum::<usize>() / SIMULATED_S as usize,
    }
}

#[test]
fn a_leaf_receives_no_more_batches_from_three_hundred_nodes_than_from_a_hundred() {
    let (hundred, three_hundred) = (simulate(20), simulate(60));
    assert!(three_hundred.batches_per_s <= hundred.batches_per_s * 1.1);
    assert!(three_hundred.batches_per_s <= 20.0, "{three_hundred:?}");
    assert!(three_hundred.bytes_per_s <= CONTROL_BYTES_PER_S, "{three_hundred:?}");
}

fn messages(transport: &RecordingTransport, to: &PeerInfo) -> Vec<usize> {
    let batches = transport.batches.borrow();
    let decode =
        |bytes: &[u8]| PeerBatch::decode(bytes, &ControlMetrics::default()).expect("a batch");
    let to_node = batches.iter().filter(|(addr, _)| *addr == to.peer_addr);
    to_node.map(|(_, bytes)| decode(bytes).messages.len()).collect()
}

#[test]
fn messages_within_the_batching_delay_go_to_a_leaf_in_one_batch() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut network, transport) = recorded_network_of(now, &nodes, 0);
    network.send_to_leaves(now, &PeerMessage::RegistryWanted);
    network.send_to_leaves(now + BATCH_DELAY_MIN / 2, &PeerMessage::CatalogWanted);
    network.flush(now + BATCH_DELAY_MIN / 2);
    assert_eq!(messages(&transport, &nodes[5]), [0; 0], "before the batching delay");
    assert_eq!(network.due(), Some(now + BATCH_DELAY_MIN));
    network.flush(now + BATCH_DELAY_MIN);
    assert_eq!(messages(&transport, &nodes[5]), [2]);
}

#[test]
fn an_immediate_message_is_sent_with_pending_messages() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut network, transport) = recorded_network_of(now, &nodes, 0);
    network.send_to_leaves(now, &PeerMessage::RegistryWanted);
    network.send_to_leaves_now(now, &PeerMessage::Prompts(Vec::new()));
    network.flush(now);
    assert_eq!(messages(&transport, &nodes[5]), [2]);
}

#[test]
fn a_full_mesh_sends_messages_without_delay() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let (mut network, transport) = recorded_network_of(now, &nodes, 0);
    network.broadcast(now, &PeerMessage::RegistryWanted);
    network.flush(now);
    assert!(nodes[1..].iter().all(|info| messages(&transport, info) == [1]));
}

#[test]
fn a_full_batch_is_sent_without_delay() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut network, transport) = recorded_network_of(now, &nodes, 0);
    let message = PeerMessage::Loads { scope: LoadScope::All, loads: loads(1) };
    while messages(&transport, &nodes[5]).is_empty() {
        network.send_to_leaves(now, &message);
    }
    let size = transport.batches.borrow()[0].1.len();
    assert!((BATCH_FULL_BYTES..2 * BATCH_FULL_BYTES).contains(&size), "{size}");
}

#[test]
fn truncated_batches_are_refused() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let (mut network, transport) = recorded_network_of(now, &nodes, 0);
    network.broadcast(now, &PeerMessage::ModelWanted(glade_types::ModelName::new("m1")));
    network.flush(now);
    let complete = transport.batches.borrow()[0].1.clone();
    for length in 0..complete.len() - 1 {
        let decoded = PeerBatch::decode(&complete[..length], &ControlMetrics::default());
        assert!(
            decoded.is_err() || decoded.is_ok_and(|batch| batch.messages.is_empty()),
            "{length}"
        );
    }
}

#[test]
fn a_heartbeat_introduces_its_sender() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let (mut network, transport) = recorded_network_of(now, &nodes, 0);
    network.send_heartbeats(now, HeartbeatReceivers::All, &heartbeat(2, true), Revision::ABSENT);
    network.flush(now);
    let batches = transport.batches.borrow();
    let batch = PeerBatch::decode(&batches[0].1, &ControlMetrics::default()).expect("a batch");
    assert_eq!(batch.introduction(), Some(&nodes[0]));
    let receiver = recorded_network_of(now, &nodes, 1).0;
    assert_eq!(receiver.peers.by_process_hash(batch.sender_hash), Some(&nodes[0]));
}

#[test]
fn another_process_of_the_same_vm_has_another_hash() {
    let node = &deployment(4)[0];
    let later = PeerInfo { incarnation: glade_types::Incarnation(2), ..node.clone() };
    assert_ne!(node.process_hash(), later.process_hash());
}
