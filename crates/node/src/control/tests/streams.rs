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
    std::time::Duration,
};

/// Time after which a deployment has its topology, and has run for longer than records are kept.
const SETTLING_TIME: Duration = Duration::from_secs(45);
/// Time within which a stream that has begun is known where it must be.
const REPORT_TIME: Duration = Duration::from_millis(300);
/// Time within which a question is answered.
const ANSWER_TIME: Duration = Duration::from_millis(300);
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

/// What `node` answers a request for the rest of `stream`.
fn origin(deployment: &mut Deployment, node: usize, stream: u64) -> Option<StreamOrigin> {
    let service = stable_hash(record(1).service.as_str().as_bytes()) as u32;
    let question = StreamQuestion { stream, service };
    deployment.handle(node, Event::TrafficUpdate(TrafficUpdate::OriginWanted(5, question)));
    deployment.run_for(ANSWER_TIME);
    let origins = deployment.take_origins(node);
    assert!(origins.len() < 2 && origins.iter().all(|(number, _)| *number == 5), "{origins:?}");
    origins.first().map(|(_, origin)| *origin)
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
