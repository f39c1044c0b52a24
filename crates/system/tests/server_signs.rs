//! What backend servers say of themselves in their answers: that they leave, or want no requests.

use {
    glade_standins::site::{EngineFault, StoreFault},
    glade_system::site::{CHAT, EVENTS, Site},
    std::time::Duration,
};

fn whole_stream() -> Vec<u64> {
    (1..=EVENTS).collect()
}

fn runs_at(site: &Site, server: &str) -> usize {
    site.log.runs().iter().filter(|run| run.server == server).count()
}

/// Sends chats until `engine-0` has had one, whatever becomes of it.
fn until_engine_0_was_asked(site: &Site, node: usize) {
    let asked = || runs_at(site, "engine-0") + site.engines[0].rejections() as usize;
    let before = asked();
    site.eventually("engine-0 is asked", || {
        site.send(node, CHAT, Some("m0"), &site.request_id());
        asked() > before
    });
}

/// Sends chats side by side until `engine-0` runs one of them.
fn until_engine_0_runs_one(site: &Site, node: usize) {
    let before = runs_at(site, "engine-0");
    site.eventually("engine-0 is used", || {
        let sent: Vec<_> =
            (0..8).map(|_| site.begin(node, CHAT, Some("m0"), &site.request_id())).collect();
        sent.into_iter().for_each(|sent| {
            site.finish(sent);
        });
        runs_at(site, "engine-0") > before
    });
}

fn assert_left_alone(site: &Site, node: usize) {
    let before = (runs_at(site, "engine-0"), site.engines[0].rejections());
    for _ in 0..8 {
        let reply = site.send(node, CHAT, Some("m0"), &site.request_id()).expect("an answer");
        assert_eq!(reply.event_ids(), whole_stream(), "{reply:?}");
    }
    assert_eq!((runs_at(site, "engine-0"), site.engines[0].rejections()), before);
}

#[test]
fn an_engine_that_says_in_an_answer_that_it_leaves_gets_nothing_more() {
    for fault in [
        EngineFault::None,
        EngineFault::Fails,
        EngineFault::Rejects,
        EngineFault::Crosses,
        EngineFault::BreaksAfter(4),
    ] {
        let site = Site::start(1, &[&["m0"], &["m0"]]);
        site.engine_fault(0, fault);
        site.engines[0].leave_in_answers();
        until_engine_0_was_asked(&site, 0);
        assert_left_alone(&site, 0);
        let told = site.node_log(0).matches("\"event\":\"server_leaving\"").count();
        assert_eq!(told, 1, "{fault:?}");
    }
}

#[test]
fn a_leaving_engine_is_left_alone_also_while_the_store_is_away() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    site.store_fault(StoreFault::Silent);
    site.engines[0].leave_in_answers();
    until_engine_0_was_asked(&site, 0);
    assert_left_alone(&site, 0);
}

#[test]
fn what_runs_at_a_leaving_engine_is_finished() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    let under_way: Vec<_> = (0..8)
        .map(|_| {
            let id = site.request_id();
            (site.begin(0, CHAT, Some("m0"), &id), id)
        })
        .collect();
    site.eventually("they run", || site.log.runs().len() >= 8);
    site.engines[0].leave_in_answers();
    until_engine_0_was_asked(&site, 0);
    for (sent, id) in under_way {
        let reply = site.finish(sent).expect("an answer");
        assert!(reply.whole && reply.event_ids() == whole_stream(), "{reply:?}");
        assert_eq!(site.log.runs_of(&id).len(), 1);
    }
}

#[test]
fn other_nodes_are_told_and_the_next_life_at_the_address_is_used() {
    let site = Site::start(2, &[&["m0"], &["m0"]]);
    site.engines[0].leave_in_answers();
    until_engine_0_was_asked(&site, 0);
    site.eventually("the other node is told", || {
        site.node_log(1).contains("\"event\":\"server_leaving\"")
    });
    assert_left_alone(&site, 1);
    site.engines[0].begin_anew();
    for node in 0..2 {
        until_engine_0_runs_one(&site, node);
    }
}

#[test]
fn a_node_that_was_told_that_an_engine_leaves_doesn_t_try_it_again_after_a_while() {
    let all = ["m0", "m1", "m2"].as_slice();
    let site = Site::start(2, &[all, all]);
    site.engines[0].leave_in_answers();
    until_engine_0_was_asked(&site, 0);
    site.eventually("the other node is told", || {
        site.node_log(1).contains("\"event\":\"server_leaving\"")
    });
    site.pause(Duration::from_secs(6));
    assert_left_alone(&site, 1);
}

/// The node stands still between the answer and its next request, and the registry knows nothing.
#[test]
fn a_node_that_was_frozen_still_knows_that_an_engine_leaves() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    site.engines[0].leave_in_answers();
    until_engine_0_was_asked(&site, 0);
    site.pause_node(0);
    site.pause(Duration::from_millis(1500));
    site.resume_node(0);
    assert_left_alone(&site, 0);
}

#[test]
fn an_engine_that_wants_no_requests_for_a_time_gets_none() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    site.engine_fault(0, EngineFault::Closed(Duration::from_millis(2500)));
    until_engine_0_was_asked(&site, 0);
    let rejections = site.engines[0].rejections();
    let sent: Vec<_> =
        (0..24).map(|_| site.begin(0, CHAT, Some("m0"), &site.request_id())).collect();
    for sent in sent {
        let reply = site.finish(sent).expect("an answer");
        assert_eq!(reply.event_ids(), whole_stream(), "{reply:?}");
    }
    site.pause(Duration::from_millis(1200));
    assert_left_alone(&site, 0);
    assert_eq!(site.engines[0].rejections(), rejections, "{}", site.node_log(0));
    site.engine_fault(0, EngineFault::None);
    until_engine_0_runs_one(&site, 0);
}

/// All engines want nothing for longer than a caller has: it is told at once when to come back.
#[test]
fn callers_are_told_when_the_only_engine_opens_again() {
    let site = Site::start(1, &[&["m0"]]);
    site.engine_fault(0, EngineFault::Closed(Duration::from_secs(60)));
    until_engine_0_was_asked(&site, 0);
    let id = site.request_id();
    let reply = site.send(0, CHAT, Some("m0"), &id).expect("an answer");
    assert_eq!(reply.status, 503, "{reply:?}");
    let wait = reply.headers["retry-after"].to_str().expect("text").parse::<f64>();
    assert!(wait.is_ok_and(|wait| (50.0..=61.0).contains(&wait)), "{reply:?}");
    assert!(site.log.runs_of(&id).is_empty(), "it is true that it hasn't run");
}
