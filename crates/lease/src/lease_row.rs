//! Content of a lease's row.

use {
    glade_platform::{Era, StoredRow},
    glade_types::{Incarnation, VmId},
    serde::{Deserialize, Serialize},
};

/// Content of a lease's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LeaseRow {
    /// VM that holds the lease.
    pub holder: VmId,
    /// Incarnation of the holder's daemon.
    pub incarnation: Incarnation,
    /// Increases with every acquisition of the lease, also across eras of the store; see
    /// [`LeaseRow::next_epoch`].
    pub epoch: u64,
    /// Identifies the write. If the answer to the write was lost, this shows whether it was made.
    pub write_id: u64,
    /// Set when the holder has released the lease.
    #[serde(default)]
    pub released: bool,
    /// Era of the store for which the row was written. A row that is read in a later era comes from
    /// a copy of the store.
    #[serde(default)]
    pub era: Era,
    /// VMs that held the lease before `holder` and may have acted on it within the alternation
    /// limit, the latest last; `None` if unknown, as in rows of earlier versions.
    #[serde(default)]
    pub predecessors: Option<Vec<VmId>>,
}

/// Low bits of an epoch that count the acquisitions in an era. The bits above them are the era.
const EPOCH_COUNTER_BITS: u32 = 32;

impl LeaseRow {
    /// Decodes a row; `None` if another writer has written it. Such a row is logged.
    pub(crate) fn decode(stored: &StoredRow) -> Option<Self> {
        let row: Option<Self> = serde_json::from_slice(&stored.value).ok();
        // A holder counts its acquisitions on top of its store's era.
        let row = row.filter(|row| row.epoch >> EPOCH_COUNTER_BITS <= stored.revision.era.0);
        if row.is_none() {
            log::warn!(key = stored.key.as_str(), revision = stored.revision.number; "lease_row_unreadable");
        }
        row
    }

    /// The predecessors of `holder` if it takes over from this row.
    pub(crate) fn predecessors_of(&self, holder: &VmId) -> Option<Vec<VmId>> {
        let mut predecessors = self.predecessors.clone()?;
        if self.holder != *holder {
            predecessors.retain(|vm| *vm != self.holder);
            predecessors.push(self.holder.clone());
        }
        Some(predecessors)
    }

    /// False if `vm` certainly had no term before that of the row's holder within the alternation
    /// limit.
    pub(crate) fn may_follow_term_of(&self, vm: &VmId) -> bool {
        self.predecessors.as_ref().is_none_or(|predecessors| predecessors.contains(vm))
    }

    /// The epoch of an acquisition on top of `row` in `era`. A restored store may lack the latest
    /// epochs, so the epochs of an era are higher than those of all earlier eras.
    pub fn next_epoch(row: Option<&Self>, era: Era) -> u64 {
        let first_of_era = era.0.saturating_mul(1 << EPOCH_COUNTER_BITS);
        row.map_or(0, |row| row.epoch).max(first_of_era).saturating_add(1)
    }
}
