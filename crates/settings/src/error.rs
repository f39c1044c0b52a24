//! Errors that reading and checking a settings file returns.

use std::fmt;

/// Reason for which a settings file was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Reading the file failed.
    Unreadable {
        /// Path of the file, as the caller passed it.
        path: String,
        /// Error text from the operating system.
        reason: String,
    },
    /// The text isn't YAML, or a key is unknown, missing or of the wrong type.
    Malformed {
        /// Error text from the YAML parser, which names the key and the line.
        reason: String,
    },
    /// A value is out of range or contradicts another.
    Invalid {
        /// Path of the key, with its parts joined by dots.
        key: &'static str,
        /// What is wrong with the value, and which values are accepted.
        reason: String,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, reason } => write!(f, "can't read settings {path}: {reason}"),
            Self::Malformed { reason } => write!(f, "settings: {reason}"),
            Self::Invalid { key, reason } => write!(f, "settings key {key}: {reason}"),
        }
    }
}

impl std::error::Error for SettingsError {}
