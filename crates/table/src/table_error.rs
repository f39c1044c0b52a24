//! Errors of parsing a table from CSV, as reported to the operator who edits the table.

use std::fmt;

/// An error in one cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellError {
    /// Line number in the CSV text. The header is line 1.
    pub line: u64,
    /// Text of the row's `name` cell, also if that cell is the invalid cell.
    pub row: String,
    /// Name of the column.
    pub column: &'static str,
    /// Why the cell is invalid, and which values are accepted.
    pub reason: String,
}

impl fmt::Display for CellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, row, column, reason } = self;
        write!(f, "line {line}, row {row:?}, column {column:?}: {reason}")
    }
}

/// The reason why a CSV text isn't a valid table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The header lacks a column, contains a column twice, or contains an unknown column.
    Header {
        /// Why the header is invalid.
        reason: String,
    },
    /// The CSV text is malformed.
    Malformed {
        /// Error message of the CSV parser.
        reason: String,
    },
    /// At least one cell is invalid. Contains all errors; no part of the table was applied.
    Cells(Vec<CellError>),
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Header { reason } => write!(f, "table header: {reason}"),
            Self::Malformed { reason } => write!(f, "table text: {reason}"),
            Self::Cells(cells) => {
                let lines: Vec<String> = cells.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("; "))
            }
        }
    }
}

impl std::error::Error for TableError {}
