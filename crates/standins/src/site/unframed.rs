//! A server whose answers have neither a length nor chunks and end with their connections.

use {
    crate::site::endless::marks,
    socket2::SockRef,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

/// Pause between two pieces of an answer, so that they arrive one by one.
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// Largest request that is read.
const REQUEST_BYTES_MAX: usize = 16 << 10;

/// An error in the middle of an answer.
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\
                     content-length: 5\r\n\r\nerror";

/// How an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnframedEnd {
    /// The connection is closed after the whole answer.
    Whole,
    /// The connection is closed inside the event after this many.
    InsideEvent(u64),
    /// An error, with its head, comes inside the event after this many, and then the connection is closed.
    ErrorInsideEvent(u64),
    /// The connection is reset after this many pieces.
    Reset(u64),
}

/// A running server. It stops when it is dropped.
#[derive(Debug)]
pub struct UnframedServer {
    addr: SocketAddr,
    answers: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for UnframedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl UnframedServer {
    /// Starts a server on a free port. An answer has these `pieces`.
    pub async fn spawn(pieces: Vec<String>, end: UnframedEnd) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let answers = Arc::new(AtomicU64::new(0));
        let (counted, pieces) = (Arc::clone(&answers), Arc::new(pieces));
        let task = tokio::spawn(async move {
            // Aborts its connections when it is dropped.
            let mut connections = JoinSet::new();
            while let Ok((stream, _peer)) = listener.accept().await {
                connections.spawn(answer(stream, Arc::clone(&pieces), end, Arc::clone(&counted)));
            }
        });
        Self { addr, answers, task }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Callers' requests that it has answered.
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }
}

/// Reads a request and answers it. A call that isn't a caller's request gets no answer.
async fn answer(
    mut stream: TcpStream,
    pieces: Arc<Vec<String>>,
    end: UnframedEnd,
    answers: Arc<AtomicU64>,
) {
    let mut request = vec![0; REQUEST_BYTES_MAX];
    let Ok(length) = stream.read(&mut request).await else { return };
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let marks = marks(&request);
    if !request.starts_with("POST") || request.starts_with("POST /order") {
        return;
    }
    answers.fetch_add(1, Ordering::Relaxed);
    let head = format!("HTTP/1.1 200 OK\r\n{marks}content-type: text/event-stream\r\n\r\n");
    // The other side may close at any time.
    let _ = stream.write_all(head.as_bytes()).await;
    for (piece, number) in pieces.iter().zip(0_u64..) {
        if end == UnframedEnd::Reset(number) {
            // Fails only on a socket that is closed already.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        let has_error = end == UnframedEnd::ErrorInsideEvent(number);
        let is_cut = has_error || end == UnframedEnd::InsideEvent(number);
        let bytes = if is_cut { &piece.as_bytes()[..piece.len() / 2] } else { piece.as_bytes() };
        if stream.write_all(bytes).await.is_err() {
            return;
        }
        if has_error {
            // The other side may close at any time.
            let _ = stream.write_all(ERROR.as_bytes()).await;
        }
        if is_cut {
            return;
        }
        sleep(PIECE_PAUSE).await;
    }
}
