//! Store readers and the holder of the lease while nodes are cut off from the store or from each
//! other.

use {
    super::{
        deployment::Deployment, nodes_of_data_centres, quarantine::record, sim_store::SimStore,
    },
    crate::event::{Event, TrafficReport},
    glade_catalog::{DemandReport, ModelDemand, ServerRecord, ServerState},
    glade_types::ModelName,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const DATA_CENTRES: u8 = 3;
/// Time within which a new version is in force at every node.
const UPDATE_TIME: Duration = Duration::from_secs(3);
/// Duration of the lease in these deployments plus two seconds.
const HOLDER_TIME: Duration = Duration::from_millis(2010 + 2000);
/// Time within which another node reads in place of one that has ended.
const READER_TIME: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(25);
/// Calls a second that the store receives beyond those of an undisturbed second. The few nodes that
/// find out at the same time that they reach the store each read two tables.
const MORE_CALLS_MAX: usize = 8;

/// A settled deployment with a store, `nodes` nodes large.
fn settled(seed: u64, nodes: u8) -> Deployment {
    fastrand::seed(seed);
    let nodes = nodes_of_data_centres(DATA_CENTRES, nodes);
    let count = nodes.len();
    let mut deployment = Deployment::new(seed, nodes);
    let mut store = SimStore::default();
    store.write_config(2);
    deployment.store = Some(store);
    for position in 0..count {
        deployment.start(position);
        deployment.run_for(Duration::from_millis(5));
    }
    deployment.run_for(Duration::from_secs(12));
    assert_eq!(outdated(&deployment, 2), Vec::<usize>::new());
    assert_eq!(deployment.holders().len(), 1);
    let (cores, readers) = (deployment.cores(), deployment.readers());
    assert!(cores.contains(&deployment.holders()[0]));
    assert!(
        readers.len() <= 2 && readers.iter().all(|reader| cores.contains(reader)),
        "{readers:?}"
    );
    deployment
}

fn store(deployment: &mut Deployment) -> &mut SimStore {
    deployment.store.as_mut().expect("a store")
}

/// Cores, and a third of the leaves from `offset` on.
fn cores_and_a_third(deployment: &Deployment, offset: usize) -> BTreeSet<usize> {
    let leaves = deployment.leaves();
    deployment.cores().into_iter().chain(leaves.into_iter().skip(offset).step_by(3)).collect()
}

/// Positions of nodes without `version` of the configuration.
fn outdated(deployment: &Deployment, version: u64) -> Vec<usize> {
    let all = deployment.cores().into_iter().chain(deployment.leaves());
    all.filter(|position| deployment.catalog_version(*position) < version).collect()
}

/// Lets `time` pass, and asserts that no two nodes hold the lease. Returns for how long no node did
/// at the end.
fn run_with_one_holder(deployment: &mut Deployment, time: Duration) -> Duration {
    let until = deployment.now() + time;
    let mut held_at = deployment.now();
    while deployment.now() < until {
        deployment.run_for(STEP);
        let holders = deployment.holders();
        assert!(holders.len() < 2, "{holders:?} hold the lease");
        if !holders.is_empty() {
            held_at = deployment.now();
        }
    }
    deployment.now() - held_at
}

/// Most calls that the store received in a second from `since` on.
fn busiest_second(deployment: &mut Deployment, since: Instant) -> usize {
    let received_at = &store(deployment).received_at;
    let later = || received_at.iter().filter(|at| **at >= since);
    let within_a_second = |from: Instant| {
        let second = from..from + Duration::from_secs(1);
        later().filter(|at| second.contains(at)).count()
    };
    later().map(|from| within_a_second(*from)).max().unwrap_or(0)
}

/// True if the demand of a leaf in each data centre reaches the data centre's cores and, within a
/// second, the holder of the lease.
fn demand_reaches_holder(deployment: &mut Deployment) -> bool {
    let holder = deployment.holders()[0];
    (0..usize::from(DATA_CENTRES)).all(|data_centre| {
        let is_local = |leaf: &usize| leaf % usize::from(DATA_CENTRES) == data_centre;
        let leaf = deployment.leaves().into_iter().find(|leaf| is_local(leaf) && *leaf != holder);
        let model = ModelName::new("m");
        let demand = ModelDemand { model, requests: 1, prompt_tokens: 9, in_flight: 0 };
        let demand = DemandReport { interval: STEP, models: vec![demand] };
        let report = TrafficReport { loads: None, demand };
        deployment.demand_receivers.clear();
        deployment.handle(leaf.expect("a leaf"), Event::TrafficReport(report));
        run_with_one_holder(deployment, Duration::from_secs(1));
        deployment.demand_receivers.contains(&holder)
    })
}

/// All six cores of a deployment were cut off from the store at once, and could reach the leaves.
/// 38 of these reached the store, and none read it or took the lease for ten seconds.
fn leaves_take_over_and_cores_take_back(seed: u64, nodes_each: u8) {
    let mut deployment = settled(seed, nodes_each);
    let quiet_since = deployment.now() - Duration::from_secs(2);
    let usual_calls = busiest_second(&mut deployment, quiet_since);
    let cut_at = deployment.now();
    let cut_off = cores_and_a_third(&deployment, seed as usize % 3);
    store(&mut deployment).cut_off = cut_off;
    store(&mut deployment).write_config(3);
    run_with_one_holder(&mut deployment, UPDATE_TIME);
    assert_eq!(outdated(&deployment, 3), Vec::<usize>::new(), "seed {seed}: version 3");
    let idle = run_with_one_holder(&mut deployment, HOLDER_TIME - UPDATE_TIME);
    assert_eq!(idle, Duration::ZERO, "seed {seed}: a holder");
    assert!(demand_reaches_holder(&mut deployment), "seed {seed}: demand");
    store(&mut deployment).write_config(4);
    let idle = run_with_one_holder(&mut deployment, Duration::from_secs(3));
    assert_eq!(outdated(&deployment, 4), Vec::<usize>::new(), "seed {seed}: version 4");
    assert_eq!(idle, Duration::ZERO, "seed {seed}: the holder stays");
    let calls = busiest_second(&mut deployment, cut_at);
    assert!(calls <= usual_calls + MORE_CALLS_MAX, "seed {seed}: {calls} after {usual_calls}");

    store(&mut deployment).cut_off.clear();
    store(&mut deployment).write_config(5);
    run_with_one_holder(&mut deployment, UPDATE_TIME);
    assert_eq!(outdated(&deployment, 5), Vec::<usize>::new(), "seed {seed}: version 5");
    let idle = run_with_one_holder(&mut deployment, Duration::from_secs(5));
    assert_eq!(idle, Duration::ZERO, "seed {seed}: a core holds the lease");
    let cores = deployment.cores();
    let (holders, readers) = (deployment.holders(), deployment.readers());
    assert!(cores.contains(&holders[0]), "seed {seed}: {holders:?}");
    assert!(readers.iter().all(|reader| cores.contains(reader)), "seed {seed}: {readers:?}");
}

#[test]
fn leaves_read_and_hold_the_lease_while_no_core_of_60_nodes_reaches_the_store() {
    (1..=4).for_each(|seed| leaves_take_over_and_cores_take_back(seed, 20));
}

#[test]
fn leaves_read_and_hold_the_lease_while_no_core_of_300_nodes_reaches_the_store() {
    leaves_take_over_and_cores_take_back(1, 100);
}

/// All cores and nine in ten leaves lose the store.
fn leaves_read_where_one_in_ten_reaches_the_store(offset: usize, nodes_each: u8) {
    let mut deployment = settled(1, nodes_each);
    let leaves = deployment.leaves();
    let reaching: BTreeSet<usize> = leaves.into_iter().skip(offset).step_by(10).collect();
    let all = deployment.cores().into_iter().chain(deployment.leaves());
    let cut_off = all.filter(|position| !reaching.contains(position)).collect();
    store(&mut deployment).cut_off = cut_off;
    store(&mut deployment).write_config(3);
    run_with_one_holder(&mut deployment, UPDATE_TIME);
    assert_eq!(outdated(&deployment, 3), Vec::<usize>::new(), "offset {offset}");
}

#[test]
fn new_versions_are_in_force_in_time_where_one_in_ten_of_60_nodes_reaches_the_store() {
    (0..10).for_each(|offset| leaves_read_where_one_in_ten_reaches_the_store(offset, 20));
}

#[test]
fn new_versions_are_in_force_in_time_where_one_in_ten_of_300_nodes_reaches_the_store() {
    [0, 5].iter().for_each(|offset| leaves_read_where_one_in_ten_reaches_the_store(*offset, 100));
}

/// The readers alone lose the store: other cores reach it, and no leaf may read.
#[test]
fn other_cores_read_in_place_of_readers_that_lose_the_store() {
    let mut deployment = settled(1, 20);
    let readers = deployment.readers();
    store(&mut deployment).cut_off.extend(readers);
    store(&mut deployment).write_config(3);
    run_with_one_holder(&mut deployment, UPDATE_TIME);
    assert_eq!(outdated(&deployment, 3), Vec::<usize>::new());
    let idle = run_with_one_holder(&mut deployment, HOLDER_TIME - UPDATE_TIME);
    assert_eq!(idle, Duration::ZERO);
}

/// The readers, with the holder of the lease among them, reach the store and each other, and nobody
/// else hears them. The holder renewed the lease for ever, and nobody else could take it.
#[test]
fn other_nodes_read_and_hold_the_lease_in_place_of_readers_that_nobody_else_hears() {
    for (seed, hears_others) in [(1, true), (2, false)] {
        let mut deployment = settled(seed, 20);
        let readers = deployment.readers();
        let others = (0..60).filter(|position| !readers.contains(position));
        let links = others.flat_map(|other| readers.iter().map(move |reader| (*reader, other)));
        let links: Vec<(usize, usize)> = links.collect();
        deployment.cut_links = links.iter().copied().collect();
        if !hears_others {
            deployment.cut_links.extend(links.iter().map(|(reader, other)| (*other, *reader)));
        }
        store(&mut deployment).write_config(3);
        run_with_one_holder(&mut deployment, UPDATE_TIME);
        let mut outdated = outdated(&deployment, 3);
        outdated.retain(|position| !readers.contains(position));
        assert_eq!(outdated, Vec::<usize>::new(), "seed {seed}");
        run_with_one_holder(&mut deployment, Duration::from_secs(4));
        let holders = deployment.holders();
        assert_eq!(holders.len(), 1, "seed {seed}");
        assert!(!readers.contains(&holders[0]), "seed {seed}: {holders:?} of {readers:?}");
    }
}

fn cores_of_first_data_centre(deployment: &Deployment) -> Vec<usize> {
    let is_local = |core: &usize| core.is_multiple_of(usize::from(DATA_CENTRES));
    deployment.cores().into_iter().filter(is_local).collect()
}

/// Has half of the batches and of the calls to the store of the nodes `lossy` be lost, and lets some
/// time pass.
fn begin_loss(deployment: &mut Deployment, lossy: &[usize]) {
    deployment.lossy_nodes.extend(lossy);
    store(deployment).lossy.extend(lossy);
    run_with_one_holder(deployment, UPDATE_TIME);
}

/// Nodes without `version` of the configuration, which was written after loss at the nodes `lossy` had
/// begun.
fn outdated_after_loss(deployment: &mut Deployment, lossy: &[usize], version: u64) -> Vec<usize> {
    begin_loss(deployment, lossy);
    store(deployment).write_config(version);
    run_with_one_holder(deployment, UPDATE_TIME);
    let mut outdated = outdated(deployment, version);
    outdated.retain(|position| !lossy.contains(position));
    outdated
}

/// Half of the readers' packets are lost. The other core of each data centre forwards to its leaves.
#[test]
fn other_cores_read_in_place_of_readers_that_lose_half_of_their_packets() {
    for seed in 1..=6 {
        let mut deployment = settled(seed, 20);
        let data_centre = |position: &usize| position % usize::from(DATA_CENTRES);
        let (lossy, cores) = (deployment.readers(), deployment.cores());
        let mut outdated = outdated_after_loss(&mut deployment, &lossy, 3);
        let has_steady_core = |node: &usize| {
            let mut steady = cores.iter().filter(|core| !lossy.contains(core));
            steady.any(|core| data_centre(core) == data_centre(node))
        };
        outdated.retain(has_steady_core);
        assert_eq!(outdated, Vec::<usize>::new(), "seed {seed}, {lossy:?}");
    }
}

/// Both cores of a data centre lose half of their packets, and its leaves hear no other nodes.
#[test]
fn leaves_of_cores_that_lose_half_of_their_packets_get_new_versions() {
    for seed in 1..=6 {
        let mut deployment = settled(seed, 20);
        let lossy = cores_of_first_data_centre(&deployment);
        let outdated = outdated_after_loss(&mut deployment, &lossy, 3);
        assert_eq!(outdated, Vec::<usize>::new(), "seed {seed}, {lossy:?}");
    }
}

/// Half of the batches of all cores are lost, and none of them reaches the store.
#[test]
fn leaves_read_while_half_of_the_cores_batches_are_lost() {
    for seed in 1..=6 {
        let mut deployment = settled(seed, 20);
        let cut_off = cores_and_a_third(&deployment, 0);
        deployment.lossy_nodes = deployment.cores().into_iter().collect();
        store(&mut deployment).cut_off = cut_off;
        store(&mut deployment).write_config(3);
        run_with_one_holder(&mut deployment, UPDATE_TIME * 2);
        assert_eq!(outdated(&deployment, 3), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Positions of nodes that send to a server.
fn sending(deployment: &Deployment) -> Vec<usize> {
    let is_used = |position: &usize| {
        let view = deployment.view(*position);
        view.is_some_and(|view| view.servers.iter().any(|server| server.usable))
    };
    let all = deployment.cores().into_iter().chain(deployment.leaves());
    all.filter(is_used).collect()
}

/// Both cores of a data centre lose half of their packets, and its leaves hear no other nodes.
#[test]
fn leaves_of_cores_that_lose_half_of_their_packets_stop_sending_to_a_server_that_leaves() {
    for seed in 1..=6 {
        let mut deployment = settled(seed, 20);
        store(&mut deployment).write_server(&record(1));
        run_with_one_holder(&mut deployment, UPDATE_TIME);
        assert_eq!(sending(&deployment).len(), 60);
        let lossy = cores_of_first_data_centre(&deployment);
        begin_loss(&mut deployment, &lossy);
        let leaving = ServerState::Leaving { remaining: None };
        store(&mut deployment).write_server(&ServerRecord { state: leaving, ..record(1) });
        run_with_one_holder(&mut deployment, UPDATE_TIME);
        let mut sending = sending(&deployment);
        sending.retain(|position| !lossy.contains(position));
        assert_eq!(sending, Vec::<usize>::new(), "seed {seed}, {lossy:?}");
    }
}

/// A node that the store had turned away once took it for lost until its next call, which it never made: the
/// others left it to that node to read beside the holder, and a single node read the tables.
#[test]
fn a_second_node_reads_the_tables_after_nodes_were_turned_away() {
    for seed in 0..10 {
        let mut deployment = settled(seed, 2);
        let readers: BTreeSet<usize> = deployment.readers().into_iter().collect();
        assert_eq!(readers.len(), 2);
        let others: Vec<usize> = (0..6).filter(|node| !readers.contains(node)).collect();
        for node in &others {
            let failed = Event::StoreCallFailed(deployment.now(), "no answer".to_owned());
            deployment.handle(*node, failed);
        }
        let standby = readers.into_iter().find(|node| !deployment.holders().contains(node));
        deployment.kill(standby.expect("a reader that isn't the holder"));
        deployment.run_for(READER_TIME);
        assert_eq!(deployment.readers().len(), 2, "seed {seed}");
    }
}
