//! nng sockets: one inbox for all peers, one outgoing socket for each peer.

use {
    crate::{error::WireError, frame},
    nng::{
        Protocol, Socket,
        options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvTimeout, SendBufferSize},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Messages queued for one peer before new ones are dropped.
const SEND_QUEUE_LEN: i32 = 128;
/// Shortest pause before nng dials a peer again.
const RECONNECT_MIN: Duration = Duration::from_millis(100);
/// Longest pause before nng dials a peer again.
const RECONNECT_MAX: Duration = Duration::from_secs(1);
/// How often the receiving thread looks whether it has to stop.
const STOP_CHECK: Duration = Duration::from_millis(200);

/// A running inbox. Dropping it stops its thread.
#[derive(Debug)]
pub struct Inbox {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Inbox {
    /// Listens on `addr` and hands every message to `deliver`, on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`WireError::Bind`] if the address is taken.
    pub fn bind<M: DeserializeOwned>(
        addr: SocketAddr,
        mut deliver: impl FnMut(M) + Send + 'static,
    ) -> Result<Self, WireError> {
        Self::bind_frames(addr, move |bytes| frame::decode(bytes).map(&mut deliver))
    }

    /// Listens on `addr` and hands the bytes of every frame to `take`, on a thread of its own. What
    /// `take` can't decode is dropped.
    ///
    /// # Errors
    ///
    /// [`WireError::Bind`] if the address is taken.
    pub fn bind_frames(
        addr: SocketAddr,
        mut take: impl FnMut(&[u8]) -> Result<(), WireError> + Send + 'static,
    ) -> Result<Self, WireError> {
        let failed = |err: nng::Error| WireError::Bind { addr, reason: err.to_string() };
        let socket = Socket::new(Protocol::Pull0).map_err(failed)?;
        socket.set_opt::<RecvTimeout>(Some(STOP_CHECK)).map_err(failed)?;
        socket.listen(&url(addr)).map_err(failed)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("inbox".to_owned())
            .spawn(move || {
                while !stopped.load(Ordering::Relaxed) {
                    match socket.recv() {
                        Ok(msg) => {
                            if let Err(err) = take(msg.as_slice()) {
                                log::debug!("peer message dropped: {err}");
                            }
                        }
                        Err(nng::Error::TimedOut) => {}
                        Err(err) => log::warn!("inbox: {err}"),
                    }
                }
            })
            .map_err(|err| WireError::Socket { reason: err.to_string() })?;
        Ok(Self { stop, thread: Some(thread) })
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Outgoing sockets by peer address. Used by the control thread alone.
#[derive(Debug, Default)]
pub struct Outbox {
    sockets: HashMap<SocketAddr, Socket>,
    dropped: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Outbox {
    /// Returns an outbox without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues `message` for the peer at `addr`, dialling it first if needed.
    ///
    /// # Errors
    ///
    /// [`WireError::Dropped`] if the peer isn't connected or its queue is full.
    pub fn send<M: Serialize>(&mut self, addr: SocketAddr, message: &M) -> Result<(), WireError> {
        self.send_frame(addr, &frame::encode(message))
    }

    /// Queues an encoded message for the peer at `addr`, dialling it first if needed.
    ///
    /// # Errors
    ///
    /// [`WireError::Dropped`] if the peer isn't connected or its queue is full.
    pub fn send_frame(&mut self, addr: SocketAddr, bytes: &[u8]) -> Result<(), WireError> {
        self.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        let socket = match self.sockets.entry(addr) {
            std::collections::hash_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::hash_map::Entry::Vacant(entry) => entry.insert(dial(addr)?),
        };
        socket.try_send(bytes).map_err(|_| {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            WireError::Dropped { addr }
        })
    }

    /// Drops the connection to `addr`; the next message dials it again. Used when the peer doesn't
    /// hear this process although nothing was closed.
    pub fn redial(&mut self, addr: SocketAddr) {
        self.sockets.remove(&addr);
    }

    /// Messages dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Bytes of all messages offered so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}

fn dial(addr: SocketAddr) -> Result<Socket, WireError> {
    let failed = |err: nng::Error| WireError::Socket { reason: err.to_string() };
    let socket = Socket::new(Protocol::Push0).map_err(failed)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_LEN).map_err(failed)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN)).map_err(failed)?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX)).map_err(failed)?;
    socket.dial_async(&url(addr)).map_err(failed)?;
    Ok(socket)
}

fn url(addr: SocketAddr) -> String {
    format!("tcp://{addr}")
}
