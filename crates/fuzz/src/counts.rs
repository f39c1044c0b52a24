//! Counts of injected faults.

use std::collections::BTreeMap;

/// Faults injected, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    counts: BTreeMap<&'static str, u64>,
}

impl FaultCounts {
    /// Counts one fault.
    pub fn add(&mut self, kind: &'static str) {
        *self.counts.entry(kind).or_default() += 1;
    }

    /// Adds the counts of another run.
    pub fn merge(&mut self, other: &Self) {
        for (kind, count) in &other.counts {
            *self.counts.entry(kind).or_default() += count;
        }
    }

    /// Kinds and counts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.counts.iter().map(|(kind, count)| (*kind, *count))
    }
}
