//! A caller's connection that is kept for several requests.

use {
    crate::site::caller::{Reply, header_map, read_reply, request},
    bytes::Bytes,
    glade_catalog::RequestMetadata,
    http_body_util::Full,
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle, time::Instant},
};

/// What became of a request on a kept connection.
#[derive(Clone, Debug)]
pub enum KeptOutcome {
    /// The connection was closed before the request was written.
    NotSent,
    /// The connection was closed without an answer, this long after the request was written.
    Closed(Duration),
    /// An answer began.
    Answered(Reply),
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct KeptConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl KeptConnection {
    /// Connects to `addr`; `None` if nobody listens there.
    pub async fn open(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(async move {
            // A request that is under way gets the error too.
            let _ = connection.await;
        });
        Some(Self { sender, driver })
    }

    /// True if the other side has closed the connection, as far as this side has seen.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a POST request and waits for its answer.
    pub async fn send(
        &mut self,
        host: &str,
        path: &str,
        terms: &RequestMetadata,
        body: &str,
    ) -> KeptOutcome {
        self.send_with(host, path, terms, body, &[]).await
    }

    /// The same with headers beside those of the terms.
    pub async fn send_with(
        &mut self,
        host: &str,
        path: &str,
        terms: &RequestMetadata,
        body: &str,
        headers: &[(&'static str, &str)],
    ) -> KeptOutcome {
        let Some(mut req) = request("POST", host, path, terms, body) else {
            return KeptOutcome::NotSent;
        };
        req.headers_mut().extend(header_map(headers));
        if self.sender.ready().await.is_err() {
            return KeptOutcome::NotSent;
        }
        let sent_at = Instant::now();
        match self.sender.send_request(req).await {
            Ok(response) => KeptOutcome::Answered(read_reply(response).await),
            Err(err) if err.is_canceled() => KeptOutcome::NotSent,
            Err(_) => KeptOutcome::Closed(sent_at.elapsed()),
        }
    }
}
