//! The HTTP headers in which requests and answers carry metadata, as a trait that each platform
//! implements.

use {
    crate::reservation::{Reservation, ReservationParams},
    bytes::Bytes,
    glade_catalog::RequestMetadata,
    glade_limit::StatedLimit,
    glade_types::{BackendId, RequestId, TeamName},
    http_body_util::Full,
    hyper::{HeaderMap, Request},
    std::time::Duration,
};

/// What a server is told of the team that a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TeamMetadata<'a> {
    /// The configuration has no teams: the caller's own headers about teams and keys are forwarded.
    NoTeams,
    /// The request's route is public: the caller's own headers about teams and keys are removed.
    Public,
    /// The request belongs to this team, which replaces the caller's own headers about teams and keys.
    Team(&'a TeamName),
}

/// Metadata of one attempt that is sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMetadata<'a> {
    /// The intended server. Any other server must not run the request.
    pub server: &'a BackendId,
    /// Time left for the answer.
    pub time_left: Duration,
    /// Urgency at the server, 0 is the most urgent; `None` for servers without urgencies.
    pub urgency: Option<u8>,
    /// The last event that a resumed stream has passed on.
    pub last_event_id: Option<u64>,
    /// The server's reservation for the request.
    pub reservation: Option<&'a Reservation>,
    /// The team that the request belongs to.
    pub team: TeamMetadata<'a>,
}

/// Metadata in the headers of a server's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// The request that is answered.
    pub request_id: Option<RequestId>,
    /// The server that answers.
    pub server: Option<BackendId>,
    /// The server states that it didn't run the request.
    pub not_run: bool,
    /// The answer carries the server's signature.
    pub signed: bool,
    /// The server is about to exit.
    pub leaving: bool,
    /// Time for which the server accepts no requests from this VM. Sent with rejections.
    pub backoff: Option<Duration>,
    /// What the answer says of the rate of requests that the server takes.
    pub rate_limit: StatedLimit,
}

/// A header of a request can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedHeader {
    /// The part that can't be parsed.
    pub field: &'static str,
}

/// Reads and writes the headers of one platform.
pub trait Dialect: std::fmt::Debug + 'static {
    /// Reads the id of a request, if it has a readable one.
    fn read_request_id(&self, headers: &HeaderMap) -> Option<RequestId>;

    /// Reads the terms that the caller sets for its request.
    ///
    /// # Errors
    ///
    /// A header is present but can't be parsed.
    fn read_caller_terms(&self, headers: &HeaderMap) -> Result<RequestMetadata, MalformedHeader>;

    /// Writes the metadata of an attempt, replacing any headers of the caller with the same names.
    fn write_attempt_metadata(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>);

    /// Builds the request that asks a server for a reservation.
    fn reservation_request(&self, params: &ReservationParams<'_>) -> Request<Full<Bytes>>;

    /// Reads the body of the answer to a reservation request; `None` if it names no reservation.
    fn read_reservation(&self, body: &[u8]) -> Option<Reservation>;

    /// Reads the metadata of a server's answer.
    fn read_answer_metadata(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// Removes the headers that are only meant for this system from a server's answer.
    fn strip_answer_metadata(&self, headers: &mut HeaderMap);
}
