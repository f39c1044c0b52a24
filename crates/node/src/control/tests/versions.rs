//! Software versions of servers, as nodes exchange them.

use {
    super::{
        deployment::Deployment, nodes_of_data_centres, quarantine::record, sim_store::SimStore,
    },
    glade_catalog::ServerRecord,
    glade_types::SoftwareVersion,
    std::time::Duration,
};

/// Time after which a deployment has its topology and the nodes that read the store.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Time after which every node knows a server that has registered.
const UPDATE_TIME: Duration = Duration::from_secs(3);

/// A deployment of three data centres of `each` nodes, whose store has an entry of a server.
fn deployment(each: u8) -> Deployment {
    let nodes = nodes_of_data_centres(3, each);
    let count = nodes.len();
    let mut deployment = Deployment::new(1, nodes);
    deployment.store = Some(SimStore::default());
    (0..count).for_each(|position| deployment.start(position));
    deployment.run_for(SETTLING_TIME);
    write_server(&mut deployment, "v1");
    deployment
}

fn write_server(deployment: &mut Deployment, version: &str) {
    let version = SoftwareVersion::new(version);
    let store = deployment.store.as_mut().expect("a store");
    store.write_server(&ServerRecord { version, ..record(1) });
    deployment.run_for(UPDATE_TIME);
}

fn versions(deployment: &Deployment, count: usize) -> Vec<String> {
    let version = |position| {
        let view = deployment.view(position).expect("a running node");
        view.servers.iter().map(|server| server.record.version.to_string()).collect()
    };
    (0..count).map(version).collect()
}

#[test]
fn all_nodes_know_the_software_version_of_a_server() {
    for each in [2, 6] {
        let mut deployment = deployment(each);
        let count = usize::from(each) * 3;
        assert_eq!(versions(&deployment, count), vec!["v1"; count]);
        write_server(&mut deployment, "v2");
        assert_eq!(versions(&deployment, count), vec!["v2"; count]);
        deployment.kill(0);
        deployment.start(0);
        deployment.run_for(UPDATE_TIME);
        assert_eq!(versions(&deployment, count), vec!["v2"; count]);
    }
}
