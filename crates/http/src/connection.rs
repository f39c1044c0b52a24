//! One connection to one server.

use {
    crate::error::HttpError,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// An open connection that carries one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    addr: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to `addr`. The connection is driven by a task of its own until either side closes.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotConnected`], also when `within` passes first.
    pub async fn open(addr: SocketAddr, within: Duration) -> Result<Self, HttpError> {
        let refused = |reason: String| HttpError::NotConnected { addr, reason };
        let stream = timeout(within, TcpStream::connect(addr))
            .await
            .map_err(|_| refused("timed out".to_owned()))?
            .map_err(|err| refused(err.to_string()))?;
        stream.set_nodelay(true).map_err(|err| refused(err.to_string()))?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|err| refused(err.to_string()))?;
        tokio::spawn(async move {
            // The exchange under way reports the failure; the driver has nobody else to tell.
            let _ = driver.await;
        });
        Ok(Self { addr, sender })
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// True if another exchange can be started at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends `req` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`HttpError::Broken`] or [`HttpError::TimedOut`]; either way the request may have run.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        within: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        let addr = self.addr;
        let exchange = async {
            self.sender.ready().await?;
            self.sender.send_request(req).await
        };
        timeout(within, exchange)
            .await
            .map_err(|_| HttpError::TimedOut { addr })?
            .map_err(|err| HttpError::Broken { addr, reason: err.to_string() })
    }
}
