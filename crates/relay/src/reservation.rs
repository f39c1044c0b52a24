//! Room that a server keeps for a request which hasn't been sent there yet.

use {
    glade_types::BackendId,
    std::{net::SocketAddr, time::Duration},
};

/// Room that a server keeps for one request, by its name there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation(String);

impl Reservation {
    /// The reservation that the server calls `name`.
    pub fn new(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Its name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// What a server is asked to keep free.
#[derive(Clone, Copy, Debug)]
pub struct ReservationParams<'a> {
    /// The server that is meant.
    pub server: &'a BackendId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Memory that the request takes, prompt and generated text together.
    pub tokens: u64,
    /// Time after which the reservation lapses unless the request has come.
    pub ttl: Duration,
}
