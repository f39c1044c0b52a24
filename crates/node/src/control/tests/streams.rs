//! What the nodes of a deployment know of the software versions that began streams.

use {
    super::{
        deployment::Deployment, nodes_of_data_centres, quarantine::record, sim_store::SimStore,
    },
    crate::event::Event,
    glade_catalog::ServerRecord,
    glade_relay::TrafficUpdate,
    glade_streams::{StreamOrigin, StreamQuestion},
    glade_types::{SoftwareVersion, stable_hash},
    std::{collections::BTreeSet, time::Duration},
};

/// Time after which a deployment has its topology, and has run for longer than records are kept.
const SETTLING_TIME: Duration = Duration::from_secs(45);
/// Time within which a stream that has begun is known where it must be.
const REPORT_TIME: Duration = Duration::from_millis(300);
/// Time within which a question is answered.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time for which a caller waits for the rest of a stream.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Time within which streams begin at a server that has registered.
const RELEASE_TIME: Duration = Duration::from_millis(600);
const STREAM: u64 = 77;

fn server(number: usize, version: &str) -> ServerRecord {
    ServerRecord { version: SoftwareVersion::new(version), ..record(number) }
}

/// Three data centres of `each` nodes, and a server of each of the `versions`.
fn deployment(each: u8, versions: &[&str]) -> Deployment {
    let nodes = nodes_of_data_centres(3, each);
    let count = nodes.len();
    let mut deployment = Deployment::new(1, nodes);
    let mut store = SimStore::default();
    for (version, number) in versions.iter().zip(1..) {
        store.write_server(&server(number, version));
    }
    deployment.store = Some(store);
    (0..count).for_each(|position| deployment.start(position));
    deployment.run_for(SETTLING_TIME);
    deployment
}

fn begin_stream(deployment: &mut Deployment, node: usize, version: &str) {
    let version = server(1, version).version_hash();
    let update = TrafficUpdate::StreamBegun { stream: STREAM, version };
    deployment.handle(node, Event::TrafficUpdate(update));
    deployment.run_for(REPORT_TIME);
}

/// Registers a server of another version, and lets it run for long enough that streams can begin there.
fn release(deployment: &mut Deployment) {
    deployment.store.as_mut().expect("a store").write_server(&server(2, "v2"));
    deployment.run_for(RELEASE_TIME);
}

/// Cuts `nodes` off from the store and from all others.
fn cut_off(deployment: &mut Deployment, nodes: &[usize], count: usize) {
    let cut: BTreeSet<usize> = nodes.iter().copied().collect();
    let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
    deployment.cut_links =
        links.filter(|(from, to)| cut.contains(from) != cut.contains(to)).collect();
    deployment.store.as_mut().expect("a store").cut_off = cut;
}

fn heal(deployment: &mut Deployment) {
    cut_off(deployment, &[], 0);
}

/// What `node` answers a request for the rest of `stream` while its caller waits.
fn origin_in_the_end(
    deployment: &mut Deployment,
    node: usize,
    stream: u64,
) -> Option<StreamOrigin> {
    let origin = origin(deployment, node, stream);
    deployment.run_for(CALLER_PATIENCE);
    origin.or(deployment.take_origins(node).first().map(|reply| reply.origin))
}

/// What `node` answers a request for the rest of `stream` soon.
fn origin(deployment: &mut Deployment, node: usize, stream: u64) -> Option<StreamOrigin> {
    let service = stable_hash(record(1).service.as_str().as_bytes()) as u32;
    let question = StreamQuestion { stream, service };
    deployment.handle(node, Event::TrafficUpdate(TrafficUpdate::OriginWanted(5, question)));
    deployment.run_for(ANSWER_TIME);
    let origins = deployment.take_origins(node);
    assert!(origins.len() < 2 && origins.iter().all(|reply| reply.number == 5), "{origins:?}");
    origins.first().map(|reply| reply.origin)
}

fn version(name: &str) -> Option<StreamOrigin> {
    Some(StreamOrigin::Version(server(1, name).version_hash()))
}

#[test]
fn any_node_knows_the_version_of_a_stream_whose_node_was_killed() {
    for (each, name) in [(2, "v1"), (2, "v2"), (20, "v1"), (20, "v2")] {
        let mut deployment = deployment(each, &["v1", "v2"]);
        let nodes = usize::from(each) * 3;
        let begun_at = deployment.leaves().first().copied().unwrap_or(0);
        begin_stream(&mut deployment, begun_at, name);
        deployment.kill(begun_at);
        for node in (0..nodes).filter(|node| *node != begun_at).step_by(7) {
            assert_eq!(origin(&mut deployment, node, STREAM), version(name), "{node} of {nodes}");
        }
    }
}

#[test]
fn a_node_that_has_just_started_is_told_by_others() {
    for each in [2, 20] {
        let mut deployment = deployment(each, &["v1", "v2"]);
        let cores = deployment.cores();
        begin_stream(&mut deployment, cores[1], "v2");
        for node in [cores[0], cores[1]] {
            deployment.kill(node);
            deployment.start(node);
        }
        deployment.run_for(Duration::from_secs(1));
        for node in [cores[0], cores[1]] {
            assert_eq!(origin(&mut deployment, node, STREAM), version("v2"), "{node}");
        }
    }
}

#[test]
fn a_stream_that_nobody_has_reported_is_unknown_where_there_are_several_versions() {
    for each in [2, 20] {
        let mut deployment = deployment(each, &["v1", "v2"]);
        for node in 0..3 {
            let origin = origin(&mut deployment, node, STREAM);
            assert_eq!(origin, Some(StreamOrigin::Unknown), "{node}");
        }
    }
}

#[test]
fn a_stream_that_nobody_has_reported_began_at_the_only_version() {
    for each in [2, 20] {
        let mut deployment = deployment(each, &["v1"]);
        for node in 0..3 {
            assert_eq!(origin(&mut deployment, node, STREAM), Some(StreamOrigin::Only), "{node}");
        }
    }
}

/// A node that is cut off from the store and from the others knew one version, concluded that it had begun every
/// stream, and let streams of another go on there.
#[test]
fn a_node_that_is_cut_off_doesnt_take_its_version_for_the_only_one() {
    for each in [2, 20] {
        for ms in [0, 100, 500, 2000, 10_000, 35_000, 80_000] {
            let mut deployment = deployment(each, &["v1"]);
            let count = usize::from(each) * 3;
            let node = deployment.cores()[0];
            cut_off(&mut deployment, &[node], count);
            release(&mut deployment);
            deployment.run_for(Duration::from_millis(ms));
            let origin = origin_in_the_end(&mut deployment, node, STREAM);
            assert_eq!(origin, Some(StreamOrigin::Unanswered), "{count} nodes, after {ms} ms");
        }
    }
}

#[test]
fn nodes_that_are_cut_off_together_dont_take_their_version_for_the_only_one() {
    for each in [2, 20] {
        for ms in [0, 100, 500, 2000, 10_000, 35_000, 80_000] {
            let mut deployment = deployment(each, &["v1"]);
            let count = usize::from(each) * 3;
            let data_centre: Vec<usize> = (0..count).step_by(3).collect();
            cut_off(&mut deployment, &data_centre, count);
            release(&mut deployment);
            deployment.run_for(Duration::from_millis(ms));
            for node in data_centre {
                let origin = origin_in_the_end(&mut deployment, node, STREAM);
                assert_ne!(origin, Some(StreamOrigin::Only), "{node} of {count}, after {ms} ms");
            }
        }
    }
}

/// The same after a node has stood still: it hadn't looked, and didn't know that.
#[test]
fn a_node_that_stood_still_doesnt_take_its_version_for_the_only_one() {
    for each in [2, 20] {
        for ms in [0, 5, 50, 300, 1000] {
            let mut deployment = deployment(each, &["v1"]);
            let nodes = [deployment.cores()[0], deployment.leaves().first().copied().unwrap_or(1)];
            deployment.frozen_nodes.extend(nodes);
            deployment.run_for(Duration::from_secs(3));
            release(&mut deployment);
            deployment.frozen_nodes.clear();
            deployment.run_for(Duration::from_millis(ms));
            for node in nodes {
                let origin = origin_in_the_end(&mut deployment, node, STREAM);
                assert_eq!(origin, Some(StreamOrigin::Unknown), "{node}, after {ms} ms");
            }
        }
    }
}

/// A version that came and went while the node was cut off.
#[test]
fn a_node_that_was_cut_off_is_told_by_others_of_versions_that_it_has_missed() {
    for each in [2, 20] {
        for ms in [0, 20, 300, 1000, 5000] {
            let mut deployment = deployment(each, &["v1"]);
            let count = usize::from(each) * 3;
            let node = deployment.cores()[0];
            cut_off(&mut deployment, &[node], count);
            release(&mut deployment);
            let store = deployment.store.as_mut().expect("a store");
            store.remove_server(&server(2, "v2").key.id);
            deployment.run_for(Duration::from_secs(6));
            heal(&mut deployment);
            deployment.run_for(Duration::from_millis(ms));
            let origin = origin_in_the_end(&mut deployment, node, STREAM);
            assert!(
                matches!(origin, Some(StreamOrigin::Unknown | StreamOrigin::Unanswered)),
                "{count} nodes, after {ms} ms: {origin:?}"
            );
        }
    }
}

#[test]
fn streams_of_the_only_version_go_on_while_the_store_is_away() {
    for each in [2, 20] {
        let mut deployment = deployment(each, &["v1"]);
        let count = usize::from(each) * 3;
        let store = deployment.store.as_mut().expect("a store");
        store.cut_off = (0..count).collect();
        for _ in 0..5 {
            deployment.run_for(Duration::from_secs(4));
            for node in [0, 1] {
                assert_eq!(origin(&mut deployment, node, STREAM), Some(StreamOrigin::Only));
            }
        }
    }
}

#[test]
fn streams_of_the_only_version_go_on_after_another_node_was_killed() {
    for each in [2, 20] {
        for ms in [0, 500, 3000] {
            let mut deployment = deployment(each, &["v1"]);
            let cores = deployment.cores();
            deployment.kill(cores[1]);
            deployment.run_for(Duration::from_millis(ms));
            let origin = origin(&mut deployment, cores[0], STREAM);
            assert_eq!(origin, Some(StreamOrigin::Only), "after {ms} ms");
        }
    }
}
