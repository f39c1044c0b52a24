//! A backend server, a process of its own: `stand2 engine ID ADDR LOG FRAMING EVENTS GAP_MS`.
//!
//! It answers requests of `/chat/` and `/batch/` with a stream of events, and any other with a text of 800 bytes, of
//! which the second half comes after the gap. FRAMING is `chunked`, `length` (not for streams) or `unframed`: no
//! length, the answer ends with its connection. It logs what arrives and what it runs.

use {
    crate::http::{Request, respond, serve},
    std::{
        fs::File,
        io::Write,
        net::{TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Body of an answer that isn't a stream.
pub const ANSWER_BYTES: usize = 800;

struct Engine {
    id: String,
    framing: String,
    events: u64,
    gap: Duration,
    orders: AtomicU64,
    log: Mutex<File>,
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Text of an event.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

/// Whole answer to a request that isn't a stream.
pub fn answer_text(id: &str) -> String {
    let mut text = format!("done for {id} ");
    while text.len() < ANSWER_BYTES {
        text.push('x');
    }
    text
}

pub fn run(args: &[String]) {
    let [id, addr, log, framing, events, gap_ms] = args else { panic!("arguments of an engine") };
    let log = File::options().create(true).append(true).open(log).expect("a log");
    let engine = Arc::new(Engine {
        id: id.clone(),
        framing: framing.clone(),
        events: events.parse().expect("a number"),
        gap: Duration::from_millis(gap_ms.parse().expect("a number")),
        orders: AtomicU64::new(0),
        log: Mutex::new(log),
    });
    let listener = TcpListener::bind(addr.as_str()).expect("the engine's port");
    serve(listener, move |request, writer| engine.answer(request, writer));
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}

impl Engine {
    fn note(&self, what: &str) {
        let mut log = self.log.lock().expect("lock");
        // Several servers append to the same file, so a line is written at once.
        let _ = log.write_all(format!("{} {} {what}\n", now_ms(), self.id).as_bytes());
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let expected = request.header("Expect-Instance");
        if expected.is_some_and(|id| id != self.id) {
            let id = request.header("Request-Id").unwrap_or("-");
            let headers = format!("Instance-Id: {}\r\nRequest-Id: {id}\r\n", self.id);
            return respond(writer, 421, &headers, b"");
        }
        match request.path() {
            "/report" => {
                let seq = self.orders.load(Ordering::Relaxed);
                let report = format!(
                    "{{\"born\":1,\"Stage\":\"both\",\"Models\":[{{\"Name\":\"m0\",\"Adapters\":[]}}],\"Busy\":false,\
                     \"Seq\":{seq},\"Queued\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}}"
                );
                respond(writer, 200, "Content-Type: application/json\r\n", report.as_bytes())
            }
            "/order" => {
                self.note(&format!("ORDER {}", String::from_utf8_lossy(&request.body)));
                self.orders.fetch_add(1, Ordering::Relaxed);
                respond(writer, 202, "", b"")
            }
            "/health" => respond(writer, 200, &format!("Instance-Id: {}\r\n", self.id), b""),
            _ => self.run_request(request, writer),
        }
    }

    fn run_request(&self, request: &Request, writer: &mut TcpStream) -> bool {
        let id = request.header("Request-Id").unwrap_or("-").to_owned();
        let after: u64 =
            request.header("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        self.note(&format!("RUN {id} {} after {after}", request.path()));
        let is_stream = ["/chat/", "/batch/"].iter().any(|path| request.path().starts_with(path));
        let done = if is_stream { self.stream(&id, after, writer) } else { self.plain(&id, writer) };
        self.note(&format!("{} {id}", if done { "END" } else { "CUT" }));
        done && self.framing != "unframed"
    }

    fn head(&self, id: &str, kind: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nContent-Type: {kind}\r\n",
            self.id
        )
    }

    fn stream(&self, id: &str, after: u64, writer: &mut TcpStream) -> bool {
        let is_chunked = self.framing != "unframed";
        let framing =
            if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "Connection: close\r\n" };
        let head = format!("{}{framing}\r\n", self.head(id, "text/event-stream"));
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in after + 1..=self.events {
            thread::sleep(self.gap);
            let text = event_text(event);
            let part =
                if is_chunked { format!("{:x}\r\n{text}\r\n", text.len()) } else { text };
            if writer.write_all(part.as_bytes()).is_err() {
                return false;
            }
        }
        !is_chunked || writer.write_all(b"0\r\n\r\n").is_ok()
    }

    fn plain(&self, id: &str, writer: &mut TcpStream) -> bool {
        let body = answer_text(id);
        let framing = match self.framing.as_str() {
            "unframed" => "Connection: close\r\n".to_owned(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!("{}{framing}\r\n", self.head(id, "text/plain"));
        let (first, second) = body.split_at(body.len() / 2);
        if writer.write_all(format!("{head}{first}").as_bytes()).is_err() {
            return false;
        }
        thread::sleep(self.gap);
        writer.write_all(second.as_bytes()).is_ok()
    }
}
