//! Records of streams in the store, for nodes that start when no other has any records.
//!
//! One node writes what it has recorded, a few rows a second, while a service has several software
//! versions. Rows are only added, and removed once their streams are over. One more row has the software
//! versions themselves, as they may all change while no node is there.

use {
    crate::{stream_records::StreamRecords, version_streams::VersionStreams},
    serde::Serialize,
    std::{
        collections::{BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Most records of a row, which has 10 bytes for each.
const RECORDS_PER_ROW: usize = 4_000;
/// Most rows that one write adds, and removes.
const ROWS_PER_WRITE: usize = 8;
/// Most records that wait to be written.
const UNWRITTEN_MAX: usize = 1 << 16;

/// A write to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogWrite {
    /// Rows to be added, by name.
    pub put: Vec<(String, Vec<u8>)>,
    /// Names of rows to be removed.
    pub delete: Vec<String>,
    records: Vec<(u64, u32)>,
}

/// The row of software versions, each with its service.
#[derive(Clone, Debug, Default)]
struct VersionsRow {
    versions: BTreeSet<(u32, u32)>,
    is_unwritten: bool,
}

/// What one node writes, and which rows it removes.
#[derive(Clone, Debug)]
pub struct StreamLog {
    /// Distinguishes the rows of this process from those of others.
    writer: String,
    rows_written: u64,
    unwritten: Vec<(u64, u32)>,
    /// Rows of the table with the time from which on each is removed.
    rows: VecDeque<(String, Instant)>,
    versions: VersionsRow,
    next_at: Instant,
    is_writing: bool,
}

impl StreamLog {
    /// Name of the row of software versions.
    pub const VERSIONS_ROW: &str = "versions";

    /// Returns a log of the process called `writer` that has written nothing yet.
    pub fn new(now: Instant, writer: &str) -> Self {
        Self {
            writer: writer.to_owned(),
            rows_written: 0,
            unwritten: Vec::new(),
            rows: VecDeque::new(),
            versions: VersionsRow::default(),
            next_at: now,
            is_writing: false,
        }
    }

    /// Adds a record.
    pub fn add(&mut self, stream: u64, version: u32) {
        if self.unwritten.len() < UNWRITTEN_MAX {
            self.unwritten.push((stream, version));
        }
    }

    /// Sets the software versions that services have had lately, each with its service.
    pub fn set_versions(&mut self, versions: BTreeSet<(u32, u32)>) {
        if versions != self.versions.versions {
            self.versions = VersionsRow { versions, is_unwritten: true };
        }
    }

    /// Records rows of other processes, which are to be removed later.
    pub fn add_rows<'a>(&mut self, now: Instant, names: impl Iterator<Item = &'a str>) {
        let remove_at = now + StreamRecords::KEPT_FOR_MAX;
        let own = format!("{}-", self.writer);
        let is_removed = |name: &&str| !name.starts_with(&own) && *name != Self::VERSIONS_ROW;
        for name in names.filter(is_removed) {
            if !self.rows.iter().any(|(known, _)| known == name) {
                self.rows.push_back((name.to_owned(), remove_at));
            }
        }
    }

    /// True if the log has no rows and nothing to write.
    pub fn is_empty(&self) -> bool {
        self.unwritten.is_empty() && self.rows.is_empty() && !self.is_writing
    }

    /// The next write, if one is due. It ends with [`Self::on_written`].
    pub fn take_due(&mut self, now: Instant) -> Option<LogWrite> {
        let removable = self.rows.iter().take_while(|(_, at)| *at <= now).count();
        let is_idle = self.unwritten.is_empty() && removable == 0 && !self.versions.is_unwritten;
        if self.is_writing || now < self.next_at || is_idle {
            return None;
        }
        self.is_writing = true;
        let count = self.unwritten.len().min(RECORDS_PER_ROW * ROWS_PER_WRITE);
        let records: Vec<(u64, u32)> = self.unwritten.drain(..count).collect();
        let mut put: Vec<_> = records.chunks(RECORDS_PER_ROW).map(|rows| self.row(rows)).collect();
        if std::mem::take(&mut self.versions.is_unwritten) {
            put.push((Self::VERSIONS_ROW.to_owned(), encode(&self.versions.versions)));
        }
        let removed = self.rows.drain(..removable.min(ROWS_PER_WRITE));
        let delete = removed.map(|(name, _)| name).collect();
        Some(LogWrite { put, delete, records })
    }

    fn row(&mut self, records: &[(u64, u32)]) -> (String, Vec<u8>) {
        self.rows_written += 1;
        let groups = VersionStreams::group(records.iter().copied());
        (format!("{}-{:08}", self.writer, self.rows_written), encode(&groups))
    }

    /// Handles the end of a write. One that failed may have taken effect all the same; its records are
    /// written again.
    pub fn on_written(&mut self, now: Instant, write: LogWrite, has_failed: bool) {
        self.is_writing = false;
        let remove_at = now + StreamRecords::KEPT_FOR_MAX;
        for (name, _) in write.put {
            if name == Self::VERSIONS_ROW {
                self.versions.is_unwritten |= has_failed;
            } else {
                self.rows.push_back((name, remove_at));
            }
        }
        if has_failed {
            self.next_at = now + RETRY_PAUSE;
            self.unwritten.splice(..0, write.records);
            let again = write.delete.into_iter().map(|name| (name, now));
            again.rev().for_each(|row| self.rows.push_front(row));
        } else {
            self.next_at = now + WRITE_INTERVAL;
        }
    }

    /// Decodes a row of streams.
    ///
    /// # Errors
    ///
    /// Why the bytes aren't a row of the log.
    pub fn decode_row(bytes: &[u8]) -> Result<Vec<VersionStreams>, String> {
        postcard::from_bytes(bytes).map_err(|err| err.to_string())
    }
    /// Decodes the row of software versions, each with its service.
    ///
    /// # Errors
    ///
    /// Why the bytes aren't that row.
    pub fn decode_versions(bytes: &[u8]) -> Result<Vec<(u32, u32)>, String> {
        postcard::from_bytes(bytes).map_err(|err| err.to_string())
    }
}

fn encode(row: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(row, Vec::new()).expect("plain data of known size")
}
