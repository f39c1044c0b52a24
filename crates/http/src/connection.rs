//! One HTTP/1.1 client connection, with keepalive settings that detect a dead server within seconds.

use {
    crate::{
        error::HttpError,
        interim_limit::{InterimCounter, InterimLimitedStream},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{error::Error, io, net::SocketAddr, ops::RangeInclusive, time::Duration},
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// Idle time after which the kernel sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes, and between the last unanswered probe and the closing of the
/// connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is closed. The peer has then been silent for 3 s.
const KEEPALIVE_PROBES: u32 = 2;
/// Size limit of the read buffer: the largest response head, and the most bytes of a response body that
/// are read ahead.
const READ_BUFFER_BYTES_MAX: usize = 64 << 10;
/// Time after which the kernel closes a connection with sent but unacknowledged bytes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Status codes that a final response can have (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// An open connection that carries one request at a time. Dropping a `Connection` closes it at once,
/// even while a request is in flight.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    interim_counter: InterimCounter,
    /// Whether a request was sent on it.
    is_used: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Enables TCP keepalive and the TCP user timeout, so that the kernel closes the connection when the
/// peer stops responding without closing it.
///
/// # Errors
///
/// Fails if the socket is already closed.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// The message of `err` with that of its cause.
fn reason(err: &hyper::Error) -> String {
    err.source().map_or_else(|| err.to_string(), |source| format!("{err}: {source}"))
}

impl Connection {
    /// Connects to `addr`. A separate task drives the connection until either side closes it.
    ///
    /// # Errors
    ///
    /// [`HttpError::Refused`] if nothing listens at `addr`; [`HttpError::NotConnected`] on any other
    /// failure, including when the connection isn't established within `time_limit`.
    pub async fn open(addr: SocketAddr, time_limit: Duration) -> Result<Self, HttpError> {
        let not_connected = |reason: String| HttpError::NotConnected { addr, reason };
        let stream = timeout(time_limit, TcpStream::connect(addr))
            .await
            .map_err(|_| not_connected("timed out".to_owned()))?
            .map_err(|err| match err.kind() {
                io::ErrorKind::ConnectionRefused => HttpError::Refused { addr },
                _ => not_connected(err.to_string()),
            })?;
        stream.set_nodelay(true).map_err(|err| not_connected(err.to_string()))?;
        enable_dead_peer_detection(&stream).map_err(|err| not_connected(err.to_string()))?;
        let interim_counter = InterimCounter::default();
        let stream = InterimLimitedStream::new(stream, interim_counter.clone());
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_connected(err.to_string()))?;
        let driver = tokio::spawn(async move {
            // The request in flight returns the failure, so the driver task's own result isn't needed.
            let _ = driver.await;
        });
        let driver = driver.abort_handle();
        Ok(Self { addr, sender, driver, interim_counter, is_used: false })
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns true if a request was sent on the connection. A response on an unused connection can't
    /// belong to an earlier request.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Returns true if another request can be sent at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until another request can be sent.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), HttpError> {
        let addr = self.addr;
        let not_sent = |err: hyper::Error| HttpError::NotSent { addr, reason: err.to_string() };
        self.sender.ready().await.map_err(not_sent)
    }

    /// Sends `req` and waits up to `time_limit` for the head of the response.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] if no byte of the request was sent. After [`HttpError::Broken`], also of a server that
    /// sends interim answers without end, [`HttpError::TimedOut`] and [`HttpError::Malformed`] the request may have
    /// run.
    pub async fn send(
        &mut self,
        mut req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let addr = self.addr;
        self.is_used = true;
        self.interim_counter.attach(&mut req);
        let exchange = async {
            self.ready().await?;
            let not_sent = |reason: String| HttpError::NotSent { addr, reason };
            self.sender.try_send_request(req).await.map_err(|mut err| {
                let is_unsent = err.take_message().is_some();
                let reason = reason(&err.into_error());
                if is_unsent { not_sent(reason) } else { HttpError::Broken { addr, reason } }
            })
        };
        let head =
            timeout(time_limit, exchange).await.unwrap_or(Err(HttpError::TimedOut { addr }))?;
        check_status(addr, head.status())?;
        Ok(head)
    }
}

/// Checks that `status` is one that HTTP defines for final responses. The HTTP library accepts any from 100 to 999,
/// and 101 although no request asks for another protocol.
fn check_status(addr: SocketAddr, status: StatusCode) -> Result<(), HttpError> {
    let is_final = FINAL_STATUSES.contains(&status.as_u16());
    let reason = || format!("status {}", status.as_u16());
    if is_final { Ok(()) } else { Err(HttpError::Malformed { addr, reason: reason() }) }
}
