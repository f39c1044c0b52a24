//! A stand-in of the platform's store, as PROTOCOL.md describes it: rows, transactions and the feed of changes. It keeps
//! all of its history and is always up.

use {
    crate::{Head, Reader, answer},
    base64::{Engine, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch, time::sleep},
};

/// Time that a transaction takes, as in the settings (`TxMs`).
const TX_TIME: Duration = Duration::from_millis(8);
/// Time that another answer takes, as on the sheet.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most rows in an answer.
const ROWS_MAX: usize = 500;

type Name = (String, String, String);

#[derive(Debug)]
struct Change {
    ver: u64,
    name: Name,
    /// In base64; `None` if the row was dropped.
    value: Option<String>,
}

#[derive(Debug, Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<Change>,
}

impl Rows {
    fn set(&mut self, name: Name, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(name.clone(), (value.clone(), self.ver));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push(Change { ver: self.ver, name, value });
    }
}

fn row(name: &Name, value: &str, ver: u64) -> Value {
    json!({"Table": name.0, "part": name.1, "Key": name.2, "Value": value, "Ver": ver})
}

struct Shared {
    began: Instant,
    rows: Mutex<Rows>,
    changed: watch::Sender<u64>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub async fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let (began, rows, changed) = (Instant::now(), Mutex::default(), watch::Sender::new(0));
        let shared = Arc::new(Shared { began, rows, changed });
        let serving = Arc::clone(&shared);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let shared = Arc::clone(&serving);
                tokio::spawn(async move {
                    let mut reader = Reader::new(stream);
                    while let Some(head) = reader.head().await {
                        let Some(body) = reader.body(&head, |_| {}).await else { return };
                        let (status, body) = shared.respond(&head, &body).await;
                        let json = [("Content-Type", "application/json")];
                        if !reader.write(&answer(status, &json, &body.to_string())).await {
                            return;
                        }
                    }
                });
            }
        });
        Self { addr, shared }
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes the row `table/key`, as the operator and the engines do.
    pub fn put(&self, name: &str, value: Vec<u8>) {
        let (table, key) = name.split_once('/').expect("a table and a key");
        let name = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.shared.rows.lock().expect("no holder panics");
        self.shared.write(&mut rows, [(name, Some(STANDARD.encode(value)))].into_iter());
    }
}

impl Shared {
    fn write(&self, rows: &mut Rows, writes: impl Iterator<Item = (Name, Option<String>)>) -> u64 {
        rows.ver += 1;
        writes.for_each(|(name, value)| rows.set(name, value));
        self.changed.send_replace(rows.ver);
        rows.ver
    }

    async fn respond(&self, head: &Head, body: &[u8]) -> (&'static str, Value) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
        match path {
            "/rows-get" => {
                sleep(ANSWER_TIME).await;
                let limit = number("Limit").map_or(ROWS_MAX, |limit| ROWS_MAX.min(limit as usize));
                self.get(&text("Table"), &text("part"), &text("From"), query.get("To"), limit)
            }
            "/rows-feed" => {
                sleep(ANSWER_TIME).await;
                let wait = Duration::from_millis(number("WaitMs").unwrap_or(0).min(30_000));
                self.feed(&text("Table"), number("after").unwrap_or(0), wait).await
            }
            "/rows-tx" => {
                sleep(TX_TIME).await;
                self.transact(&serde_json::from_slice(body).unwrap_or_default())
            }
            "/rows-parts" => ("200 OK", json!({"parts": [""], "HasMore": false})),
            _ => ("404 Not Found", json!({})),
        }
    }

    fn stamped(&self, mut body: Value, ver: u64) -> Value {
        body["Ver"] = json!(ver);
        body["NowMs"] = json!(self.began.elapsed().as_millis() as u64);
        body
    }

    fn get(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<&String>,
        limit: usize,
    ) -> (&'static str, Value) {
        let rows = self.rows.lock().expect("no holder panics");
        let is_wanted = |name: &Name| {
            name.0 == table
                && name.1 == part
                && name.2.as_str() >= from
                && to.is_none_or(|to| name.2 < *to)
        };
        let wanted: Vec<Value> = rows
            .rows
            .iter()
            .filter(|(name, _)| is_wanted(name))
            .map(|(name, (value, ver))| row(name, value, *ver))
            .collect();
        let has_more = wanted.len() > limit;
        let body = json!({"Rows": wanted[..limit.min(wanted.len())], "HasMore": has_more});
        ("200 OK", self.stamped(body, rows.ver))
    }

    async fn feed(&self, table: &str, after: u64, wait: Duration) -> (&'static str, Value) {
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            {
                let rows = self.rows.lock().expect("no holder panics");
                if after > rows.ver {
                    return ("410 Gone", json!({}));
                }
                let of_table = |change: &&Change| change.ver > after && change.name.0 == table;
                let found: Vec<Value> = rows
                    .changes
                    .iter()
                    .filter(of_table)
                    .map(|change| match &change.value {
                        Some(value) => row(&change.name, value, change.ver),
                        None => json!({"Table": change.name.0, "part": change.name.1, "Key": change.name.2,
                            "Ver": change.ver, "Tombstone": true}),
                    })
                    .collect();
                if !found.is_empty() || tokio::time::Instant::now() >= until {
                    return ("200 OK", self.stamped(json!({"Rows": found}), rows.ver));
                }
            }
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn transact(&self, tx: &Value) -> (&'static str, Value) {
        let entries = |field: &str| tx[field].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, field: &str| entry[field].as_str().unwrap_or("").to_owned();
        let name = |entry: &Value| (text(entry, "Table"), text(entry, "part"), text(entry, "Key"));
        let puts: Vec<Value> = entries("Put");
        let deletes: Vec<Value> = entries("Delete");
        let is_forbidden =
            |entry: &Value| matches!(text(entry, "Table").as_str(), "op" | "servers");
        if puts.iter().chain(&deletes).any(is_forbidden) {
            return ("403 Forbidden", json!({}));
        }
        let writes = puts
            .iter()
            .map(|entry| (name(entry), Some(text(entry, "Value"))))
            .chain(deletes.iter().map(|entry| (name(entry), None)));
        let expected = entries("Expected");
        let mut rows = self.rows.lock().expect("no holder panics");
        let present = |entry: &Value| rows.rows.get(&name(entry)).map_or(0, |(_, ver)| *ver);
        if expected.iter().any(|entry| present(entry) != entry["Ver"].as_u64().unwrap_or(0)) {
            let current: Vec<Value> = expected
                .iter()
                .filter_map(|entry| {
                    let (name, stored) = (name(entry), rows.rows.get(&name(entry))?);
                    Some(row(&name, &stored.0, stored.1))
                })
                .collect();
            return ("412 Precondition Failed", self.stamped(json!({"Rows": current}), rows.ver));
        }
        let ver = self.write(&mut rows, writes);
        ("200 OK", self.stamped(json!({}), ver))
    }
}

fn percent_decoded(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
