//! Errors of the messages and connections between processes.

use std::{fmt, net::SocketAddr};

/// Reason for which a message can't be sent or decoded, or an address can't be bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// Listening on the address failed.
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The system's explanation.
        reason: String,
    },
    /// The message was dropped because too much is queued for the peer, or for all peers.
    Dropped {
        /// The peer's address.
        addr: SocketAddr,
    },
    /// The message was dropped because no peer would receive a message of this length.
    TooLong {
        /// The peer's address.
        addr: SocketAddr,
        /// Length of the message, in bytes.
        len_bytes: usize,
    },
    /// The bytes can't be decoded as a message of this format version.
    Undecodable,
    /// The message has another format version.
    OtherVersion {
        /// Version of the message.
        version: u16,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { addr, reason } => write!(f, "can't listen on {addr}: {reason}"),
            Self::Dropped { addr } => write!(f, "message to {addr} dropped"),
            Self::TooLong { addr, len_bytes } => {
                write!(f, "message of {len_bytes} bytes to {addr} dropped")
            }
            Self::Undecodable => f.write_str("message can't be decoded"),
            Self::OtherVersion { version } => {
                write!(
                    f,
                    "message has format version {version}, expected {}",
                    crate::FORMAT_VERSION
                )
            }
        }
    }
}

impl std::error::Error for WireError {}
