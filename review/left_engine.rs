//! Streams pause at a sound engine, and the node that was told to end moves them to another one.

use {
    crate::{
        base::Record,
        client,
        engine::{Engine, Habits, Log, MODEL},
        node::{Folder, Node, ip, keep_logs, sleep_ms},
        store::Store,
    },
    std::{
        process::Command,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

pub const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-chat","Host":"shop.example","Prefix":"/chat/","Kind":"streaming","TimeoutMs":15000,"SloMs":400,"Priority":0,"Service":"pool","Attempts":2,"Sticky":true,"Resumable":true,"GapTargetMs":300}],"Services":[{"Name":"pool","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":149031,"KvTokenBytes":163840,"LinkMbps":1500000.0,"Moves":true,"Backups":true,"Stride":5,"AtMost":12,"HostMb":150000.0,"DiskMb":440000.0,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"WeightsMb":230000.0,"AdapterSlots":8,"LoadsPerS":2.0,"Models":[{"Name":"m0","WeightsMb":72700.0,"LoadS":3.2,"Adapters":0,"AdapterMb":66.0,"WarmS":0.47,"DiskS":0.64}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;
pub const NODES: u32 = 3;
const EVENTS: u64 = 12;
/// Pause of a stream: below the 2.4 s after which clients abandon one on this route.
const PAUSE_MS: u64 = 1600;
/// One in so many of the requests that are moved fails at its new engine.
const FAILS_EACH: u64 = 8;
/// Streams that are sent, one after the other, from the SIGTERM on.
const STREAMS: usize = 24;
const GAP_MS: u64 = 60;
/// Time after the last answer until the engines have seen which connections were closed.
const SETTLE_MS: u64 = 2000;

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::open(folder)?);
    let temporary = Folder::open()?;
    let store = Store::open(&ip(0, 1))?;
    let log: Arc<Mutex<Log>> = Arc::default();
    let habits = Habits {
        events: EVENTS,
        pause_ms: if trouble { PAUSE_MS } else { 0 },
        fails_each: FAILS_EACH,
        works_on: false,
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
    let leaving = &nodes[0];
    record.write(&format!("all nodes serve; trouble: {trouble}; SIGTERM to {}", leaving.name));
    let term = Command::new("kill").args(["-TERM", &leaving.child.id().to_string()]).status();
    term.map_err(|err| format!("kill: {err}"))?;
    let outcomes: Mutex<Vec<(String, Option<(u16, bool, u64)>)>> = Mutex::default();
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let id = format!("s{number:03}");
            let (record, outcomes) = (&record, &outcomes);
            scope.spawn(move || {
                record.write(&format!("sent {id} to {}", leaving.name));
                let answer = send(leaving, &id);
                record.write(&format!("answer {id} (status, complete, events): {answer:?}"));
                outcomes.lock().unwrap().push((id, answer));
            });
            sleep_ms(GAP_MS);
        }
    });
    sleep_ms(SETTLE_MS);
    keep_logs(&temporary);
    let outcomes = outcomes.into_inner().unwrap();
    let log = log.lock().unwrap();
    // Passed on to an engine, and the connection ended without a complete answer.
    let lost = outcomes
        .iter()
        .filter(|(id, answer)| log.sent.contains(id) && !matches!(answer, Some((_, true, _))))
        .count();
    let whole = outcomes.iter().filter(|(_, answer)| *answer == Some((200, true, EVENTS))).count();
    let left = log.left.iter().filter(|id| id.starts_with('s')).count();
    record.write(&format!(
        "{STREAMS} streams, {whole} whole; the node left {left} runs that would have gone on; {lost} \
         streams that an engine ran ended without a complete answer"
    ));
    println!("streams {STREAMS} whole {whole} lost {lost}");
    Ok(lost > 0)
}

/// Waits until each node has answered a request.
pub fn wait_until_all_serve(nodes: &[Node]) -> Result<(), String> {
    for node in nodes {
        let mut tries = 0;
        while send(node, &format!("w-{}-{tries}", node.name))
            .is_none_or(|(status, ..)| status != 200)
        {
            tries += 1;
            if tries > 100 {
                return Err(format!("{} serves nothing", node.name));
            }
            sleep_ms(100);
        }
    }
    Ok(())
}

/// Sends a request for a stream: status, whether the answer is complete, and its events.
pub fn send(node: &Node, id: &str) -> Option<(u16, bool, u64)> {
    let headers = [
        ("Request-Id", id),
        ("Model", MODEL),
        ("Token-Counts", "100,200"),
        ("Prompt-Prefix", "5c1e07a2:60,91bd3f06:40"),
        ("Deadline-Ms", "15000"),
    ];
    let patience = Duration::from_millis(2400);
    let answer = client::send(node.front, "POST", "/chat/1", &headers, id.as_bytes(), patience)?;
    let text = String::from_utf8_lossy(&answer.body);
    Some((answer.status(), answer.whole, text.matches("id: ").count() as u64))
}
