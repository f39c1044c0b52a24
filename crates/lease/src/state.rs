//! The two states of a lease from the point of view of one candidate.

use {crate::lease_row::LeaseRow, glade_platform::Revision, std::time::Instant};

/// Another candidate holds the lease, or nobody does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watching {
    /// Revision of the row when last read.
    pub revision: Revision,
    /// The row when last read, if there was one.
    pub row: Option<LeaseRow>,
    /// When this revision was first seen.
    pub seen_at: Instant,
}

/// This candidate holds the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Revision of the candidate's last confirmed write.
    pub revision: Revision,
    /// The candidate's last confirmed write.
    pub row: LeaseRow,
    /// Time after which the candidate must not act on the lease.
    pub valid_until: Instant,
    /// When the candidate learnt that it had acquired the lease.
    pub acquired_at: Instant,
}

impl Watching {
    /// The state after this candidate's write was confirmed.
    pub fn acquired(
        self,
        now: Instant,
        revision: Revision,
        row: LeaseRow,
        valid_until: Instant,
    ) -> Held {
        Held { revision, row, valid_until, acquired_at: now }
    }
}

impl Held {
    /// The state after a renewal was confirmed.
    pub fn renewed(self, revision: Revision, row: LeaseRow, valid_until: Instant) -> Self {
        Self { revision, row, valid_until, ..self }
    }

    /// The state after another candidate's row was seen, or the lease expired.
    pub fn lost(self, revision: Revision, row: Option<LeaseRow>, seen_at: Instant) -> Watching {
        Watching { revision, row, seen_at }
    }
}
