//! Signs of life over time.

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
fn a_silent_node_leaves_the_directory_and_comes_back() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 0));
    assert_eq!(serving(&peers, now), 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(serving(&peers, later), 0);
    let news = peers.on_heartbeat(later, &info("a", 1), heartbeat(2, 0));
    assert!(news.serving_changed && !news.is_new);
    assert_eq!(serving(&peers, later), 1);
}

#[test]
fn a_node_that_leaves_takes_callers_no_more() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 0));
    let leaving = Heartbeat { serving: false, ..heartbeat(2, 0) };
    assert!(peers.on_heartbeat(now, &info("a", 1), leaving).serving_changed);
    assert_eq!(serving(&peers, now), 0);
}

#[test]
fn late_beats_of_a_process_that_was_replaced_are_ignored() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(9, 0));
    assert!(peers.on_heartbeat(now, &info("a", 2), heartbeat(1, 0)).is_new);
    let stale = peers.on_heartbeat(now, &info("a", 1), heartbeat(10, 0));
    assert_eq!(stale, HeartbeatChange::default());
    assert_eq!(peers.infos().next().map(|info| info.incarnation), Some(Incarnation(2)));
}

#[test]
fn a_connection_on_which_nothing_comes_back_is_opened_anew() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 0));
    let at = |ms| now + Duration::from_millis(ms);
    let mesh = Mesh::compute(now, &info("me", 1), true, &peers);
    peers.update_links(now, &mesh);
    assert_eq!(peers.next_heartbeats(&mesh).len(), 1);
    peers.on_heartbeat(at(1000), &info("a", 1), heartbeat(2, 1));
    assert!(peers.unacknowledged(at(2000)).is_empty(), "heard at 1,000");
    assert_eq!(peers.unacknowledged(at(2300)).len(), 1);
    assert!(peers.unacknowledged(at(2400)).is_empty(), "just opened anew");
}

#[test]
fn an_echo_of_beats_of_a_predecessor_does_not_have_the_connection_opened_anew() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |ms| now + Duration::from_millis(ms);
    peers.on_heartbeat(now, &info("a", 1), heartbeat(1, 900));
    let mesh = Mesh::compute(now, &info("me", 2), true, &peers);
    peers.update_links(now, &mesh);
    for round in 1..=10 {
        assert_eq!(peers.next_heartbeats(&mesh)[0].2, round);
        peers.on_heartbeat(at(200 * round), &info("a", 1), heartbeat(1 + round, round));
        assert!(peers.unacknowledged(at(200 * round + 100)).is_empty(), "{round}");
    }
}

#[test]
fn the_latest_claim_names_the_holder() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let claim = |epoch| Some(HolderClaim { epoch, revision: Revision::new(epoch) });
    peers.on_heartbeat(now, &info("a", 1), Heartbeat { holder: claim(3), ..heartbeat(1, 0) });
    peers.on_heartbeat(now, &info("b", 1), Heartbeat { holder: claim(4), ..heartbeat(1, 0) });
    assert_eq!(peers.holder(now).map(|(info, _)| info.vm.as_str()), Some("b"));
}

#[test]
fn a_node_that_should_be_heard_and_is_not_is_missed_until_it_is() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |ms| now + Duration::from_millis(ms);
    peers.on_node_info(now, &info("a", 1));
    let mesh = Mesh::compute(now, &info("me", 1), true, &peers);
    peers.update_links(now, &mesh);
    peers.update_links(at(1300), &mesh);
    assert!(!peers.is_missing(&VmId::new("a")), "it may just have started");
    peers.update_links(at(1500), &mesh);
    assert!(peers.is_missing(&VmId::new("a")));
    peers.on_heartbeat(at(1600), &info("a", 1), heartbeat(1, 0));
    assert!(!peers.is_missing(&VmId::new("a")));
}

#[test]
fn a_node_of_which_others_tell_is_not_forgotten() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |s| now + Duration::from_secs(s);
    peers.on_node_info(now, &info("a", 1));
    peers.on_node_info(at(20), &info("a", 1));
    peers.sweep(at(40));
    assert_eq!(peers.infos().count(), 1);
    peers.sweep(at(51));
    assert_eq!(peers.infos().count(), 0);
}
