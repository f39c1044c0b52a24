//! An attempt that has a connection to its server. When a request is moved from a silent server,
//! the next server is first asked here for a reservation.

use {
    crate::{
        admitted_request::AdmittedRequest,
        answering_attempt::AnsweringAttempt,
        attempt::Attempt,
        attempt_failure::AttemptFailure,
        dialect::{AnswerMetadata, AttemptMetadata, Dialect},
        hop_by_hop,
        relay::Relay,
        reservation::{Reservation, ReservationParams},
    },
    bytes::Bytes,
    glade_catalog::RetryPolicy,
    glade_dispatch::ServerIdx,
    glade_http::{Connection, HttpError},
    glade_limit::StatedLimit,
    glade_types::BackendId,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode, Uri, header::CONTENT_ENCODING, http::response::Parts},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time limit for opening a connection. Backend servers are a few milliseconds away; a lost SYN
/// packet is retransmitted only after a second.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the answer to a reservation request.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a reservation lapses unless the request has arrived.
const RESERVATION_TTL: Duration = Duration::from_millis(500);
/// Largest accepted answer to a reservation request.
const RESERVATION_BYTES_MAX: usize = 4 << 10;

/// Statuses that promise a caller that its request hasn't run and never will. Another is 421, which
/// no server's answer passes on.
const PROMISE_STATUSES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// An attempt that has a connection. Nothing of the request has been sent yet.
#[derive(Debug)]
pub(crate) struct ConnectedAttempt<D: Dialect> {
    attempt: Attempt<D>,
    connection: Connection,
    /// The server's reservation for the request.
    reservation: Option<Reservation>,
}

impl<D: Dialect> ConnectedAttempt<D> {
    /// Connects to the server of `attempt`.
    ///
    /// # Errors
    ///
    /// The connection can't be opened.
    pub(crate) async fn open(
        attempt: Attempt<D>,
        admitted: &AdmittedRequest,
    ) -> Result<Self, AttemptFailure> {
        let (relay, server) = (Rc::clone(attempt.relay()), attempt.server);
        relay.log_sent(admitted, server);
        let connection = relay.connect(server, admitted.routed.route.retry_policy).await?;
        Ok(Self { attempt, connection, reservation: None })
    }

    /// Connects to the server of `attempt`, which is asked for a reservation if it makes any: on a new
    /// connection, because the answer names neither the request nor the reservation that was asked
    /// for, and must not be an earlier one.
    ///
    /// # Errors
    ///
    /// The connection can't be opened.
    pub(crate) async fn open_to_reserve(
        attempt: Attempt<D>,
        admitted: &AdmittedRequest,
    ) -> Result<Self, AttemptFailure> {
        if reservation_max(admitted).is_zero() {
            return Self::open(attempt, admitted).await;
        }
        let (relay, server) = (Rc::clone(attempt.relay()), attempt.server);
        relay.log_sent(admitted, server);
        let connection = relay.connect_new(server).await?;
        Ok(Self { attempt, connection, reservation: None })
    }

    pub(crate) fn server(&self) -> ServerIdx {
        self.attempt.server
    }

    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// There is no usable answer.
    pub(crate) async fn send(
        self,
        admitted: &AdmittedRequest,
        last_event_id: Option<u64>,
    ) -> Result<AnsweringAttempt<D>, AttemptFailure> {
        let Self { attempt, mut connection, reservation } = self;
        let (relay, server) = (Rc::clone(attempt.relay()), attempt.server);
        if admitted.is_revoked(&relay.view.load()) {
            return Err(AttemptFailure::KeyRevoked);
        }
        let req = build_request(&relay, admitted, server, last_event_id, reservation.as_ref());
        let within = admitted.time_left(relay.clock.now());
        let was_used = connection.is_used();
        let sent_at = relay.clock.now();
        admitted.spend_quota(sent_at);
        let response = connection.send(req, within).await.map_err(AttemptFailure::from)?;
        let (head, body) = response.into_parts();
        let metadata = relay.dialect.read_answer_metadata(&head.headers);
        let expected_server = relay.dispatcher.borrow().record(server).key.id.clone();
        let checked = check_head(admitted, &expected_server, was_used, &head, &metadata);
        let is_own = checked.err().is_none_or(AttemptFailure::is_own_answer);
        relay.apply_answer_metadata(server, head.status, &metadata, is_own);
        if is_own {
            relay.apply_stated_limit(server, sent_at, metadata.rate_limit);
        }
        checked?;
        Ok(AnsweringAttempt::new(attempt, head, connection, body))
    }

    /// True if the server can reserve capacity for the request.
    pub(crate) fn can_reserve(&self, admitted: &AdmittedRequest) -> bool {
        reservation_max(admitted) > Duration::ZERO
    }

    /// Has the server reserve capacity for the request, which isn't sent yet.
    ///
    /// # Errors
    ///
    /// The server makes no reservation, or doesn't answer in time.
    pub(crate) async fn reserve(
        mut self,
        admitted: &AdmittedRequest,
    ) -> Result<Self, AttemptFailure> {
        let reservation = timeout(RESERVE_TIMEOUT, self.request_reservation(admitted)).await;
        self.reservation = Some(reservation.unwrap_or(Err(AttemptFailure::NotReserved))?);
        let relay = Rc::clone(self.attempt.relay());
        if self.connection.ready().await.is_err() {
            self.connection = relay.connect(self.attempt.server, RetryPolicy::AtMostOnce).await?;
        }
        relay.log_reserved(admitted, self.attempt.server);
        Ok(self)
    }

    async fn request_reservation(
        &mut self,
        admitted: &AdmittedRequest,
    ) -> Result<Reservation, AttemptFailure> {
        let (relay, server) = (Rc::clone(self.attempt.relay()), self.attempt.server);
        let record = Arc::clone(relay.dispatcher.borrow().record(server));
        let spec = &admitted.open_request.spec;
        let team = admitted.team(&relay.view.load());
        let req = relay.dialect.reservation_request(&ReservationParams {
            server: &record.key.id,
            addr: record.addr,
            tokens: u64::from(spec.prompt_tokens) + u64::from(spec.output_tokens),
            ttl: RESERVATION_TTL.min(reservation_max(admitted)),
            team: team.as_ref().map(|team| &team.name),
        });
        let sent_at = relay.clock.now();
        let answer = self.connection.send(req, RESERVE_TIMEOUT).await;
        let (head, body) = answer.map_err(|err| failure_before_sending(&err))?.into_parts();
        let metadata = relay.dialect.read_answer_metadata(&head.headers);
        relay.apply_answer_metadata(server, head.status, &metadata, true);
        // Only answers to requests tell that a limit has ended.
        if metadata.rate_limit != StatedLimit::None {
            relay.apply_stated_limit(server, sent_at, metadata.rate_limit);
        }
        let is_expected_server = metadata.server.as_ref() == Some(&record.key.id);
        match head.status {
            // A server that is leaving may exit before it has served the request.
            StatusCode::OK if !metadata.leaving => {}
            StatusCode::MISDIRECTED_REQUEST if !is_expected_server => {
                return Err(AttemptFailure::OtherServer);
            }
            _ => return Err(AttemptFailure::NotReserved),
        }
        let body = Limited::new(body, RESERVATION_BYTES_MAX).collect().await;
        let body = body.map_err(|_| AttemptFailure::NotReserved)?.to_bytes();
        relay.dialect.read_reservation(&body).ok_or(AttemptFailure::NotReserved)
    }
}

/// The failure of an attempt whose reservation request failed. The request itself wasn't sent, so
/// it hasn't run, whatever the server has done with the reservation request.
fn failure_before_sending(err: &HttpError) -> AttemptFailure {
    match err {
        HttpError::NotSent { .. } => AttemptFailure::NotSent,
        _ => AttemptFailure::NotReserved,
    }
}

/// Longest time for which the servers of the request's service hold a reservation.
fn reservation_max(admitted: &AdmittedRequest) -> Duration {
    admitted.engine_class().map_or(Duration::ZERO, |class| class.reservation_max)
}

fn build_request<D: Dialect>(
    relay: &Relay<D>,
    admitted: &AdmittedRequest,
    server: ServerIdx,
    last_event_id: Option<u64>,
    reservation: Option<&Reservation>,
) -> Request<Full<Bytes>> {
    let head = &admitted.head;
    let mut req = Request::new(Full::new(admitted.body.bytes.clone()));
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = head.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
    let headers = req.headers_mut();
    *headers = head.headers.clone();
    hop_by_hop::strip(headers);
    let dispatcher = relay.dispatcher.borrow();
    let view = relay.view.load();
    let team = admitted.team(&view);
    let metadata = AttemptMetadata {
        server: &dispatcher.record(server).key.id,
        time_left: admitted.time_left(relay.clock.now()),
        urgency: admitted
            .open_request
            .spec
            .model
            .as_ref()
            .map(|_| admitted.open_request.spec.rank.min(9)),
        last_event_id,
        reservation,
        team: admitted.team_metadata(&view, team.as_deref()),
    };
    relay.dialect.write_attempt_metadata(headers, &metadata);
    req
}

/// Checks that an answer's head belongs to this request and can be passed on. `was_used` tells
/// whether its connection had carried other requests.
fn check_head(
    admitted: &AdmittedRequest,
    expected_server: &BackendId,
    was_used: bool,
    head: &Parts,
    metadata: &AnswerMetadata,
) -> Result<(), AttemptFailure> {
    // An answer that names another request proves nothing about this request.
    if metadata.request_id.as_ref().is_some_and(|id| *id != admitted.routed.id) {
        return Err(AttemptFailure::Foreign);
    }
    let is_refusal = metadata.not_run || head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_refusal && metadata.request_id.is_none() && was_used {
        return Err(AttemptFailure::UnprovenRefusal);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let is_expected_server = metadata.server.as_ref() == Some(expected_server);
        return Err(if is_expected_server {
            AttemptFailure::NotHeld
        } else {
            AttemptFailure::OtherServer
        });
    }
    if metadata.not_run {
        return Err(AttemptFailure::Refused(head.status));
    }
    if PROMISE_STATUSES.contains(&head.status) {
        // Passed on, it would promise what the server hasn't stated.
        return Err(AttemptFailure::Failed);
    }
    let usable = metadata.signed
        && metadata.request_id.is_some()
        && !head.headers.contains_key(CONTENT_ENCODING);
    if usable { Ok(()) } else { Err(AttemptFailure::Foreign) }
}

impl<D: Dialect> Relay<D> {
    /// Takes an idle connection to `server` or opens a new one.
    pub(crate) async fn connect(
        &self,
        server: ServerIdx,
        retry_policy: RetryPolicy,
    ) -> Result<Connection, AttemptFailure> {
        let at_most_once = retry_policy == RetryPolicy::AtMostOnce;
        let idle = self.idle_connections.borrow_mut().take(self.clock.now(), server, at_most_once);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        self.connect_new(server).await
    }

    async fn connect_new(&self, server: ServerIdx) -> Result<Connection, AttemptFailure> {
        let addr = self.dispatcher.borrow().record(server).addr;
        Connection::open(addr, CONNECT_TIMEOUT).await.map_err(AttemptFailure::from)
    }
}
