//! A server that stops in the middle of the head of each answer to a caller's request.

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
    },
};

/// Largest request that is read.
const REQUEST_BYTES_MAX: usize = 16 << 10;
/// Stands in a text for the header lines that name the request.
const MARKS: &str = "{marks}";

/// What a server sends before it ends the connection.
#[derive(Clone, Debug)]
pub struct CutHead {
    /// What it sends, in which `{marks}` stands for the header lines that name the request.
    pub text: String,
    /// The connection is reset, not closed.
    pub is_reset: bool,
}

/// A running server. It stops when it is dropped.
#[derive(Debug)]
pub struct CutHeadServer {
    addr: SocketAddr,
    answers: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for CutHeadServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl CutHeadServer {
    /// Starts a server on a free port.
    pub async fn spawn(cut: CutHead) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let answers = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&answers);
        let task = tokio::spawn(async move {
            // Aborts its connections when it is dropped.
            let mut connections = JoinSet::new();
            while let Ok((stream, _peer)) = listener.accept().await {
                connections.spawn(answer(stream, cut.clone(), Arc::clone(&counted)));
            }
        });
        Self { addr, answers, task }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Requests that it has answered.
    pub fn answers(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }
}

async fn answer(mut stream: TcpStream, cut: CutHead, answers: Arc<AtomicU64>) {
    let mut request = vec![0; REQUEST_BYTES_MAX];
    let Ok(length) = stream.read(&mut request).await else { return };
    if length == 0 {
        return;
    }
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    let text = cut.text.replace(MARKS, &marks(&request));
    answers.fetch_add(1, Ordering::Relaxed);
    // The other side may close at any time.
    let _ = stream.write_all(text.as_bytes()).await;
    if cut.is_reset {
        // Fails only on a socket that is closed already.
        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}
