//! The memory ledger of one engine.
//!
//! The ledger is a row of the table service. Memory is reserved in it before a load is sent, and is
//! given back only when nothing that was ever sent can occupy it any more:
//!
//! * the engine, in the same incarnation, confirmed an unload, **and**
//! * no load of that model is unanswered, unless the engine enforces fencing and the unload's token
//!   is higher than those of the unanswered loads.
//!
//! An engine that restarts has lost everything, and orders are bound to an incarnation, so a new
//! incarnation starts with an empty ledger. No time bound is assumed anywhere: an order may arrive
//! minutes late, and its sender may have been paused.
//!
//! The crate holds the rules only. Who may write a row, and when it is written, is decided by the
//! control crate.

mod entry;
mod error;
mod ledger;
#[cfg(feature = "sabotage")]
pub mod sabotage;

pub use crate::{
    entry::{Entry, Phase},
    error::LedgerError,
    ledger::Ledger,
};
