//! Differences between tables, and edits that were based on an older version.

use {
    crate::{row::Row, table::Table},
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, fmt},
};

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// The row is new.
    Added(Row),
    /// The row is gone.
    Removed(Row),
    /// The row differs.
    Changed {
        /// The row before.
        before: Row,
        /// The row after.
        after: Row,
    },
}

impl RowChange {
    /// Name of the row concerned.
    pub fn name(&self) -> &ModelName {
        match self {
            Self::Added(row) | Self::Removed(row) => &row.name,
            Self::Changed { after, .. } => &after.name,
        }
    }
}

/// Rows that two edits of the same version changed in different ways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Conflict {
    /// Names of the rows, in order.
    pub rows: Vec<ModelName>,
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.rows.iter().map(ModelName::as_str).collect();
        write!(f, "rows changed by another edit meanwhile: {}", names.join(", "))
    }
}

impl std::error::Error for Conflict {}

/// The changes that lead from `before` to `after`, in the order of the rows' names.
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

/// Applies to `current` the changes that lead from `base` to `edited`.
///
/// Two operators who changed different rows of the same base both succeed. The result keeps the
/// version of `current`; the caller gives it the next one.
///
/// # Errors
///
/// The rows that both edits changed, unless they agree on the outcome; and the base models that one
/// edit removed while the other still needs them.
pub fn rebase(base: &Table, edited: &Table, current: &Table) -> Result<Table, Conflict> {
    let mine = diff(base, edited);
    let theirs = diff(base, current);
    let mut rows: BTreeSet<ModelName> = mine
        .iter()
        .filter(|change| {
            theirs.iter().any(|other| other.name() == change.name() && other != *change)
        })
        .map(|change| change.name().clone())
        .collect();
    let mut merged = current.clone();
    for change in &mine {
        merged = match change {
            RowChange::Removed(row) => merged.without(row.name.as_str()),
            RowChange::Added(row) | RowChange::Changed { after: row, .. } => {
                merged.with(row.clone())
            }
        };
    }
    let orphans = merged
        .rows()
        .filter(|row| row.base().is_some_and(|base| merged.row(base.as_str()).is_none()));
    rows.extend(orphans.map(|row| row.name.clone()));
    if rows.is_empty() { Ok(merged) } else { Err(Conflict { rows: rows.into_iter().collect() }) }
}

impl Table {
    /// This table with `row` added or replaced.
    pub fn with(&self, row: Row) -> Self {
        Self::from_rows(self.version, self.rows().cloned().chain([row]))
    }

    /// This table without the row called `name`.
    pub fn without(&self, name: &str) -> Self {
        let rows = self.rows().filter(|row| row.name.as_str() != name).cloned();
        Self::from_rows(self.version, rows)
    }
}

#[cfg(test)]
mod tests {
    use {super::*, crate::table::TableVersion};

    fn table(weights: &[(&str, u32)]) -> Table {
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
        let base = table(&[("a", 1), ("b", 1)]);
        let mine = table(&[("a", 2), ("b", 1)]);
        let theirs = table(&[("a", 1), ("b", 3)]);
        assert_eq!(rebase(&base, &mine, &theirs), Ok(table(&[("a", 2), ("b", 3)])));
    }

    #[test]
    fn edits_of_one_row_conflict_by_name_unless_they_agree() {
        let base = table(&[("a", 1), ("b", 1)]);
        let mine = table(&[("a", 2), ("b", 1)]);
        let conflict = rebase(&base, &mine, &table(&[("a", 3), ("b", 1)])).expect_err("conflict");
        assert_eq!(conflict.rows, [ModelName::new("a")]);
        let removed = rebase(&base, &mine, &table(&[("b", 1)])).expect_err("conflict");
        assert_eq!(removed.rows, [ModelName::new("a")]);
        assert_eq!(rebase(&base, &mine, &mine), Ok(mine.clone()));
    }
}
