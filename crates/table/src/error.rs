//! Errors of reading a table.

use std::fmt;

/// One wrong cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellError {
    /// Line of the CSV text, counted from 1 (the header).
    pub line: u64,
    /// Name of the row, or empty if the name itself is wrong.
    pub row: String,
    /// Name of the column.
    pub column: &'static str,
    /// What is wrong and what is accepted.
    pub reason: String,
}

impl fmt::Display for CellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { line, row, column, reason } = self;
        write!(f, "line {line}, row {row:?}, column {column:?}: {reason}")
    }
}

/// The text isn't a valid table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// The header lacks or doubles a column, or has one that isn't known.
    Header {
        /// What is wrong with the header.
        reason: String,
    },
    /// The CSV text is malformed.
    Malformed {
        /// The reader's explanation.
        reason: String,
    },
    /// At least one cell is wrong; nothing was applied.
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
