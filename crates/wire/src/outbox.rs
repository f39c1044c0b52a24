//! Sends messages to peers.

use {
    crate::{
        error::WireError,
        frame,
        peer_sender::{PeerSender, SharedQueueBytes},
        transport::FRAME_BYTES_MAX,
    },
    serde::Serialize,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
    },
    tokio::runtime::Handle,
};

/// Sends messages to peers by their addresses, in tasks of a runtime. Only the control thread uses it,
/// and no method waits for a peer.
#[derive(Debug)]
pub struct Outbox {
    runtime: Handle,
    senders: HashMap<SocketAddr, PeerSender>,
    shared_queue_bytes: SharedQueueBytes,
    dropped: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Outbox {
    /// Returns an outbox without connections, whose tasks run on `runtime`.
    pub fn new(runtime: Handle) -> Self {
        Self {
            runtime,
            senders: HashMap::new(),
            shared_queue_bytes: SharedQueueBytes::new(),
            dropped: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
        }
    }

    /// Queues `message` for the peer at `addr`, and connects to the peer first if needed.
    ///
    /// # Errors
    ///
    /// [`WireError::Dropped`] if the peer's queue is full, [`WireError::TooLong`] if the message is
    /// too long.
    pub fn send<M: Serialize>(&mut self, addr: SocketAddr, message: &M) -> Result<(), WireError> {
        self.send_frame(addr, &frame::encode(message))
    }

    /// Queues an encoded frame for the peer at `addr`, and connects to the peer first if needed.
    ///
    /// # Errors
    ///
    /// [`WireError::Dropped`] if the peer's queue is full, [`WireError::TooLong`] if the frame is too
    /// long.
    pub fn send_frame(&mut self, addr: SocketAddr, bytes: &[u8]) -> Result<(), WireError> {
        self.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let queued = self.queue(addr, bytes);
        if queued.is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        queued
    }

    fn queue(&mut self, addr: SocketAddr, bytes: &[u8]) -> Result<(), WireError> {
        if bytes.len() > FRAME_BYTES_MAX {
            return Err(WireError::TooLong { addr, len_bytes: bytes.len() });
        }
        let is_open = |sender: &PeerSender| !sender.is_closed();
        if !self.senders.get(&addr).is_some_and(is_open) {
            self.senders.retain(|_, sender| is_open(sender));
            self.senders.insert(addr, PeerSender::spawn(&self.runtime, addr));
        }
        let is_queued = self
            .senders
            .get(&addr)
            .is_some_and(|sender| sender.queue(&self.shared_queue_bytes, bytes));
        if is_queued { Ok(()) } else { Err(WireError::Dropped { addr }) }
    }

    /// Drops the connection to `addr` with the messages that are queued for it. The next message opens
    /// a new one. This is for a peer that doesn't receive messages of this process although the
    /// connection wasn't closed.
    pub fn redial(&mut self, addr: SocketAddr) {
        self.senders.remove(&addr);
    }

    /// Total number of messages dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Total bytes of all messages passed to the outbox, dropped ones included.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}
