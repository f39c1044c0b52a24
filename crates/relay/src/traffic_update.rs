//! Updates that the traffic thread sends to the control thread immediately.

use {
    glade_catalog::{ServerKey, WantedModel},
    glade_dispatch::StartRequest,
    glade_limit::{LimitReport, PermitWish, QuotaAsk},
    glade_quarantine::LostAttempt,
    glade_streams::StreamQuestion,
    std::time::Duration,
};

/// An observation or request of the traffic thread.
#[derive(Clone, Debug, PartialEq)]
pub enum TrafficUpdate {
    /// A request waits for a model or adapter that no usable server holds which may run it.
    ModelWanted(WantedModel),
    /// The coordinator should choose a server for a request.
    StartWanted(StartRequest),
    /// A server has announced that it is about to exit.
    ServerLeaving(ServerKey),
    /// A server accepts no requests from this VM for the given time.
    ServerBackoff(ServerKey, Duration),
    /// A server's process is gone: nothing listens at its address, or another server does.
    ServerGone(ServerKey),
    /// An attempt broke before its answer had begun, or just after.
    AttemptLost(LostAttempt),
    /// Requests with these suspected parts of prompts were answered.
    PartsServed(Vec<u64>),
    /// A request would be sent as the trial of the quarantined combination of parts with this key.
    TrialWanted(u64),
    /// An answer has told something about the rate limit that its server names.
    LimitStated(ServerKey, LimitReport),
    /// All permits that requests of this VM want.
    PermitsWanted(Vec<PermitWish>),
    /// What this VM's requests need of the quotas of teams, and what they haven't used.
    QuotaWanted(Vec<QuotaAsk>),
    /// A stream has begun, or goes on, at the software version with this hash.
    StreamBegun {
        /// Hash of the request that brought its first event.
        stream: u64,
        /// Hash of the version.
        version: u32,
    },
    /// The request with this number needs to know which software version began a stream.
    OriginWanted(u32, StreamQuestion),
}

/// Called with each update.
pub type OnTrafficUpdate = Box<dyn Fn(TrafficUpdate)>;
