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

    /// The epoch of an acquisition on top of `row` in `era`. A restored store may lack the latest
    /// epochs, so the epochs of an era are higher than those of all earlier eras.
    pub fn next_epoch(row: Option<&Self>, era: Era) -> u64 {
        let first_of_era = era.0.saturating_mul(1 << EPOCH_COUNTER_BITS);
        row.map_or(0, |row| row.epoch).max(first_of_era).saturating_add(1)
    }
}
