//! Errors of the command line and their exit codes.

use std::{fmt, process::ExitCode};

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CliError {
    /// The command's own input is wrong: exit code 2.
    Usage { reason: String },
    /// Something on this machine failed: exit code 1.
    Local { reason: String },
    /// No VM answered: exit code 3.
    Unreachable { reasons: Vec<String> },
    /// The system refused: exit code 4.
    Refused { reason: String },
    /// Another edit came first: exit code 5.
    Conflict { reason: String },
    /// The outcome isn't known, or not every VM confirmed: exit code 6.
    Unconfirmed { reason: String },
}

impl CliError {
    /// The exit code that scripts tell failures apart by.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Local { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Unreachable { .. } => 3,
            Self::Refused { .. } => 4,
            Self::Conflict { .. } => 5,
            Self::Unconfirmed { .. } => 6,
        })
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage { reason }
            | Self::Local { reason }
            | Self::Refused { reason }
            | Self::Conflict { reason }
            | Self::Unconfirmed { reason } => f.write_str(reason),
            Self::Unreachable { reasons } => write!(f, "no VM answered: {}", reasons.join("; ")),
        }
    }
}

impl std::error::Error for CliError {}
