//! Messages between the daemons of this system, and the nng sockets that carry them.
//!
//! Every process binds one inbox (an nng pull socket) and keeps one push socket for each peer to which
//! it sends messages. Messages are postcard-encoded envelopes with a format version. A message of
//! another version is counted and dropped, so that two versions can run side by side. Sending never
//! blocks: when a peer's send queue is full, the message is dropped. This loses no state for good,
//! because every message is superseded by a later one. The callers of this crate decide to which peers
//! to connect and when to reconnect.

mod envelope;
mod error;
pub mod frame;
mod message;
mod sockets;

pub use crate::{
    envelope::Envelope,
    error::WireError,
    frame::FORMAT_VERSION,
    message::{Demand, Heartbeat, LoadDigest, Message, PeerId, Residency, Role},
    sockets::{Inbox, Outbox},
};
