//! Requests that reach a node late in its drain.

use {
    glade_standins::site::EngineFault,
    glade_system::site::{CLAIM, Site},
    std::time::Duration,
};

const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Servers stall for 1.8 s, so that a request that is sent to one late in the grace period outlasts it.
#[test]
fn a_request_that_comes_late_in_a_drain_isnt_sent_to_a_server_and_then_cut() {
    let mut site = Site::start(1, &[&["m0"]]);
    for server in 0..site.plain.len() {
        site.plain_fault(server, EngineFault::PausesAfter(0));
    }
    site.terminate_node(0);
    let mut sent = Vec::new();
    let code = loop {
        if let Some(code) = site.ended_node(0) {
            break code;
        }
        let id = site.request_id();
        sent.push((site.begin(0, CLAIM, None, &id), id));
        site.pause(REQUEST_INTERVAL);
    };
    assert_eq!(code, 0);
    let mut served = 0;
    for (reply, id) in sent {
        let reply = site.finish(reply);
        let runs = site.log.runs_of(&id);
        let is_whole = reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.whole);
        served += usize::from(is_whole);
        assert!(runs.is_empty() || is_whole, "{id}: {reply:?}, runs {runs:?}");
    }
    assert!(served > 0);
}
