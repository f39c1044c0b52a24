//! What the nodes of a deployment come to believe of each other, in virtual time.

mod deployment;

use {
    self::deployment::Deployment,
    crate::{fixtures::node, peer_message::PeerInfo},
    glade_types::rendezvous_order,
    std::{collections::BTreeMap, time::Duration},
};

/// Time in which every directory names every node.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Nodes of one data centre that are all of the same size.
fn equal_nodes(count: u8) -> Vec<PeerInfo> {
    (1..=count).map(|number| node(1, number, 250)).collect()
}

/// Data centres of `each` nodes that are all of the same size.
fn wide_nodes(places: u8, each: u8) -> Vec<PeerInfo> {
    let nodes = |number| (1..=places).map(move |place| node(place, number, 250));
    (1..=each).flat_map(nodes).collect()
}

fn start_all(seed: u64, nodes: Vec<PeerInfo>) -> Deployment {
    let count = nodes.len();
    let mut deployment = Deployment::new(seed, nodes);
    for position in 0..count {
        deployment.start(position);
        deployment.play(Duration::from_millis(5));
    }
    deployment
}

/// Positions of `count` nodes, the first core before the others.
fn by_rank(count: u8) -> Vec<usize> {
    let nodes = equal_nodes(count);
    let order = rendezvous_order("core", nodes.iter().map(|info| info.vm.as_str()));
    let position = |name: &&str| nodes.iter().position(|info| info.vm.as_str() == *name);
    order.iter().filter_map(position).collect()
}

/// A deployment that has served for `time`, with a node that hasn't been started, the last.
fn deployment_after(time: Duration, count: u8) -> Deployment {
    let mut deployment = Deployment::new(1, equal_nodes(count + 1));
    for position in 0..usize::from(count) {
        deployment.start(position);
        deployment.play(Duration::from_secs(1));
    }
    deployment.play(time);
    assert_eq!(deployment.gaps(), BTreeMap::new());
    deployment
}

#[test]
fn no_node_of_many_that_start_together_is_left_out() {
    for count in [8, 12, 13, 14, 20] {
        for seed in 0..30 {
            let mut deployment = start_all(seed, equal_nodes(count));
            deployment.play(CONTACT_TIME);
            assert_eq!(deployment.gaps(), BTreeMap::new(), "{count} nodes, seed {seed}");
        }
    }
}

#[test]
fn a_node_that_starts_again_hears_the_others_however_long_they_have_run() {
    for (count, run_s) in [(8, 20), (8, 100), (16, 20), (16, 100)] {
        for position in 0..usize::from(count) {
            let mut deployment = deployment_after(Duration::from_secs(run_s), count);
            deployment.kill(position);
            deployment.play(Duration::from_millis(500));
            deployment.start(position);
            deployment.play(CONTACT_TIME);
            assert_eq!(deployment.gaps(), BTreeMap::new(), "{position} of {count} after {run_s} s");
        }
    }
}

#[test]
fn a_new_node_is_named_however_long_ago_the_first_core_was_lost_for_good() {
    let count = 16;
    for lost_s in [3, 9, 15, 25, 40] {
        let mut deployment = deployment_after(Duration::from_secs(5), count);
        deployment.kill(by_rank(count)[0]);
        deployment.play(Duration::from_secs(lost_s));
        deployment.start(usize::from(count));
        deployment.play(CONTACT_TIME);
        assert_eq!(deployment.gaps(), BTreeMap::new(), "lost {lost_s} s ago");
    }
}

/// The core itself is gone as far as that node can tell.
#[test]
fn a_node_that_does_not_hear_the_first_core_is_named_and_names_the_others() {
    let ranked = by_rank(16);
    for node in [ranked[2], ranked[9]] {
        let mut deployment = deployment_after(Duration::from_secs(5), 16);
        deployment.cut.insert((ranked[0], node));
        for second in 1..=20 {
            deployment.play(Duration::from_secs(1));
            let mut gaps = deployment.gaps();
            let own = gaps.remove(&node).unwrap_or_default();
            assert_eq!(gaps, BTreeMap::new(), "{node} after {second} s");
            let may_lack = second <= CONTACT_TIME.as_secs() || own.iter().eq(&[ranked[0]]);
            assert!(own.is_empty() || may_lack, "{node} after {second} s: {own:?}");
        }
    }
}

#[test]
fn a_node_that_is_lost_is_named_no_more_though_nothing_else_happens() {
    for count in [2, 3, 8, 16] {
        for lost in 0..usize::from(count) {
            let mut deployment = deployment_after(Duration::from_secs(5), count);
            deployment.kill(lost);
            deployment.play(CONTACT_TIME);
            assert_eq!(deployment.leftovers(), BTreeMap::new(), "{lost} of {count}");
        }
    }
}

#[test]
fn every_node_names_those_of_the_other_data_centres() {
    for (places, each) in [(2, 6), (2, 7), (3, 5), (5, 3)] {
        for seed in 0..10 {
            let mut deployment = start_all(seed, wide_nodes(places, each));
            deployment.play(CONTACT_TIME);
            assert_eq!(deployment.gaps(), BTreeMap::new(), "{places} of {each}, seed {seed}");
        }
    }
}
