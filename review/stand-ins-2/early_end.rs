//! A server whose answers end with their connection is killed in the middle of answers.

use {
    crate::{
        Context, Outcome,
        deployment::{Deployment, HOST},
        engine::{answer_text, event_text},
        http::{Client, Reply},
    },
    std::{
        sync::atomic::Ordering,
        thread,
        time::{Duration, Instant},
    },
};

const EVENTS: u64 = 60;
const GAP: &str = "50";
const STREAMS: usize = 12;

pub fn play(context: &Context) -> Outcome {
    let mut deployment = Deployment::start(&context.work);
    let events = EVENTS.to_string();
    for (number, zone) in ["khomas-a", "khomas-b", "khomas-c"].iter().enumerate() {
        let args = ["unframed", events.as_str(), GAP];
        deployment.add_engine(&format!("i-llm{number}"), "lm-pool", zone, &args);
    }
    deployment.add_nodes(&context.program, &context.repository, 3, true);
    if !deployment.await_ready() {
        context.note("the nodes aren't ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let began_at = Instant::now();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let addr = deployment.nodes[number % deployment.nodes.len()].callers;
            let path = if number % 2 == 0 { "/chat/" } else { "/batch/" };
            thread::spawn(move || {
                let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number as u64);
                let head = format!(
                    "POST {path}2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: m0\r\nToken-Counts: 600,200\r\n\
                     Prompt-Prefix: 5c1e07a2:400,91bd{number:04x}:200\r\nDeadline-Ms: 15000\r\n"
                );
                let reply = match Client::connect(addr, Duration::from_secs(20)) {
                    Ok(mut client) => client.request(&head, b"prompt"),
                    Err(err) => Reply { error: err.to_string(), ..Reply::default() },
                };
                (id, path, reply)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1500).saturating_sub(began_at.elapsed()));
    if context.has_trouble {
        let engine = &deployment.engines[0];
        engine.lives.store(false, Ordering::Relaxed);
        engine.process.lock().expect("lock").kill();
        context.note(&format!("{} is killed", engine.id));
    }
    let mut is_broken = false;
    let mut served = 0;
    for client in clients {
        let (id, path, reply) = client.join().expect("a client");
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        let whole: String = (1..=EVENTS).map(event_text).collect();
        let count = body.matches("id: ").count();
        let is_short = reply.status == 200 && reply.whole && body != whole;
        is_broken |= is_short;
        served += usize::from(reply.status == 200 && body == whole);
        context.note(&format!(
            "{id} {path} status {} events {count} of {EVENTS} proper end {} {}{}",
            reply.status,
            reply.whole,
            reply.error,
            if is_short { " BROKEN: ends as complete before its last piece" } else { "" }
        ));
    }
    deployment.runs().iter().for_each(|line| context.note(line));
    let _ = answer_text("");
    if served == 0 {
        return Outcome::NotRun;
    }
    if is_broken { Outcome::Broken } else { Outcome::Held }
}
