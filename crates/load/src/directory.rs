//! A caller's view of the directory: asks once, keeps the answer for its time to live.

use {
    glade_http::{Bytes, Full, Pool, Request},
    serde::Deserialize,
    std::{
        fmt,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::sync::Mutex,
};

/// Time allowed for an answer of the directory.
const TIMEOUT: Duration = Duration::from_secs(2);

/// No VM answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryError {
    /// What each VM that was asked came to.
    pub reasons: Vec<String>,
}

impl fmt::Display for DirectoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no VM gave the directory: {}", self.reasons.join("; "))
    }
}

impl std::error::Error for DirectoryError {}

#[derive(Debug, Deserialize)]
struct Answer {
    ttl_ms: u64,
    entries: Vec<Entry>,
}

#[derive(Debug, Deserialize)]
struct Entry {
    address: SocketAddr,
}

#[derive(Debug)]
struct Kept {
    addrs: Vec<SocketAddr>,
    until: Instant,
}

/// The directory as one caller keeps it.
#[derive(Debug)]
pub struct Directory {
    seeds: Vec<SocketAddr>,
    pool: Pool,
    kept: Mutex<Option<Kept>>,
}

impl Directory {
    /// Returns a directory that asks `seeds` first.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self { seeds, pool: Pool::new(), kept: Mutex::new(None) }
    }

    /// The addresses to use now.
    ///
    /// # Errors
    ///
    /// No VM answered and nothing is kept.
    pub async fn addrs(&self) -> Result<Vec<SocketAddr>, DirectoryError> {
        let mut kept = self.kept.lock().await;
        if let Some(kept) = kept.as_ref().filter(|kept| Instant::now() < kept.until) {
            return Ok(kept.addrs.clone());
        }
        let known = kept.as_ref().map(|kept| kept.addrs.clone()).unwrap_or_default();
        let mut reasons = Vec::new();
        for addr in known.iter().chain(&self.seeds) {
            match self.ask(*addr).await {
                Ok(answer) if !answer.entries.is_empty() => {
                    let addrs: Vec<SocketAddr> =
                        answer.entries.iter().map(|entry| entry.address).collect();
                    let until = Instant::now() + Duration::from_millis(answer.ttl_ms);
                    *kept = Some(Kept { addrs: addrs.clone(), until });
                    return Ok(addrs);
                }
                Ok(_) => reasons.push(format!("{addr} named no VM")),
                Err(err) => reasons.push(err),
            }
        }
        Err(DirectoryError { reasons })
    }

    async fn ask(&self, addr: SocketAddr) -> Result<Answer, String> {
        let req = Request::builder()
            .uri("/v1/entries")
            .header("host", addr.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|err| err.to_string())?;
        let answer = self.pool.fetch(addr, req, TIMEOUT).await.map_err(|err| err.to_string())?;
        serde_json::from_slice(&answer.body).map_err(|err| err.to_string())
    }
}
