//! Sends messages to one peer, and connects to it again when the connection breaks.

use {
    crate::{
        handshake::PipelineEnd,
        transport::{FRAME_HEADER_BYTES, IDLE_TIMEOUT_SENDER},
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::Handle,
        sync::{
            OwnedSemaphorePermit, Semaphore,
            mpsc::{Receiver, Sender, channel},
        },
        task::AbortHandle,
        time::{sleep, timeout},
    },
};

/// Most messages queued for one peer. Further messages are dropped.
const QUEUE_LEN_MAX: usize = 128;
/// Bytes that may be queued for a peer whatever is queued for others.
const RESERVED_QUEUE_BYTES: usize = 64 << 10;
/// Most bytes queued for all peers beyond what is reserved for each, so that many peers that don't
/// receive can't take all memory.
const SHARED_QUEUE_BYTES_MAX: usize = 16 << 20;
/// Time limit for a connection to be established: a SYN that was lost is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest delay before another attempt to connect.
const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay before another attempt to connect.
const RECONNECT_DELAY_MAX: Duration = Duration::from_secs(1);
/// Time limit for writing one frame. A peer that reads nothing for so long is as good as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that may still be queued for all peers, beyond what is reserved for each.
#[derive(Clone, Debug)]
pub(crate) struct SharedQueueBytes {
    left: Arc<Semaphore>,
}

impl SharedQueueBytes {
    pub(crate) fn new() -> Self {
        Self { left: Arc::new(Semaphore::new(SHARED_QUEUE_BYTES_MAX)) }
    }
}

/// A frame with its header, which counts as queued until it is dropped.
#[derive(Debug)]
struct QueuedFrame {
    bytes: Vec<u8>,
    _permit: OwnedSemaphorePermit,
}

/// A queue of messages to one peer and the task that sends them. Dropping the sender closes the
/// connection.
#[derive(Debug)]
pub(crate) struct PeerSender {
    queue: Sender<QueuedFrame>,
    reserved_bytes_left: Arc<Semaphore>,
    task: AbortHandle,
}

impl PeerSender {
    /// Starts a task on `runtime` that connects to `addr` and sends what is queued.
    pub(crate) fn spawn(runtime: &Handle, addr: SocketAddr) -> Self {
        let (queue, frames) = channel(QUEUE_LEN_MAX);
        let task = runtime.spawn(Connector { addr, frames }.run());
        let reserved_bytes_left = Arc::new(Semaphore::new(RESERVED_QUEUE_BYTES));
        Self { queue, reserved_bytes_left, task: task.abort_handle() }
    }

    /// True if the task has ended, because nothing was sent for [`IDLE_TIMEOUT_SENDER`].
    pub(crate) fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }

    /// Queues `frame`, and returns whether there was room for it.
    pub(crate) fn queue(&self, shared: &SharedQueueBytes, frame: &[u8]) -> bool {
        let Ok(len) = u32::try_from(frame.len()) else { return false };
        let reserved = Arc::clone(&self.reserved_bytes_left).try_acquire_many_owned(len);
        let permit = reserved.or_else(|_| Arc::clone(&shared.left).try_acquire_many_owned(len));
        let Ok(permit) = permit else { return false };
        let Ok(slot) = self.queue.try_reserve() else { return false };
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + frame.len());
        bytes.extend_from_slice(&(frame.len() as u64).to_be_bytes());
        bytes.extend_from_slice(frame);
        slot.send(QueuedFrame { bytes, _permit: permit });
        true
    }
}

impl Drop for PeerSender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a connection was left without a failure.
enum Ended {
    /// The peer has closed it.
    ByPeer,
    /// Nothing was queued for [`IDLE_TIMEOUT_SENDER`], or the sender was dropped.
    Unused,
}

/// The sending task, between connections.
struct Connector {
    addr: SocketAddr,
    frames: Receiver<QueuedFrame>,
}

impl Connector {
    /// Connects and sends until nothing is queued, or no connection comes about, for
    /// [`IDLE_TIMEOUT_SENDER`].
    async fn run(mut self) {
        while let Ok(stream) = timeout(IDLE_TIMEOUT_SENDER, self.connect()).await {
            match self.send_over(stream).await {
                Ok(Ended::Unused) => return,
                Ok(Ended::ByPeer) => log::debug!("peer {} closed the connection", self.addr),
                Err(err) => log::debug!("connection to peer {} failed: {err}", self.addr),
            }
            sleep(RECONNECT_DELAY_MIN).await;
        }
    }

    /// Attempts to connect until it succeeds.
    async fn connect(&self) -> TcpStream {
        let mut delay = RECONNECT_DELAY_MIN;
        loop {
            match self.attempt_connection().await {
                Ok(stream) => return stream,
                Err(err) => log::debug!("can't connect to peer {}: {err}", self.addr),
            }
            sleep(delay).await;
            delay = (delay * 2).min(RECONNECT_DELAY_MAX);
        }
    }

    async fn attempt_connection(&self) -> io::Result<TcpStream> {
        let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await??;
        stream.set_nodelay(true)?;
        PipelineEnd::Push.shake_hands(&mut stream).await?;
        Ok(stream)
    }

    /// Sends what is queued. A frame that the connection's end cuts is lost.
    async fn send_over(&mut self, stream: TcpStream) -> io::Result<Ended> {
        let (mut reader, mut writer) = stream.into_split();
        // A pull socket sends nothing, so that any outcome of a read is the connection's end.
        let mut byte = [0];
        let mut closed = std::pin::pin!(reader.read(&mut byte));
        loop {
            let frame = tokio::select! {
                closed = &mut closed => return closed.map(|_| Ended::ByPeer),
                frame = timeout(IDLE_TIMEOUT_SENDER, self.frames.recv()) => frame,
            };
            let Ok(Some(frame)) = frame else {
                self.frames.close();
                return Ok(Ended::Unused);
            };
            tokio::select! {
                written = timeout(WRITE_TIMEOUT, writer.write_all(&frame.bytes)) => written??,
                closed = &mut closed => return closed.map(|_| Ended::ByPeer),
            }
        }
    }
}
