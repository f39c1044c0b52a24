//! What the nodes of a deployment come to believe of each other, in virtual time.

mod deployment;

use {
    self::deployment::Deployment,
    crate::{fixtures::node, peer_message::PeerInfo},
    std::{collections::BTreeMap, time::Duration},
};

/// Time in which every directory names every node.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Nodes of one data centre that are all of the same size.
fn equal_nodes(count: u8) -> Vec<PeerInfo> {
    (1..=count).map(|number| node(1, number, 250)).collect()
}

fn start_all(seed: u64, count: u8) -> Deployment {
    let mut deployment = Deployment::new(seed, equal_nodes(count));
    for position in 0..usize::from(count) {
        deployment.start(position);
        deployment.play(Duration::from_millis(5));
    }
    deployment
}

/// A deployment that has served for `time`.
fn deployment_after(time: Duration, count: u8) -> Deployment {
    let mut deployment = Deployment::new(1, equal_nodes(count));
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
            let mut deployment = start_all(seed, count);
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
