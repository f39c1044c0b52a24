//! A lease on a row of the table service, without synchronised clocks.
//!
//! The holder renews by compare-and-set and counts the lease from a clock reading taken *before*
//! the renewal was sent. Everybody else watches the row's revision and may take over when it hasn't
//! changed for the lease's duration, counted from when they first *saw* it, plus a margin for
//! clocks that run at different rates. A renewal whose answer was lost is settled by reading the
//! row back and comparing its write identifier.
//!
//! A store that is restored from a copy may name a holder of long ago, or nobody, while another holder
//! still acts. So each row says for which era of the store it was written; one that is read in a later
//! era is waited out in full, whoever it names, except by the holder whose own tenure the restore has
//! just cut short: nobody else can have taken over from it.
//!
//! The lease is advisory: it keeps two holders from getting in each other's way. Safety of memory
//! rests on the ledger's compare-and-set alone.

mod lease_candidate;
mod lease_row;
mod state;

pub use crate::{
    lease_candidate::{LeaseAction, LeaseCandidate, LeaseConfig},
    lease_row::LeaseRow,
    state::{Held, Watching},
};
