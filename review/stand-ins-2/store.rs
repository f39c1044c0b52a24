//! The platform's store: rows with conditions, reads and a feed of changes.

use {
    crate::{
        http::{Request, respond, serve},
        json::Json,
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

type RowKey = (String, String);

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Last change of each row; `None` for a deleted one.
    changes: BTreeMap<RowKey, (u64, Option<String>)>,
}

/// The way of one machine to the store.
#[derive(Debug)]
pub struct Gate {
    pub addr: SocketAddr,
    /// The store turns the machine away: it performs none of its calls and answers none.
    is_closed: AtomicBool,
    calls: Mutex<Calls>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    read_at: Option<Instant>,
    served_at: Option<Instant>,
    refused_at: Option<Instant>,
}

impl Gate {
    pub fn set_closed(&self, is_closed: bool) {
        self.is_closed.store(is_closed, Ordering::SeqCst);
    }

    /// The machine has read changes of a table in the last `time`.
    pub fn reads(&self, time: Duration) -> bool {
        self.calls.lock().expect("lock").read_at.is_some_and(|at| at.elapsed() < time)
    }

    /// The machine's last call was turned away.
    pub fn was_turned_away(&self) -> bool {
        let calls = *self.calls.lock().expect("lock");
        calls.refused_at.is_some() && calls.refused_at > calls.served_at
    }

    fn is_closed(&self) -> bool {
        let is_closed = self.is_closed.load(Ordering::SeqCst);
        if is_closed {
            self.calls.lock().expect("lock").refused_at = Some(Instant::now());
        }
        is_closed
    }
}

/// A handle to the running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        Self { shared: Arc::default() }
    }

    /// Starts to serve one machine on a free port of `ip`.
    pub fn open_gate(&self, ip: &str) -> Arc<Gate> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let gate = Arc::new(Gate { addr, is_closed: AtomicBool::new(false), calls: Mutex::default() });
        let (serving, at) = (self.clone(), Arc::clone(&gate));
        serve(listener, move |request, writer| serving.answer(&at, request, writer));
        gate
    }

    /// Writes a row as the operator or a server does. `value` isn't encoded yet.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let row = ((table.to_owned(), key.to_owned()), Some(base64(value.as_bytes())));
        self.apply(vec![row])
    }

    pub fn delete(&self, table: &str, key: &str) -> u64 {
        self.apply(vec![((table.to_owned(), key.to_owned()), None)])
    }

    fn apply(&self, writes: Vec<(RowKey, Option<String>)>) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("lock");
        state.version += 1;
        let version = state.version;
        for (key, value) in writes {
            match &value {
                Some(value) => state.rows.insert(key.clone(), (value.clone(), version)),
                None => state.rows.remove(&key),
            };
            state.changes.insert(key, (version, value));
        }
        changed.notify_all();
        version
    }

    fn answer(&self, gate: &Gate, request: &Request, writer: &mut TcpStream) -> bool {
        // A connection on which an answer is lost delivers nothing further.
        let never = || loop {
            thread::sleep(Duration::from_secs(3600));
        };
        if gate.is_closed() {
            never();
        }
        let is_read = request.path() == "/rows-feed" && request.parameter("Table") == "servers";
        if is_read {
            gate.calls.lock().expect("lock").read_at = Some(Instant::now());
        }
        let (status, body) = match request.path() {
            "/rows-tx" => self.transact(request),
            "/rows-get" => (200, self.rows(request)),
            "/rows-feed" => (200, self.feed(request)),
            _ => (404, "{}".to_owned()),
        };
        if gate.is_closed() {
            never();
        }
        gate.calls.lock().expect("lock").served_at = Some(Instant::now());
        respond(writer, status, "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(txn) = Json::parse(&request.body) else { return (400, "{}".to_owned()) };
        let key = |row: &Json| (row.text("Table"), row.text("Key"));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("lock");
        let expected = txn.list("Expected");
        let holds = expected.iter().all(|row| {
            state.rows.get(&key(row)).map_or(0, |(_, version)| *version) == row.number("Ver")
        });
        if !holds {
            let rows: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    let (value, version) = state.rows.get(&key)?;
                    Some(encode(&key, Some(value), *version))
                })
                .collect();
            let body = format!("{{\"Rows\":[{}],\"Ver\":{}}}", rows.join(","), state.version);
            return (412, body);
        }
        state.version += 1;
        let version = state.version;
        for row in txn.list("Put") {
            let (key, value) = (key(row), row.text("Value"));
            state.rows.insert(key.clone(), (value.clone(), version));
            state.changes.insert(key, (version, Some(value)));
        }
        for row in txn.list("Delete") {
            state.rows.remove(&key(row));
            state.changes.insert(key(row), (version, None));
        }
        changed.notify_all();
        (200, format!("{{\"Ver\":{version},\"NowMs\":0}}"))
    }

    fn rows(&self, request: &Request) -> String {
        let (table, from, to) =
            (request.parameter("Table"), request.parameter("From"), request.parameter("To"));
        let state = self.shared.0.lock().expect("lock");
        let is_wanted = |key: &RowKey| key.0 == table && key.1 >= from && (to.is_empty() || key.1 < to);
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|(key, _)| is_wanted(key))
            .map(|(key, (value, version))| encode(key, Some(value), *version))
            .collect();
        format!("{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{}}}", rows.join(","), state.version)
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.parameter("Table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("lock");
        loop {
            let mut rows: Vec<(u64, String)> = state
                .changes
                .iter()
                .filter(|(key, (version, _))| key.0 == table && *version > after)
                .map(|(key, (version, value))| (*version, encode(key, value.as_ref(), *version)))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                return format!("{{\"Rows\":[{}],\"Ver\":{}}}", rows.join(","), state.version);
            }
            state = changed.wait_timeout(state, left).expect("lock").0;
        }
    }
}

fn encode((table, key): &RowKey, value: Option<&String>, version: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Tombstone\":true".to_owned(),
    };
    format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",{rest},\"Ver\":{version}}}")
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - part.len()));
        for place in 0..4 {
            if place <= part.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * place)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
