//! The reasons why an attempt has no usable answer, and what each of them proves.

use {glade_http::HttpError, glade_types::CallOutcome, hyper::StatusCode};

/// Why an attempt has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// The connection couldn't be opened, for example because the attempt to open it timed out.
    NotConnected,
    /// Nothing listens at the server's address.
    Down,
    /// The connection closed before any byte of the request was sent.
    NotSent,
    /// The server made no reservation for the request, or didn't confirm one in time. The request
    /// wasn't sent.
    NotReserved,
    /// The server states that it didn't run the request.
    Refused(StatusCode),
    /// The server doesn't hold the model.
    NotHeld,
    /// The address belongs to another server now.
    OtherServer,
    /// The server answered with a server error, or with the status of a refusal that doesn't state that
    /// the request wasn't run.
    Failed,
    /// The connection broke, or the answer ended early.
    Broken,
    /// The answer isn't a valid answer to this request: it names another request, isn't signed,
    /// isn't a stream of consecutive events, or is too long.
    Foreign,
    /// The stream ended properly without an event, which doesn't prove that none is missing.
    Empty,
    /// A refusal that names no request came on a connection that has carried other requests. It may
    /// be an earlier refusal, written once more, so it proves nothing about this request.
    UnprovenRefusal,
    /// No answer, or no further part of one, arrived in time.
    Silent,
    /// The attempt was given up before its answer began, because parts of its prompt were quarantined.
    Quarantined,
    /// The request's key was revoked before the request was sent.
    KeyRevoked,
}

impl AttemptFailure {
    /// False if the request is proved not to have run.
    pub(crate) fn may_have_run(self) -> bool {
        match self {
            Self::NotConnected
            | Self::Down
            | Self::NotSent
            | Self::NotReserved
            | Self::Refused(_)
            | Self::NotHeld
            | Self::OtherServer
            | Self::KeyRevoked => false,
            Self::Failed
            | Self::Broken
            | Self::Foreign
            | Self::Empty
            | Self::UnprovenRefusal
            | Self::Silent
            | Self::Quarantined => true,
        }
    }

    /// False if the answer may have been meant for another request.
    pub(crate) fn is_own_answer(self) -> bool {
        !matches!(self, Self::Foreign | Self::UnprovenRefusal)
    }

    /// True if no part of the request reached a server.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(
            self,
            Self::NotConnected | Self::Down | Self::NotSent | Self::NotReserved | Self::KeyRevoked
        )
    }

    /// True if the server's process is proved to be gone.
    pub(crate) fn proves_gone(self) -> bool {
        matches!(self, Self::Down | Self::OtherServer)
    }

    /// Weight of the failure when the failure rates of servers are compared. Silence costs callers
    /// most. A connection that the server closed while it was idle, or a model that was just
    /// dropped, says nothing against the server.
    pub(crate) fn weight(self) -> u32 {
        match self {
            Self::NotSent | Self::NotHeld | Self::Quarantined | Self::KeyRevoked => 0,
            Self::NotReserved | Self::Refused(_) | Self::Failed | Self::Empty => 1,
            Self::Broken | Self::Foreign | Self::UnprovenRefusal => 2,
            Self::NotConnected | Self::Down | Self::OtherServer | Self::Silent => 3,
        }
    }

    /// True if the server's idle connections are probably dead too, or may carry earlier answers.
    pub(crate) fn invalidates_connections(self) -> bool {
        match self {
            Self::NotSent
            | Self::Down
            | Self::OtherServer
            | Self::Broken
            | Self::UnprovenRefusal
            | Self::Silent => true,
            Self::NotConnected
            | Self::NotReserved
            | Self::Refused(_)
            | Self::NotHeld
            | Self::Failed
            | Self::Foreign
            | Self::Empty
            | Self::Quarantined
            | Self::KeyRevoked => false,
        }
    }

    /// Short name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::Down => "down",
            Self::NotSent => "not_sent",
            Self::NotReserved => "not_reserved",
            Self::Refused(_) => "refused",
            Self::NotHeld => "not_held",
            Self::OtherServer => "other_server",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::Empty => "empty",
            Self::UnprovenRefusal => "unproven_refusal",
            Self::Silent => "silent",
            Self::Quarantined => "quarantined",
            Self::KeyRevoked => "key_revoked",
        }
    }
}

impl From<HttpError> for AttemptFailure {
    fn from(err: HttpError) -> Self {
        match err {
            HttpError::NotConnected { .. } => Self::NotConnected,
            HttpError::Refused { .. } => Self::Down,
            HttpError::NotSent { .. } => Self::NotSent,
            HttpError::TimedOut { .. } => Self::Silent,
            HttpError::Broken { .. } | HttpError::Malformed { .. } | HttpError::Status { .. } => {
                debug_assert!(err.outcome() != CallOutcome::NotRun, "{err}");
                Self::Broken
            }
        }
    }
}
