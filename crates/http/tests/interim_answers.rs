//! Interim answers that come before the final one of a request.

use {
    glade_http::{HttpError, Pool},
    http_body_util::Full,
    hyper::Request,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
        time::Duration,
    },
    tokio::runtime,
};

const TIMEOUT: Duration = Duration::from_secs(5);
const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const FINAL: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
/// Bytes that the sender without end writes at a time.
const PIECE_BYTES: usize = 64 << 10;

/// Starts a server that writes `answer` to each request, again and again if `is_endless`.
fn spawn_server(answer: String, is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = [0; 4096];
            while stream.read(&mut request).is_ok_and(|read| read > 0) {
                while stream.write_all(answer.as_bytes()).is_ok() && is_endless {}
            }
        }
    });
    addr
}

fn fetch_times(addr: SocketAddr, times: usize) -> Vec<Result<u16, HttpError>> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pool = Pool::new();
    let fetch = async || {
        let req = Request::get("/").body(Full::default()).expect("a request");
        pool.fetch(addr, req, TIMEOUT).await.map(|answer| answer.status.as_u16())
    };
    (0..times).map(|_| runtime.block_on(fetch())).collect()
}

#[test]
fn interim_answers_without_end_break_the_connection_and_dont_hold_the_thread() {
    let addr = spawn_server(INTERIM.repeat(PIECE_BYTES / INTERIM.len()), true);
    let outcomes = fetch_times(addr, 1);
    assert!(matches!(outcomes[0], Err(HttpError::Broken { .. })), "{outcomes:?}");
}

#[test]
fn some_interim_answers_to_each_request_on_a_connection_are_skipped() {
    let addr = spawn_server(INTERIM.repeat(50) + FINAL, false);
    let outcomes = fetch_times(addr, 4);
    assert!(outcomes.iter().all(|outcome| *outcome == Ok(200)), "{outcomes:?}");
}
