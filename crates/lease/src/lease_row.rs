//! Content of a lease's row.

use {
    glade_platform::Era,
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
    /// The epoch of an acquisition on top of `row` in `era`. A restored store may lack the latest
    /// epochs, so the epochs of an era are higher than those of all earlier eras.
    pub fn next_epoch(row: Option<&Self>, era: Era) -> u64 {
        row.map_or(0, |row| row.epoch).max(era.0 << EPOCH_COUNTER_BITS) + 1
    }
}
