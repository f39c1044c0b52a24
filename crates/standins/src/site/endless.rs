//! A server that sends bytes without end that are no answer.

use {
    glade_adapter::platform_dialect::stand_in,
    glade_relay::AnswerMetadata,
    glade_types::RequestId,
    hyper::HeaderMap,
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

/// Pause between the bytes of a server that is slow.
const SLOW_PAUSE: Duration = Duration::from_millis(100);
/// Bytes that a fast server writes at once.
const FAST_BYTES: usize = 16 << 10;

/// Which part of an answer never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Bytes that aren't HTTP.
    Garbage,
    /// A line of the head.
    HeadLine,
    /// Lines of the head.
    HeadLines,
    /// Interim answers before the final one.
    Interim,
    /// The body, without the end of a line.
    Body,
    /// The body, in lines that make up no event.
    BodyLines,
    /// The body, in events that go on far beyond what was asked for.
    Events,
}

/// How fast the bytes come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// One after the other, with pauses.
    Slow,
    /// As fast as they are taken.
    Fast,
}

/// A running server. It stops when it is dropped.
#[derive(Debug)]
pub struct EndlessServer {
    addr: SocketAddr,
    sent_bytes: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for EndlessServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EndlessServer {
    /// Starts a server on a free port.
    pub async fn spawn(part: EndlessPart, pace: Pace) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let sent_bytes = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&sent_bytes);
        let task = tokio::spawn(async move {
            // Aborts its connections when it is dropped.
            let mut connections = JoinSet::new();
            while let Ok((stream, _peer)) = listener.accept().await {
                connections.spawn(answer(stream, part, pace, Arc::clone(&counted)));
            }
        });
        Self { addr, sent_bytes, task }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Bytes that were taken of what it sends.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}

/// Reads a request and sends until the other side closes.
async fn answer(mut stream: TcpStream, part: EndlessPart, pace: Pace, sent_bytes: Arc<AtomicU64>) {
    let mut request = vec![0; FAST_BYTES];
    let Ok(length) = stream.read(&mut request).await else { return };
    let request = String::from_utf8_lossy(&request[..length]).into_owned();
    if stream.write_all(beginning(part, &request).as_bytes()).await.is_err() {
        return;
    }
    for number in 1_u64.. {
        let piece = piece(part, pace, number);
        if stream.write_all(piece.as_bytes()).await.is_err() {
            return;
        }
        sent_bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if pace == Pace::Slow {
            sleep(SLOW_PAUSE).await;
        }
    }
}

/// What comes before the part without end.
fn beginning(part: EndlessPart, request: &str) -> String {
    match part {
        EndlessPart::Garbage | EndlessPart::Interim => String::new(),
        EndlessPart::HeadLine => "HTTP/1.1 200 OK\r\nx-line: ".to_owned(),
        EndlessPart::HeadLines => "HTTP/1.1 200 OK\r\n".to_owned(),
        EndlessPart::Body | EndlessPart::BodyLines | EndlessPart::Events => {
            format!("HTTP/1.1 200 OK\r\n{}connection: close\r\n\r\n", marks(request))
        }
    }
}

/// Header lines by which an answer belongs to `request`.
pub fn marks(request: &str) -> String {
    let mut sent = HeaderMap::new();
    for line in request.lines().skip(1) {
        let Some((name, value)) = line.split_once(": ") else { continue };
        if let (Ok(name), Ok(value)) = (name.parse::<hyper::header::HeaderName>(), value.parse()) {
            sent.insert(name, value);
        }
    }
    let request_id = stand_in::read_request_id(&sent).map(|id| RequestId::new(&id));
    let mut headers = HeaderMap::new();
    let marks = AnswerMetadata { request_id, signed: true, ..AnswerMetadata::default() };
    stand_in::write_answer_metadata(&mut headers, &marks);
    let line = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        format!("{name}: {}\r\n", value.to_str().unwrap_or_default())
    };
    headers.iter().map(line).collect()
}

fn piece(part: EndlessPart, pace: Pace, number: u64) -> String {
    let fill = |text: &str| match pace {
        Pace::Slow => text.to_owned(),
        Pace::Fast => text.repeat(FAST_BYTES / text.len()),
    };
    match part {
        EndlessPart::Garbage => fill("\u{1}"),
        EndlessPart::HeadLine | EndlessPart::Body => fill("a"),
        EndlessPart::HeadLines => format!("x-line-{number}: a\r\n"),
        EndlessPart::Interim => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        EndlessPart::BodyLines => fill("a\n"),
        EndlessPart::Events => format!("id: {number}\ndata: token-{number}\n\n"),
    }
}
