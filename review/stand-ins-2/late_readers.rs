//! The store turns two machines away at a time and serves the others, while the configuration changes; when it serves
//! all again, it turns the two machines away that read its tables, and a server leaves: its entry is removed, and it
//! serves on for a while.

use {
    crate::{
        Context, Outcome,
        deployment::{Deployment, HOST},
        engine::now_ms,
        http::Client,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const NODES: usize = 6;
/// Machines that the store turns away at a time: a third, under the share of 0.35.
const TURNED_AWAY: usize = 2;
const DRAIN_MS: u128 = 2000;
/// Time for which a server goes on after `DrainMs`.
const SERVES_ON: Duration = Duration::from_millis(400);
/// Time for which machines are turned away, under the longest of 9 s.
const AWAY: Duration = Duration::from_millis(3100);
/// The same while the configuration changes.
const AWAY_AT_CHANGE: Duration = Duration::from_secs(2);
/// Calm after that, longer than `ContactMs`, 3 s.
const CALM: Duration = Duration::from_millis(4500);
const ROUNDS: usize = 3;

/// Machines that have read the registry lately.
fn readers(deployment: &Deployment) -> Vec<usize> {
    let reads = |number: &usize| deployment.nodes[*number].gate.reads(Duration::from_millis(1300));
    (0..deployment.nodes.len()).filter(reads).collect()
}

/// One server's leaving.
struct Leaving {
    engine: String,
    acked_at: u128,
    ended_at: u128,
    /// Machines that were out of touch.
    away: Vec<usize>,
}

pub fn play(context: &Context) -> Outcome {
    let mut deployment = Deployment::start(&context.work);
    for number in 0..ROUNDS + 2 {
        let zone = ["khomas-a", "khomas-b", "khomas-c"][number % 3];
        let args = ["length", "1", "60"];
        deployment.add_engine(&format!("i-app{number}"), "market-api", zone, &args);
    }
    deployment.add_nodes(&context.program, &context.repository, NODES, true);
    if !deployment.await_ready() {
        context.note("the nodes aren't ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(6));
    let is_over = Arc::new(AtomicBool::new(false));
    let replies = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..NODES)
        .flat_map(|node| [(node, 0), (node, 1)])
        .map(|(node, client)| {
            let addr = deployment.nodes[node].callers;
            let (is_over, replies) = (Arc::clone(&is_over), Arc::clone(&replies));
            thread::spawn(move || send_claims(addr, node, client, &is_over, &replies))
        })
        .collect();
    let mut leavings = Vec::new();
    let mut version = 1;
    for round in 0..ROUNDS {
        let reading = readers(&deployment);
        let others: Vec<usize> = (0..NODES).filter(|number| !reading.contains(number)).collect();
        for pair in others.chunks(TURNED_AWAY) {
            turn_away(context, &deployment, pair, true);
            version += 1;
            deployment.change_configuration(version);
            context.note(&format!("version {version} of the configuration"));
            thread::sleep(AWAY_AT_CHANGE);
            turn_away(context, &deployment, pair, false);
            thread::sleep(CALM);
        }
        let mut away = readers(&deployment);
        away.truncate(TURNED_AWAY);
        let were: Vec<usize> =
            (0..NODES).filter(|number| deployment.nodes[*number].gate.was_turned_away()).collect();
        context.note(&format!("round {round}: the last call of machines {were:?} was turned away, {away:?} read"));
        turn_away(context, &deployment, &away, true);
        thread::sleep(Duration::from_millis(300));
        deployment.remove_engine(round);
        let acked_at = now_ms();
        context.note(&format!("the entry of {} is removed, it serves on", deployment.engines[round].id));
        thread::sleep(Duration::from_millis(DRAIN_MS as u64) + SERVES_ON);
        deployment.engines[round].process.lock().expect("lock").kill();
        let engine = deployment.engines[round].id.clone();
        context.note(&format!("{engine} has ended"));
        let out_of_touch = if context.has_trouble { away.clone() } else { Vec::new() };
        leavings.push(Leaving { engine, acked_at, ended_at: now_ms(), away: out_of_touch });
        thread::sleep(AWAY.saturating_sub(SERVES_ON + Duration::from_millis(2300)));
        turn_away(context, &deployment, &away, false);
        thread::sleep(CALM);
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    judge(context, &deployment, &leavings, &replies.lock().expect("lock"))
}

/// Has the store turn `machines` away, or serve them again.
fn turn_away(context: &Context, deployment: &Deployment, machines: &[usize], is_away: bool) {
    if context.has_trouble {
        machines.iter().for_each(|number| deployment.nodes[*number].gate.set_closed(is_away));
        let what = if is_away { "turns away" } else { "serves again" };
        context.note(&format!("the store {what} machines {machines:?}"));
    }
}

fn judge(
    context: &Context,
    deployment: &Deployment,
    leavings: &[Leaving],
    replies: &[(String, u16)],
) -> Outcome {
    let runs = deployment.runs();
    let mut late_total = 0;
    for leaving in leavings {
        let mut last = 0;
        let (mut late, mut lost) = (0, Vec::new());
        for line in &runs {
            let words: Vec<&str> = line.split(' ').collect();
            let [at, engine, "RUN", id, ..] = words[..] else { continue };
            let Ok(at) = at.parse::<u128>() else { continue };
            let node = id.split('-').next().and_then(|node| node.parse().ok()).unwrap_or(usize::MAX);
            if engine != leaving.engine || leaving.away.contains(&node) || at < leaving.acked_at {
                continue;
            }
            let after = at - leaving.acked_at;
            last = after.max(last);
            late += usize::from(after > DRAIN_MS);
            let reply = replies.iter().find(|(of, _)| of == id);
            if reply.is_some_and(|(_, status)| *status != 200) {
                lost.push(format!("{id} status {}", reply.map_or(0, |(_, status)| *status)));
            }
        }
        late_total += late;
        let ended_after = leaving.ended_at - leaving.acked_at;
        context.note(&format!(
            "{}: machines in touch sent it requests until {last} ms after its removal was acknowledged; {late} came later \
             than {DRAIN_MS} ms{}; it ended after {ended_after} ms, and cut {lost:?}",
            leaving.engine,
            if late > 0 { " BROKEN" } else { "" }
        ));
    }
    let served = replies.iter().filter(|(_, status)| *status == 200).count();
    context.note(&format!("{} requests, {served} served", replies.len()));
    if served == 0 {
        return Outcome::NotRun;
    }
    if late_total > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Sends requests that may run once, one after the other.
fn send_claims(
    addr: std::net::SocketAddr,
    node: usize,
    client: usize,
    is_over: &AtomicBool,
    replies: &Mutex<Vec<(String, u16)>>,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut connection) = Client::connect(addr, Duration::from_secs(4)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        loop {
            number += 1;
            let id = format!("{node}-{client}-{number:06}");
            let head = format!(
                "POST /claim/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n"
            );
            let reply = connection.request(&head, b"load 17");
            replies.lock().expect("lock").push((id, reply.status));
            if is_over.load(Ordering::Relaxed) || !reply.whole {
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}
