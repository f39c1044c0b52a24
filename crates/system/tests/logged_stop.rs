//! A real node whose callers fill its log while it stops: the lines that tell how it started and ended aren't left out.

use {
    glade_catalog::RequestMetadata,
    glade_standins::site::Caller,
    glade_system::site::{HOST, Site},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Callers that send without a pause.
const CALLERS: usize = 16;

#[test]
fn a_node_that_stops_under_load_logs_all_stages_of_its_stop() {
    let mut site = Site::start(1, &[&["m0"]]);
    let addr = site.addrs(0).callers;
    let stopped = Arc::new(AtomicBool::new(false));
    for _ in 0..CALLERS {
        let stopped = Arc::clone(&stopped);
        site.runtime().spawn(async move {
            while !stopped.load(Ordering::Relaxed) {
                let terms = RequestMetadata::default();
                // Each is refused, and logged: there is no such route.
                let _ = Caller::default().send(addr, "POST", HOST, "/none/", &terms, "").await;
            }
        });
    }
    site.pause(Duration::from_secs(2));
    site.terminate_node(0);
    assert_eq!(site.wait_node(0), Some(0));
    stopped.store(true, Ordering::Relaxed);
    let log = site.node_log(0);
    assert!(log.contains("\"event\":\"lines_left_out\""), "the load has to fill the log");
    for event in ["started", "leaving", "drain_stage", "stopped"] {
        assert!(log.contains(&format!("\"event\":\"{event}\"")), "no line {event}");
    }
    let stages = log.lines().filter(|line| line.contains("\"event\":\"drain_stage\"")).count();
    assert_eq!(stages, 3);
}
