//! Errors of HTTP client requests, classified by whether the request can have run on the server.

use {
    glade_types::CallOutcome,
    std::{fmt, net::SocketAddr},
};

/// Why a request has no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection could be established, so no byte of the request was sent.
    NotConnected {
        /// Address that was dialled.
        addr: SocketAddr,
        /// Error message of the operating system.
        reason: String,
    },
    /// Nothing listens at the address, so no byte of the request was sent.
    Refused {
        /// Address that was dialled.
        addr: SocketAddr,
    },
    /// The connection was closed before any byte of the request was sent.
    NotSent {
        /// Address of the server.
        addr: SocketAddr,
        /// Error message of the HTTP library.
        reason: String,
    },
    /// The connection broke after at least part of the request may have been sent.
    Broken {
        /// Address of the server.
        addr: SocketAddr,
        /// Error message of the HTTP library.
        reason: String,
    },
    /// No response arrived within the time limit. The request may have run.
    TimedOut {
        /// Address of the server.
        addr: SocketAddr,
    },
    /// The server responded with a status code that indicates failure.
    Status {
        /// Address of the server.
        addr: SocketAddr,
        /// The status code.
        status: u16,
        /// Start of the response body.
        reason: String,
    },
    /// The response violates the protocol.
    Malformed {
        /// Address of the server.
        addr: SocketAddr,
        /// Description of the violation.
        reason: String,
    },
}

impl HttpError {
    /// Returns whether the failure proves that the request ran, proves that it didn't, or leaves it unknown.
    pub fn outcome(&self) -> CallOutcome {
        match self {
            Self::NotConnected { .. } | Self::Refused { .. } | Self::NotSent { .. } => {
                CallOutcome::NotRun
            }
            Self::Status { .. } => CallOutcome::Answered,
            Self::Broken { .. } | Self::TimedOut { .. } | Self::Malformed { .. } => {
                CallOutcome::Unknown
            }
        }
    }
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected { addr, reason } => write!(f, "can't connect to {addr}: {reason}"),
            Self::Refused { addr } => write!(f, "nothing listens at {addr}"),
            Self::NotSent { addr, reason } => {
                write!(f, "connection to {addr} was closed before use: {reason}")
            }
            Self::Broken { addr, reason } => write!(f, "connection to {addr} broke: {reason}"),
            Self::TimedOut { addr } => write!(f, "no answer from {addr} in time"),
            Self::Status { addr, status, reason } => {
                write!(f, "{addr} answered status {status}: {reason}")
            }
            Self::Malformed { addr, reason } => write!(f, "bad answer from {addr}: {reason}"),
        }
    }
}

impl std::error::Error for HttpError {}
