//! Result of a dispatch decision.

use {
    crate::server::ServerIdx,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Why a request is refused. A refused request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No usable server of the service is known.
    NoServer,
    /// No usable server holds the model.
    NotResident,
    /// Every server that could take it is too busy.
    Overloaded,
    /// This VM is about to end, and the request would take longer.
    Leaving,
    /// The prompt holds parts that crash engines.
    Quarantined,
    /// Every server that could take it names a limit, which is used up.
    Limited,
    /// The configuration no longer has the key that the request carries. Only the node of the caller
    /// refuses with it.
    KeyRevoked,
    /// No usable server of the software version that began the stream holds the model. Only the node of
    /// the caller refuses with it.
    VersionUnavailable,
    /// It isn't known which software version began the stream. Only the node of the caller refuses with
    /// it.
    VersionUnknown,
}

impl Refusal {
    /// Short name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::NotResident => "not_resident",
            Self::Overloaded => "overloaded",
            Self::Leaving => "leaving",
            Self::Quarantined => "quarantined",
            Self::Limited => "limited",
            Self::KeyRevoked => "key_revoked",
            Self::VersionUnavailable => "version_unavailable",
            Self::VersionUnknown => "version_unknown",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoServer => "no server of the service is available",
            Self::NotResident => "the model isn't loaded at present",
            Self::Overloaded => "all servers are busy",
            Self::Leaving => "this VM is about to end",
            Self::Quarantined => "the prompt holds parts that crash engines",
            Self::Limited => "the limits that servers name are used up",
            Self::KeyRevoked => "the key is no longer valid",
            Self::VersionUnavailable => "no server can continue the stream of its software version",
            Self::VersionUnknown => "the software version that began the stream isn't known",
        })
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the request to this server.
    Send(ServerIdx),
    /// Queue the request until the cluster state changes.
    Wait {
        /// The model or adapter is on no usable server.
        missing: bool,
    },
    /// Refuse the request now.
    Refuse {
        /// The reason.
        reason: Refusal,
        /// Expected time until the request can be taken.
        retry_after: Duration,
    },
}
