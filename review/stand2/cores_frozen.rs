//! Both cores of a data centre freeze, and a server begins to leave just afterwards.

use {
    crate::{
        Context, Outcome,
        deployment::{Deployment, HOST},
        engine::now_ms,
        http::Client,
    },
    std::{
        env, fs,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const NODES: usize = 18;
/// `DrainMs` of the deployments with so many machines.
const DRAIN_MS: u128 = 3000;

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

pub fn play(context: &Context) -> Outcome {
    let mut deployment = Deployment::start(&context.work);
    deployment.drain_ms = DRAIN_MS as u64;
    for (number, zone) in ["khomas-a", "khomas-b", "khomas-c"].iter().enumerate() {
        deployment.add_engine(&format!("i-app{number}"), "market-api", zone, &["length", "1", "10"]);
    }
    deployment.add_nodes(&context.program, &context.repository, NODES, true);
    if !deployment.await_ready() {
        context.note("the nodes aren't ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(number("SETTLE_S", 10)));
    let zone = env::var("ZONE").ok().and_then(|text| text.parse().ok()).unwrap_or(0_usize);
    let is_core = |number: usize| {
        let log = fs::read_to_string(deployment.work.join(format!("node-{number}.log")));
        let log = log.unwrap_or_default();
        let role = log.lines().filter(|line| line.contains("\"mesh_role\"")).last().unwrap_or("").to_owned();
        role.contains("\"core\":true") && role.contains("\"small\":false")
    };
    let local: Vec<usize> = (0..NODES).filter(|number| number % 3 == zone).collect();
    let (cores, leaves): (Vec<usize>, Vec<usize>) = local.into_iter().partition(|number| is_core(*number));
    context.note(&format!("cores {cores:?} leaves {leaves:?}"));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = leaves
        .iter()
        .map(|leaf| {
            let (addr, leaf, is_over) = (deployment.nodes[*leaf].callers, *leaf, Arc::clone(&is_over));
            thread::spawn(move || {
                let (mut sent, mut failed) = (0_u64, 0_u64);
                while !is_over.load(Ordering::Relaxed) {
                    let Ok(mut client) = Client::connect(addr, Duration::from_secs(4)) else {
                        failed += 1;
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    loop {
                        sent += 1;
                        let id = format!("{leaf:02}-{sent:08}");
                        let head = format!(
                            "GET /browse/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n"
                        );
                        let reply = client.request(&head, b"");
                        failed += u64::from(reply.status != 200);
                        if is_over.load(Ordering::Relaxed) || !reply.whole {
                            break;
                        }
                        thread::sleep(Duration::from_millis(10));
                    }
                }
                (leaf, sent, failed)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if context.has_trouble {
        cores.iter().for_each(|core| deployment.nodes[*core].process.signal("-STOP"));
        context.note("the cores are stopped");
    }
    thread::sleep(Duration::from_millis(number("OFFSET_MS", 50)));
    deployment.drain_engine(0);
    let acked_at = now_ms();
    context.note("i-app0 is draining");
    thread::sleep(Duration::from_secs(6));
    cores.iter().for_each(|core| deployment.nodes[*core].process.signal("-CONT"));
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let (leaf, sent, failed) = client.join().expect("a client");
        context.note(&format!("leaf {leaf}: {sent} requests, {failed} not served"));
    }
    let mut late = 0;
    for leaf in &leaves {
        let prefix = format!("{leaf:02}-");
        let arrivals: Vec<u128> = deployment
            .runs()
            .iter()
            .filter_map(|line| {
                let mut words = line.split(' ');
                let at: u128 = words.next()?.parse().ok()?;
                let (engine, what, id) = (words.next()?, words.next()?, words.next()?);
                (engine == "i-app0" && what == "RUN" && id.starts_with(&prefix)).then_some(at)
            })
            .collect();
        let last = arrivals.iter().max().map_or(-1, |at| *at as i128 - acked_at as i128);
        let too_late = arrivals.iter().filter(|at| **at > acked_at + DRAIN_MS).count();
        late += too_late;
        context.note(&format!("leaf {leaf}: last request at i-app0 {last} ms after the acknowledgement, {too_late} too late"));
    }
    if late > 0 { Outcome::Broken } else { Outcome::Held }
}
