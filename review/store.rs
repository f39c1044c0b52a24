//! The platform's store: rows in tables, transactions, reads and the feed of changes.

use {
    crate::base::{Json, Message, base64, percent_decode, quoted, read_message, write_response},
    std::{
        collections::BTreeMap,
        io::BufReader,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that a transaction takes, as `TxMs` says.
const TX_TIME: Duration = Duration::from_millis(8);

/// Table and key; all rows are in the unnamed part unless they say otherwise.
type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes in order: version, key, value in base64 or `None`.
    log: Vec<(u64, Key, Option<String>)>,
}

impl State {
    fn write(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.log.push((self.version, key, value));
    }

    fn row(&self, key: &Key) -> Option<String> {
        let (value, version) = self.rows.get(key)?;
        Some(row_json(key, Some(value), *version))
    }
}

fn row_json((table, part, key): &Key, value: Option<&str>, version: u64) -> String {
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    let value = match value {
        Some(value) => format!("\"Value\":\"{value}\""),
        None => "\"Tombstone\":true".to_owned(),
    };
    format!("{{\"Table\":{table},\"part\":{part},\"Key\":{key},{value},\"Ver\":{version}}}")
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    began: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn open(ip: &str) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("store: {err}"))?;
        let addr = listener.local_addr().map_err(|err| err.to_string())?;
        let store = Self { addr, began: Instant::now(), state: Arc::default() };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn delete(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        state.write((table.to_owned(), String::new(), key.to_owned()), value);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            pair.map(percent_decode)
        };
        match (request.method(), path) {
            ("POST", "/rows-tx") => self.transact(&request.body),
            ("GET", "/rows-get") => {
                let table = parameter("Table").unwrap_or_default();
                let part = parameter("part").unwrap_or_default();
                let from = parameter("From").unwrap_or_default();
                let to = parameter("To").filter(|to| !to.is_empty());
                let limit = parameter("Limit").and_then(|text| text.parse().ok()).unwrap_or(500);
                let state = self.state.0.lock().unwrap();
                let in_range = |key: &&Key| {
                    key.0 == table
                        && key.1 == part
                        && key.2 >= from
                        && to.as_ref().is_none_or(|to| key.2 < *to)
                };
                let keys: Vec<&Key> = state.rows.keys().filter(in_range).collect();
                let rows: Vec<String> =
                    keys.iter().take(limit).filter_map(|key| state.row(key)).collect();
                let more = keys.len() > limit;
                ("200 OK", self.rows_body(&rows, more, state.version))
            }
            ("GET", "/rows-feed") => {
                let table = parameter("Table").unwrap_or_default();
                let after = parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = parameter("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.feed(&table, after, Duration::from_millis(wait))
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    fn rows_body(&self, rows: &[String], more: bool, version: u64) -> String {
        let now_ms = self.began.elapsed().as_millis();
        let rows = rows.join(",");
        format!("{{\"Rows\":[{rows}],\"HasMore\":{more},\"Ver\":{version},\"NowMs\":{now_ms}}}")
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let rows: Vec<String> = state
                .log
                .iter()
                .filter(|(version, key, _)| *version > after && key.0 == table)
                .map(|(version, key, value)| row_json(key, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return ("200 OK", self.rows_body(&rows, false, state.version));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (&'static str, String) {
        thread::sleep(TX_TIME);
        let Some(call) = Json::parse(body) else { return ("400 Bad Request", String::new()) };
        let key = |row: &Json| {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("Table"), text("part"), text("Key"))
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let expected = call.get("Expected").list();
        let holds = expected.iter().all(|row| {
            let known = state.rows.get(&key(row)).map_or(0, |(_, version)| *version);
            known == row.get("Ver").number()
        });
        if !holds {
            let rows: Vec<String> =
                expected.iter().filter_map(|row| state.row(&key(row))).collect();
            return ("412 Precondition Failed", self.rows_body(&rows, false, state.version));
        }
        let writes = call.get("Put").list().iter().chain(call.get("Delete").list());
        if writes.clone().any(|row| ["op", "servers"].contains(&row.get("Table").text())) {
            return ("403 Forbidden", String::new());
        }
        state.version += 1;
        for row in call.get("Put").list() {
            state.write(key(row), Some(row.get("Value").text().to_owned()));
        }
        for row in call.get("Delete").list() {
            state.write(key(row), None);
        }
        changed.notify_all();
        let now_ms = self.began.elapsed().as_millis();
        ("200 OK", format!("{{\"Ver\":{},\"NowMs\":{now_ms}}}", state.version))
    }
}
