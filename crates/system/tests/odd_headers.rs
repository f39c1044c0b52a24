//! Servers whose headers have numbers out of range, or no numbers: callers get the answers.

use {
    glade_system::site::{CLAIM, Site},
    std::{
        io::{BufRead, BufReader, Write},
        net::{TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
};

/// Answers all requests of a connection with `status` and each of the headers `extras` in turn.
fn answer_all(
    stream: &TcpStream,
    status: &str,
    extras: &[&str],
    count: &AtomicUsize,
) -> Option<()> {
    let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
    loop {
        let mut id = String::new();
        loop {
            let line = lines.next()?.ok()?.to_ascii_lowercase();
            if let Some(value) = line.strip_prefix("request-id: ") {
                value.clone_into(&mut id);
            }
            // The body has no line end: it precedes the next head.
            if line.is_empty() {
                break;
            }
        }
        let extra = extras[count.fetch_add(1, Ordering::Relaxed) % extras.len()];
        let head = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n{extra}\r\n\
             Content-Length: 5\r\n\r\nwhole"
        );
        (&mut &*stream).write_all(head.as_bytes()).ok()?;
    }
}

/// Puts a server in the place of the plain ones that answers with `status` and each of the headers
/// `extras` in turn, and checks that callers get `expected` and that no part of the node ends.
fn assert_answers(status: &'static str, extras: &'static [&'static str], expected: u16) {
    let site = Site::start_unconfigured(1, &[&["m0"]]);
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = Arc::clone(&counted);
            thread::spawn(move || answer_all(&stream, status, extras, &counted));
        }
    });
    site.plain.iter().for_each(|server| server.advertise(addr));
    site.configure(1);
    site.all_serve();
    for _ in 0..4 * extras.len() {
        let reply = site.send(0, CLAIM, None, &site.request_id());
        let log = site.node_log(0);
        let panic = log.lines().find(|line| line.contains("panicked"));
        assert_eq!(panic, None);
        assert_eq!(reply.as_ref().map(|reply| reply.status), Some(expected), "{reply:?}");
    }
    assert!(count.load(Ordering::Relaxed) >= extras.len(), "all headers were sent");
}

#[test]
fn an_answer_with_an_endless_keep_alive_time_is_passed_on() {
    let extras = &[
        "Keep-Alive: timeout=18446744073709551615",
        "Keep-Alive: timeout=9223372036854775807",
        "Keep-Alive: timeout=99999999999999999999999",
        "Keep-Alive: timeout=-1",
        "Keep-Alive: timeout=0",
    ];
    assert_answers("200 OK", extras, 200);
}

#[test]
fn a_refusal_with_an_endless_retry_time_is_a_refusal() {
    let extras = &[
        "Not-Run: 1\r\nRetry-After: 1e19",
        "Not-Run: 1\r\nRetry-After: 18446744073709551615",
        "Not-Run: 1\r\nRetry-After: 1e400",
        "Not-Run: 1\r\nRetry-After: NaN",
        "Not-Run: 1\r\nRetry-After: -1",
    ];
    assert_answers("429 Too Many Requests", extras, 503);
}
