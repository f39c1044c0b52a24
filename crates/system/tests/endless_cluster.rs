//! Bodies without end that are no answer, from the engines and services of an entry and a planner.

use {
    glade_http::Pool,
    glade_load::{Outcome, call_chat},
    glade_system::Cluster,
    std::{thread::sleep, time::Duration},
};

/// Memory that a daemon may have beyond what it has before: what is read of a few answers.
const GROWTH_MAX_KB: u64 = 40 << 10;

fn ask(cluster: &Cluster, stream: bool) -> Outcome {
    let (pool, addr) = (Pool::new(), cluster.layout.caller(0));
    cluster.block_on(call_chat(&pool, addr, "chat", 12, stream, "urgent"))
}

fn set_faults(cluster: &Cluster, faults: &str) {
    for engine in cluster.shown("/engines").as_array().expect("a list of engines") {
        cluster.faults(engine["name"].as_str().expect("a name"), faults);
    }
    for server in ["market-1", "market-2", "market-3"] {
        cluster.faults(server, faults);
    }
}

/// A faulty engine's bytes filled the memory of the machine that had called it.
#[test]
fn bodies_without_end_dont_fill_the_memory_of_entry_and_planner() {
    let cluster = Cluster::start(1);
    let before = cluster.peak_memory_kb(0);
    set_faults(&cluster, r#"{"endless_bodies": true}"#);
    for stream in [true, false] {
        let outcome = ask(&cluster, stream);
        assert!(!matches!(outcome, Outcome::Whole { .. }), "{outcome:?}");
    }
    let reply = cluster.call(0, "/services/market/claims", &[], "load-1").expect("an answer");
    assert_eq!(reply.status, 502, "{reply:?}");
    // The planner asks for reports every second.
    sleep(Duration::from_secs(3));
    let after = cluster.peak_memory_kb(0);
    let grown = (after.0 - before.0, after.1 - before.1);
    assert!(grown.0.max(grown.1) < GROWTH_MAX_KB, "{grown:?} kB more");
    set_faults(&cluster, "{}");
    cluster.eventually("requests are served again", || {
        matches!(ask(&cluster, true), Outcome::Whole { .. })
    });
}
