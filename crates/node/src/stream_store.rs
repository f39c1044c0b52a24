//! Keeps the log of streams in a table of the store while a service has several software versions.

use {
    crate::{control_task::spawn_task, event::Event, stream_exchange::StreamExchange},
    glade_adapter::platform_store::PlatformStore,
    glade_platform::{
        ChangeFeed, Key, Snapshot, StoreError, StoredRow, TableService, Txn, TxnAnswer, Write,
    },
    glade_streams::{LogWrite, StreamLog, VersionStreams},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::Sender,
};

/// Table with the log.
pub(crate) const TABLE: &str = "streams";

/// Pause after the table couldn't be read, until it is read again.
const READ_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// What the table has.
#[derive(Debug, Default)]
pub(crate) struct LoggedStreams {
    pub(crate) groups: Vec<VersionStreams>,
    /// Software versions that services have had, each with its service.
    pub(crate) versions: Vec<(u32, u32)>,
}

/// The log, while this node writes it.
#[derive(Debug, Default)]
pub(crate) struct StreamStore {
    log: Option<StreamLog>,
    /// The table's rows are known, among them those that nobody else will remove.
    has_read: bool,
    read_at: Option<Instant>,
    /// New records are written.
    writes_records: bool,
}

impl StreamStore {
    /// Begins to write the log, or ends that. A node that `is_writer` removes old rows, and writes the
    /// software versions, and new records while there are several. Returns true if the table is to be read.
    pub(crate) fn follow(
        &mut self,
        now: Instant,
        is_writer: bool,
        name: impl FnOnce() -> String,
        streams: &StreamExchange,
    ) -> bool {
        if !is_writer {
            // Another node writes and removes from now on.
            *self = Self::default();
            return false;
        }
        let log = self.log.get_or_insert_with(|| StreamLog::new(now, &name()));
        let several_versions = streams.has_several_versions();
        if several_versions && !self.writes_records {
            streams.records().iter().for_each(|(stream, version)| log.add(stream, version));
        }
        // Those that the writer before has left there count as well.
        if self.has_read {
            log.set_versions(streams.versions().all());
        }
        self.writes_records = several_versions;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < READ_RETRY_PAUSE;
        let is_due = !self.has_read && !self.read_at.is_some_and(is_recent);
        if is_due {
            self.read_at = Some(now);
        }
        is_due
    }

    /// Adds new records, if this node writes them.
    pub(crate) fn add(&mut self, records: Vec<(u64, u32)>) {
        if let Some(log) = self.log.as_mut().filter(|_| self.writes_records) {
            records.into_iter().for_each(|(stream, version)| log.add(stream, version));
        }
    }

    /// Writes what is due.
    pub(crate) fn write(
        &mut self,
        now: Instant,
        store: &Rc<PlatformStore>,
        events: &Sender<Event>,
    ) {
        let Some(write) = self.log.as_mut().and_then(|log| log.take_due(now)) else { return };
        let (store, sender) = (Rc::clone(store), events.clone());
        spawn_task(events, async move {
            let answer = store.transact(&transaction(&write)).await;
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = sender.send(Event::StreamLogWritten(now, write, answer)).await;
        });
    }

    /// Handles the end of a write.
    pub(crate) fn on_written(
        &mut self,
        now: Instant,
        write: LogWrite,
        answer: &Result<TxnAnswer, StoreError>,
    ) {
        if let Err(err) = answer {
            log::info!(reason = err.to_string().as_str(); "stream_log_write_failed");
        }
        if let Some(log) = &mut self.log {
            log.on_written(now, write, answer.is_err());
        }
    }

    /// Reads all rows.
    pub(crate) fn read(now: Instant, store: &Rc<PlatformStore>, events: &Sender<Event>) {
        let (store, sender) = (Rc::clone(store), events.clone());
        spawn_task(events, async move {
            let snapshot = store.snapshot(TABLE).await;
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = sender.send(Event::StreamLogRead(now, snapshot)).await;
        });
    }

    /// Decodes all rows, and has those of other processes removed later if this node writes the log.
    pub(crate) fn on_read(&mut self, now: Instant, snapshot: &Snapshot) -> LoggedStreams {
        self.has_read = true;
        if let Some(log) = &mut self.log {
            let names = snapshot.rows.iter().filter_map(|row| row.key.as_str().split_once('/'));
            log.add_rows(now, names.map(|(_, name)| name));
        }
        let mut logged = LoggedStreams::default();
        for row in &snapshot.rows {
            if let Err(reason) = logged.add(row) {
                let key = row.key.as_str();
                log::warn!(key = key, reason = reason.as_str(); "stream_row_unreadable");
            }
        }
        logged
    }
}

impl LoggedStreams {
    fn add(&mut self, row: &StoredRow) -> Result<(), String> {
        if row.key == Key::new(&format!("{TABLE}/{}", StreamLog::VERSIONS_ROW)) {
            self.versions = StreamLog::decode_versions(&row.value)?;
        } else {
            self.groups.extend(StreamLog::decode_row(&row.value)?);
        }
        Ok(())
    }
}

fn transaction(write: &LogWrite) -> Txn {
    let key = |name: &str| Key::new(&format!("{TABLE}/{name}"));
    let put =
        |(name, value): &(String, Vec<u8>)| Write::Put { key: key(name), value: value.clone() };
    let delete = |name: &String| Write::Delete { key: key(name) };
    let writes = write.put.iter().map(put).chain(write.delete.iter().map(delete)).collect();
    Txn { conditions: Vec::new(), writes }
}
