//! Decides which model or adapter is loaded on, or unloaded from, which engine of a group.
//!
//! A pass is a pure function from the state of a group to a list of moves, the most urgent first:
//!
//! 1. models and adapters that have left the table are unloaded;
//! 2. every model and adapter for which the group is responsible gets one residence;
//! 3. further copies are loaded where they serve the most demand for their cost.
//!
//! Surplus copies are unloaded only when their memory is needed, so falling demand causes no moves.
//! The pass neither reserves memory nor sends orders; the ledger decides whether a move is
//! possible.

mod input;
mod pass;

pub use crate::{
    input::{EngineInput, ExternalResidences, ModelDemand, Move, PlacementInput, PlacementPolicy},
    pass::plan,
};
