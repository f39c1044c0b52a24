//! Streams that one software version began, as messages and rows of the store carry them.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Streams that one software version began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct VersionStreams {
    /// Hash of the service and the version.
    pub version: u32,
    /// Hashes of the requests that brought the first events.
    pub streams: Vec<u64>,
}

impl VersionStreams {
    /// Groups `records`, each a stream and its version, by version.
    pub fn group(records: impl IntoIterator<Item = (u64, u32)>) -> Vec<Self> {
        let mut by_version: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        for (stream, version) in records {
            by_version.entry(version).or_default().push(stream);
        }
        by_version.into_iter().map(|(version, streams)| Self { version, streams }).collect()
    }

    /// The streams, each with its version.
    pub fn records(groups: &[Self]) -> impl Iterator<Item = (u64, u32)> + '_ {
        groups.iter().flat_map(|group| group.streams.iter().map(|stream| (*stream, group.version)))
    }
}
