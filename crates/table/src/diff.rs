//! Differences between two tables, and rebasing of an edit that was based on an older version.
//!
//! Operators edit tables concurrently. The membership crate rebases an edit of an older version
//! onto the current version. Rows that both edits changed differently are a [`Conflict`].

use {
    crate::{row::Row, table::Table},
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, fmt},
};

/// A change to one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// The row exists only after the change.
    Added(Row),
    /// The row exists only before the change.
    Removed(Row),
    /// The row exists before and after the change, with different contents.
    Changed {
        /// The row before.
        before: Row,
        /// The row after.
        after: Row,
    },
}

impl RowChange {
    /// Returns the name of the changed row.
    pub fn name(&self) -> &ModelName {
        match self {
            Self::Added(row) | Self::Removed(row) => &row.name,
            Self::Changed { after, .. } => &after.name,
        }
    }
}

/// Rows that two edits of the same version changed differently, and adapters whose base model is
/// missing from the merged table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Conflict {
    /// Names of the rows, sorted.
    pub rows: Vec<ModelName>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.rows.iter().map(ModelName::as_str).collect();
        write!(f, "rows changed by another edit meanwhile: {}", names.join(", "))
    }
}

impl std::error::Error for Conflict {}

/// Returns the row changes that turn `before` into `after`, sorted by row name.
pub fn diff(before: &Table, after: &Table) -> Vec<RowChange> {
    let names: BTreeSet<&ModelName> =
        before.rows().chain(after.rows()).map(|row| &row.name).collect();
    names
        .into_iter()
        .filter_map(|name| match (before.row(name.as_str()), after.row(name.as_str())) {
            (None, Some(row)) => Some(RowChange::Added(row.clone())),
            (Some(row), None) => Some(RowChange::Removed(row.clone())),
            (Some(before), Some(after)) if before != after => {
                Some(RowChange::Changed { before: before.clone(), after: after.clone() })
            }
            _ => None,
        })
        .collect()
}

/// Applies to `current` the changes that turn `base` into `edited`.
///
/// The edits of two operators who changed different rows of the same base both succeed. The result
/// keeps the version of `current`; the caller assigns the next version to the result.
///
/// # Errors
///
/// Returns a [`Conflict`] with the rows that both edits changed to different contents, and with the
/// adapters whose base model one edit removed while the other edit still needs it.
pub fn rebase(base: &Table, edited: &Table, current: &Table) -> Result<Table, Conflict> {
    let edit_changes = diff(base, edited);
    let concurrent_changes = diff(base, current);
    let mut conflicting_rows: BTreeSet<ModelName> = edit_changes
        .iter()
        .filter(|change| {
            concurrent_changes.iter().any(|other| other.name() == change.name() && other != *change)
        })
        .map(|change| change.name().clone())
        .collect();
    let mut merged = current.clone();
    for change in &edit_changes {
        merged = match change {
            RowChange::Removed(row) => merged.without_row(row.name.as_str()),
            RowChange::Added(row) | RowChange::Changed { after: row, .. } => {
                merged.with_row(row.clone())
            }
        };
    }
    let orphaned_adapters = merged
        .rows()
        .filter(|row| row.base().is_some_and(|base| merged.row(base.as_str()).is_none()));
    conflicting_rows.extend(orphaned_adapters.map(|row| row.name.clone()));
    if conflicting_rows.is_empty() {
        Ok(merged)
    } else {
        Err(Conflict { rows: conflicting_rows.into_iter().collect() })
    }
}

impl Table {
    /// Returns this table with `row` added, or replaced if a row of the same name exists.
    pub fn with_row(&self, row: Row) -> Self {
        Self::from_rows(self.version, self.rows().cloned().chain([row]))
    }

    /// Returns this table without the row called `name`.
    pub fn without_row(&self, name: &str) -> Self {
        let rows = self.rows().filter(|row| row.name.as_str() != name).cloned();
        Self::from_rows(self.version, rows)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, crate::table::TableVersion};

    fn table_with_weights(weights: &[(&str, u32)]) -> Table {
        let header = crate::COLUMNS.join(",");
        let lines: Vec<String> = weights
            .iter()
            .map(|(name, weight)| format!("{name},model,,1,urgent,{weight},0,0,1,1,true"))
            .collect();
        let text = format!("{header}\n{}\n", lines.join("\n"));
        Table::parse_csv(&text, TableVersion(1)).expect("valid table")
    }

    #[test]
    fn edits_of_different_rows_are_merged() {
        let base = table_with_weights(&[("a", 1), ("b", 1)]);
        let edited = table_with_weights(&[("a", 2), ("b", 1)]);
        let current = table_with_weights(&[("a", 1), ("b", 3)]);
        assert_eq!(rebase(&base, &edited, &current), Ok(table_with_weights(&[("a", 2), ("b", 3)])));
    }

    #[test]
    fn edits_of_one_row_conflict_unless_their_results_are_equal() {
        let base = table_with_weights(&[("a", 1), ("b", 1)]);
        let edited = table_with_weights(&[("a", 2), ("b", 1)]);
        let conflict = rebase(&base, &edited, &table_with_weights(&[("a", 3), ("b", 1)]))
            .expect_err("conflict");
        assert_eq!(conflict.rows, [ModelName::new("a")]);
        let removed =
            rebase(&base, &edited, &table_with_weights(&[("b", 1)])).expect_err("conflict");
        assert_eq!(removed.rows, [ModelName::new("a")]);
        assert_eq!(rebase(&base, &edited, &edited), Ok(edited.clone()));
    }
}
