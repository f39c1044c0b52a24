//! What traffic tells the control thread at once.

use {
    glade_catalog::ServerKey, glade_dispatch::StartRequest, glade_types::ModelName,
    std::time::Duration,
};

/// Something that traffic has found out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrafficUpdate {
    /// A request waits for a model or adapter that no usable server holds.
    ModelWanted(ModelName),
    /// The coordinator is to find a server for a request.
    StartWanted(StartRequest),
    /// A server has said that it is about to end.
    ServerLeaving(ServerKey),
    /// A server wants nothing from this VM for a time.
    ServerBackoff(ServerKey, Duration),
    /// A server's process is gone: nothing listens at its address, or another server does.
    ServerGone(ServerKey),
}

/// Told of news.
pub type OnTrafficUpdate = Box<dyn Fn(TrafficUpdate)>;
