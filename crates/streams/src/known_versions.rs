//! Which software versions servers of each service have had lately.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

/// Software versions by service. Both are hashes; that of a version includes its service.
#[derive(Clone, Debug, Default)]
pub struct KnownVersions {
    /// When a server with the version was last known.
    seen_at: HashMap<u32, HashMap<u32, Instant>>,
}

impl KnownVersions {
    /// Time for which a version counts after its last server has gone: longer than any stream lasts.
    pub const COUNTED_FOR: Duration = Duration::from_secs(40);

    /// Records that `servers` are known, each as its service and version.
    pub fn update(&mut self, now: Instant, servers: impl Iterator<Item = (u32, u32)>) {
        for (service, version) in servers {
            self.seen_at.entry(service).or_default().insert(version, now);
        }
        for versions in self.seen_at.values_mut() {
            versions.retain(|_, at| now.saturating_duration_since(*at) < Self::COUNTED_FOR);
        }
        self.seen_at.retain(|_, versions| !versions.is_empty());
    }

    /// The only version that `service` has had, if `recorded`, the versions that began streams lately, are
    /// all known ones: another may have left before this node knew any server.
    pub fn single(&self, service: u32, mut recorded: impl Iterator<Item = u32>) -> Option<u32> {
        let is_known =
            |version: u32| self.seen_at.values().any(|versions| versions.contains_key(&version));
        let mut versions = self.seen_at.get(&service)?.keys();
        let single = versions.next().filter(|_| versions.next().is_none());
        single.copied().filter(|_| recorded.all(is_known))
    }

    /// All versions, each with its service.
    pub fn all(&self) -> BTreeSet<(u32, u32)> {
        let of_service = |(service, versions): (&u32, &HashMap<u32, Instant>)| {
            versions.keys().map(|version| (*service, *version)).collect::<Vec<_>>()
        };
        self.seen_at.iter().flat_map(of_service).collect()
    }

    /// Number of versions that `service` has had.
    pub fn count(&self, service: u32) -> usize {
        self.seen_at.get(&service).map_or(0, HashMap::len)
    }

    /// True if a service has had several versions, or an unknown one began a stream.
    pub fn has_several(&self, mut recorded: impl Iterator<Item = u32>) -> bool {
        let is_unknown =
            |version: u32| !self.seen_at.values().any(|versions| versions.contains_key(&version));
        self.seen_at.values().any(|versions| versions.len() > 1) || recorded.any(is_unknown)
    }
}
