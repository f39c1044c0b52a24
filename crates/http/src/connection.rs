//! One connection to one server.

use {
    crate::error::HttpError,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::AbortHandle, time::timeout},
};

/// Idle time after which the kernel probes whether the other end is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Pause between such probes, and before a connection without an answer to them is given up.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer before the connection is given up: it then was silent for 3 s.
const KEEPALIVE_PROBES: u32 = 2;
/// Largest head of an answer, and most bytes of its body that are read ahead.
const READ_AHEAD_BYTES_MAX: usize = 64 << 10;
/// Time after which sent bytes that weren't acknowledged end the connection.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(3);

/// An open connection that carries one exchange at a time. Dropping it closes it at once, also
/// while an exchange is under way.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Lets the kernel notice that the other end has gone silent, which no byte would tell.
///
/// # Errors
///
/// The socket is closed already.
pub fn notice_silence(stream: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

impl Connection {
    /// Connects to `addr`. The connection is driven by a task of its own until either side closes.
    ///
    /// # Errors
    ///
    /// [`HttpError::Refused`], or [`HttpError::NotConnected`], also when `within` passes first.
    pub async fn open(addr: SocketAddr, within: Duration) -> Result<Self, HttpError> {
        let refused = |reason: String| HttpError::NotConnected { addr, reason };
        let stream = timeout(within, TcpStream::connect(addr))
            .await
            .map_err(|_| refused("timed out".to_owned()))?
            .map_err(|err| match err.kind() {
                io::ErrorKind::ConnectionRefused => HttpError::Refused { addr },
                _ => refused(err.to_string()),
            })?;
        stream.set_nodelay(true).map_err(|err| refused(err.to_string()))?;
        notice_silence(&stream).map_err(|err| refused(err.to_string()))?;
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(READ_AHEAD_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|err| refused(err.to_string()))?;
        let driver = tokio::spawn(async move {
            // The exchange under way reports the failure; the driver has nobody else to tell.
            let _ = driver.await;
        });
        Ok(Self { addr, sender, driver: driver.abort_handle() })
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// True if another exchange can be started at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until another exchange can be started.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), HttpError> {
        let addr = self.addr;
        let not_sent = |err: hyper::Error| HttpError::NotSent { addr, reason: err.to_string() };
        self.sender.ready().await.map_err(not_sent)
    }

    /// Sends `req` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] if no byte of the request left. After [`HttpError::Broken`] and
    /// [`HttpError::TimedOut`] the request may have run.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let addr = self.addr;
        let exchange = async {
            self.ready().await?;
            let not_sent = |reason: String| HttpError::NotSent { addr, reason };
            self.sender.try_send_request(req).await.map_err(|mut err| {
                let returned = err.take_message().is_some();
                let reason = err.into_error().to_string();
                if returned { not_sent(reason) } else { HttpError::Broken { addr, reason } }
            })
        };
        timeout(within, exchange).await.unwrap_or(Err(HttpError::TimedOut { addr }))
    }
}
