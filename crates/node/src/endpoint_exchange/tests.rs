//! Callers' addresses of nodes, as nodes of a full mesh and of a mesh with leaves collect them.

use {
    super::*,
    crate::{
        control_metrics::ControlMetrics,
        fixtures::{deployment, heartbeat, network_of, recorded_network_of},
        peer_message::PeerBatch,
    },
};

fn endpoints(same_data_centre: &[&PeerInfo], other_data_centres: &[&PeerInfo]) -> CallerEndpoints {
    let addrs = |infos: &[&PeerInfo]| infos.iter().map(|info| info.caller_addr).collect();
    CallerEndpoints {
        same_data_centre: addrs(same_data_centre),
        other_data_centres: addrs(other_data_centres),
    }
}

#[test]
fn a_full_mesh_learns_endpoints_from_heartbeats() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let network = network_of(now, &nodes, 0);
    let found = EndpointExchange::new(now).current(now, Some(nodes[0].caller_addr), &network);
    assert_eq!((found.same_data_centre.len(), found.other_data_centres.len()), (4, 4));
    assert_eq!(found.same_data_centre[0], nodes[0].caller_addr);
}

#[test]
fn a_node_that_accepts_no_callers_leaves_itself_out() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 5);
    let mut exchange = EndpointExchange::new(now);
    exchange.on_endpoints(now, &nodes[0], endpoints(&[&nodes[5], &nodes[6]], &[&nodes[12]]));
    let found = exchange.current(now, None, &network);
    assert_eq!(found, endpoints(&[&nodes[6]], &[&nodes[12]]));
}

#[test]
fn a_leaf_adopts_the_list_of_its_core() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 5);
    let mut exchange = EndpointExchange::new(now);
    assert!(exchange.on_endpoints(now, &nodes[0], endpoints(&[&nodes[6]], &[])));
    assert!(
        !exchange.on_endpoints(now, &nodes[0], endpoints(&[&nodes[6]], &[])),
        "the list is the same"
    );
    let found = exchange.current(now, Some(nodes[5].caller_addr), &network);
    assert_eq!(found.same_data_centre, [nodes[6].caller_addr, nodes[5].caller_addr]);
}

#[test]
fn a_core_learns_other_data_centres_from_their_primary_cores() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 0);
    let mut exchange = EndpointExchange::new(now);
    let remote_nodes: Vec<&PeerInfo> = nodes[10..].iter().collect();
    exchange.on_endpoints(now, &nodes[10], endpoints(&remote_nodes, &[]));
    let found = exchange.current(now, Some(nodes[0].caller_addr), &network);
    assert_eq!((found.same_data_centre.len(), found.other_data_centres.len()), (10, 10));
}

#[test]
fn a_list_that_is_no_longer_repeated_expires() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let network = network_of(now, &nodes, 5);
    let mut exchange = EndpointExchange::new(now);
    exchange.on_endpoints(now, &nodes[0], endpoints(&[&nodes[6]], &[]));
    let later = now + LIST_MAX_AGE;
    let found = exchange.current(later, Some(nodes[5].caller_addr), &network);
    assert_eq!(found.same_data_centre, [nodes[5].caller_addr]);
}

#[test]
fn a_leaf_without_a_recent_list_requests_one_from_a_live_core() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let (mut network, transport) = recorded_network_of(now, &nodes, 5);
    let mut exchange = EndpointExchange::new(now);
    let mut requests_after = |time: Duration, list: Option<CallerEndpoints>| {
        let now = now + time;
        for core in &nodes[..2] {
            network.peers.on_heartbeat(now, core, heartbeat(time.as_millis() as u64, true));
        }
        if let Some(list) = list {
            exchange.on_endpoints(now, &nodes[0], list);
        }
        exchange.send_due(now, Some(nodes[5].caller_addr), &mut network);
        network.flush(now + Duration::from_secs(1));
        let batches = std::mem::take(&mut *transport.batches.borrow_mut());
        let messages = batches.iter().flat_map(|(_, bytes)| {
            PeerBatch::decode(bytes, &ControlMetrics::default()).expect("a batch").messages
        });
        messages.filter(|message| *message == PeerMessage::CallerEndpointsWanted).count()
    };
    assert_eq!(requests_after(Duration::from_millis(100), None), 1);
    assert_eq!(
        requests_after(Duration::from_millis(400), None),
        0,
        "the leaf has just requested a list"
    );
    assert_eq!(requests_after(Duration::from_millis(1200), None), 1);
    let received = Some(endpoints(&[&nodes[6]], &[]));
    assert_eq!(requests_after(Duration::from_millis(2400), received), 0);
    assert_eq!(requests_after(Duration::from_millis(4300), None), 0);
    assert_eq!(requests_after(Duration::from_millis(4400), None), 1, "before the list expires");
}
