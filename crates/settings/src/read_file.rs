//! Reads settings files into strings.

use {
    crate::error::SettingsError,
    std::{fs, path::Path},
};

/// Returns the text of the file at `path`.
pub(crate) fn read_file(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|err| SettingsError::Unreadable {
        path: path.display().to_string(),
        reason: err.to_string(),
    })
}
