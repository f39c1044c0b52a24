//! A pool of idle client connections that are reused for later requests.

use {
    crate::{connection::Connection, error::HttpError},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Maximum number of idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 64;
/// Idle time after which a connection is no longer reused.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest response body that [`Pool::fetch`] reads unless another limit is set.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// A pool of idle connections, keyed by server address and shared by reference between tasks.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    answer_bytes_max: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_max_answer_bytes(MAX_ANSWER_BYTES)
    }
}

impl Pool {
    /// Returns an empty pool with the default limit on the size of responses.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns an empty pool whose [`Pool::fetch`] reads response bodies of at most `answer_bytes_max`.
    /// The connection is closed as soon as a body exceeds the limit, however much the server would
    /// still send.
    pub fn with_max_answer_bytes(answer_bytes_max: usize) -> Self {
        Self { idle: Mutex::default(), answer_bytes_max }
    }

    /// Takes an idle connection to `addr` from the pool, or opens a new one.
    ///
    /// # Errors
    ///
    /// [`HttpError::Refused`] or [`HttpError::NotConnected`].
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, HttpError> {
        match self.take(addr) {
            Some(connection) => Ok(connection),
            None => Connection::open(addr, CONNECT_TIMEOUT).await,
        }
    }

    /// Opens a new connection, for requests that may not be retried: unlike a pooled connection, it is
    /// known to be alive.
    ///
    /// # Errors
    ///
    /// [`HttpError::Refused`] or [`HttpError::NotConnected`].
    pub async fn connect_new(&self, addr: SocketAddr) -> Result<Connection, HttpError> {
        Connection::open(addr, CONNECT_TIMEOUT).await
    }

    /// Returns `connection` to the pool for a later request. The last response must have been read to its
    /// end.
    pub fn release(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle_to_addr = idle.entry(connection.addr()).or_default();
        if idle_to_addr.len() < MAX_IDLE_PER_SERVER {
            idle_to_addr.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Drops all idle connections to `addr`. Called after a request on a connection to `addr` failed,
    /// because the other connections have often failed as well.
    pub fn remove_idle(&self, addr: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&addr);
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let idle_to_addr = idle.get_mut(&addr)?;
        while let Some(candidate) = idle_to_addr.pop() {
            if candidate.connection.is_ready() && candidate.idle_since.elapsed() < MAX_IDLE_AGE {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Sends `req` to `addr` and reads the complete response, within `time_limit` once connected.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`] but [`HttpError::Status`]: whether a status code is a failure is left to the
    /// calling code.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Answer, HttpError> {
        let connection = self.connect(addr).await?;
        self.fetch_on(connection, req, time_limit).await
    }

    /// Like [`fetch`](Self::fetch), on a new connection: the response can't be one to an earlier request,
    /// written once more. For requests whose responses don't name them.
    ///
    /// # Errors
    ///
    /// As those of [`fetch`](Self::fetch).
    pub async fn fetch_on_new(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Answer, HttpError> {
        let connection = Connection::open(addr, CONNECT_TIMEOUT.min(time_limit)).await?;
        self.fetch_on(connection, req, time_limit).await
    }

    /// Like [`fetch`](Self::fetch), on `connection`.
    ///
    /// # Errors
    ///
    /// As those of [`fetch`](Self::fetch), except that the connection is open.
    pub async fn fetch_on(
        &self,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
        time_limit: Duration,
    ) -> Result<Answer, HttpError> {
        let addr = connection.addr();
        let exchange = async {
            let head = connection.send(req, time_limit).await?;
            read_body(addr, head, self.answer_bytes_max).await
        };
        let answer = timeout(time_limit, exchange)
            .await
            .unwrap_or(Err(HttpError::TimedOut { addr }))
            .inspect_err(|_| self.remove_idle(addr))?;
        self.release(connection);
        Ok(answer)
    }
}

/// Reads the body that follows `head` to its end. A body of more than `bytes_max` isn't read on,
/// however much the server would still send.
///
/// # Errors
///
/// [`HttpError::Broken`] if the body ends early or is too large.
pub async fn read_body(
    addr: SocketAddr,
    head: Response<Incoming>,
    bytes_max: usize,
) -> Result<Answer, HttpError> {
    let (parts, body) = head.into_parts();
    let body = Limited::new(body, bytes_max)
        .collect()
        .await
        .map_err(|err| HttpError::Broken { addr, reason: err.to_string() })?
        .to_bytes();
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}
