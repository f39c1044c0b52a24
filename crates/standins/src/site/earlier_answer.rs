//! Answers that a faulty server writes to a connection once more.

use {
    glade_adapter::platform_dialect::stand_in,
    glade_relay::AnswerMetadata,
    glade_types::RequestId,
    hyper::{HeaderMap, StatusCode},
    std::{
        fmt::Write as _,
        io::{self, Write as _},
        net::TcpStream,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// An answer that was written to a connection before and is written there again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierAnswer {
    /// Its status.
    pub status: u16,
    /// Whether it states that the request wasn't run.
    pub not_run: bool,
    /// Whether it names the request that it answered.
    pub names_request: bool,
    /// When it is written again.
    pub at: RepeatedAt,
}

/// When an answer is written to a connection once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatedAt {
    /// When the next request has been read, before its answer.
    NextRequest,
    /// Soon after an answer, while the connection is idle.
    Idle,
}

impl EarlierAnswer {
    /// A refusal with `status` that names no request, written before the answer to the next one.
    pub fn refusal(status: u16) -> Self {
        Self { status, not_run: true, names_request: false, at: RepeatedAt::NextRequest }
    }

    fn encode(self) -> String {
        let mut headers = HeaderMap::new();
        let metadata = AnswerMetadata {
            request_id: self.names_request.then(|| RequestId::new("earlier-request")),
            not_run: self.not_run,
            ..AnswerMetadata::default()
        };
        stand_in::write_answer_metadata(&mut headers, &metadata);
        let reason = StatusCode::from_u16(self.status).ok().and_then(|s| s.canonical_reason());
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason.unwrap_or("Other"));
        for (name, value) in &headers {
            // Writing to a string can't fail.
            let _ = write!(text, "{name}: {}\r\n", value.to_str().unwrap_or_default());
        }
        text + "content-length: 0\r\n\r\n"
    }
}

/// Writes to a connection beside its HTTP server, between two answers.
#[derive(Clone, Debug)]
pub(crate) struct RawWriter {
    stream: Arc<TcpStream>,
    requests: Arc<AtomicU64>,
}

impl RawWriter {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream: Arc::new(stream), requests: Arc::default() }
    }

    /// Counts a request that was read from the connection.
    pub(crate) fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// True if the connection has carried an answer before.
    pub(crate) fn is_kept(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 1
    }

    /// Number of requests that were read from the connection.
    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Writes `answer` once more.
    ///
    /// # Errors
    ///
    /// The connection is closed.
    pub(crate) fn write(&self, answer: EarlierAnswer) -> io::Result<()> {
        (&*self.stream).write_all(answer.encode().as_bytes())
    }
}
