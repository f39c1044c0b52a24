//! Stateful fuzzing of the decision cores against simple oracles.
//!
//! Each world runs several core instances in one process under virtual time, with fakes at the
//! outside interfaces that inject faults. quickcheck makes the sequences of operations and shrinks
//! one that leads to a violation. The same seed gives the same run.
//!
//! The worlds are small fakes for these properties, not a simulator of a cluster.

mod calls;
mod counts;
mod driver;
mod engines;
mod faulty_store;
mod planners;
mod tables;
mod timeline;

pub use crate::{
    calls::CallWorld,
    counts::FaultCounts,
    driver::{FuzzReport, Violation, World, fuzz, fuzz_shrinking},
    planners::{PlannerOp, PlannerWorld},
    tables::TableWorld,
};
