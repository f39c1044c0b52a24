//! Errors of the sockets between processes.

use std::{fmt, net::SocketAddr};

/// Why a message can't be sent or read, or a socket can't be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The address can't be bound.
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The library's explanation.
        reason: String,
    },
    /// The peer's queue is full or it isn't connected; the message was dropped.
    Dropped {
        /// The peer's address.
        addr: SocketAddr,
    },
    /// A socket can't be made.
    Socket {
        /// The library's explanation.
        reason: String,
    },
    /// The bytes aren't a message of this format version.
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
            Self::Socket { reason } => write!(f, "can't open a socket: {reason}"),
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
