//! Receives messages from all peers.

use {
    crate::{
        error::WireError,
        frame,
        handshake::PipelineEnd,
        transport::{FRAME_BYTES_MAX, FRAME_HEADER_BYTES, IDLE_TIMEOUT_RECEIVER},
    },
    serde::de::DeserializeOwned,
    std::{collections::VecDeque, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, BufReader},
        net::{TcpListener, TcpSocket, TcpStream},
        runtime::Handle,
        sync::Semaphore,
        task::{AbortHandle, JoinError, JoinSet},
        time::{sleep, timeout},
    },
};

/// Connections that wait to be accepted. All peers may connect at once.
const BACKLOG: u32 = 1024;
/// Most connections, well below the descriptors that a process usually has. A further one replaces the
/// oldest, which its peer opens again if it still needs it.
const CONNECTIONS_MAX: usize = 512;
/// Pause after accepting a connection failed, which usually means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a connection that are read ahead, so that a small frame takes one read.
const READ_AHEAD_BYTES: usize = 2 << 10;
/// Frames of more than [`LARGE_FRAME_BYTES`] that are received at a time, over all connections. They
/// bound the memory that peers can claim.
const LARGE_FRAMES_MAX: usize = 8;
/// Size above which a frame is a large one.
const LARGE_FRAME_BYTES: usize = 64 << 10;
/// Time limit for a frame's header, and for the rest of the frame once there is room for it.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for further bytes of a frame, so that peers that stop in the middle of large frames don't
/// keep others from sending theirs.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Receives messages in tasks of a runtime. Dropping the inbox closes its connections.
#[derive(Debug)]
pub struct Inbox {
    task: AbortHandle,
}

/// What the tasks of an inbox share.
struct Receiver<F> {
    on_frame: F,
    large_frames: Semaphore,
}

impl Inbox {
    /// Listens on `addr` and passes every message to `on_message`, in tasks of `runtime`.
    ///
    /// # Errors
    ///
    /// [`WireError::Bind`] if the address is taken.
    pub fn bind<M: DeserializeOwned + 'static>(
        runtime: &Handle,
        addr: SocketAddr,
        on_message: impl Fn(M) + Send + Sync + 'static,
    ) -> Result<Self, WireError> {
        Self::bind_frames(runtime, addr, move |bytes| frame::decode(bytes).map(&on_message))
    }

    /// Listens on `addr` and passes the bytes of every frame to `on_frame`, in tasks of `runtime`.
    /// Frames for which `on_frame` returns an error are dropped.
    ///
    /// # Errors
    ///
    /// [`WireError::Bind`] if the address is taken.
    pub fn bind_frames(
        runtime: &Handle,
        addr: SocketAddr,
        on_frame: impl Fn(&[u8]) -> Result<(), WireError> + Send + Sync + 'static,
    ) -> Result<Self, WireError> {
        let listener = {
            let _context = runtime.enter();
            listen(addr).map_err(|err| WireError::Bind { addr, reason: err.to_string() })?
        };
        let large_frames = Semaphore::new(LARGE_FRAMES_MAX);
        let receiver = Arc::new(Receiver { on_frame, large_frames });
        let task = runtime.spawn(accept(listener, receiver));
        Ok(Self { task: task.abort_handle() })
    }
}

impl Drop for Inbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until the task is aborted, which closes them all.
async fn accept<F>(listener: TcpListener, receiver: Arc<Receiver<F>>)
where
    F: Fn(&[u8]) -> Result<(), WireError> + Send + Sync + 'static,
{
    let mut connections = JoinSet::new();
    let mut oldest_first: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(ended) = connections.join_next() => {
                if let Some(err) = ended.err().filter(JoinError::is_panic) {
                    log::error!("a connection of a peer was given up: {err}");
                }
                oldest_first.retain(|connection| !connection.is_finished());
                continue;
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                if oldest_first.len() >= CONNECTIONS_MAX
                    && let Some(oldest) = oldest_first.pop_front()
                {
                    log::warn!("closed the oldest of {CONNECTIONS_MAX} connections of peers");
                    oldest.abort();
                }
                let receiver = Arc::clone(&receiver);
                oldest_first.push_back(connections.spawn(async move {
                    if let Err(err) = receiver.receive(stream).await {
                        log::debug!("connection of peer {peer} ended: {err}");
                    }
                }));
            }
            Err(err) => {
                log::warn!("can't accept a connection of a peer: {err}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl<F: Fn(&[u8]) -> Result<(), WireError>> Receiver<F> {
    /// Receives the frames of one connection until the peer closes it.
    ///
    /// # Errors
    ///
    /// The connection breaks or falls silent, or the peer violates the protocol.
    async fn receive(&self, mut stream: TcpStream) -> io::Result<()> {
        PipelineEnd::Pull.shake_hands(&mut stream).await?;
        let mut reader = BufReader::with_capacity(READ_AHEAD_BYTES, stream);
        let mut frame = Vec::new();
        loop {
            let mut header = [0; FRAME_HEADER_BYTES];
            // The first byte may take long; the rest of the frame may not.
            if timeout(IDLE_TIMEOUT_RECEIVER, reader.read(&mut header[..1])).await?? == 0 {
                return Ok(());
            }
            timeout(FRAME_TIMEOUT, reader.read_exact(&mut header[1..])).await??;
            self.receive_body(&mut reader, u64::from_be_bytes(header), &mut frame).await?;
            if let Err(err) = (self.on_frame)(&frame) {
                log::debug!("dropped a message from a peer: {err}");
            }
            frame.clear();
            frame.shrink_to(READ_AHEAD_BYTES);
        }
    }

    /// Receives the `len` bytes that follow a header into `frame`.
    async fn receive_body(
        &self,
        reader: &mut (impl AsyncRead + Unpin),
        len: u64,
        frame: &mut Vec<u8>,
    ) -> io::Result<()> {
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        if len > FRAME_BYTES_MAX {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "frame is too long"));
        }
        let is_large = len > LARGE_FRAME_BYTES;
        let _permit = if is_large { self.large_frames.acquire().await.ok() } else { None };
        // The buffer grows with the bytes that arrive, not with the length that the peer announces.
        let mut body = reader.take(len as u64);
        let receive = async {
            while frame.len() < len {
                if timeout(STALL_TIMEOUT, body.read_buf(frame)).await?? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            Ok(())
        };
        timeout(FRAME_TIMEOUT, receive).await?
    }
}
