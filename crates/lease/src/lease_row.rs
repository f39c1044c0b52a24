//! The lease row.

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
    /// Grows whenever the lease is acquired anew, also over eras of the store; see [`LeaseRow::next_epoch`].
    pub epoch: u64,
    /// Identifies the write, to settle one whose answer was lost.
    pub write_id: u64,
    /// The holder has given the lease up.
    #[serde(default)]
    pub released: bool,
    /// Era of the store for which the row was written. One that is read in a later era comes from a copy.
    #[serde(default)]
    pub era: Era,
}

/// Bits of an epoch that count acquisitions within an era; the bits above them are the era.
const EPOCH_BITS: u32 = 32;

impl LeaseRow {
    /// The epoch of an acquisition on top of `row` in `era`. A restored store may have forgotten the
    /// latest epochs, so the epochs of an era are higher than all of the eras before it.
    pub fn next_epoch(row: Option<&Self>, era: Era) -> u64 {
        row.map_or(0, |row| row.epoch).max(era.0 << EPOCH_BITS) + 1
    }
}
