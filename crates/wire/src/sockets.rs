//! nng sockets of a daemon: one inbox that receives from all peers, and one outgoing socket for each
//! peer.

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

/// Maximum number of messages queued for one peer. Further messages are dropped.
const SEND_QUEUE_LEN: i32 = 128;
/// Shortest delay before nng reconnects to a peer.
const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay before nng reconnects to a peer.
const RECONNECT_DELAY_MAX: Duration = Duration::from_secs(1);
/// Receive timeout, which is the interval at which the receiving thread checks whether to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Receives messages on a thread of its own. Dropping the inbox stops the thread.
#[derive(Debug)]
pub struct Inbox {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Inbox {
    /// Listens on `addr` and passes every message to `on_message`, on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`WireError::Bind`] if the address is taken.
    pub fn bind<M: DeserializeOwned>(
        addr: SocketAddr,
        mut on_message: impl FnMut(M) + Send + 'static,
    ) -> Result<Self, WireError> {
        Self::bind_frames(addr, move |bytes| frame::decode(bytes).map(&mut on_message))
    }

    /// Listens on `addr` and passes the bytes of every frame to `on_frame`, on a thread of its own.
    /// Frames for which `on_frame` returns an error are dropped.
    ///
    /// # Errors
    ///
    /// [`WireError::Bind`] if the address is taken.
    pub fn bind_frames(
        addr: SocketAddr,
        mut on_frame: impl FnMut(&[u8]) -> Result<(), WireError> + Send + 'static,
    ) -> Result<Self, WireError> {
        let bind_error = |err: nng::Error| WireError::Bind { addr, reason: err.to_string() };
        let socket = Socket::new(Protocol::Pull0).map_err(bind_error)?;
        socket.set_opt::<RecvTimeout>(Some(STOP_CHECK_INTERVAL)).map_err(bind_error)?;
        socket.listen(&url(addr)).map_err(bind_error)?;
        let stop = Arc::new(AtomicBool::new(false));
        let thread_stop = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("inbox".to_owned())
            .spawn(move || {
                while !thread_stop.load(Ordering::Relaxed) {
                    match socket.recv() {
                        Ok(msg) => {
                            if let Err(err) = on_frame(msg.as_slice()) {
                                log::debug!("dropped a message from a peer: {err}");
                            }
                        }
                        Err(nng::Error::TimedOut) => {}
                        Err(err) => log::warn!("receiving from peers failed: {err}"),
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

/// Outgoing sockets by peer address. Only the control thread uses them.
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

    /// Queues `message` for the peer at `addr`, and connects to the peer first if needed.
    ///
    /// # Errors
    ///
    /// [`WireError::Dropped`] if the peer isn't connected or its queue is full.
    pub fn send<M: Serialize>(&mut self, addr: SocketAddr, message: &M) -> Result<(), WireError> {
        self.send_frame(addr, &frame::encode(message))
    }

    /// Queues an encoded frame for the peer at `addr`, and connects to the peer first if needed.
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

    /// Drops the connection to `addr`. The next message opens a new one. This is for a peer that
    /// doesn't receive messages of this process although the connection wasn't closed.
    pub fn redial(&mut self, addr: SocketAddr) {
        self.sockets.remove(&addr);
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

fn dial(addr: SocketAddr) -> Result<Socket, WireError> {
    let socket_error = |err: nng::Error| WireError::Socket { reason: err.to_string() };
    let socket = Socket::new(Protocol::Push0).map_err(socket_error)?;
    socket.set_opt::<SendBufferSize>(SEND_QUEUE_LEN).map_err(socket_error)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_DELAY_MIN)).map_err(socket_error)?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_DELAY_MAX)).map_err(socket_error)?;
    socket.dial_async(&url(addr)).map_err(socket_error)?;
    Ok(socket)
}

fn url(addr: SocketAddr) -> String {
    format!("tcp://{addr}")
}
