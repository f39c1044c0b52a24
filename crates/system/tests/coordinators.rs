//! Real nodes, more than talk to each other all to all: one coordinates the starts at the engines.

use {
    glade_system::site::{CHAT, EVENTS, Site},
    std::time::{Duration, Instant},
};

/// More nodes than talk all to all.
const NODES: usize = 14;

fn whole_stream() -> Vec<u64> {
    (1..=EVENTS).collect()
}

fn count(site: &Site, node: usize, event: &str) -> usize {
    site.node_log(node).matches(&format!("\"event\":\"{event}\"")).count()
}

fn coordinator(site: &Site, but: Option<usize>) -> Option<usize> {
    let coordinates = |node: &usize| {
        count(site, *node, "coordination_begun") > count(site, *node, "coordination_ended")
    };
    (0..NODES).filter(|node| Some(*node) != but).find(coordinates)
}

/// A site on which the nodes but the coordinator ask it.
fn coordinated() -> (Site, usize) {
    let site = Site::start(NODES, &[&["m0"], &["m0"]]);
    site.eventually("starts are granted", || {
        for node in 0..NODES {
            site.send(node, CHAT, Some("m0"), &site.request_id());
        }
        (0..NODES).filter(|node| count(&site, *node, "start_granted") > 0).count() > 8
    });
    let coordinator = coordinator(&site, None).expect("somebody grants them");
    (site, coordinator)
}

fn assert_all_serve(site: &Site, but: usize) {
    for node in (0..NODES).filter(|node| *node != but) {
        let id = site.request_id();
        let began = Instant::now();
        let reply = site.send(node, CHAT, Some("m0"), &id).expect("an answer");
        assert_eq!(reply.event_ids(), whole_stream(), "{reply:?}");
        assert_eq!(site.log.runs_of(&id).len(), 1);
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    }
}

#[test]
fn requests_are_served_while_the_coordinator_is_frozen_and_after() {
    let (site, coordinator) = coordinated();
    site.pause_node(coordinator);
    assert_all_serve(&site, coordinator);
    site.pause(Duration::from_millis(2500));
    assert_all_serve(&site, coordinator);
    site.resume_node(coordinator);
    assert_all_serve(&site, NODES);
}

#[test]
fn another_node_coordinates_after_the_coordinator_was_killed() {
    let (mut site, first) = coordinated();
    site.kill_node(first);
    assert_all_serve(&site, first);
    site.eventually("another grants starts", || {
        for node in (0..NODES).filter(|node| *node != first) {
            site.send(node, CHAT, Some("m0"), &site.request_id());
        }
        coordinator(&site, Some(first)).is_some()
    });
    assert_all_serve(&site, first);
}

/// A grant is advice: an engine that has told a node that it leaves gets nothing from it, whatever the
/// coordinator says.
#[test]
fn a_node_goes_by_what_it_knows_itself_of_an_engine() {
    let (site, coordinator) = coordinated();
    site.engines[0].leave_in_answers();
    site.eventually("all nodes know", || {
        for node in 0..NODES {
            site.send(node, CHAT, Some("m0"), &site.request_id());
        }
        (0..NODES).all(|node| count(&site, node, "server_leaving") > 0)
    });
    let runs = || site.log.runs().iter().filter(|run| run.server == "engine-0").count();
    let before = runs();
    assert_all_serve(&site, NODES);
    assert_eq!(runs(), before, "coordinated by node {coordinator}");
}

/// What is granted and what becomes of it is counted off again: places don't run out.
#[test]
fn places_are_given_back() {
    let (site, _) = coordinated();
    for _ in 0..6 {
        let sent: Vec<_> = (0..NODES * 3)
            .map(|turn| site.begin(turn % NODES, CHAT, Some("m0"), &site.request_id()))
            .collect();
        for sent in sent {
            let reply = site.finish(sent).expect("an answer");
            assert_eq!(reply.event_ids(), whole_stream(), "{reply:?}");
        }
    }
}
