//! For how long servers are used whose entries were removed from the registry, while the store turns nodes
//! away or answers none.

use {
    super::{
        deployment::Deployment, nodes_of_data_centres, quarantine::record, sim_store::SimStore,
    },
    crate::event::Event,
    std::{collections::BTreeSet, time::Duration},
};

/// Time after which a deployment has its topology, and the nodes that read the store.
const SETTLING_TIME: Duration = Duration::from_secs(8);
/// Time for which a server may be sent requests after its entry was removed: the platform's `DrainMs`.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Time for which a node hasn't been turned away if it counts as one that the store serves.
const CALM: Duration = Duration::from_millis(4500);
/// Time from the loss of the readers to the removal of an entry.
const REMOVED_AFTER: Duration = Duration::from_millis(300);
/// Time after the return of the store at which a live server has written its entry again, in these tests.
const BACK_AFTER_OUTAGE: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(25);
const SEEDS: u64 = 10;

/// Three data centres of `each` nodes, and a few servers.
fn deployment(seed: u64, each: u8) -> Deployment {
    fastrand::seed(seed);
    let nodes = nodes_of_data_centres(3, each);
    let count = nodes.len();
    let mut deployment = Deployment::new(seed, nodes);
    let mut store = SimStore::default();
    store.write_config(2);
    (1..=4).for_each(|server| store.write_server(&record(server)));
    deployment.store = Some(store);
    for position in 0..count {
        deployment.start(position);
        deployment.run_for(Duration::from_millis(5));
    }
    deployment.run_for(SETTLING_TIME);
    assert_eq!(users(&deployment), (0..count).collect());
    deployment
}

fn store(deployment: &mut Deployment) -> &mut SimStore {
    deployment.store.as_mut().expect("a store")
}

/// Has the store turn `nodes` away, and serve all others.
fn turn_away(deployment: &mut Deployment, nodes: &BTreeSet<usize>) {
    store(deployment).cut_off.clone_from(nodes);
}

/// Lets a call of each of `nodes` fail, as their read of a later configuration does.
fn fail_calls(deployment: &mut Deployment, nodes: &BTreeSet<usize>) {
    let now = deployment.now();
    for node in nodes {
        deployment.handle(*node, Event::StoreCallFailed(now, "no answer".to_owned()));
    }
}

/// Nodes that send requests to the first server.
fn users(deployment: &Deployment) -> BTreeSet<usize> {
    let all = deployment.cores().into_iter().chain(deployment.leaves());
    let uses = |node: &usize| {
        let view = deployment.view(*node).expect("a running node");
        view.servers.iter().any(|server| server.record.key == record(1).key && server.usable)
    };
    all.filter(uses).collect()
}

/// Removes the first server's entry, and returns for how long nodes other than `except` then use it.
fn time_in_use_after_removal(deployment: &mut Deployment, except: &BTreeSet<usize>) -> Duration {
    store(deployment).remove_server(&record(1).key.id);
    let removed_at = deployment.now();
    let mut last_used_at = removed_at;
    while deployment.now() < removed_at + LEAVING_TIME * 2 {
        deployment.run_for(STEP);
        if users(deployment).difference(except).next().is_some() {
            last_used_at = deployment.now();
        }
    }
    last_used_at - removed_at
}

/// Turns the readers away, and returns for how long the others use a server whose entry is removed then.
fn time_in_use_without_readers(deployment: &mut Deployment) -> Duration {
    let readers = deployment.readers().into_iter().collect();
    turn_away(deployment, &readers);
    deployment.run_for(REMOVED_AFTER);
    time_in_use_after_removal(deployment, &readers)
}

/// Nodes that the store had turned away seconds before took it for lost until their next call, and for just
/// returned then: they sent requests to a removed server for up to 2.4 s.
#[test]
fn a_removed_server_isnt_used_for_longer_because_nodes_were_turned_away_before() {
    for seed in 0..SEEDS {
        let mut deployment = deployment(seed, 2);
        let readers: BTreeSet<usize> = deployment.readers().into_iter().collect();
        let others: BTreeSet<usize> = (0..6).filter(|node| !readers.contains(node)).collect();
        turn_away(&mut deployment, &others);
        fail_calls(&mut deployment, &others);
        deployment.run_for(Duration::from_secs(2));
        turn_away(&mut deployment, &BTreeSet::new());
        deployment.run_for(CALM);
        let time = time_in_use_without_readers(&mut deployment);
        assert!(time <= LEAVING_TIME, "seed {seed}: {time:?}");
    }
}

/// A node that the store has turned away until just now may read first. Its update told the others that the
/// store was away, though it had answered them all along: they sent requests to a removed server for 2.7 s.
#[test]
fn a_removed_server_isnt_used_for_longer_because_the_next_reader_was_turned_away() {
    for (seed, node) in (0..SEEDS).flat_map(|seed| (0..6).map(move |node| (seed, node))) {
        let mut deployment = deployment(seed, 2);
        let readers: BTreeSet<usize> = deployment.readers().into_iter().collect();
        if readers.contains(&node) {
            continue;
        }
        let away = BTreeSet::from([node]);
        turn_away(&mut deployment, &away);
        for _ in 0..6 {
            fail_calls(&mut deployment, &away);
            deployment.run_for(Duration::from_millis(500));
        }
        turn_away(&mut deployment, &readers);
        deployment.run_for(REMOVED_AFTER);
        let except = readers.union(&away).copied().collect();
        let time = time_in_use_after_removal(&mut deployment, &except);
        assert!(time <= LEAVING_TIME, "seed {seed}, node {node}: {time:?}");
    }
}

/// A node that was cut off from the store and from the others takes the store for just returned. Its update said
/// so to nodes that the store had answered all along.
#[test]
fn a_removed_server_isnt_used_for_longer_because_a_node_was_cut_off_from_all() {
    for (seed, node) in (0..SEEDS).flat_map(|seed| (0..6).map(move |node| (seed, node))) {
        let mut deployment = deployment(seed, 2);
        let readers: BTreeSet<usize> = deployment.readers().into_iter().collect();
        if readers.contains(&node) {
            continue;
        }
        let away = BTreeSet::from([node]);
        turn_away(&mut deployment, &away);
        deployment.cut_links = (0..6).flat_map(|other| [(node, other), (other, node)]).collect();
        deployment.run_for(Duration::from_secs(4));
        deployment.cut_links.clear();
        turn_away(&mut deployment, &readers);
        deployment.run_for(REMOVED_AFTER);
        let except = readers.union(&away).copied().collect();
        let time = time_in_use_after_removal(&mut deployment, &except);
        assert!(time <= LEAVING_TIME, "seed {seed}, node {node}: {time:?}");
    }
}

/// The entries of live servers expire while the store is down, and are back within two seconds of its return.
#[test]
fn a_live_server_stays_in_use_while_its_entry_is_missing_after_an_outage() {
    for (each, seeds) in [(2, SEEDS), (20, 1)] {
        for seed in 0..seeds {
            let mut deployment = deployment(seed, each);
            let all: BTreeSet<usize> = (0..usize::from(each) * 3).collect();
            for outage_s in [2, 4, 9] {
                turn_away(&mut deployment, &all);
                deployment.run_for(Duration::from_secs(outage_s));
                store(&mut deployment).remove_server(&record(1).key.id);
                turn_away(&mut deployment, &BTreeSet::new());
                let back_at = deployment.now();
                while deployment.now() < back_at + BACK_AFTER_OUTAGE {
                    deployment.run_for(STEP);
                    assert_eq!(users(&deployment), all, "seed {seed}, {outage_s} s");
                }
                store(&mut deployment).write_server(&record(1));
                deployment.run_for(SETTLING_TIME);
                assert_eq!(users(&deployment), all, "seed {seed}, {outage_s} s");
            }
        }
    }
}
