//! Messages between the system's own processes, and the sockets that carry them.
//!
//! Every process binds one inbox (an nng pull socket) and keeps one push socket for each peer it
//! talks to. Messages are postcard-encoded envelopes with a format version; a message of another
//! version is counted and dropped, so that two versions can run side by side. Sending never blocks:
//! when a peer's queue is full the message is dropped, and every message is one that a later one
//! replaces. The crate doesn't decide whom to talk to or when to dial again.

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
