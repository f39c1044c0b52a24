//! Records of the streams that began lately.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

/// Time for which records are collected in one generation. A record is kept until the generation after
/// its own ends: for longer than callers wait for a stream.
const GENERATION_TIME: Duration = Duration::from_secs(20);
/// Most records of a generation: a few times those of the largest deployments. Further ones are dropped.
const RECORDS_MAX: usize = 1 << 16;

/// Records of some time.
#[derive(Clone, Debug, Default)]
struct Generation {
    versions_by_stream: HashMap<u64, u32>,
    versions: HashSet<u32>,
}

/// Streams with the hashes of the versions that began them. Each record is kept for 20 to 40 s after it
/// was last added.
#[derive(Clone, Debug)]
pub struct StreamRecords {
    current: Generation,
    previous: Generation,
    began_at: Instant,
}

impl StreamRecords {
    /// Longest time for which a record is kept.
    pub const KEPT_FOR_MAX: Duration = Duration::from_secs(40);

    /// Returns no records.
    pub fn new(now: Instant) -> Self {
        Self { current: Generation::default(), previous: Generation::default(), began_at: now }
    }

    /// Adds a record.
    pub fn add(&mut self, now: Instant, stream: u64, version: u32) {
        self.drop_outdated(now);
        if self.current.versions_by_stream.len() < RECORDS_MAX {
            self.current.versions_by_stream.insert(stream, version);
            self.current.versions.insert(version);
        }
    }

    /// Hash of the version that began `stream`.
    pub fn get(&self, stream: u64) -> Option<u32> {
        let in_generation =
            |generation: &Generation| generation.versions_by_stream.get(&stream).copied();
        in_generation(&self.current).or_else(|| in_generation(&self.previous))
    }

    /// All records, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        let generations = [&self.previous, &self.current].into_iter();
        generations
            .flat_map(|generation| &generation.versions_by_stream)
            .map(|(stream, version)| (*stream, *version))
    }

    /// Hashes of the versions that began the streams.
    pub fn versions(&self) -> impl Iterator<Item = u32> + '_ {
        self.previous.versions.union(&self.current.versions).copied()
    }

    /// Drops records that were kept for long enough.
    pub fn drop_outdated(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began_at);
        if age < GENERATION_TIME {
            return;
        }
        let ended = std::mem::take(&mut self.current);
        self.previous = if age < GENERATION_TIME * 2 { ended } else { Generation::default() };
        self.began_at = now;
    }
}
