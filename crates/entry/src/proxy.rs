//! One exchange with a backend server.

use {
    crate::shared::Shared,
    glade_http::{
        Bytes, Connection, Full, HeaderName, HeaderValue, HttpError, Incoming, Method, Request,
        Response,
    },
    glade_types::{Priority, RequestId},
    std::{net::SocketAddr, time::Duration},
};

/// Largest answer that is read in full before it is passed on.
pub(crate) const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Header that carries the request's identifier to the backend server and back.
pub(crate) const ID_HEADER: &str = "x-request-id";

/// A request to a backend server.
#[derive(Clone, Debug)]
pub(crate) struct Upstream<'a> {
    pub(crate) addr: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) id: &'a RequestId,
    pub(crate) priority: Option<Priority>,
    pub(crate) content_type: Option<&'a str>,
    /// Identifier of the last event received, to resume a stream after it.
    pub(crate) last_event: Option<String>,
    pub(crate) body: Bytes,
}

/// The head of an answer with the connection that it came on.
#[derive(Debug)]
pub(crate) struct Head {
    pub(crate) connection: Connection,
    pub(crate) response: Response<Incoming>,
}

impl Upstream<'_> {
    fn to_request(&self) -> Result<Request<Full<Bytes>>, HttpError> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(self.path)
            .header("host", self.addr.to_string())
            .header(ID_HEADER, self.id.as_str());
        if let Some(priority) = self.priority {
            req = req.header("x-priority", priority.to_string());
        }
        if let Some(content_type) = self.content_type {
            req = req.header("content-type", content_type);
        }
        if let Some(last) = &self.last_event {
            req = req.header("last-event-id", last);
        }
        req.body(Full::new(self.body.clone()))
            .map_err(|err| HttpError::NotConnected { addr: self.addr, reason: err.to_string() })
    }

    /// Sends the request. `fresh` asks for a connection that was opened just now, which idle ones
    /// can't promise to be alive.
    pub(crate) async fn send(
        &self,
        shared: &Shared,
        fresh: bool,
        within: Duration,
    ) -> Result<Head, HttpError> {
        let req = self.to_request()?;
        let mut connection = if fresh {
            shared.pool.connect_new(self.addr).await?
        } else {
            shared.pool.connect(self.addr).await?
        };
        let sent = connection.send(req, within).await;
        let response = sent.inspect_err(|_| shared.pool.remove_idle(self.addr))?;
        Ok(Head { connection, response })
    }
}

/// True if the answer names another request: it was crossed and belongs to somebody else.
pub(crate) fn is_crossed(response: &Response<Incoming>, id: &RequestId) -> bool {
    let named = response.headers().get(ID_HEADER);
    named.is_some_and(|named| named.as_bytes() != id.as_str().as_bytes())
}

/// Headers of an answer that are passed on to the caller.
pub(crate) fn passed_on(name: &HeaderName, _: &HeaderValue) -> bool {
    !matches!(
        name.as_str(),
        "connection" | "keep-alive" | "transfer-encoding" | "content-length" | "upgrade" | "te"
    )
}
