//! The configuration table that operators edit: one row per model, adapter or plain service.
//!
//! The table is read and written as CSV. Parsing checks every cell and reports all errors at once,
//! each with its row, column and reason, so that an invalid table is never applied in part. The
//! crate performs no I/O; the membership crate assigns versions and stores the tables.

mod csv_format;
mod diff;
mod row;
mod table;
mod table_error;

pub use crate::{
    csv_format::{COLUMNS, to_csv},
    diff::{Conflict, RowChange, diff, rebase},
    row::{Limits, Row, RowKind, Targets},
    table::{Table, TableVersion},
    table_error::{CellError, TableError},
};
