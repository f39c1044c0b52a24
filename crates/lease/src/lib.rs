//! A leader lease on a row of the table service, without synchronised clocks.
//!
//! The holder renews the lease by compare-and-set and counts its duration from a clock reading
//! taken *before* the renewal was sent. All other candidates watch the row's revision. They may
//! take over when it has not changed for the lease's duration, counted from when they first *saw*
//! it, plus a margin for clocks that run at different rates. If the answer to a renewal was lost,
//! the row is read back and its write identifier compared to find out whether the renewal was
//! written.
//!
//! A store that was restored from a copy may name a holder of long ago, or none, while another
//! holder still acts. So each row contains the era of the store for which it was written. A row
//! that is read in a later era is waited out for the full duration, whichever holder it names. The
//! exception is the holder whose own lease term the restore has just cut short, because nobody else
//! can have taken over from it.
//!
//! The lease is advisory: it keeps two holders from interfering with each other. That memory is
//! never overcommitted depends on the ledger's compare-and-set alone.

mod earlier_process;
mod lease_candidate;
mod lease_row;
mod state;

pub use crate::{
    earlier_process::EarlierProcess,
    lease_candidate::{LeaseAction, LeaseCandidate, LeaseConfig},
    lease_row::LeaseRow,
    state::{Held, Watching},
};
