//! Rows of the table service that name the current version of the table and record the earlier
//! ones.

use {
    glade_platform::{Key, ObjectStore, StoreError, TableService},
    glade_table::{Table, TableVersion},
    serde::{Deserialize, Serialize},
};

/// Key of the row that names the current table.
pub const HEAD_KEY: &str = "table/head";
/// Prefix of the keys of the history.
pub const HISTORY_PREFIX: &str = "table/history/";

/// The row that names the current table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TableHead {
    /// Version of the table.
    pub version: TableVersion,
    /// Identifier of the edit that created this version.
    pub edit_id: u64,
    /// Key of the table's text in the object store.
    pub object: String,
}

/// One row of the history: a version of the table, and the edit that created it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct HistoryRow {
    /// The head row as the edit wrote it.
    #[serde(flatten)]
    pub head: TableHead,
    /// Name of the operator, as stated by the client.
    pub author: String,
    /// Names of the rows of the table that the edit changed.
    pub rows: Vec<String>,
}

/// Returns the key of the history row of `version`. The keys sort in the order of the versions.
pub fn history_key(version: TableVersion) -> Key {
    Key::new(&format!("{HISTORY_PREFIX}{:012}", version.0))
}

/// Reads the table that `head` names.
///
/// # Errors
///
/// The object store did not answer, the object is missing, or it isn't a valid table.
pub async fn load_table<O: ObjectStore>(
    objects: &O,
    head: &TableHead,
) -> Result<Table, StoreError> {
    let unknown = |reason: String| StoreError::Unknown { reason };
    let body = objects.get(&head.object).await?;
    let body = body.ok_or_else(|| unknown(format!("object {} is missing", head.object)))?;
    let text = String::from_utf8(body).map_err(|err| unknown(err.to_string()))?;
    Table::parse_csv(&text, head.version).map_err(|err| unknown(err.to_string()))
}

/// Reads the head row. Returns `None` before the first edit.
///
/// # Errors
///
/// The table service did not answer, or the row is malformed.
pub async fn read_head<T: TableService>(store: &T) -> Result<Option<TableHead>, StoreError> {
    let Some(row) = store.read(&Key::new(HEAD_KEY)).await? else { return Ok(None) };
    serde_json::from_slice(&row.value)
        .map(Some)
        .map_err(|err| StoreError::Unknown { reason: format!("malformed head: {err}") })
}
