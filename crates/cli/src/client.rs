//! Talks to the operators' port of any VM.

use {
    crate::{args::Access, error::CliError},
    glade_http::{Answer, Bytes, Full, Method, Pool, Request},
    std::{net::SocketAddr, time::Duration},
};

/// Time allowed for a read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time allowed for an edit, which waits until it is in force everywhere.
const EDIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A client that goes on to the next address while none answers.
#[derive(Debug)]
pub(crate) struct Client {
    access: Access,
    pool: Pool,
}

impl Client {
    pub(crate) fn new(access: Access) -> Self {
        Self { access, pool: Pool::new() }
    }

    /// Reads `path` from the first VM that answers.
    pub(crate) async fn get(&self, path: &str) -> Result<Answer, CliError> {
        let mut reasons = Vec::new();
        for addr in &self.access.addrs {
            match self.send(*addr, Method::GET, path, Bytes::new(), READ_TIMEOUT).await {
                Ok(answer) => return accepted(*addr, answer),
                Err(err) => reasons.push(err),
            }
        }
        Err(CliError::Unreachable { reasons })
    }

    /// Sends `body` to the first VM that a connection can be made to. A request that left isn't sent
    /// to another VM, because it may have been carried out.
    pub(crate) async fn send_once(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, CliError> {
        let mut reasons = Vec::new();
        for addr in &self.access.addrs {
            if let Err(err) = self.pool.connect(*addr).await.map(|conn| self.pool.release(conn)) {
                reasons.push(err.to_string());
                continue;
            }
            return match self.send(*addr, method, path, body, EDIT_TIMEOUT).await {
                Ok(answer) => accepted(*addr, answer),
                Err(reason) => {
                    let reason = format!("{reason}; it may have been carried out");
                    Err(CliError::Unconfirmed { reason })
                }
            };
        }
        Err(CliError::Unreachable { reasons })
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        within: Duration,
    ) -> Result<Answer, String> {
        let req = Request::builder()
            .method(method)
            .uri(format!("/operator/v1/{path}"))
            .header("host", addr.to_string())
            .header("authorization", format!("Bearer {}", self.access.credential))
            .body(Full::new(body))
            .map_err(|err| err.to_string())?;
        self.pool.fetch(addr, req, within).await.map_err(|err| err.to_string())
    }
}

/// Passes on answers that a command can make something of.
fn accepted(addr: SocketAddr, answer: Answer) -> Result<Answer, CliError> {
    if answer.status.as_u16() == 401 {
        let reason = format!("{addr} refused the credential");
        return Err(CliError::Refused { reason });
    }
    if answer.status.as_u16() == 404 || answer.status.as_u16() == 400 {
        let reason = String::from_utf8_lossy(&answer.body).trim().to_owned();
        return Err(CliError::Refused { reason });
    }
    Ok(answer)
}
