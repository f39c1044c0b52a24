//! The store comes back from a copy some seconds old: what it had acknowledged since is gone, and its
//! revision numbers are given out again.

use {
    glade_catalog::{Catalog, Route},
    glade_standins::site::StoreFault,
    glade_system::site::{BROWSE, CHAT, EVENTS, Site, catalog},
    std::time::Duration,
};

fn whole_stream() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// The configuration of tests without the route for reads.
fn without_browse(version: u64) -> Catalog {
    let full = catalog(version);
    let mut routes: Vec<Route> = full.routes().map(|route| Route::clone(route)).collect();
    routes.retain(|route| route.path_prefix != BROWSE);
    Catalog::new(version, *full.limits(), routes, full.services().cloned().collect())
}

fn status(site: &Site, node: usize, path: &str, model: Option<&str>) -> u16 {
    site.send(node, path, model, &site.request_id()).map_or(0, |reply| reply.status)
}

/// The fencing token in the lease's row.
fn fence_in_row(site: &Site) -> u64 {
    let row = site.store.read("lease/orders").map(|row| row.value).unwrap_or_default();
    let text = String::from_utf8_lossy(&row).into_owned();
    let rest = text.split("\"epoch\":").nth(1).unwrap_or_default();
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
}

fn is_restored(site: &Site, node: usize, times: usize) -> bool {
    site.node_log(node).matches("\"event\":\"store_restored\"").count() >= times
}

fn assert_a_model_is_loaded(site: &Site, node: usize, model: &str) {
    site.eventually("orders are given", || {
        let reply = site.send(node, CHAT, Some(model), &site.request_id());
        reply.is_some_and(|reply| reply.event_ids() == whole_stream())
    });
}

#[test]
fn a_configuration_in_force_doesnt_revert() {
    let site = Site::start(2, &[&["m0"]]);
    site.store.copy();
    site.put_catalog(&without_browse(2));
    site.eventually("the route is gone", || {
        (0..2).all(|node| status(&site, node, BROWSE, None) == 404)
    });
    site.store.restore();
    site.eventually("all know", || (0..2).all(|node| is_restored(&site, node, 1)));
    for _ in 0..20 {
        for node in 0..2 {
            assert_eq!(status(&site, node, BROWSE, None), 404, "it was in force");
        }
        site.pause(Duration::from_millis(50));
    }
    // The operators write again what they had written, and go on from there.
    site.put_catalog(&without_browse(2));
    site.pause(Duration::from_millis(300));
    site.put_catalog(&catalog(3));
    site.eventually("a later one is in force", || {
        (0..2).all(|node| status(&site, node, BROWSE, None) == 200)
    });
}

/// A process that starts after the restore reads the earlier configuration, and hears of the later one.
#[test]
fn a_node_that_starts_after_a_restore_learns_what_was_in_force() {
    let mut site = Site::start(2, &[&["m0"]]);
    site.store.copy();
    site.put_catalog(&without_browse(2));
    site.eventually("the route is gone", || {
        (0..2).all(|node| status(&site, node, BROWSE, None) == 404)
    });
    site.store.restore();
    let node = site.add_node();
    site.eventually("it knows", || status(&site, node, BROWSE, None) == 404);
}

#[test]
fn the_holder_goes_on_with_a_higher_fence() {
    let site = Site::start(2, &[&["m0"], &["m1"]]);
    site.eventually("there is a holder", || site.holder().is_some());
    assert_a_model_is_loaded(&site, 0, "m0/a1");
    let (holder, fence) = (site.holder(), fence_in_row(&site));
    site.store.copy();
    site.pause(Duration::from_millis(700));
    site.store.restore();
    site.eventually("it holds the lease again", || fence_in_row(&site) > fence);
    assert_eq!(site.holder(), holder, "nobody else was faster");
    assert_a_model_is_loaded(&site, 1, "m2");
    let highest = site.engines.iter().map(|engine| engine.fence()).max();
    assert!(highest.is_some_and(|highest| highest > fence), "orders bear the later one");
}

/// The copy names a holder of before a take-over, which lives: two nodes have reason to think that the
/// lease is theirs.
#[test]
fn a_restore_to_before_a_takeover_leaves_one_holder() {
    let mut site = Site::start(2, &[&["m0"], &["m1"]]);
    site.eventually("there is a holder", || site.holder().is_some());
    let first = site.holder().expect("there is one");
    let other = 1 - first;
    site.store.copy();
    site.kill_node(first);
    site.eventually("the other takes over", || site.holder() == Some(other));
    assert_a_model_is_loaded(&site, other, "m0/a1");
    let fence = fence_in_row(&site);
    site.start_node(first);
    site.all_serve();
    site.store.restore();
    assert_eq!(site.holder(), Some(first), "as the copy has it");
    site.eventually("the lease is held with a later fence", || fence_in_row(&site) > fence);
    assert_eq!(site.holder(), Some(other), "the one that acted");
    assert_a_model_is_loaded(&site, first, "m2");
}

#[test]
fn entries_that_the_copy_lacks_are_used_until_they_are_written_again() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.store.copy();
    site.add_engine(&["m1"]);
    site.eventually("the new engine is used", || status(&site, 0, CHAT, Some("m1")) == 200);
    site.store.restore();
    site.eventually("the node knows", || is_restored(&site, 0, 1));
    for _ in 0..10 {
        assert_eq!(status(&site, 0, CHAT, Some("m1")), 200, "it lives");
        site.pause(Duration::from_millis(40));
    }
    site.engines[1].register();
    site.pause(Duration::from_millis(2500));
    assert_eq!(status(&site, 0, CHAT, Some("m1")), 200);
}

/// An entry that was dropped since the copy was made isn't used because the copy has it: its server says
/// in a later life what it is.
#[test]
fn a_server_seen_leaving_isnt_used_again_because_a_copy_calls_it_ready() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    site.store.copy();
    site.engines[0].leave();
    site.eventually("the node knows", || site.node_log(0).contains("\"server_leaving\""));
    site.store.restore();
    site.eventually("the node knows that too", || is_restored(&site, 0, 1));
    site.pause(Duration::from_millis(300));
    let runs = || site.log.runs().iter().filter(|run| run.server == "engine-0").count();
    let before = runs();
    for _ in 0..10 {
        assert_eq!(status(&site, 0, CHAT, Some("m0")), 200);
    }
    assert_eq!(runs(), before);
}

#[test]
fn a_nodes_row_is_written_again() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.store.copy();
    site.add_node();
    site.all_serve();
    let is_listed = |site: &Site| site.store.read("nodes/node-1").is_some();
    site.eventually("the new node is listed", || is_listed(&site));
    site.store.restore();
    assert!(!is_listed(&site));
    site.eventually("it is listed again", || is_listed(&site));
}

/// Twice within seconds, the second time while the store is away for all, and back to the same copy.
#[test]
fn two_restores_in_a_row_leave_the_system_in_order() {
    let site = Site::start(2, &[&["m0"], &["m1"]]);
    site.eventually("there is a holder", || site.holder().is_some());
    site.store.copy();
    site.put_catalog(&without_browse(2));
    site.eventually("the route is gone", || {
        (0..2).all(|node| status(&site, node, BROWSE, None) == 404)
    });
    site.store.restore();
    site.pause(Duration::from_millis(400));
    site.store_fault(StoreFault::Busy);
    site.pause(Duration::from_millis(800));
    site.store.restore();
    site.store_fault(StoreFault::None);
    site.eventually("all know", || (0..2).all(|node| is_restored(&site, node, 2)));
    for node in 0..2 {
        assert_eq!(status(&site, node, BROWSE, None), 404);
        assert_eq!(status(&site, node, CHAT, Some("m0")), 200);
    }
    let fence = fence_in_row(&site);
    site.eventually("there is a holder of this era", || fence_in_row(&site) >= fence.max(2 << 32));
    assert_a_model_is_loaded(&site, 0, "m2");
}

/// Orders without an answer when the store went back are settled by what engines show.
#[test]
fn a_drain_and_a_restart_of_all_around_a_restore() {
    let mut site = Site::start(2, &[&["m0"], &["m0", "m1"]]);
    site.store.copy();
    site.engines[0].leave();
    site.store.restore();
    for node in 0..2 {
        site.kill_node(node);
    }
    for node in 0..2 {
        site.start_node(node);
    }
    site.engines[0].leave();
    site.all_serve();
    site.eventually("both serve", || {
        (0..2).all(|node| status(&site, node, CHAT, Some("m1")) == 200)
    });
    assert_a_model_is_loaded(&site, 0, "m2");
}
