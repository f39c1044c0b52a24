//! The snapshot of the quarantine that the request path reads.

use {
    crate::contains_all,
    std::{collections::BTreeSet, time::Instant},
};

/// A combination of parts that isn't sent to engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedParts {
    /// Identifies the combination.
    pub key: u64,
    /// Hashes of the parts, in the order of the prompt.
    pub parts: Vec<u64>,
    /// Number of crashes that the parts explain.
    pub crashes: u32,
    /// Since when this node has known that they are quarantined.
    pub since: Instant,
    /// When a request with the parts may be sent to find out whether they still crash engines.
    pub trial_at: Instant,
}

/// What the request path needs to know about the quarantine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineView {
    /// All quarantined combinations.
    pub blocked: Vec<BlockedParts>,
    /// Parts of which it must be known whether requests with them are answered.
    pub suspects: BTreeSet<u64>,
}

impl QuarantineView {
    /// The combination for which a request with `parts` must not be sent to an engine; of several, the one whose trial is
    /// last, because the request can be a trial of no other before. The parts are asked for only if anything is
    /// quarantined.
    pub fn find<'a>(&self, parts: impl FnOnce() -> &'a [u64]) -> Option<&BlockedParts> {
        if self.blocked.is_empty() {
            return None;
        }
        let parts = parts();
        let blocking = self.blocked.iter().filter(|blocked| contains_all(parts, &blocked.parts));
        blocking.max_by_key(|blocked| blocked.trial_at)
    }

    /// Those of `parts` that are suspected. The parts are asked for only if any are.
    pub fn suspected_among<'a>(&self, parts: impl FnOnce() -> &'a [u64]) -> Vec<u64> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        parts().iter().copied().filter(|part| self.suspects.contains(part)).collect()
    }
}
