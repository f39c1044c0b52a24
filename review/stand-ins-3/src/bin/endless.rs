//! Case: engines in trouble send bytes without end in the bodies of streams, to many callers at once.

use {
    review_stand_ins_3::{
        Bounds, Node, NodeAddrs, Reader, Record, Rig, all_ready, answer, chunk, finish, has_trouble,
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// As on the sheet of kse-windhoek.
const ENGINES: usize = 12;
const ENGINE_SLOTS: u32 = 64;
const APP_SERVERS: usize = 3;
const APP_SLOTS: u32 = 6;
const MEMORY_MB: u64 = 260;
const MAX_FDS: u64 = 4200;
/// Streams asked for in a second: all three kinds together.
const STREAMS_PER_S: f64 = 97.9;
/// The sheet's burst: so many times the traffic, for so long.
const BURST: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(3);
const KEPT_CALLERS: usize = 10;
/// Bytes that an engine in trouble sends at a time, and the pause between.
const ENDLESS_BYTES: usize = 16 << 10;
const ENDLESS_PAUSE: Duration = Duration::from_millis(60);
/// Events of a stream as on the sheet, and the pause between. The sheet allows 300 ms.
const EVENTS: u32 = 58;
const EVENT_PAUSE: Duration = Duration::from_millis(95);
/// Time that a claim takes at a server of the application.
const APP_WORK: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Counts {
    streams_begun: AtomicU64,
    /// Ids of the claims that servers of the application began to run.
    app_runs: std::sync::Mutex<std::collections::BTreeSet<String>>,
    app_answered: AtomicU64,
    lost_passed_on: AtomicU64,
    lost_unsent: AtomicU64,
    stream_ends: std::sync::Mutex<std::collections::BTreeMap<String, u64>>,
    killed: AtomicU64,
    peak_kb: AtomicU64,
}

async fn engine(listener: TcpListener, id: String, trouble: Arc<AtomicBool>, counts: Arc<Counts>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (id, trouble, counts) = (id.clone(), Arc::clone(&trouble), Arc::clone(&counts));
        tokio::spawn(async move {
            let mut reader = Reader::new(stream);
            while let Some(head) = reader.head().await {
                if reader.body(&head, |_| {}).await.is_none() {
                    return;
                }
                let request = head.get("request-id").unwrap_or("").to_owned();
                let ok = match head.path() {
                    "/report" => {
                        let report = r#"{"Stage":"both","Models":[{"Name":"m0","Version":1,"Adapters":[]}],"Busy":false,"Seq":0,"Queued":0,"Running":0,"KvUsed":0,"KvTotal":149031,"Handles":0,"born":1000}"#;
                        reader.write(&answer("200 OK", &[("Instance-Id", &id)], report)).await
                    }
                    "/hold-take" => {
                        reader
                            .write(&answer("503 Service Unavailable", &[("Instance-Id", &id)], ""))
                            .await
                    }
                    "/order" => {
                        reader.write(&answer("409 Conflict", &[("Instance-Id", &id)], "")).await
                    }
                    _ if head.get("expect-instance").is_some_and(|expected| expected != id) => {
                        reader
                            .write(&answer("421 Misdirected Request", &[("Instance-Id", &id)], ""))
                            .await
                    }
                    _ => {
                        counts.streams_begun.fetch_add(1, Ordering::Relaxed);
                        let begin = format!(
                            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: stamp\r\nInstance-Id: {id}\r\n\
                             Content-Type: text/event-stream\r\n"
                        );
                        let mut ok = reader
                            .write(format!("{begin}Transfer-Encoding: chunked\r\n\r\n").as_bytes())
                            .await;
                        for number in
                            1..=(if head.path().starts_with("/check") { 5 } else { EVENTS })
                        {
                            if trouble.load(Ordering::Relaxed) {
                                // Bytes that are no answer, without end, until the caller closes.
                                let bytes = chunk(&"x".repeat(ENDLESS_BYTES));
                                while reader.write(&bytes).await {
                                    sleep(ENDLESS_PAUSE).await;
                                }
                                return;
                            }
                            ok = ok
                                && reader
                                    .write(&chunk(&format!("id: {number}\ndata: token\n\n")))
                                    .await;
                            sleep(EVENT_PAUSE).await;
                        }
                        ok && reader.write(b"0\r\n\r\n").await
                    }
                };
                if !ok {
                    return;
                }
            }
        });
    }
}

async fn app_server(listener: TcpListener, id: String, counts: Arc<Counts>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let (id, counts) = (id.clone(), Arc::clone(&counts));
        tokio::spawn(async move {
            let mut reader = Reader::new(stream);
            while let Some(head) = reader.head().await {
                if reader.body(&head, |_| {}).await.is_none() {
                    return;
                }
                let request = head.get("request-id").unwrap_or("").to_owned();
                if head.get("expect-instance").is_some_and(|expected| expected != id) {
                    reader
                        .write(&answer("421 Misdirected Request", &[("Instance-Id", &id)], ""))
                        .await;
                    continue;
                }
                if request.is_empty() {
                    reader.write(&answer("200 OK", &[("Instance-Id", &id)], "")).await;
                    continue;
                }
                counts.app_runs.lock().unwrap().insert(request.clone());
                sleep(APP_WORK).await;
                let headers =
                    [("Request-Id", &*request), ("Response-Stamp", "stamp"), ("Instance-Id", &id)];
                if !reader.write(&answer("200 OK", &headers, &"b".repeat(800))).await {
                    return;
                }
            }
        });
    }
}

fn configuration() -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout_ms: u32,
                 slo_ms: u32,
                 service: &str| {
        let resumable = name != "batch";
        let attempts = if kind == "streaming" && resumable { 2 } else { 1 };
        let stream = if kind == "streaming" {
            &*format!(r#","Sticky":true,"Resumable":{resumable},"GapTargetMs":300"#)
        } else {
            ""
        };
        format!(
            r#"{{"Name":"{name}","Host":"market.example","Prefix":"{prefix}","Kind":"{kind}","TimeoutMs":{timeout_ms},"SloMs":{slo_ms},"Priority":1,"Service":"{service}","Attempts":{attempts}{stream}}}"#
        )
    };
    format!(
        r#"{{"Version":1,"Routes":[{},{},{},{}],"Services":[{{"Name":"lm","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false,"Engine":{{"Slots":{ENGINE_SLOTS},"KvCapacity":149031,"KvTokenBytes":131072,"LinkMbps":130000.0,"Moves":true,"Backups":true,"Stride":5,"AtMost":12,"HostMb":59000.0,"DiskMb":170000.0,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"m0","WeightsMb":65100.0,"LoadS":3.0,"Adapters":0,"AdapterMb":40.0,"WarmS":0.78,"DiskS":1.0}}],"WeightsMb":230000.0,"AdapterSlots":8,"LoadsPerS":2.0}}}},{{"Name":"app","HealthPath":"/health","MaxConns":100,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        route("chat", "/chat/", "streaming", 15_000, 400, "lm"),
        route("check", "/check/", "streaming", 3_000, 600, "lm"),
        route("batch", "/batch/", "streaming", 20_000, 2_500, "lm"),
        route("claim", "/claim/", "unsafe", 3_000, 300, "app"),
    )
}

/// A caller who asks for a description and reads all of it.
async fn stream_caller(node: Arc<Node>, number: usize, counts: Arc<Counts>) {
    let end = async {
        let Ok(stream) = TcpStream::connect(node.addrs.front).await else {
            return "no connection".to_owned();
        };
        let mut reader = Reader::new(stream);
        // 74.1, 13.5 and 10.3 of 97.9 a second.
        let (kind, deadline_ms) = match number * 389 % 979 {
            0..741 => ("chat", 15000),
            741..876 => ("check", 3000),
            _ => ("batch", 20000),
        };
        let text = format!(
            "POST /{kind}/{number} HTTP/1.1\r\nHost: market.example\r\nRequest-Id: batch-{number}\r\nModel: m0\r\n\
             Token-Counts: 826,290\r\nPrompt-Prefix: 5c1e07a2:198,{number:08x}:628\r\nDeadline-Ms: {deadline_ms}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        if !reader.write(text.as_bytes()).await {
            return "closed".to_owned();
        }
        let Some(head) = reader.head().await else { return "closed without an answer".to_owned() };
        match reader.body(&head, |_| {}).await {
            Some(_) => format!("{}", head.status()),
            None => "cut in the answer".to_owned(),
        }
    };
    let end = timeout(Duration::from_secs(21), end)
        .await
        .unwrap_or_else(|_| "no answer in 21 s".to_owned());
    *counts.stream_ends.lock().unwrap().entry(end).or_default() += 1;
}

/// A caller of the application, whose servers are sound, on one kept connection.
async fn kept_caller(node: Arc<Node>, number: usize, counts: Arc<Counts>, record: Record) {
    let mut request = 0;
    loop {
        let Ok(stream) = TcpStream::connect(node.addrs.front).await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        let mut reader = Reader::new(stream);
        loop {
            request += 1;
            let id = format!("claim-{number}-{request}");
            let text = format!(
                "POST /claim/{number} HTTP/1.1\r\nHost: market.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
                 Content-Length: 4\r\n\r\ndata"
            );
            if !reader.write(text.as_bytes()).await {
                break;
            }
            let answered = async {
                let head = reader.head().await?;
                reader.body(&head, |_| {}).await?;
                Some(head.status())
            };
            match timeout(Duration::from_secs(2), answered).await {
                Ok(Some(status)) => {
                    counts.app_answered.fetch_add(1, Ordering::Relaxed);
                    if status != 200 {
                        record.line(format!("{id}: status {status}"));
                        sleep(Duration::from_millis(300)).await;
                    }
                }
                Ok(None) => {
                    let passed_on = counts.app_runs.lock().unwrap().contains(&id);
                    let lost = if passed_on { &counts.lost_passed_on } else { &counts.lost_unsent };
                    lost.fetch_add(1, Ordering::Relaxed);
                    let run = if passed_on { "a sound server ran it" } else { "not passed on" };
                    record.line(format!(
                        "{id}: sent to {}, {run}, connection closed without an answer",
                        node.name
                    ));
                    break;
                }
                Err(_) => {
                    record.line(format!("{id}: no answer in 2 s"));
                    break;
                }
            }
        }
    }
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::new();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let code = runtime.block_on(run(&record));
    finish(&record, &folder, code)
}

async fn run(record: &Record) -> i32 {
    let rig = Rig::new().await;
    let (trouble, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    rig.store.put("op/config", configuration().into_bytes());
    let row = |id: String, service: &str, slots: u32, models: &str, addr: std::net::SocketAddr| {
        let text = format!(
            r#"{{"born":1000,"Service":"{service}","Address":"{addr}","Zone":"zone-a","Version":"v1","Slots":{slots},"State":"ready","ColdLeftMs":0,"Seq":0{models}}}"#
        );
        rig.store.put(&format!("servers/{id}"), text.into_bytes());
    };
    for number in 0..ENGINES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let models = r#","Stage":"both","Models":[{"Name":"m0","Version":1,"Adapters":[]}]"#;
        row(format!("e-{number}"), "lm", ENGINE_SLOTS, models, listener.local_addr().unwrap());
        tokio::spawn(engine(
            listener,
            format!("e-{number}"),
            Arc::clone(&trouble),
            Arc::clone(&counts),
        ));
    }
    for number in 0..APP_SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        row(format!("a-{number}"), "app", APP_SLOTS, "", listener.local_addr().unwrap());
        tokio::spawn(app_server(listener, format!("a-{number}"), Arc::clone(&counts)));
    }
    let addrs = [NodeAddrs::free()];
    let seeds: Vec<_> = addrs.iter().map(|addrs| addrs.control).collect();
    let bounds =
        Bounds { memory_mb: MEMORY_MB, max_fds: MAX_FDS, check_fences: false, retry_slack: 52 };
    let nodes: Vec<Arc<Node>> = (1..)
        .zip(addrs)
        .map(|(number, addrs)| {
            let name = format!("front-zone-a-{number}");
            Arc::new(Node::new(
                &rig.folder,
                &name,
                "zone-a",
                addrs,
                rig.store.addr(),
                &seeds,
                bounds,
            ))
        })
        .collect();
    nodes.iter().for_each(|node| node.start());
    if !all_ready(&nodes, Duration::from_secs(20)).await {
        record.say("the node didn't become ready");
        rig.end();
        return 2;
    }
    record.say("the node is ready; the other machines of the deployment are lost");
    // The platform: kills a process that exceeds its machine's memory, and starts it again.
    let (watched, seen, watch_record) =
        (Arc::clone(&nodes[0]), Arc::clone(&counts), record.clone());
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(50)).await;
            let kb = watched.resident_kb();
            seen.peak_kb.fetch_max(kb, Ordering::Relaxed);
            if kb > MEMORY_MB * 1024 {
                watch_record.say(format!(
                    "{} takes {kb} kB of {} kB: killed by the platform",
                    watched.name,
                    MEMORY_MB * 1024
                ));
                watched.kill();
                seen.killed.fetch_add(1, Ordering::Relaxed);
                sleep(Duration::from_millis(500)).await;
                watched.start();
            } else if let Some(status) = watched.ended() {
                watch_record.say(format!("{} has ended: {status}", watched.name));
                seen.killed.fetch_add(1, Ordering::Relaxed);
                sleep(Duration::from_millis(500)).await;
                watched.start();
            }
        }
    });
    for number in 0..KEPT_CALLERS {
        tokio::spawn(kept_caller(
            Arc::clone(&nodes[0]),
            number,
            Arc::clone(&counts),
            record.clone(),
        ));
    }
    sleep(Duration::from_secs(5)).await;
    record.say(format!("{} claims answered in calm", counts.app_answered.load(Ordering::Relaxed)));
    if counts.app_answered.load(Ordering::Relaxed) < 20 {
        record.say("the calm system doesn't serve");
        rig.end();
        return 2;
    }
    // The sheet's traffic, with its burst at the end; all of it goes to the node that is left.
    let mut number = 0;
    let pace = |seconds: f64, times: f64| {
        ((seconds * STREAMS_PER_S * times) as usize, 1.0 / (STREAMS_PER_S * times))
    };
    for (count, pause_s) in [pace(4.0, 1.0), pace(BURST_TIME.as_secs_f64(), BURST)] {
        let began = std::time::Instant::now();
        for position in 0..count {
            tokio::spawn(stream_caller(Arc::clone(&nodes[0]), number, Arc::clone(&counts)));
            number += 1;
            let due = Duration::from_secs_f64(pause_s * position as f64);
            sleep(due.saturating_sub(began.elapsed())).await;
        }
    }
    record.say(format!(
        "{number} descriptions were asked for, {} have begun at engines, {:?} have ended",
        counts.streams_begun.load(Ordering::Relaxed),
        counts.stream_ends.lock().unwrap()
    ));
    if has_trouble() {
        trouble.store(true, Ordering::Relaxed);
        record.say(format!("the {ENGINES} engines of lm are in trouble"));
    }
    let (node, seen) = (Arc::clone(&nodes[0]), Arc::clone(&counts));
    tokio::spawn(async move {
        for number in number.. {
            tokio::spawn(stream_caller(Arc::clone(&node), number, Arc::clone(&seen)));
            sleep(Duration::from_secs_f64(1.0 / STREAMS_PER_S)).await;
        }
    });
    for _ in 0..14 {
        sleep(Duration::from_secs(1)).await;
        record.say(format!(
            "{} takes {} kB, streams begun at engines {}, claims answered {}, lost {}",
            nodes[0].name,
            nodes[0].resident_kb(),
            counts.streams_begun.load(Ordering::Relaxed),
            counts.app_answered.load(Ordering::Relaxed),
            counts.lost_passed_on.load(Ordering::Relaxed),
        ));
    }
    let (killed, lost) =
        (counts.killed.load(Ordering::Relaxed), counts.lost_passed_on.load(Ordering::Relaxed));
    record.say(format!(
        "peak {} kB; ends of descriptions: {:?}",
        counts.peak_kb.load(Ordering::Relaxed),
        counts.stream_ends.lock().unwrap()
    ));
    record.say(format!(
        "process ended {killed} times; {lost} claims on kept connections were passed on to sound servers and got no answer ({} more were not passed on)",
        counts.lost_unsent.load(Ordering::Relaxed)
    ));
    nodes.iter().for_each(|node| node.kill());
    rig.end();
    i32::from(killed > 0 && lost > 3)
}
