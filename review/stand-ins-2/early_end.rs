//! Servers whose answers end with their connection are killed in the middle of answers.

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

const NODES: usize = 3;
/// Servers of each service, of which one is killed: a share of 0.17.
const ENGINES: usize = 6;
const EVENTS: u64 = 60;
const STREAM_GAP_MS: &str = "50";
/// Time between the two halves of an answer that isn't a stream.
const ANSWER_GAP_MS: &str = "800";
const STREAMS: usize = 24;
const CLAIMS: usize = 12;

/// A client's request, and the whole answer to it.
struct Asked {
    id: String,
    path: &'static str,
    reply: Reply,
}

impl Asked {
    fn whole(&self) -> String {
        match self.path {
            "/claim/" => answer_text(&self.id),
            _ => (1..=EVENTS).map(event_text).collect(),
        }
    }
}

fn ask(addr: std::net::SocketAddr, path: &'static str, id: String, model: &str) -> Asked {
    let head = format!(
        "POST {path}2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{model}Deadline-Ms: 15000\r\n"
    );
    let reply = match Client::connect(addr, Duration::from_secs(20)) {
        Ok(mut client) => client.request(&head, b"a request"),
        Err(err) => Reply { error: err.to_string(), ..Reply::default() },
    };
    Asked { id, path, reply }
}

pub fn play(context: &Context) -> Outcome {
    let mut deployment = Deployment::start(&context.work);
    let events = EVENTS.to_string();
    for number in 0..ENGINES {
        let zone = ["khomas-a", "khomas-b", "khomas-c"][number % 3];
        let args = ["unframed", events.as_str(), STREAM_GAP_MS];
        deployment.add_engine(&format!("i-llm{number}"), "lm-pool", zone, &args);
    }
    for number in 0..ENGINES {
        let zone = ["khomas-a", "khomas-b", "khomas-c"][number % 3];
        let args = ["unframed", "1", ANSWER_GAP_MS];
        deployment.add_engine(&format!("i-app{number}"), "market-api", zone, &args);
    }
    deployment.add_nodes(&context.program, &context.repository, NODES, true);
    if !deployment.await_ready() {
        context.note("the nodes aren't ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let began_at = Instant::now();
    let streams = (0..STREAMS).map(|number| {
        let addr = deployment.nodes[number % NODES].callers;
        let path = if number % 2 == 0 { "/chat/" } else { "/batch/" };
        let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number as u64);
        let model = format!(
            "Model: m0\r\nToken-Counts: 600,200\r\nPrompt-Prefix: 5c1e07a2:400,91bd{number:04x}:200\r\n"
        );
        thread::spawn(move || ask(addr, path, id, &model))
    });
    let mut clients: Vec<_> = streams.collect();
    thread::sleep(Duration::from_millis(1000));
    clients.extend((0..CLAIMS).map(|number| {
        let addr = deployment.nodes[number % NODES].callers;
        let id = format!("{:016x}", 0x57e0_11aa_0000_0000_u64 + number as u64);
        thread::spawn(move || ask(addr, "/claim/", id, ""))
    }));
    thread::sleep(Duration::from_millis(1400).saturating_sub(began_at.elapsed()));
    if context.has_trouble {
        for engine in [&deployment.engines[0], &deployment.engines[ENGINES]] {
            engine.lives.store(false, Ordering::Relaxed);
            engine.process.lock().expect("lock").kill();
            context.note(&format!("{} is killed", engine.id));
        }
    }
    let (mut is_broken, mut served) = (false, 0);
    for client in clients {
        let asked = client.join().expect("a client");
        let whole = asked.whole();
        let reply = &asked.reply;
        let is_whole = reply.status == 200 && reply.body == whole.as_bytes();
        let looks_complete = reply.status == 200 && reply.whole;
        is_broken |= looks_complete && !is_whole;
        served += usize::from(is_whole);
        context.note(&format!(
            "{} {} status {}, {} of {} bytes, proper end {} {}{}",
            asked.id,
            asked.path,
            reply.status,
            reply.body.len(),
            whole.len(),
            reply.whole,
            reply.error,
            if looks_complete && !is_whole { " BROKEN: looks complete" } else { "" }
        ));
    }
    deployment.runs().iter().for_each(|line| context.note(line));
    if served == 0 {
        return Outcome::NotRun;
    }
    if is_broken { Outcome::Broken } else { Outcome::Held }
}
