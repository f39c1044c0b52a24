//! A planned stop of a node whose servers turn silent: callers whose requests were read get an answer.

use {
    glade_standins::site::EngineFault,
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, Site},
    std::time::Duration,
};

/// Moments after the signal at which requests are sent; the grace time is 8 s, in which requests may wait for 15 s.
const SENT_AFTER_MS: [u64; 4] = [50, 900, 1_000, 400];

#[test]
fn requests_at_servers_that_turn_silent_in_a_planned_stop_get_an_answer() {
    let mut site = Site::start(1, &[&["m0"], &["m0"]]);
    site.terminate_node(0);
    for server in site.engines.iter().chain(&site.plain) {
        server.set_fault(EngineFault::Hangs);
    }
    let mut sent = Vec::new();
    for after_ms in SENT_AFTER_MS {
        site.pause(Duration::from_millis(after_ms));
        for path in [CHAT, BATCH, CLAIM, BROWSE] {
            let model = (path == CHAT || path == BATCH).then_some("m0");
            sent.push((path, after_ms, site.begin(0, path, model, &site.request_id())));
        }
    }
    for (path, after_ms, sent) in sent {
        let reply = site.finish(sent);
        let status = reply.as_ref().map(|reply| reply.status);
        assert!(
            status.is_some_and(|status| status >= 500),
            "{path} after {after_ms} ms: {status:?}"
        );
    }
    assert_eq!(site.wait_node(0), Some(0));
}
