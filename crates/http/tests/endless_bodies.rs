//! Bodies of answers that don't end.

use {
    glade_http::{HttpError, Pool},
    http_body_util::Full,
    hyper::Request,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::runtime,
};

const TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER_BYTES_MAX: usize = 1 << 20;
/// What the server may have written when the client closes: the limit, and what both sides buffer.
const SENT_BYTES_MAX: usize = 32 << 20;
const PIECE: [u8; 16 << 10] = [b'x'; 16 << 10];

/// Starts a server that writes `start` and then bytes without end to a request. Returns its address
/// and the number of bytes written.
fn spawn_server(start: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&sent);
    thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        let length = stream.read(&mut [0; 4096]).expect("a request");
        assert!(length > 0);
        stream.write_all(start.as_bytes()).expect("the connection is open");
        while count.load(Ordering::Relaxed) <= SENT_BYTES_MAX && stream.write_all(&PIECE).is_ok() {
            count.fetch_add(PIECE.len(), Ordering::Relaxed);
        }
    });
    (addr, sent)
}

/// A server's bytes without end filled the memory of the process that had called it.
fn assert_broken_off(start: &'static str) {
    let (addr, sent) = spawn_server(start);
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let pool = Pool::with_max_answer_bytes(ANSWER_BYTES_MAX);
    let req = Request::get("/").body(Full::default()).expect("a request");
    let answer = runtime.block_on(pool.fetch(addr, req, TIMEOUT));
    assert!(matches!(answer, Err(HttpError::Broken { .. })), "{answer:?}");
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= SENT_BYTES_MAX, "{sent} bytes");
}

#[test]
fn a_body_that_ends_with_its_connection_is_broken_off_at_the_limit() {
    assert_broken_off("HTTP/1.1 200 OK\r\n\r\n");
}

#[test]
fn a_body_longer_than_the_limit_by_its_head_is_broken_off() {
    assert_broken_off("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n");
}

#[test]
fn a_chunk_without_end_is_broken_off_at_the_limit() {
    assert_broken_off("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n");
}

#[test]
fn a_size_of_a_chunk_without_end_is_broken_off() {
    assert_broken_off("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;");
}

#[test]
fn trailers_without_end_are_broken_off() {
    assert_broken_off("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nname: ");
}

#[test]
fn a_line_of_the_head_without_end_is_broken_off() {
    assert_broken_off("HTTP/1.1 200 OK\r\nname: ");
}

#[test]
fn a_status_line_without_end_is_broken_off() {
    assert_broken_off("HTTP/1.1 200 ");
}
