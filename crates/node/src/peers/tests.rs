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

fn beat(seq: u64, heard_seq: u64) -> Beat {
    Beat { heard_seq, ..fixtures::beat(seq, true) }
}

fn serving(peers: &Peers, now: Instant) -> usize {
    peers.serving(now).count()
}

#[test]
fn a_silent_node_leaves_the_directory_and_comes_back() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_beat(now, &info("a", 1), beat(1, 0));
    assert_eq!(serving(&peers, now), 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(serving(&peers, later), 0);
    let news = peers.on_beat(later, &info("a", 1), beat(2, 0));
    assert!(news.standing_changed && !news.is_new);
    assert_eq!(serving(&peers, later), 1);
}

#[test]
fn a_node_that_leaves_takes_callers_no_more() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_beat(now, &info("a", 1), beat(1, 0));
    let leaving = Beat { serving: false, ..beat(2, 0) };
    assert!(peers.on_beat(now, &info("a", 1), leaving).standing_changed);
    assert_eq!(serving(&peers, now), 0);
}

#[test]
fn late_beats_of_a_process_that_was_replaced_are_ignored() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_beat(now, &info("a", 1), beat(9, 0));
    assert!(peers.on_beat(now, &info("a", 2), beat(1, 0)).is_new);
    let stale = peers.on_beat(now, &info("a", 1), beat(10, 0));
    assert_eq!(stale, BeatNews::default());
    assert_eq!(peers.infos().next().map(|info| info.incarnation), Some(Incarnation(2)));
}

#[test]
fn a_connection_on_which_nothing_comes_back_is_opened_anew() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    peers.on_beat(now, &info("a", 1), beat(1, 0));
    let at = |ms| now + Duration::from_millis(ms);
    let mesh = Mesh::plan(now, &info("me", 1), true, &peers);
    peers.link(now, &mesh);
    assert_eq!(peers.next_beats(&mesh).len(), 1);
    peers.on_beat(at(1000), &info("a", 1), beat(2, 1));
    assert!(peers.unheard(at(2000)).is_empty(), "heard at 1,000");
    assert_eq!(peers.unheard(at(2300)).len(), 1);
    assert!(peers.unheard(at(2400)).is_empty(), "just opened anew");
}

#[test]
fn an_echo_of_beats_of_a_predecessor_does_not_have_the_connection_opened_anew() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |ms| now + Duration::from_millis(ms);
    peers.on_beat(now, &info("a", 1), beat(1, 900));
    let mesh = Mesh::plan(now, &info("me", 2), true, &peers);
    peers.link(now, &mesh);
    for round in 1..=10 {
        assert_eq!(peers.next_beats(&mesh)[0].2, round);
        peers.on_beat(at(200 * round), &info("a", 1), beat(1 + round, round));
        assert!(peers.unheard(at(200 * round + 100)).is_empty(), "{round}");
    }
}

#[test]
fn the_latest_claim_names_the_holder() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let claim = |epoch| Some(HolderClaim { epoch, revision: Revision::new(epoch) });
    peers.on_beat(now, &info("a", 1), Beat { holder: claim(3), ..beat(1, 0) });
    peers.on_beat(now, &info("b", 1), Beat { holder: claim(4), ..beat(1, 0) });
    assert_eq!(peers.holder(now).map(|(info, _)| info.vm.as_str()), Some("b"));
}

#[test]
fn a_node_that_should_be_heard_and_is_not_is_missed_until_it_is() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |ms| now + Duration::from_millis(ms);
    peers.on_info(now, &info("a", 1));
    let mesh = Mesh::plan(now, &info("me", 1), true, &peers);
    peers.link(now, &mesh);
    peers.link(at(1300), &mesh);
    assert!(!peers.is_missed(&VmId::new("a")), "it may just have started");
    peers.link(at(1500), &mesh);
    assert!(peers.is_missed(&VmId::new("a")));
    peers.on_beat(at(1600), &info("a", 1), beat(1, 0));
    assert!(!peers.is_missed(&VmId::new("a")));
}

#[test]
fn a_node_of_which_others_tell_is_not_forgotten() {
    let (now, mut peers) = (Instant::now(), Peers::default());
    let at = |s| now + Duration::from_secs(s);
    peers.on_info(now, &info("a", 1));
    peers.on_info(at(20), &info("a", 1));
    peers.sweep(at(40));
    assert_eq!(peers.infos().count(), 1);
    peers.sweep(at(51));
    assert_eq!(peers.infos().count(), 0);
}
