//! Reads settings files into strings.

use {
    crate::error::SettingsError,
    std::{
        fs::{self, File},
        io::{self, Read},
        path::Path,
    },
};

/// Largest settings file that is read: a few thousand seed addresses.
const FILE_BYTES_MAX: u64 = 1 << 20;

/// Returns the text of the file at `path`, which may also be a pipe.
pub(crate) fn read_file(path: &Path) -> Result<String, SettingsError> {
    read(path).map_err(|err| unreadable(path, &err))
}

/// Returns the text of the regular file at `path`. Doesn't wait for anyone to write it.
pub(crate) fn read_regular_file(path: &Path) -> Result<String, SettingsError> {
    let is_regular = fs::metadata(path).map(|metadata| metadata.is_file());
    if !is_regular.map_err(|err| unreadable(path, &err))? {
        return Err(unreadable(path, &io::Error::other("not a regular file")));
    }
    read_file(path)
}

fn read(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?.take(FILE_BYTES_MAX + 1).read_to_string(&mut text)?;
    if text.len() as u64 > FILE_BYTES_MAX {
        return Err(io::Error::other(format!("longer than {FILE_BYTES_MAX} bytes")));
    }
    Ok(text)
}

fn unreadable(path: &Path, err: &io::Error) -> SettingsError {
    SettingsError::Unreadable { path: path.display().to_string(), reason: err.to_string() }
}
