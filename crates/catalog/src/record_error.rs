//! The error for a record that names no usable backend server.

use std::fmt;

/// Why a record names no usable backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The server's name is empty, or has control characters and can't be sent in a header.
    Name,
    /// Nothing listens on port 0.
    Port,
    /// The number of slots exceeds [`crate::ServerRecord::SLOTS_MAX`].
    Slots,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Name => "the name is empty or has control characters",
            Self::Port => "the port is 0",
            Self::Slots => "too many slots",
        })
    }
}

impl std::error::Error for RecordError {}
