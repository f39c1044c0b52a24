//! A model engine that holds one model: streams events, makes reservations, and reports its state.

use {
    crate::{
        base::{Message, Record, read_message, write_response},
        node::sleep_ms,
    },
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
    },
};

pub const MODEL: &str = "m0";
/// Time between two events of a stream.
const EVENT_MS: u64 = 60;
/// Time after which a request fails.
const FAILS_AFTER_MS: u64 = 400;
/// Unix time of the engines' start.
const BORN: u64 = 1_764_900_000_000;

/// What an engine does with requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// Events of each stream.
    pub events: u64,
    /// Pause after the fourth event of a new stream: the request is preempted and read anew.
    pub pause_ms: u64,
    /// Of the requests that go on in the middle of a stream, each that this divides by its number is
    /// answered by a 500; 0 for none.
    pub fails_each: u64,
    /// Goes on with a request whose connection was closed, as some engines do.
    pub works_on: bool,
}

/// Work of an engine on a request, in milliseconds since the start.
#[derive(Clone, Debug)]
pub struct Work {
    pub request: String,
    pub engine: String,
    pub began_ms: u64,
    pub ended_ms: u64,
}

/// Ids of the requests that engines were sent, and of those whose connection was closed on the way,
/// and the engines' work.
#[derive(Debug, Default)]
pub struct Log {
    pub sent: Vec<String>,
    pub left: Vec<String>,
    pub work: Vec<Work>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    habits: Habits,
    record: Arc<Record>,
    log: Arc<Mutex<Log>>,
    holds: Arc<AtomicU64>,
    resumed: Arc<AtomicU64>,
}

impl Engine {
    pub fn open(
        ip: &str,
        id: &str,
        habits: Habits,
        record: &Arc<Record>,
        log: &Arc<Mutex<Log>>,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("{id}: {err}"))?;
        let engine = Self {
            id: id.to_owned(),
            addr: listener.local_addr().map_err(|err| err.to_string())?,
            habits,
            record: Arc::clone(record),
            log: Arc::clone(log),
            holds: Arc::default(),
            resumed: Arc::default(),
        };
        let accepting = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = accepting.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        Ok(engine)
    }

    /// The engine's entry in the registry.
    pub fn entry(&self, zone: &str) -> String {
        format!(
            "{{\"Service\":\"pool\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\
             \"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"both\",\"Models\":\
             [{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}],\"Seq\":0,\"born\":{BORN}}}",
            self.addr
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let json = ("Content-Type", "application/json");
        let own = ("Instance-Id", self.id.as_str());
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|other| other != self.id) {
            return write_response(
                writer,
                "421 Misdirected Request",
                &[own, ("Not-Run", "1")],
                b"",
            );
        }
        match request.target() {
            "/health" => write_response(writer, "200 OK", &[own], b""),
            "/report" => {
                let report = format!(
                    "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\
                     \"Adapters\":[]}}],\"Busy\":false,\"Seq\":0,\"Queued\":0,\"Running\":0,\
                     \"KvUsed\":0,\"KvTotal\":149031,\"Handles\":0,\"born\":{BORN}}}"
                );
                write_response(writer, "200 OK", &[json], report.as_bytes())
            }
            "/order" => write_response(writer, "200 OK", &[json], b"{}"),
            "/hold-take" => {
                let number = self.holds.fetch_add(1, Ordering::SeqCst);
                let body = format!("{{\"Hold\":\"h-{number}\"}}");
                write_response(writer, "200 OK", &[own, json], body.as_bytes())
            }
            _ => self.stream(request, &id, writer),
        }
    }

    fn stream(&self, request: &Message, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let after: Option<u64> = request.header("last-event-id").and_then(|text| text.parse().ok());
        let text = format!("{id} at {}, after event {}", self.id, after.unwrap_or(0));
        self.record.write(&format!("request {text}"));
        let echo = [("Request-Id", id), ("Response-Stamp", "stamp")];
        self.log.lock().unwrap().sent.push(id.to_owned());
        let number = self.resumed.fetch_add(u64::from(after.is_some()), Ordering::SeqCst) + 1;
        let fails = self.habits.fails_each > 0 && number % self.habits.fails_each == 0;
        if after.is_some() && fails {
            sleep_ms(FAILS_AFTER_MS);
            self.record.write(&format!("answers 500 to {text}"));
            return write_response(writer, "500 Internal Server Error", &echo, b"failed");
        }
        let began_ms = self.record.now_ms();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let mut made = 0;
        let mut left = false;
        for event in after.unwrap_or(0) + 1..=self.habits.events {
            if event == 5 && after.is_none() && self.habits.pause_ms > 0 {
                sleep_ms(self.habits.pause_ms);
            }
            sleep_ms(EVENT_MS);
            let text = format!("id: {event}\ndata: token-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            left = left || writer.write_all(chunk.as_bytes()).is_err();
            if left && !self.habits.works_on {
                break;
            }
            made = event;
        }
        let end = if left { "left by its caller" } else { "run to its end" };
        let work = Work {
            request: id.to_owned(),
            engine: self.id.clone(),
            began_ms,
            ended_ms: self.record.now_ms(),
        };
        self.log.lock().unwrap().work.push(work);
        self.record.write(&format!("{text}: {end}, last event {made}"));
        if left {
            self.log.lock().unwrap().left.push(id.to_owned());
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
