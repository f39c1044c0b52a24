//! Sums of loads in a full mesh and in a mesh with leaves.

use {
    super::*,
    crate::{
        fixtures::{deployment, network_of},
        peer_message::PeerInfo,
    },
};

fn load(server: u32, in_flight: u32) -> ServerLoad {
    ServerLoad { server, load: Load { in_flight, ..Load::default() } }
}

fn in_flight(loads: &LoadMap, server: u32) -> u32 {
    loads.get(&server).map_or(0, |load| load.in_flight)
}

fn report(
    now: Instant,
    network: &mut PeerNetwork,
    from: &PeerInfo,
    scope: LoadScope,
    loads: &[ServerLoad],
) {
    network.peers.on_loads(now, from, scope, loads.to_vec());
}

#[test]
fn a_full_mesh_adds_up_the_loads_of_each_node() {
    let (now, nodes) = (Instant::now(), deployment(4));
    let mut network = network_of(now, &nodes, 0);
    let mut exchange = LoadExchange::new(now);
    exchange.set_own(vec![load(1, 9)]);
    exchange.send_due(now, &mut network);
    report(now, &mut network, &nodes[2], LoadScope::Own, &[load(1, 2)]);
    report(now, &mut network, &nodes[5], LoadScope::Own, &[load(1, 3), load(2, 1)]);
    let others = exchange.others(now, &network);
    assert_eq!((in_flight(&others, 1), in_flight(&others, 2)), (5, 1), "own loads aren't counted");
}

#[test]
fn the_primary_core_adds_the_sums_of_other_data_centres() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 0);
    let mut exchange = LoadExchange::new(now);
    exchange.set_own(vec![load(1, 4)]);
    exchange.send_due(now, &mut network);
    report(now, &mut network, &nodes[3], LoadScope::Own, &[load(1, 2)]);
    report(now, &mut network, &nodes[10], LoadScope::DataCentre, &[load(1, 30)]);
    assert_eq!(in_flight(&exchange.others(now, &network), 1), 32);
}

#[test]
fn of_two_cores_that_report_for_a_data_centre_the_later_report_counts() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 0);
    let exchange = LoadExchange::new(now);
    report(now, &mut network, &nodes[10], LoadScope::DataCentre, &[load(1, 30)]);
    let later = now + Duration::from_millis(100);
    report(later, &mut network, &nodes[11], LoadScope::DataCentre, &[load(1, 7)]);
    assert_eq!(in_flight(&exchange.others(later, &network), 1), 7, "the two reports aren't added");
}

#[test]
fn a_leaf_subtracts_its_own_loads_from_the_sum() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 5);
    let mut exchange = LoadExchange::new(now);
    let later = now + SUM_INTERVAL_MIN;
    exchange.set_own(vec![load(1, 4)]);
    exchange.send_due(later, &mut network);
    report(later, &mut network, &nodes[0], LoadScope::All, &[load(1, 24), load(2, 3)]);
    let others = exchange.others(later, &network);
    assert_eq!((in_flight(&others, 1), in_flight(&others, 2)), (20, 3));
}

#[test]
fn an_old_sum_expires() {
    let (now, nodes) = (Instant::now(), deployment(10));
    let mut network = network_of(now, &nodes, 5);
    let exchange = LoadExchange::new(now);
    report(now, &mut network, &nodes[0], LoadScope::All, &[load(1, 24)]);
    let later = now + Duration::from_secs(5);
    assert_eq!(in_flight(&exchange.others(later, &network), 1), 0);
}

#[test]
fn sums_of_many_servers_are_sent_less_often() {
    assert_eq!(sum_interval(10), SUM_INTERVAL_MIN);
    let bytes_per_s = |servers: usize| servers as f64 * 13.0 / sum_interval(servers).as_secs_f64();
    assert!(bytes_per_s(120) <= 11_000.0 && bytes_per_s(880) <= 12_000.0);
}
