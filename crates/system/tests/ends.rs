//! The real node lives on, and ends as it should, whatever signals, settings files, readers of its
//! output and callers do.

use {
    glade_catalog::{Catalog, RequestMetadata, Route},
    glade_standins::site::{marks, terms_lines},
    glade_system::{
        program,
        site::{BATCH, BROWSE, CHAT, CLAIM, EVENTS, HOST, Site, catalog},
    },
    glade_types::RequestId,
    rustix::{
        fs::{CWD, FileType, Mode, mknodat},
        process::Signal,
    },
    std::{
        fs::{self, File, OpenOptions},
        io::{PipeWriter, Read, Write, pipe},
        net::{SocketAddr, TcpListener, TcpStream},
        path::Path,
        process::Command,
        thread,
    },
};

/// Bytes that a pipe holds while nobody reads it.
const PIPE_BYTES: usize = 64 << 10;
/// Size of a settings file that can't be one.
const HUGE_FILE_BYTES: u64 = 256 << 20;
/// Most memory of a node that was told to read it.
const MEMORY_MAX_KB: u64 = 64 << 10;
/// Descriptors of a node that has few.
const FEW_DESCRIPTORS: usize = 64;

/// Signals that end a process unless it ignores or handles them, and that tell a node nothing.
const STRAY_SIGNALS: [Signal; 10] = [
    Signal::USR1,
    Signal::USR2,
    Signal::ALARM,
    Signal::VTALARM,
    Signal::PROF,
    Signal::IO,
    Signal::PIPE,
    Signal::POWER,
    Signal::XCPU,
    Signal::XFSZ,
];

fn node() -> Command {
    Command::new(program("persimmonglade-node"))
}

fn make_fifo(path: &Path) {
    mknodat(CWD, path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a pipe can be made");
}

fn assert_serves(site: &Site) {
    let reply = site.send(0, CHAT, Some("m0"), &site.request_id()).expect("an answer");
    assert_eq!(reply.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
}

/// Waits until a node has ended by itself and returns its exit code.
fn exit_code(site: &mut Site, position: usize) -> i32 {
    let mut code = None;
    for _ in 0..6000 {
        code = code.or_else(|| site.ended_node(position));
        if code.is_some() {
            break;
        }
        site.pause(std::time::Duration::from_millis(10));
    }
    code.expect("the node ends")
}

/// A site with one node that has opened its settings file, and can't read it before it is written.
fn start_before_settings() -> (Site, File, String) {
    let mut site = Site::start(1, &[&["m0"]]);
    site.kill_node(0);
    let path = site.settings_path(0);
    let text = fs::read_to_string(&path).expect("settings can be read");
    fs::remove_file(&path).expect("settings can be removed");
    make_fifo(&path);
    site.start_node(0);
    // Returns once the node has opened the other end.
    let file = OpenOptions::new().write(true).open(&path).expect("the node opens its settings");
    (site, file, text)
}

#[test]
fn a_signal_during_the_start_doesnt_end_a_node() {
    let (mut site, mut file, text) = start_before_settings();
    for signal in STRAY_SIGNALS.into_iter().chain([Signal::HUP]) {
        site.signal_node(0, signal);
    }
    let written = file.write_all(text.as_bytes());
    drop(file);
    assert_eq!((site.ended_node(0), written.is_ok()), (None, true));
    site.all_serve();
    assert_serves(&site);
}

#[test]
fn a_node_told_to_end_during_its_start_ends_in_order() {
    for signal in [Signal::TERM, Signal::INT, Signal::QUIT] {
        let (mut site, mut file, text) = start_before_settings();
        site.signal_node(0, signal);
        let written = file.write_all(text.as_bytes());
        drop(file);
        let code = exit_code(&mut site, 0);
        assert_eq!((code, written.is_ok()), (0, true), "{signal:?}: {}", site.node_log(0));
        assert!(site.node_log(0).contains(r#""event":"stopped""#), "{signal:?}");
    }
}

#[test]
fn stray_signals_dont_end_a_node() {
    let mut site = Site::start(1, &[&["m0"]]);
    for signal in STRAY_SIGNALS {
        site.signal_node(0, signal);
        assert_serves(&site);
        assert_eq!(site.ended_node(0), None, "{signal:?}");
    }
}

#[test]
fn a_node_told_to_end_twice_and_to_reload_in_the_drain_finishes_its_answers() {
    for signal in [Signal::TERM, Signal::INT, Signal::QUIT] {
        let mut site = Site::start(1, &[&["m0"]]);
        let id = site.request_id();
        let sent = site.begin(0, BATCH, Some("m0"), &id);
        site.eventually("the request runs", || !site.log.runs_of(&id).is_empty());
        for signal in [Signal::HUP, signal, Signal::HUP, Signal::TERM, signal, Signal::HUP] {
            site.signal_node(0, signal);
        }
        let reply = site.finish(sent).expect("an answer");
        assert_eq!((reply.status, reply.whole), (200, true), "{signal:?}: {reply:?}");
        assert_eq!(exit_code(&mut site, 0), 0, "{signal:?}");
    }
}

#[test]
fn a_node_outlives_settings_files_that_cant_be_read_at_a_reload() {
    let mut site = Site::start(1, &[&["m0"]]);
    let path = site.settings_path(0);
    let text = fs::read_to_string(&path).expect("settings can be read");
    let write = |content: &[u8]| fs::write(&path, content).expect("settings can be written");
    let changes: [(&str, &dyn Fn()); 7] = [
        ("empty", &|| write(b"")),
        ("broken", &|| write(b"vm: [")),
        ("no text", &|| write(&[0xff; 64])),
        ("deeply nested", &|| write("[".repeat(200_000).as_bytes())),
        ("huge", &|| {
            File::create(&path).and_then(|file| file.set_len(HUGE_FILE_BYTES)).expect("a file")
        }),
        ("missing", &|| fs::remove_file(&path).expect("settings can be removed")),
        ("never written", &|| make_fifo(&path)),
    ];
    for (position, (name, change)) in changes.iter().enumerate() {
        change();
        site.signal_node(0, Signal::HUP);
        site.eventually(name, || site.node_log(0).matches("reload_failed").count() > position);
        assert_serves(&site);
        assert_eq!(site.ended_node(0), None, "{name}");
    }
    let peak = site.peak_memory_kb(0);
    assert!(peak < MEMORY_MAX_KB, "{peak} kB");
    fs::remove_file(&path).expect("settings can be removed");
    fs::write(&path, text.replace("directory_ttl_s: 1", "directory_ttl_s: 2")).expect("settings");
    site.signal_node(0, Signal::HUP);
    site.eventually("it reads a sound file", || {
        site.node_log(0).contains("timing.directory_ttl_s")
    });
}

/// A pipe that is full, with nobody to read it, and the end that keeps it open.
fn full_pipe() -> (std::io::PipeReader, PipeWriter) {
    let (reader, mut writer) = pipe().expect("a pipe");
    writer.write_all(&[b'\n'; PIPE_BYTES]).expect("the pipe holds that much");
    (reader, writer)
}

#[test]
fn a_node_whose_output_nobody_reads_serves_and_ends() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.kill_node(0);
    let (_reader, writer) = full_pipe();
    site.start_node_by(0, node(), Some(writer));
    site.all_serve();
    assert_serves(&site);
    site.signal_node(0, Signal::TERM);
    assert_eq!(exit_code(&mut site, 0), 0);
}

#[test]
fn a_node_whose_output_is_closed_serves_and_ends() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.kill_node(0);
    let (reader, writer) = pipe().expect("a pipe");
    site.start_node_by(0, node(), Some(writer));
    drop(reader);
    site.all_serve();
    assert_serves(&site);
    site.signal_node(0, Signal::TERM);
    assert_eq!(exit_code(&mut site, 0), 0);
}

#[test]
fn a_node_that_cant_start_ends_although_nobody_reads_why() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.kill_node(0);
    fs::write(site.settings_path(0), "vm: [").expect("settings can be written");
    let (reader, writer) = full_pipe();
    site.start_node_by(0, node(), Some(writer));
    assert_eq!(exit_code(&mut site, 0), 2);
    drop(reader);
    let (reader, writer) = pipe().expect("a pipe");
    drop(reader);
    site.start_node_by(0, node(), Some(writer));
    assert_eq!(exit_code(&mut site, 0), 2);
}

#[test]
fn a_node_without_descriptors_lives_and_serves_again_once_it_has_some() {
    let mut site = Site::start(1, &[&["m0"]]);
    site.kill_node(0);
    let mut command = Command::new("sh");
    let limited = format!(r#"ulimit -n {FEW_DESCRIPTORS}; exec "$0" "$@""#);
    command.arg("-c").arg(limited).arg(program("persimmonglade-node"));
    site.start_node_by(0, command, None);
    site.all_serve();
    let addrs = site.addrs(0);
    let connect = |addr| TcpStream::connect(addr).expect("the system accepts the connection");
    let mut idle = Vec::new();
    for _ in 0..FEW_DESCRIPTORS {
        idle.extend([addrs.callers, addrs.readiness, addrs.directory].map(connect));
    }
    site.eventually("descriptors run out", || site.node_log(0).contains("accept_failed"));
    site.signal_node(0, Signal::HUP);
    site.configure(2);
    site.pause(std::time::Duration::from_secs(2));
    assert_eq!(site.ended_node(0), None, "{}", site.node_log(0));
    drop(idle);
    site.all_serve();
    assert_serves(&site);
    let reply = site.send(0, BROWSE, None, &site.request_id()).expect("an answer");
    assert_eq!(reply.status, 200);
    site.eventually("it follows the store", || {
        site.node_log(0).contains(r#""event":"configuration_in_force","version":2"#)
    });
}

/// Answers each request on a port with these header lines, for as long as the test program runs.
fn spawn_server(lines: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut request = [0; 4096];
                while let Ok(length @ 1..) = stream.read(&mut request) {
                    let marks = marks(&String::from_utf8_lossy(&request[..length]));
                    let answer = format!("HTTP/1.1 200 OK\r\n{marks}{lines}\r\nok");
                    // The node may have closed the connection.
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    addr
}

#[test]
fn a_server_that_keeps_connections_for_ever_breaks_no_answer() {
    let mut site = Site::start_unconfigured(0, &[&["m0"]]);
    for server in &site.plain {
        let lines = "keep-alive: timeout=18446744073709551615\r\ncontent-length: 2\r\n";
        server.advertise(spawn_server(lines));
    }
    site.add_node();
    site.configure(1);
    site.all_serve();
    for _ in 0..4 {
        let reply = site.send(0, CLAIM, None, &site.request_id()).expect("an answer");
        assert_eq!((reply.status, reply.whole, reply.body.as_str()), (200, true, "ok"));
    }
    assert!(!site.node_log(0).contains("panicked"), "{}", site.node_log(0));
}

#[test]
fn a_target_with_a_query_and_no_path_is_answered() {
    let site = Site::start(1, &[&["m0"]]);
    let known = catalog(2);
    let of_path = |route: &Route| Route { path_prefix: "/".to_owned(), ..route.clone() };
    let browse = known.routes().find(|route| route.path_prefix == BROWSE).expect("the route");
    let routes = vec![of_path(browse)];
    let services = known.services().cloned().collect();
    site.put_catalog(&Catalog::new(2, *known.limits(), routes, services));
    site.eventually("the route is in force", || {
        let reply = site.send(0, "/anything", None, &site.request_id());
        reply.is_some_and(|reply| reply.status == 200)
    });
    let mut stream = TcpStream::connect(site.addrs(0).callers).expect("a connection");
    let id = Some(RequestId::new(&site.request_id()));
    let terms = terms_lines(&RequestMetadata { request_id: id, ..RequestMetadata::default() });
    let request = format!("GET http://{HOST}?page=2 HTTP/1.1\r\nhost: {HOST}\r\n{terms}\r\n");
    stream.write_all(request.as_bytes()).expect("the node reads");
    let mut answer = [0; 12];
    let read = stream.read_exact(&mut answer);
    assert_eq!((read.is_ok(), &answer), (true, b"HTTP/1.1 200"), "{}", site.node_log(0));
}
