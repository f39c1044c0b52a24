//! A server that answers each request of a caller with the same bytes, whatever was asked for.

use {
    crate::site::endless::{headers, marks},
    glade_adapter::platform_dialect::PlatformDialect,
    glade_relay::Dialect,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

/// Largest request that is read.
const REQUEST_BYTES_MAX: usize = 16 << 10;

/// An answer, to which the header lines are added that name its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// The status line.
    pub status: &'static str,
    /// Further header lines.
    pub headers: &'static str,
    /// What follows the head, until the connection is closed.
    pub body: &'static str,
}

#[derive(Debug, Default)]
struct Counts {
    answers: AtomicU64,
    resumes: AtomicU64,
}

/// A running server. It stops when it is dropped.
#[derive(Debug)]
pub struct RawServer {
    addr: SocketAddr,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RawServer {
    /// Starts a server on a free port.
    pub async fn spawn(answer: RawAnswer) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let counts = Arc::new(Counts::default());
        let counted = Arc::clone(&counts);
        let task = tokio::spawn(async move {
            // Aborts its connections when it is dropped.
            let mut connections = JoinSet::new();
            while let Ok((stream, _peer)) = listener.accept().await {
                connections.spawn(send(stream, answer, Arc::clone(&counted)));
            }
        });
        Self { addr, counts, task }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Requests that it has answered.
    pub fn answers(&self) -> u64 {
        self.counts.answers.load(Ordering::Relaxed)
    }

    /// Requests to resume a stream that it has answered.
    pub fn resumes(&self) -> u64 {
        self.counts.resumes.load(Ordering::Relaxed)
    }
}

/// Reads a request and answers it. A call that isn't a caller's request gets no answer.
async fn send(mut stream: TcpStream, answer: RawAnswer, counts: Arc<Counts>) {
    let mut request = vec![0; REQUEST_BYTES_MAX];
    let Ok(length) = stream.read(&mut request).await else { return };
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let terms = PlatformDialect.read_caller_terms(&headers(&request)).unwrap_or_default();
    if terms.request_id.is_none() || request.starts_with("POST /order") {
        return;
    }
    let RawAnswer { status, headers, body } = answer;
    let answer = format!("{status}\r\n{}{headers}\r\n{body}", marks(&request));
    // The other side may close at any time.
    let _ = stream.write_all(answer.as_bytes()).await;
    counts.answers.fetch_add(1, Ordering::Relaxed);
    counts.resumes.fetch_add(u64::from(terms.last_event_id.is_some()), Ordering::Relaxed);
}
