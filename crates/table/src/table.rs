//! The configuration table at one version.

use {
    crate::row::{Row, RowKind},
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// Version of the table. Every accepted edit increments the version by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The table at one version. Rows are sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Table {
    /// Version of these rows. Version zero is the empty table before the first edit.
    pub version: TableVersion,
    rows: BTreeMap<ModelName, Row>,
}

impl Table {
    /// Builds a table from rows that have already been validated. A later row replaces an earlier
    /// row of the same name.
    pub fn from_rows(version: TableVersion, rows: impl IntoIterator<Item = Row>) -> Self {
        let rows = rows.into_iter().map(|row| (row.name.clone(), row)).collect();
        Self { version, rows }
    }

    /// Returns a table with the same rows and another version.
    pub fn at_version(self, version: TableVersion) -> Self {
        Self { version, ..self }
    }

    /// Returns the row called `name`.
    pub fn row(&self, name: &str) -> Option<&Row> {
        self.rows.get(name)
    }

    /// Iterates over all rows, sorted by name.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Iterates over the rows that occupy accelerator memory, base models before adapters.
    pub fn loadable(&self) -> impl Iterator<Item = &Row> {
        let models = self.rows().filter(|row| row.kind == RowKind::Model);
        models.chain(self.rows().filter(|row| row.base().is_some()))
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if the table has no rows, as before the first edit.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
