//! Which nodes the directories of a deployment's nodes list, after starts, crashes and lost
//! connections, in virtual time.

mod deployment;
mod lease;
mod limits;
mod quarantine;
mod quotas;
mod removals;
mod restarts;
mod roles;
mod sim_store;
mod streams;
mod teams;
mod versions;

use {
    self::deployment::Deployment,
    crate::{fixtures::node, peer_message::PeerInfo},
    glade_types::rendezvous_order,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after a change within which every directory must list exactly the running nodes.
const CONVERGENCE_TIME: Duration = Duration::from_secs(3);

/// `count` nodes of one data centre, all of the same size.
fn equal_nodes(count: u8) -> Vec<PeerInfo> {
    (1..=count).map(|number| node(1, number, 250)).collect()
}

/// `data_centres` data centres of `each` nodes, all of the same size.
fn nodes_of_data_centres(data_centres: u8, each: u8) -> Vec<PeerInfo> {
    let nodes = |number| (1..=data_centres).map(move |data_centre| node(data_centre, number, 250));
    (1..=each).flat_map(nodes).collect()
}

fn start_all(seed: u64, nodes: Vec<PeerInfo>) -> Deployment {
    let count = nodes.len();
    let mut deployment = Deployment::new(seed, nodes);
    for position in 0..count {
        deployment.start(position);
        deployment.run_for(Duration::from_millis(5));
    }
    deployment
}

/// Positions of `count` equal nodes by rank, the primary core first.
fn by_rank(count: u8) -> Vec<usize> {
    let nodes = equal_nodes(count);
    let order = rendezvous_order("core", nodes.iter().map(|info| info.vm.as_str()));
    let position = |name: &&str| nodes.iter().position(|info| info.vm.as_str() == *name);
    order.iter().filter_map(position).collect()
}

/// A deployment whose first `count` nodes have run for `time`. One more node, the last, hasn't been
/// started.
fn deployment_running_for(time: Duration, count: u8) -> Deployment {
    let mut deployment = Deployment::new(1, equal_nodes(count + 1));
    for position in 0..usize::from(count) {
        deployment.start(position);
        deployment.run_for(Duration::from_secs(1));
    }
    deployment.run_for(time);
    assert_eq!(deployment.missing_nodes(), BTreeMap::new());
    deployment
}

#[test]
fn every_directory_lists_all_nodes_after_they_start_together() {
    for count in [8, 12, 13, 14, 20] {
        for seed in 0..30 {
            let mut deployment = start_all(seed, equal_nodes(count));
            deployment.run_for(CONVERGENCE_TIME);
            assert_eq!(deployment.missing_nodes(), BTreeMap::new(), "{count} nodes, seed {seed}");
        }
    }
}

#[test]
fn a_restarted_node_is_listed_and_lists_the_others_however_long_they_have_run() {
    for (count, run_s) in [(8, 20), (8, 100), (16, 20), (16, 100)] {
        for position in 0..usize::from(count) {
            let mut deployment = deployment_running_for(Duration::from_secs(run_s), count);
            deployment.kill(position);
            deployment.run_for(Duration::from_millis(500));
            deployment.start(position);
            deployment.run_for(CONVERGENCE_TIME);
            assert_eq!(
                deployment.missing_nodes(),
                BTreeMap::new(),
                "{position} of {count} after {run_s} s"
            );
        }
    }
}

#[test]
fn a_new_node_is_listed_however_long_ago_the_primary_core_was_lost() {
    let count = 16;
    for lost_s in [3, 9, 15, 25, 40] {
        let mut deployment = deployment_running_for(Duration::from_secs(5), count);
        deployment.kill(by_rank(count)[0]);
        deployment.run_for(Duration::from_secs(lost_s));
        deployment.start(usize::from(count));
        deployment.run_for(CONVERGENCE_TIME);
        assert_eq!(deployment.missing_nodes(), BTreeMap::new(), "lost {lost_s} s ago");
    }
}

/// The connection from the primary core to one node is cut. That node can't tell this from a crash
/// of the core, so it may omit the core from its directory.
#[test]
fn a_node_cut_off_from_the_primary_core_is_listed_and_lists_the_other_nodes() {
    let ranked = by_rank(16);
    for node in [ranked[2], ranked[9]] {
        let mut deployment = deployment_running_for(Duration::from_secs(5), 16);
        deployment.cut_links.insert((ranked[0], node));
        for second in 1..=20 {
            deployment.run_for(Duration::from_secs(1));
            let mut missing = deployment.missing_nodes();
            let own = missing.remove(&node).unwrap_or_default();
            assert_eq!(missing, BTreeMap::new(), "{node} after {second} s");
            let may_lack = second <= CONVERGENCE_TIME.as_secs() || own.iter().eq(&[ranked[0]]);
            assert!(own.is_empty() || may_lack, "{node} after {second} s: {own:?}");
        }
    }
}

#[test]
fn a_lost_node_is_removed_from_directories_without_any_other_event() {
    for count in [2, 3, 8, 16] {
        for lost in 0..usize::from(count) {
            let mut deployment = deployment_running_for(Duration::from_secs(5), count);
            deployment.kill(lost);
            deployment.run_for(CONVERGENCE_TIME);
            assert_eq!(deployment.stale_nodes(), BTreeMap::new(), "{lost} of {count}");
        }
    }
}

#[test]
fn every_directory_lists_the_nodes_of_the_other_data_centres() {
    for (data_centres, each) in [(2, 6), (2, 7), (3, 5), (5, 3)] {
        for seed in 0..10 {
            let mut deployment = start_all(seed, nodes_of_data_centres(data_centres, each));
            deployment.run_for(CONVERGENCE_TIME);
            assert_eq!(
                deployment.missing_nodes(),
                BTreeMap::new(),
                "{data_centres} of {each}, seed {seed}"
            );
        }
    }
}
