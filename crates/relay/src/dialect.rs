//! How terms and marks are written into headers.

use {
    crate::reservation::{Reservation, ReservationParams},
    bytes::Bytes,
    glade_catalog::CallerTerms,
    glade_types::{BackendId, RequestId},
    http_body_util::Full,
    hyper::{HeaderMap, Request},
    std::time::Duration,
};

/// What the system says to a backend server about one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMetadata<'a> {
    /// The server that is meant; any other must not run the request.
    pub server: &'a BackendId,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// Urgency at the server, 0 first; `None` for servers that know none.
    pub urgency: Option<u8>,
    /// Event after which a stream is to go on.
    pub last_event_id: Option<u64>,
    /// The server's reservation for the request.
    pub reservation: Option<&'a Reservation>,
}

/// What a server's answer says besides its status and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// The request that it answers.
    pub request_id: Option<RequestId>,
    /// The server that answers.
    pub server: Option<BackendId>,
    /// The server states that it didn't run the request.
    pub not_run: bool,
    /// The answer bears the server's signature.
    pub signed: bool,
    /// The server is about to end.
    pub leaving: bool,
    /// Time for which the server wants no requests from this VM. Told with rejections.
    pub backoff: Option<Duration>,
}

/// A header of a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedHeader {
    /// What can't be read.
    pub field: &'static str,
}

/// A way to write terms and marks into headers.
pub trait Dialect: std::fmt::Debug + 'static {
    /// Reads the id of a request, if it has one that can be read.
    fn read_request_id(&self, headers: &HeaderMap) -> Option<RequestId>;

    /// Reads what a caller says.
    ///
    /// # Errors
    ///
    /// A header that is there can't be read.
    fn read_caller_terms(&self, headers: &HeaderMap) -> Result<CallerTerms, MalformedHeader>;

    /// Writes what the system says, over whatever the caller wrote in its place.
    fn write_attempt_metadata(&self, headers: &mut HeaderMap, terms: &AttemptMetadata<'_>);

    /// Asks a server to keep a place.
    fn reservation_request(&self, terms: &ReservationParams<'_>) -> Request<Full<Bytes>>;

    /// Reads the body of the answer to that; `None` if it names no reservation.
    fn read_reservation(&self, body: &[u8]) -> Option<Reservation>;

    /// Reads what a server says.
    fn read_answer_metadata(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// Removes what concerns only the system from a server's answer.
    fn strip_answer_metadata(&self, headers: &mut HeaderMap);
}
