//! Streams pause at engines that go on with a request after its connection was closed, as some do.

use {
    crate::{
        base::Record,
        engine::{Engine, Habits, Log},
        left_engine::{CONFIG, NODES, send, wait_until_all_serve},
        node::{Folder, Node, ip, keep_logs, sleep_ms},
        store::Store,
    },
    std::{
        sync::{Arc, Mutex},
        thread,
    },
};

/// Pause of a stream: below the 2.4 s after which clients abandon one on this route.
const PAUSE_MS: u64 = 1600;
const EVENTS: u64 = 40;
const STREAMS: usize = 12;
const GAP_MS: u64 = 100;
/// Time for which two engines may work on a request.
const OVERLAP_MS: u64 = 400;
/// Time after the last answer in which the engines finish what they work on.
const SETTLE_MS: u64 = 3000;

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::open(folder)?);
    let temporary = Folder::open()?;
    let store = Store::open(&ip(0, 1))?;
    let log: Arc<Mutex<Log>> = Arc::default();
    let habits = Habits {
        events: EVENTS,
        pause_ms: if trouble { PAUSE_MS } else { 0 },
        fails_each: 0,
        works_on: true,
    };
    for (number, zone) in ["khomas-a", "khomas-b"].iter().enumerate() {
        let id = format!("i-{number}");
        let engine = Engine::open(&ip(2, number as u32 + 1), &id, habits, &record, &log)?;
        store.put("servers", &id, &engine.entry(zone));
    }
    store.put("op", "config", CONFIG);
    let mut nodes = Vec::new();
    for number in 0..NODES {
        nodes.push(Node::start(&temporary, &store, number, NODES)?);
    }
    wait_until_all_serve(&nodes)?;
    // More than ContactMs without anything.
    sleep_ms(4000);
    record.write(&format!("all nodes serve; trouble: {trouble}"));
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let id = format!("s{number:03}");
            let (record, node) = (&record, &nodes[number % nodes.len()]);
            scope.spawn(move || {
                record.write(&format!("sent {id} to {}", node.name));
                let answer = send(node, &id);
                record.write(&format!("answer {id} (status, complete, events): {answer:?}"));
            });
            sleep_ms(GAP_MS);
        }
    });
    sleep_ms(SETTLE_MS);
    keep_logs(&temporary);
    let log = log.lock().unwrap();
    let mut twice = 0;
    for later in log.work.iter().filter(|work| work.request.starts_with('s')) {
        let earlier = log.work.iter().find(|earlier| {
            earlier.request == later.request
                && earlier.engine != later.engine
                && earlier.began_ms < later.began_ms
                && earlier.ended_ms > later.began_ms + OVERLAP_MS
        });
        if let Some(earlier) = earlier {
            twice += 1;
            record.write(&format!(
                "{}: {} from {} to {}, {} from {} to {}",
                later.request,
                earlier.engine,
                earlier.began_ms,
                earlier.ended_ms,
                later.engine,
                later.began_ms,
                later.ended_ms
            ));
        }
    }
    record.write(&format!(
        "{STREAMS} streams; two engines worked on {twice} of them for over 400 ms"
    ));
    println!("streams {STREAMS} at two engines {twice}");
    Ok(twice > 0)
}
