//! Decides which model or adapter is loaded to, or unloaded from, which engine of a group.
//!
//! A pass is a pure function from a view of the group to a list of moves, most urgent first:
//!
//! 1. rows that left the table are unloaded;
//! 2. every model and adapter for which the group is responsible gets one residence;
//! 3. further copies go where they serve the most demand for their cost.
//!
//! Surplus copies are unloaded only when their memory is needed, so falling demand costs no moves.
//! The pass neither reserves memory nor sends orders; the ledger has the last word on both.

mod input;
mod pass;

pub use crate::{
    input::{EngineInput, ExternalResidences, ModelDemand, Move, PlacementInput, PlacementPolicy},
    pass::plan,
};
