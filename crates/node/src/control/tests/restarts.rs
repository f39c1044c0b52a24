//! What traffic and other nodes see of a control that starts again after a panic, in virtual time.

use {
    super::{CONVERGENCE_TIME, deployment::Deployment, equal_nodes, quarantine::row, start_all},
    crate::event::{Event, WatchedTable},
    glade_platform::{Revision, Snapshot},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const SERVERS: usize = 5;

/// Passes the registry to a node, as if it had read the store.
fn show_registry(deployment: &mut Deployment, node: usize) {
    let rows = (0..SERVERS).map(row).collect();
    let snapshot = Snapshot { rows, revision: Revision::new(1) };
    deployment.handle(node, Event::Snapshot(WatchedTable::Registry, snapshot));
}

#[test]
fn a_control_that_starts_again_doesnt_empty_the_published_view() {
    let mut deployment = start_all(1, equal_nodes(1));
    show_registry(&mut deployment, 0);
    deployment.run_for(CONVERGENCE_TIME);
    let before = deployment.view(0).expect("a view");
    assert_eq!((before.servers.len(), before.catalog.is_some()), (SERVERS, true));
    deployment.restart_control(0);
    deployment.run_for(Duration::from_secs(30));
    let kept = deployment.view(0).expect("a view");
    assert!(Arc::ptr_eq(&before, &kept), "the store doesn't answer and there is no other node");
    show_registry(&mut deployment, 0);
    deployment.run_for(CONVERGENCE_TIME);
    let after = deployment.view(0).expect("a view");
    assert!(!Arc::ptr_eq(&before, &after), "the control has rebuilt its state");
    assert_eq!((after.servers.len(), after.catalog.is_some()), (SERVERS, true));
}

#[test]
fn a_control_that_starts_again_rebuilds_its_state_from_other_nodes() {
    for restarted in 0..8 {
        let mut deployment = start_all(1, equal_nodes(8));
        (0..8).for_each(|node| show_registry(&mut deployment, node));
        deployment.run_for(CONVERGENCE_TIME);
        let before = deployment.view(restarted).expect("a view");
        deployment.restart_control(restarted);
        for _ in 0..100 {
            deployment.run_for(Duration::from_millis(50));
            let servers = deployment.view(restarted).expect("a view").servers.len();
            assert_eq!(servers, SERVERS);
            assert!(!deployment.missing_nodes().contains_key(&restarted));
        }
        let after = deployment.view(restarted).expect("a view");
        assert!(!Arc::ptr_eq(&before, &after), "the control of {restarted} publishes again");
        assert_eq!(deployment.missing_nodes(), BTreeMap::new());
    }
}
