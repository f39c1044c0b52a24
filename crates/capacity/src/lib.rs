//! Inputs of the sizes to design for, from which the slopes of docs/CAPACITY.md are measured.

mod fixtures;
mod memory;

pub use crate::{
    fixtures::{
        Sizes, decide_once, ledgers, load_digests, planner_at_work, residency, route_table,
        run_placement, table,
    },
    memory::resident_bytes,
};
