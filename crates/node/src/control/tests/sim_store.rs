//! A store in virtual time, and the calls that nodes make to it.

use {
    crate::{
        event::{Event, WatchedTable},
        lease::{LEASE_KEY, LeaseService},
        origin_store::{OriginStore, OriginTables},
        read_role::ReadRole,
    },
    glade_adapter::{config, registry},
    glade_catalog::ServerRecord,
    glade_lease::LeaseAction,
    glade_platform::{
        Change, Changes, Key, MemoryTable, Revision, Snapshot, StoreError, Txn, TxnAnswer, Write,
    },
    glade_types::BackendId,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, VecDeque},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Tables that the nodes watch here.
const TABLES: [WatchedTable; 2] = [WatchedTable::Configuration, WatchedTable::Registry];
/// Longest time that an answer takes.
const ANSWER_MAX_MS: u64 = 60;
/// Longest wait of one call for changes, as the table watchers have it.
const LONG_POLL_WAIT: Duration = Duration::from_millis(700);
/// Time-outs of the store's client: of a call that waits for changes, and of any other.
const FEED_TIMEOUT: Duration = Duration::from_millis(1200);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pauses of the table watchers in a mesh with leaves, after changes and after failures.
const PAUSE: Duration = Duration::from_millis(300);

/// A call to the store under way.
#[derive(Clone, Debug)]
struct Call<C> {
    began_at: Instant,
    answer_time: Duration,
    /// The call or its answer was lost.
    is_lost: bool,
    content: C,
}

/// One table watcher.
#[derive(Clone, Debug, Default)]
struct Watcher {
    /// Revision after which changes are requested; `None` requests a snapshot.
    call: Option<Call<Option<Revision>>>,
    pauses_until: Option<Instant>,
}

/// Operations on the lease's row that a node has decided on.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordedLease(Rc<RefCell<VecDeque<LeaseAction>>>);

impl LeaseService for RecordedLease {
    fn perform(&self, _now: Instant, action: LeaseAction) {
        self.0.borrow_mut().push_back(action);
    }
}

/// Number of reads of the tables that tell where streams began that a node has decided on.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordedOriginReads(Rc<Cell<usize>>);

impl OriginStore for RecordedOriginReads {
    fn read(&self, _now: Instant) {
        self.0.set(self.0.get() + 1);
    }
}

/// The calls of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct NodeStoreCalls {
    watchers: [Watcher; TABLES.len()],
    decided: RecordedLease,
    lease: Option<Call<LeaseAction>>,
    decided_origin_reads: RecordedOriginReads,
    origin_reads: Vec<Call<()>>,
}

impl NodeStoreCalls {
    pub(super) fn origin_store(&self) -> RecordedOriginReads {
        self.decided_origin_reads.clone()
    }

    pub(super) fn lease_service(&self) -> RecordedLease {
        self.decided.clone()
    }
}

/// The store's rows, and which nodes can't reach it.
#[derive(Debug, Default)]
pub(super) struct SimStore {
    rows: MemoryTable,
    latest: Revision,
    /// Rows that were removed, with the revisions of that.
    removed: Vec<(Key, Revision)>,
    pub(super) cut_off: BTreeSet<usize>,
    /// Nodes half of whose calls are lost.
    pub(super) lossy: BTreeSet<usize>,
    /// When the store received each call.
    pub(super) received_at: Vec<Instant>,
}

impl SimStore {
    /// Puts a configuration into the store.
    pub(super) fn write_config(&mut self, version: u64) {
        let value = format!(
            r#"{{"Version":{version},"Routes":[],"Services":[],"Limits":{{"MaxHeaderBytes":16384,
            "MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
        );
        self.write(&format!("{}/{}", config::TABLE, config::KEY), value.into_bytes());
    }

    /// Puts the entry of a backend server into the store.
    pub(super) fn write_server(&mut self, record: &ServerRecord) {
        let key = format!("{}/{}", registry::TABLE, record.key.id);
        self.write(&key, registry::encode(record));
    }

    /// Removes the entry of a backend server.
    pub(super) fn remove_server(&mut self, id: &BackendId) {
        let key = Key::new(&format!("{}/{id}", registry::TABLE));
        let write = Write::Delete { key: key.clone() };
        self.transact(&Txn { conditions: Vec::new(), writes: vec![write] });
        self.removed.push((key, self.latest));
    }

    fn write(&mut self, key: &str, value: Vec<u8>) {
        let write = Write::Put { key: Key::new(key), value };
        self.transact(&Txn { conditions: Vec::new(), writes: vec![write] });
    }

    fn transact(&mut self, txn: &Txn) -> TxnAnswer {
        let answer = self.rows.transact(txn);
        if let TxnAnswer::Committed(revision) = &answer {
            self.latest = *revision;
        }
        answer
    }

    /// Begins and ends the calls of the node at `position`. Returns the outcomes.
    pub(super) fn step(
        &mut self,
        now: Instant,
        position: usize,
        role: ReadRole,
        known: [Revision; TABLES.len()],
        calls: &mut NodeStoreCalls,
        rng: &mut fastrand::Rng,
    ) -> Vec<Event> {
        let is_cut_off = self.cut_off.contains(&position);
        let mut events = Vec::new();
        for ((watcher, table), known) in calls.watchers.iter_mut().zip(TABLES).zip(known) {
            let is_paused = watcher.pauses_until.is_some_and(|until| now < until);
            if watcher.call.is_none() && role.is_reader() && !is_paused {
                let after = (known != Revision::ABSENT).then_some(known);
                watcher.call = Some(self.begin(now, position, after, rng));
            }
            let Some(call) = &mut watcher.call else { continue };
            call.is_lost |= is_cut_off;
            if let Some((event, pause)) = self.end_watch(now, table, call) {
                watcher.pauses_until = Some(now + pause);
                watcher.call = None;
                events.push(event);
            }
        }
        if calls.lease.is_none()
            && let Some(action) = calls.decided.0.borrow_mut().pop_front()
        {
            calls.lease = Some(self.begin(now, position, action, rng));
        }
        if let Some(call) = &mut calls.lease {
            call.is_lost |= is_cut_off;
            let call = call.clone();
            if let Some(event) = self.end_lease_call(now, call) {
                calls.lease = None;
                events.push(event);
            }
        }
        for _ in 0..calls.decided_origin_reads.0.take() {
            calls.origin_reads.push(self.begin(now, position, (), rng));
        }
        calls.origin_reads.iter_mut().for_each(|call| call.is_lost |= is_cut_off);
        calls.origin_reads.retain(|call| {
            let event = self.end_origin_read(now, call);
            let is_over = event.is_some();
            events.extend(event);
            !is_over
        });
        events
    }

    fn begin<C>(
        &mut self,
        now: Instant,
        position: usize,
        content: C,
        rng: &mut fastrand::Rng,
    ) -> Call<C> {
        let is_lost =
            self.cut_off.contains(&position) || self.lossy.contains(&position) && rng.bool();
        if !is_lost {
            self.received_at.push(now);
        }
        let answer_time = Duration::from_millis(rng.u64(1..=ANSWER_MAX_MS));
        Call { began_at: now, answer_time, is_lost, content }
    }

    /// The outcome of a watcher's call, if it has ended, and the pause until the next.
    fn end_watch(
        &self,
        now: Instant,
        table: WatchedTable,
        call: &Call<Option<Revision>>,
    ) -> Option<(Event, Duration)> {
        let time = now - call.began_at;
        if call.is_lost {
            let timeout = if call.content.is_some() { FEED_TIMEOUT } else { CALL_TIMEOUT };
            let failed = Event::StoreCallFailed(call.began_at, "no answer".to_owned());
            return (time >= timeout).then_some((failed, PAUSE));
        }
        let prefix = match table {
            WatchedTable::Configuration => format!("{}/", config::TABLE),
            WatchedTable::Registry => format!("{}/", registry::TABLE),
            WatchedTable::Quarantine => return None,
        };
        let rows = self.rows.scan(&prefix);
        let Some(after) = call.content else {
            let snapshot = Event::Snapshot(table, Snapshot { rows, revision: self.latest });
            return (time >= call.answer_time).then_some((snapshot, PAUSE));
        };
        let written = rows.into_iter().filter(|row| row.revision > after).map(Change::Written);
        let is_removal =
            |(key, at): &&(Key, Revision)| *at > after && key.as_str().starts_with(&prefix);
        let removed = self.removed.iter().filter(is_removal);
        let removed = removed.map(|(key, _)| Change::Removed(key.clone()));
        let changes: Vec<Change> = removed.chain(written).collect();
        let wait = if changes.is_empty() { LONG_POLL_WAIT } else { Duration::ZERO };
        let pause = if changes.is_empty() { Duration::ZERO } else { PAUSE };
        let changes = Event::Changes(table, after, Changes { changes, revision: self.latest });
        (time >= wait + call.answer_time).then_some((changes, pause))
    }

    /// The outcome of a read of the tables that tell where streams began, if it has ended. The log of streams
    /// is empty here.
    fn end_origin_read(&self, now: Instant, call: &Call<()>) -> Option<Event> {
        let time = now - call.began_at;
        if call.is_lost {
            let err = StoreError::Unknown { reason: "no answer".to_owned() };
            return (time >= CALL_TIMEOUT)
                .then_some(Event::OriginTablesRead(call.began_at, Err(err)));
        }
        (time >= call.answer_time).then(|| {
            let snapshot = |rows| Snapshot { rows, revision: self.latest };
            let registry = snapshot(self.rows.scan(&format!("{}/", registry::TABLE)));
            let tables = OriginTables { registry, stream_log: snapshot(Vec::new()) };
            Event::OriginTablesRead(call.began_at, Ok(tables))
        })
    }

    fn end_lease_call(&mut self, now: Instant, call: Call<LeaseAction>) -> Option<Event> {
        let time = now - call.began_at;
        let key = Key::new(LEASE_KEY);
        if call.is_lost {
            let err = StoreError::Unknown { reason: "no answer".to_owned() };
            return (time >= CALL_TIMEOUT).then_some(match call.content {
                LeaseAction::Read => Event::LeaseRead(call.began_at, Err(err)),
                LeaseAction::Write { .. } => Event::LeaseWritten(call.began_at, Err(err)),
            });
        }
        (time >= call.answer_time).then(|| match call.content {
            LeaseAction::Read => Event::LeaseRead(call.began_at, Ok(self.rows.read(&key))),
            LeaseAction::Write { expected, row } => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let answer = self.transact(&Txn::compare_and_set(key, expected, value));
                Event::LeaseWritten(call.began_at, Ok(answer))
            }
        })
    }
}
