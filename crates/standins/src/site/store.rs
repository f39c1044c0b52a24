//! The platform's store: rows, transactions and feeds.

use {
    crate::site::http::{Handled, broken, listen, serve, whole},
    glade_adapter::{
        platform_store::{
            ReceivedCall, decode_call, encode_rows, encode_rows_with_faults, write_era,
        },
        row_fault::RowFault,
    },
    glade_platform::{Change, Era, Key, MemoryTable, Revision, StoredRow, Txn, TxnAnswer, Write},
    http_body_util::BodyExt,
    hyper::{Request, StatusCode, body::Incoming},
    std::{
        collections::BTreeMap,
        future::pending,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, task::JoinHandle, time::timeout},
};

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It says that it does nothing.
    Busy,
    /// It closes connections.
    Reset,
    /// It answers nothing.
    Silent,
    /// It performs transactions and doesn't answer them.
    AnswersLost,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
struct Content {
    table: MemoryTable,
    revision: u64,
    history: Vec<(u64, Change)>,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    copy: Content,
    era: Era,
    fault: StoreFault,
    /// Rows that answers garble.
    row_faults: BTreeMap<String, RowFault>,
    calls: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// A running store. Clones share it; it ends with the runtime.
#[derive(Clone, Debug)]
pub struct SiteStore {
    addr: SocketAddr,
    shared: Arc<Shared>,
    _server: Arc<Aborted>,
}

#[derive(Debug)]
struct Aborted(JoinHandle<()>);

impl Drop for Aborted {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl SiteStore {
    /// Starts a store on a free port.
    pub async fn spawn() -> Self {
        let listener = listen(([127, 0, 0, 1], 0).into()).await;
        let addr = listener.local_addr().expect("a bound socket has an address");
        let shared = Arc::new(Shared::default());
        let served = Arc::clone(&shared);
        let server = serve(listener, move |req| handle(Arc::clone(&served), req));
        Self { addr, shared, _server: Arc::new(Aborted(server)) }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Switches a fault on or off.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
    }

    /// Calls that have arrived.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Writes a row past all faults, as operators and backend servers do.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        let writes = vec![Write::Put { key: Key::new(key), value }];
        self.shared.transact(&Txn { conditions: Vec::new(), writes });
    }

    /// Removes a row past all faults.
    pub fn delete(&self, key: &str) {
        let writes = vec![Write::Delete { key: Key::new(key) }];
        self.shared.transact(&Txn { conditions: Vec::new(), writes });
    }

    /// Garbles the row of `key` in all answers from now on, or no longer.
    pub fn set_row_fault(&self, key: &str, fault: Option<RowFault>) {
        let faults = &mut self.shared.lock().row_faults;
        match fault {
            Some(fault) => faults.insert(key.to_owned(), fault),
            None => faults.remove(key),
        };
    }

    /// Makes the copy that [`SiteStore::restore`] goes back to.
    pub fn copy(&self) {
        let mut state = self.shared.lock();
        state.copy = state.content.clone();
    }

    /// Goes back to the latest copy, and begins a new era.
    pub fn restore(&self) {
        let mut state = self.shared.lock();
        state.content = state.copy.clone();
        state.era.0 += 1;
        drop(state);
        self.shared.changed.notify_waiters();
    }

    /// Reads a row past all faults.
    pub fn read(&self, key: &str) -> Option<StoredRow> {
        self.shared.lock().content.table.read(&Key::new(key))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn encode(&self, rows: &[Change], revision: Revision) -> Vec<u8> {
        let faults = self.lock().row_faults.clone();
        encode_rows_with_faults(rows, revision, |key| faults.get(key.as_str()).copied())
    }

    fn transact(&self, txn: &Txn) -> TxnAnswer {
        let mut state = self.lock();
        let content = &mut state.content;
        let answer = content.table.transact(txn);
        if let TxnAnswer::Committed(revision) = &answer {
            content.revision = revision.number;
            for write in &txn.writes {
                let change = match write {
                    Write::Put { key, value } => {
                        let (key, value) = (key.clone(), value.clone());
                        Change::Written(StoredRow { key, revision: *revision, value })
                    }
                    Write::Delete { key } => Change::Removed(key.clone()),
                };
                content.history.push((revision.number, change));
            }
        }
        drop(state);
        self.changed.notify_waiters();
        answer
    }

    /// Changes of `table` after `after`, waiting for the first; `None` if there is no such revision.
    async fn changes(&self, table: &str, after: Revision, wait: Duration) -> Option<Vec<Change>> {
        let prefix = format!("{table}/");
        let find = || -> Option<Vec<Change>> {
            let state = self.lock();
            if after.number > state.content.revision {
                return None;
            }
            let of_table = |change: &Change| match change {
                Change::Written(row) => row.key.as_str().starts_with(&prefix),
                Change::Removed(key) => key.as_str().starts_with(&prefix),
            };
            let later = state
                .content
                .history
                .iter()
                .filter(|(at, change)| *at > after.number && of_table(change));
            Some(later.map(|(_, change)| change.clone()).collect())
        };
        let first = async {
            loop {
                let notified = self.changed.notified();
                let found = find();
                if found.as_ref().is_none_or(|found| !found.is_empty()) {
                    return found;
                }
                notified.await;
            }
        };
        timeout(wait, first).await.unwrap_or_else(|_elapsed| Some(Vec::new()))
    }
}

async fn handle(shared: Arc<Shared>, req: Request<Incoming>) -> Handled {
    let mut answer = answer(&shared, req).await?;
    let era = shared.lock().era;
    write_era(answer.headers_mut(), era);
    Ok(answer)
}

async fn answer(shared: &Arc<Shared>, req: Request<Incoming>) -> Handled {
    let fault = {
        let mut state = shared.lock();
        state.calls += 1;
        state.fault
    };
    match fault {
        StoreFault::Busy => return Ok(whole(StatusCode::SERVICE_UNAVAILABLE, Vec::new())),
        StoreFault::Reset => return Err(broken()),
        StoreFault::Silent => return pending().await,
        StoreFault::None | StoreFault::AnswersLost => {}
    }
    let (head, body) = req.into_parts();
    let body = body.collect().await.map_err(|_| broken())?.to_bytes();
    let query = head.uri.query().unwrap_or_default();
    let Some(call) = decode_call(head.uri.path(), query, &body) else {
        return Ok(whole(StatusCode::BAD_REQUEST, Vec::new()));
    };
    match call {
        ReceivedCall::Transact(txn) => {
            let answer = shared.transact(&txn);
            if fault == StoreFault::AnswersLost {
                return Err(broken());
            }
            Ok(match answer {
                TxnAnswer::Committed(revision) => whole(StatusCode::OK, encode_rows(&[], revision)),
                TxnAnswer::Conflict(rows) => {
                    let rows: Vec<Change> = rows.into_iter().map(Change::Written).collect();
                    let revision = Revision::new(shared.lock().content.revision);
                    whole(StatusCode::PRECONDITION_FAILED, shared.encode(&rows, revision))
                }
            })
        }
        ReceivedCall::Rows { table, from, to } => {
            let state = shared.lock();
            let rows: Vec<Change> = state
                .content
                .table
                .scan(&format!("{table}/"))
                .into_iter()
                .filter(|row| {
                    let name = row.key.as_str().split_once('/').map_or("", |(_, name)| name);
                    name >= from.as_str() && (to.is_empty() || name < to.as_str())
                })
                .map(Change::Written)
                .collect();
            let revision = Revision::new(state.content.revision);
            drop(state);
            Ok(whole(StatusCode::OK, shared.encode(&rows, revision)))
        }
        ReceivedCall::Changes { table, after, wait } => {
            let Some(changes) = shared.changes(&table, after, wait).await else {
                return Ok(whole(StatusCode::GONE, Vec::new()));
            };
            let revision = Revision::new(shared.lock().content.revision.max(after.number));
            Ok(whole(StatusCode::OK, shared.encode(&changes, revision)))
        }
    }
}
