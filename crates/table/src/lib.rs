//! The operators' table: one row per model, adapter or plain service.
//!
//! The table is read and written as CSV. Parsing checks every cell and reports all faults at once,
//! each with its row, column and reason, so that nothing is ever half applied. The crate does no
//! I/O; versions and their storage belong to the membership crate.

mod diff;
mod error;
mod parse;
mod row;
mod table;

pub use crate::{
    diff::{Conflict, RowChange, diff, rebase},
    error::{CellError, TableError},
    parse::{COLUMNS, to_csv},
    row::{Limits, Row, RowKind, Targets},
    table::{Table, TableVersion},
};
