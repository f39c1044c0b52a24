//! Errors of the messages and sockets between processes.

use std::{fmt, net::SocketAddr};

/// Reason for which a message can't be sent or decoded, or a socket can't be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// Listening on the address failed.
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Error text from nng.
        reason: String,
    },
    /// The message was dropped because the peer isn't connected or its send queue is full.
    Dropped {
        /// The peer's address.
        addr: SocketAddr,
    },
    /// A socket or its thread can't be created.
    Socket {
        /// Error text from nng.
        reason: String,
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
