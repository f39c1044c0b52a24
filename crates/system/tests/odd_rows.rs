//! Rows that another writer leaves in the store, and answers of the store with rows that can't be decoded: nodes
//! live, and follow later changes.

use {
    glade_standins::site::{ODD_KEYS, RowFault, leaving_entry, odd_entries, sound_entry},
    glade_system::site::{CHAT, CLAIM, Site},
    std::time::Duration,
};

/// Nodes of a deployment without a full mesh.
const LARGE: usize = 14;
/// Time in which the holder of the lease asks all engines for reports.
const REPORTS_TIME: Duration = Duration::from_millis(2500);

/// Checks that all nodes live, that they see a later change of the registry and a later
/// configuration, and that requests are answered.
fn assert_nodes_follow(site: &mut Site, nodes: usize, version: u64) {
    site.pause(REPORTS_TIME);
    let ended: Vec<(usize, i32)> =
        (0..nodes).filter_map(|node| Some((node, site.ended_node(node)?))).collect();
    let last_lines = |node: usize| {
        let log = site.node_log(node);
        log.lines().rev().take(3).collect::<Vec<_>>().join("\n")
    };
    let logs: Vec<String> = ended.iter().map(|(node, _)| last_lines(*node)).collect();
    assert!(ended.is_empty(), "nodes that ended by themselves: {ended:?} {logs:?}");
    (0..nodes).for_each(|node| assert_eq!(panic_of(site, node), None, "node-{node}"));
    let id = format!("later-{version}");
    site.store.put(&format!("servers/{id}"), leaving_entry("pool"));
    let line = format!("\"server\":\"{id}\"");
    site.eventually("all nodes see a later change of the registry", || {
        (0..nodes).all(|node| site.node_log(node).contains(&line))
    });
    site.configure(version);
    let line = format!("\"version\":{version},");
    site.eventually("a later configuration is in force", || {
        (0..nodes).all(|node| site.node_log(node).contains(&line))
    });
    for node in 0..nodes {
        for (path, model) in [(CHAT, Some("m0")), (CLAIM, None)] {
            let reply = site.send(node, path, model, &site.request_id());
            let panic = panic_of(site, node);
            assert!(reply.as_ref().is_some_and(|reply| reply.status == 200), "{reply:?} {panic:?}");
        }
    }
}

/// The first panic in the log of a node.
fn panic_of(site: &Site, node: usize) -> Option<String> {
    site.node_log(node).lines().find(|line| line.contains("panicked")).map(str::to_owned)
}

fn put_odd_entries(site: &Site) {
    for service in ["pool", "market"] {
        for (position, value) in odd_entries(service, "m1").into_iter().enumerate() {
            site.store.put(&format!("servers/odd-{service}-{position}"), value);
        }
    }
}

#[test]
fn no_part_of_a_node_ends_by_a_server_name_that_no_header_can_hold() {
    let mut site = Site::start(3, &[&["m0"], &["m0"]]);
    ODD_KEYS.iter().for_each(|key| site.store.put(key, sound_entry("pool", "m1")));
    assert_nodes_follow(&mut site, 3, 2);
    site.add_node();
    site.all_serve();
    assert_nodes_follow(&mut site, 4, 3);
}

#[test]
fn nodes_follow_the_registry_past_odd_entries() {
    let mut site = Site::start(3, &[&["m0"], &["m0"]]);
    put_odd_entries(&site);
    assert_nodes_follow(&mut site, 3, 2);
    site.add_node();
    site.all_serve();
    assert_nodes_follow(&mut site, 4, 3);
}

#[test]
fn a_large_deployment_follows_the_registry_past_odd_entries() {
    let mut site = Site::start(LARGE, &[&["m0"], &["m0"]]);
    put_odd_entries(&site);
    assert_nodes_follow(&mut site, LARGE, 2);
    site.add_node();
    site.all_serve();
    assert_nodes_follow(&mut site, LARGE + 1, 3);
}

#[test]
fn an_odd_entry_under_the_name_of_a_sound_engine_only_takes_that_engine_away() {
    let mut site = Site::start(3, &[&["m0"], &["m0"]]);
    for (round, value) in (2..).zip(odd_entries("pool", "m0").into_iter().step_by(11)) {
        site.store.put("servers/engine-0", value);
        assert_nodes_follow(&mut site, 3, round);
    }
    site.engines[0].register();
    site.eventually("the sound entry is used again", || {
        site.send(0, CHAT, Some("m0"), &site.request_id()).expect("an answer");
        site.log.runs().iter().rev().take(8).any(|run| run.server == "engine-0")
    });
}

#[test]
fn a_row_that_cant_be_decoded_loses_no_other_row_of_an_answer() {
    let mut site = Site::start(3, &[&["m0"], &["m0"]]);
    for (position, fault) in RowFault::ALL.into_iter().enumerate() {
        let key = format!("servers/odd-{position}");
        site.store.set_row_fault(&key, Some(fault));
        site.store.put(&key, sound_entry("pool", "m1"));
    }
    assert_nodes_follow(&mut site, 3, 2);
    site.add_node();
    site.all_serve();
    assert_nodes_follow(&mut site, 4, 3);
}

#[test]
fn a_configuration_row_that_cant_be_decoded_hides_no_later_one() {
    let mut site = Site::start(2, &[&["m0"], &["m0"]]);
    let faults = [RowFault::ValueNotBase64, RowFault::ValueNested, RowFault::VersionTooLarge];
    for (version, fault) in (2..).zip(faults) {
        site.store.set_row_fault("op/config", Some(fault));
        site.configure(version * 2);
        site.pause(Duration::from_millis(400));
        site.store.set_row_fault("op/config", None);
        assert_nodes_follow(&mut site, 2, version * 2 + 1);
    }
}
