//! Errors of reading settings.

use std::fmt;

/// Why a settings file was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable {
        /// Path as given.
        path: String,
        /// The system's explanation.
        reason: String,
    },
    /// The text isn't YAML, or a key is unknown, missing or of the wrong type.
    Malformed {
        /// The reader's explanation, which names the key and the line.
        reason: String,
    },
    /// A value is out of range or contradicts another.
    Invalid {
        /// Path of the key, parts joined by dots.
        key: &'static str,
        /// What is wrong and what is accepted.
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
