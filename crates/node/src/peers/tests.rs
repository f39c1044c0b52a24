//! Failure detection by heartbeats over time.

use {
    super::*,
    crate::{fixtures, peer_message::HolderClaim},
    glade_platform::Revision,
};

fn info(vm: &str, incarnation: u64) -> PeerInfo {
    let incarnation = Incarnation(incarnation);
    PeerInfo { vm: VmId::new(vm), incarnation, ..fixtures::node(1, 1, 250) }
}

fn heartbeat(seq: u64, acked_seq: u64) -> Heartbeat {
    Heartbeat { acked_seq, ..fixtures::heartbeat(seq, true) }
}

fn serving(peers: &Peers, now: Instant) -> usize {
    peers.serving(now).count()
}

#[test]
fn a_node_without_heartbeats_leaves_the_directory_until_its_next_heartbeat() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 0));
    assert_eq!(serving(&peers, now), 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(serving(&peers, later), 0);
    let change = peers.on_heartbeat(later, &info("a", 1), heartbeat(2, 0));
    assert!(change.serving_changed && !change.is_new);
    assert_eq!(serving(&peers, later), 1);
}

#[test]
fn a_draining_node_leaves_the_directory() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 0));
    let draining = Heartbeat { serving: false, ..heartbeat(2, 0) };
    assert!(peers.on_heartbeat(now, &info("a", 1), draining).serving_changed);
    assert_eq!(serving(&peers, now), 0);
}

#[test]
fn late_heartbeats_of_a_replaced_process_are_ignored() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(9, 0));
    assert!(peers.on_heartbeat(now, &info("a", 2), heartbeat(1, 0)).is_new);
    let stale = peers.on_heartbeat(now, &info("a", 1), heartbeat(10, 0));
    assert_eq!(stale, HeartbeatChange::default());
    assert_eq!(peers.infos().next().map(|info| info.incarnation), Some(Incarnation(2)));
}

#[test]
fn a_connection_without_acknowledgements_is_reopened() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 0));
    let at = |ms| now + Duration::from_millis(ms);
    let mesh = Mesh::compute(now, &info("me", 1), true, &peers);
    peers.update_links(now, &mesh);
    assert_eq!(peers.next_heartbeats(&mesh, HeartbeatReceivers::All).len(), 1);
    peers.on_heartbeat(at(1000), &info("a", 1), heartbeat(2, 1));
    assert!(peers.unacknowledged(at(2000)).is_empty(), "acknowledged at 1,000 ms");
    assert_eq!(peers.unacknowledged(at(2300)).len(), 1);
    assert!(peers.unacknowledged(at(2400)).is_empty(), "just reopened");
}

#[test]
fn an_acknowledgement_of_a_predecessors_heartbeats_does_not_cause_reconnects() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |ms| now + Duration::from_millis(ms);
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 900));
    let mesh = Mesh::compute(now, &info("me", 2), true, &peers);
    peers.update_links(now, &mesh);
    for round in 1..=10 {
        assert_eq!(peers.next_heartbeats(&mesh, HeartbeatReceivers::All)[0].2, round);
        peers.on_heartbeat(at(200 * round), &info("a", 1), heartbeat(1 + round, round));
        assert!(peers.unacknowledged(at(200 * round + 100)).is_empty(), "{round}");
    }
}

#[test]
fn the_claim_with_the_latest_epoch_determines_the_holder() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let claim = |epoch| Some(HolderClaim { epoch, revision: Revision::new(epoch) });
    peers.on_heartbeat(now, &info("a", 1), Heartbeat { holder: claim(3), ..heartbeat(1, 0) });
    peers.on_heartbeat(now, &info("b", 1), Heartbeat { holder: claim(4), ..heartbeat(1, 0) });
    assert_eq!(peers.holder(now).map(|(info, _)| info.vm.as_str()), Some("b"));
}

#[test]
fn a_node_with_overdue_heartbeats_is_missing_until_one_arrives() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |ms| now + Duration::from_millis(ms);
    peers.on_node_info(now, &info("a", 1));
    let mesh = Mesh::compute(now, &info("me", 1), true, &peers);
    peers.update_links(now, &mesh);
    peers.update_links(at(1300), &mesh);
    assert!(!peers.is_missing(&VmId::new("a")), "the node may just have started");
    peers.update_links(at(1500), &mesh);
    assert!(peers.is_missing(&VmId::new("a")));
    peers.on_heartbeat(at(1600), &info("a", 1), heartbeat(1, 0));
    assert!(!peers.is_missing(&VmId::new("a")));
}

#[test]
fn a_node_that_other_nodes_report_is_not_removed() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |s| now + Duration::from_secs(s);
    peers.on_node_info(now, &info("a", 1));
    peers.on_node_info(at(20), &info("a", 1));
    peers.sweep(at(40));
    assert_eq!(peers.infos().count(), 1);
    peers.sweep(at(51));
    assert_eq!(peers.infos().count(), 0);
}

#[test]
fn nodes_that_reported_the_version_get_no_further_heartbeat_about_it() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    for (vm, catalog_version) in [("a", 2), ("b", 3)] {
        let heartbeat = Heartbeat { catalog_version, ..fixtures::heartbeat(1, false) };
        peers.on_heartbeat(now, &info(vm, 1), heartbeat);
    }
    let leaves = ["a", "b"].map(VmId::new).into_iter().collect();
    let mesh = Mesh { is_core: true, leaves, ..Mesh::default() };
    let receivers = |peers: &mut Peers, receivers| -> Vec<VmId> {
        peers.next_heartbeats(&mesh, receivers).into_iter().map(|(vm, ..)| vm).collect()
    };
    assert_eq!(receivers(&mut peers, HeartbeatReceivers::Before(3)), [VmId::new("a")]);
    assert_eq!(receivers(&mut peers, HeartbeatReceivers::All).len(), 2);
}
