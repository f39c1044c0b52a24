//! Reservations of capacity at a server, for requests that haven't been sent there yet.

use {
    glade_types::{BackendId, TeamName},
    std::{net::SocketAddr, time::Duration},
};

/// A server's reservation for one request, by the name that the server gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation(String);

impl Reservation {
    /// The reservation that the server calls `name`.
    pub fn new(name: &str) -> Self {
        Self(name.to_owned())
    }

    /// Name of the reservation at its server.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Parameters of a reservation request.
#[derive(Clone, Copy, Debug)]
pub struct ReservationParams<'a> {
    /// The intended server.
    pub server: &'a BackendId,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Memory that the request takes, in tokens of prompt and generated text together.
    pub tokens: u64,
    /// Time after which the reservation lapses unless the request has arrived.
    pub ttl: Duration,
    /// The team that the request belongs to, if any.
    pub team: Option<&'a TeamName>,
}
