//! An entry of another writer, with fields missing, stands under the name of a server that has left
//! the registry and still serves for a while, as leaving servers do.

use {
    crate::{
        base::Record,
        client,
        node::{DRAIN_MS, Folder, Node, ip, keep_logs, sleep_ms},
        server::{Runs, Server},
        store::Store,
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-claim","Host":"shop.example","Prefix":"/claim/","Kind":"unsafe","TimeoutMs":1500,"SloMs":300,"Priority":2,"Service":"market","Attempts":1,"Sticky":false,"Resumable":false}],"Services":[{"Name":"market","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":5000,"IdleTimeoutMs":10000}}"#;
const NODES: u32 = 3;
/// Time between two requests.
const GAP_MS: u64 = 30;
/// Work of a request.
const WORK_MS: u64 = 400;
/// When the server's entry is removed, when the other writer writes, and when the server ends.
const REMOVED_AT_MS: u64 = 3000;
const ODD_AT_MS: u64 = 6000;
const ENDED_AT_MS: u64 = 10_000;
const END_MS: u64 = 12_000;

/// A request: when it was sent, and the status and completeness of its answer.
type Sent = Arc<Mutex<HashMap<String, (u64, Option<(u16, bool)>)>>>;

pub fn run(folder: &str, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::open(folder)?);
    let temporary = Folder::open()?;
    let store = Store::open(&ip(0, 1))?;
    let runs = Runs::default();
    let mut servers = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number}");
        let server = Server::open(&ip(2, number + 1), &id, WORK_MS, &record, &runs)?;
        store.put("servers", &id, &server.entry("market", "khomas-a", "ready"));
        servers.push(server);
    }
    store.put("op", "config", CONFIG);
    let mut nodes = Vec::new();
    for number in 0..NODES {
        nodes.push(Node::start(&temporary, &store, number, NODES)?);
    }
    wait_until_served(&nodes)?;
    let start_ms = record.now_ms();
    record.write(&format!("all {NODES} nodes serve; trouble: {trouble}"));
    let leaving = &servers[0];
    let sent = Sent::default();
    let (mut removed_ms, mut odd, mut ended) = (None, !trouble, false);
    let mut threads = Vec::new();
    let mut count: usize = 0;
    while record.now_ms() < start_ms + END_MS {
        let since_start_ms = record.now_ms() - start_ms;
        if removed_ms.is_none() && since_start_ms >= REMOVED_AT_MS {
            store.delete("servers", &leaving.id);
            removed_ms = Some(record.now_ms());
            record.write(&format!("the store has removed the entry of {}", leaving.id));
        }
        if !odd && since_start_ms >= ODD_AT_MS {
            let entry = format!(
                "{{\"Service\":\"market\",\"Address\":\"{}\",\"Zone\":\"khomas-a\",\"Slots\":6,\
                 \"State\":\"ready\",\"ColdLeftMs\":0}}",
                leaving.addr
            );
            record.write(&format!("another writer writes servers/{}: {entry}", leaving.id));
            store.put("servers", &leaving.id, &entry);
            odd = true;
        }
        if !ended && since_start_ms >= ENDED_AT_MS {
            leaving.end();
            ended = true;
        }
        let id = format!("c{count:05}");
        let (front, name) = {
            let node = &nodes[count % nodes.len()];
            (node.front, node.name.clone())
        };
        let (record, sent) = (Arc::clone(&record), Arc::clone(&sent));
        threads.push(thread::spawn(move || {
            sent.lock().unwrap().insert(id.clone(), (record.now_ms(), None));
            record.write(&format!("sent {id} to {name}"));
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "3000")];
            let patience = Duration::from_secs(3);
            let answer = client::send(front, "POST", "/claim/1", &headers, b"load", patience);
            let answer = answer.map(|answer| (answer.status(), answer.whole));
            record.write(&format!("answer {id} {answer:?}"));
            if let Some(sent) = sent.lock().unwrap().get_mut(&id) {
                sent.1 = answer;
            }
        }));
        count += 1;
        sleep_ms(GAP_MS);
    }
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    for node in &mut nodes {
        if node.has_ended() {
            return Err(format!("{} has ended", node.name));
        }
    }
    keep_logs(&temporary);
    let bound_ms = removed_ms.ok_or("the entry wasn't removed")? + DRAIN_MS;
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let mut late = 0;
    let mut lost = 0;
    for (id, (sent_ms, answer)) in sent.iter() {
        let at_leaving =
            runs.get(id).into_iter().flatten().any(|(server, _)| *server == leaving.id);
        if at_leaving && *sent_ms > bound_ms {
            late += 1;
            lost += usize::from(!matches!(answer, Some((200, true))));
        }
    }
    let served = sent.values().filter(|(_, answer)| matches!(answer, Some((200, true)))).count();
    record.write(&format!(
        "{} requests, {served} answered with success; {late} sent later than DrainMs after the \
         removal have reached {}, and {lost} of these were not answered with success",
        sent.len(),
        leaving.id
    ));
    println!("late {late} lost {lost}");
    Ok(late > 0)
}

fn wait_until_served(nodes: &[Node]) -> Result<(), String> {
    for node in nodes {
        let mut tries = 0;
        loop {
            let id = format!("w-{}-{tries}", node.name);
            let headers = [("Request-Id", id.as_str()), ("Deadline-Ms", "3000")];
            let answer =
                client::send(node.front, "POST", "/claim/1", &headers, b"", Duration::from_secs(3));
            if answer.is_some_and(|answer| answer.status() == 200) {
                break;
            }
            tries += 1;
            if tries > 100 {
                return Err(format!("{} serves nothing", node.name));
            }
            sleep_ms(100);
        }
    }
    Ok(())
}
