//! When a node that stood still has caught up.

use {
    super::*,
    crate::fixtures::{heartbeat, network_of, node},
    crate::{mesh::Mesh, peer_message::Heartbeat, peers::HeartbeatReceivers},
};

const TICK: Duration = Duration::from_millis(50);

/// A node of three, which has sent its first heartbeats.
fn network(now: Instant) -> PeerNetwork {
    let nodes: Vec<_> = (1..=3).map(|number| node(1, number, 250)).collect();
    let mut network = network_of(now, &nodes, 0);
    send_heartbeats(&mut network);
    network
}

fn send_heartbeats(network: &mut PeerNetwork) -> u64 {
    let mesh: Mesh = network.mesh.clone();
    network.peers.next_heartbeats(&mesh, HeartbeatReceivers::All);
    network.peers.sent_seq()
}

#[test]
fn a_node_that_runs_has_caught_up() {
    let mut now = Instant::now();
    let network = network(now);
    let mut catch_up = CatchUp::new(now);
    for _ in 0..100 {
        now += TICK;
        assert!(!catch_up.notice_standstill(now, &network));
        assert!(catch_up.is_done(now, &network, Revision::new(5)));
    }
}

#[test]
fn a_node_that_stood_still_waits_for_one_that_has_heard_it_since() {
    let start = Instant::now();
    let mut network = network(start);
    let mut catch_up = CatchUp::new(start);
    let now = start + Duration::from_secs(3);
    assert!(catch_up.notice_standstill(now, &network));
    let before = network.peers.sent_seq();
    assert!(!hear(now, &mut network, &mut catch_up, (2, before, 5)), "sent before");
    let since = send_heartbeats(&mut network);
    assert!(!hear(now, &mut network, &mut catch_up, (3, since, 6)), "this node lacks a change");
    assert!(hear(now, &mut network, &mut catch_up, (4, since, 5)));
    assert!(catch_up.is_done(now, &network, Revision::new(5)));
}

/// Another node's heartbeat arrives, with its number, the last of this node that it has received, and its
/// revision of the registry. Returns whether this node, at revision 5, has caught up.
fn hear(
    now: Instant,
    network: &mut PeerNetwork,
    catch_up: &mut CatchUp,
    (seq, acked_seq, revision): (u64, u64, u64),
) -> bool {
    let registry_revision = Revision::new(revision);
    let heartbeat = Heartbeat { acked_seq, registry_revision, ..heartbeat(seq, true) };
    network.peers.on_heartbeat(now, &node(1, 2, 250), heartbeat);
    catch_up.is_done(now, network, Revision::new(5))
}
