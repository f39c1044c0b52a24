//! The memory ledger of an engine: reservations of accelerator memory for models.
//!
//! The ledger is a row of the table service. Memory is reserved in the row before a load is sent. The
//! reservation of a loaded model is released only when no order that was ever sent can still occupy the
//! memory:
//!
//! * the engine, in the same incarnation, confirmed an unload, **and**
//! * no load of that model is unanswered, unless the engine enforces fencing and the unload's token
//!   is higher than the tokens of the unanswered loads.
//!
//! An engine that restarts has no models left in memory, and orders are bound to an incarnation.
//! Therefore a new incarnation starts with an empty ledger. The rules assume no time bound: an order may
//! arrive minutes late, and its sender may have been paused.
//!
//! This crate contains only the rules. The control crate decides who may write a row and when.

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
