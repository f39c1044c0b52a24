//! Messages between the daemons of this system, and the connections that carry them.
//!
//! Every process binds one inbox and keeps one connection to each peer to which it sends messages.
//! The connections are pipelines of the Scalability Protocols over TCP: the inbox is a pull socket, to
//! which push sockets connect. They run as tasks of the caller's runtime, so that nothing that a peer
//! does can end the process. Messages are postcard-encoded envelopes with a format version. A message
//! of another version is counted and dropped, so that two versions can run side by side. Sending never
//! blocks: when too much is queued for a peer, the message is dropped. This loses no state for good,
//! because every message is superseded by a later one. The callers of this crate decide to which peers
//! to connect and when to reconnect.

mod envelope;
mod error;
pub mod frame;
mod handshake;
mod inbox;
mod message;
mod outbox;
mod peer_sender;
mod transport;

pub use crate::{
    envelope::Envelope,
    error::WireError,
    frame::FORMAT_VERSION,
    inbox::Inbox,
    message::{Demand, Heartbeat, LoadDigest, Message, PeerId, Residency, Role},
    outbox::Outbox,
};
