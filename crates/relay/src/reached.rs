//! An attempt that has a connection, and the server's reservation where the request leaves a silent server.

use {
    crate::{
        admitted::Admitted,
        dialect::{AnswerMetadata, AttemptMetadata, Dialect},
        flight::Flight,
        hop,
        leg::Leg,
        leg_failure::LegFailure,
        relay::Relay,
        reservation::{Reservation, ReservationParams},
    },
    bytes::Bytes,
    glade_catalog::Repeat,
    glade_dispatch::ServerIdx,
    glade_http::{Connection, HttpError},
    glade_types::BackendId,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, StatusCode, header::CONTENT_ENCODING, http::response::Parts},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time allowed for a new connection. Backend servers are a few milliseconds away; a lost opening
/// packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time allowed for the answer of a server that is asked for a reservation.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which a reservation lapses unless the request has come.
const RESERVATION_TTL: Duration = Duration::from_millis(500);
/// Largest answer of a server that is asked for a reservation.
const RESERVATION_BYTES_MAX: usize = 4 << 10;

/// An attempt that has a connection. Nothing of the request has left yet.
#[derive(Debug)]
pub(crate) struct Reached<D: Dialect> {
    flight: Flight<D>,
    connection: Connection,
    /// The server's reservation for the request.
    reservation: Option<Reservation>,
}

impl<D: Dialect> Reached<D> {
    /// Connects to the server of `flight`.
    ///
    /// # Errors
    ///
    /// There is no connection.
    pub(crate) async fn open(flight: Flight<D>, admitted: &Admitted) -> Result<Self, LegFailure> {
        let (relay, server) = (Rc::clone(flight.relay()), flight.server);
        relay.log_sent(admitted, server);
        let connection = relay.connect(server, admitted.received.route.repeat).await?;
        Ok(Self { flight, connection, reservation: None })
    }

    /// The server.
    pub(crate) fn server(&self) -> ServerIdx {
        self.flight.server
    }

    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// There is no usable answer.
    pub(crate) async fn send(
        self,
        admitted: &Admitted,
        last_event_id: Option<u64>,
    ) -> Result<Leg<D>, LegFailure> {
        let Self { flight, mut connection, reservation } = self;
        let (relay, server) = (Rc::clone(flight.relay()), flight.server);
        let req = request(&relay, admitted, server, last_event_id, reservation.as_ref());
        let within = admitted.time_left(relay.clock.now());
        let response = connection.send(req, within).await.map_err(LegFailure::from)?;
        let (head, body) = response.into_parts();
        let marks = relay.dialect.read_answer_metadata(&head.headers);
        let expected = relay.dispatcher.borrow().record(server).key.id.clone();
        relay.heed(server, head.status, &marks);
        check_head(admitted, &expected, &head, &marks)?;
        Ok(Leg::new(flight, head, connection, body))
    }

    /// True if the server can reserve room for the request.
    pub(crate) fn can_reserve(&self, admitted: &Admitted) -> bool {
        reservation_max(admitted) > Duration::ZERO
    }

    /// Has the server reserve room for the request, which isn't sent yet.
    ///
    /// # Errors
    ///
    /// It reserves none, or doesn't say so in time.
    pub(crate) async fn reserve(mut self, admitted: &Admitted) -> Result<Self, LegFailure> {
        let reservation = timeout(RESERVE_TIMEOUT, self.ask_for_reservation(admitted)).await;
        self.reservation = Some(reservation.unwrap_or(Err(LegFailure::NotReserved))?);
        let relay = Rc::clone(self.flight.relay());
        if self.connection.ready().await.is_err() {
            self.connection = relay.connect(self.flight.server, Repeat::AtMostOnce).await?;
        }
        relay.log_reserved(admitted, self.flight.server);
        Ok(self)
    }

    async fn ask_for_reservation(
        &mut self,
        admitted: &Admitted,
    ) -> Result<Reservation, LegFailure> {
        let (relay, server) = (Rc::clone(self.flight.relay()), self.flight.server);
        let record = Arc::clone(relay.dispatcher.borrow().record(server));
        let need = &admitted.visit.need;
        let req = relay.dialect.reservation_request(&ReservationParams {
            server: &record.key.id,
            addr: record.addr,
            tokens: u64::from(need.prompt_tokens) + u64::from(need.output_tokens),
            ttl: RESERVATION_TTL.min(reservation_max(admitted)),
        });
        let answer = self.connection.send(req, RESERVE_TIMEOUT).await;
        let (head, body) = answer.map_err(|err| not_reserved(&err))?.into_parts();
        let marks = relay.dialect.read_answer_metadata(&head.headers);
        relay.heed(server, head.status, &marks);
        let is_expected = marks.server.as_ref() == Some(&record.key.id);
        match head.status {
            // One that leaves may end before it has served the request.
            StatusCode::OK if !marks.leaving => {}
            StatusCode::MISDIRECTED_REQUEST if !is_expected => return Err(LegFailure::OtherServer),
            _ => return Err(LegFailure::NotReserved),
        }
        let body = Limited::new(body, RESERVATION_BYTES_MAX).collect().await;
        let body = body.map_err(|_| LegFailure::NotReserved)?.to_bytes();
        relay.dialect.read_reservation(&body).ok_or(LegFailure::NotReserved)
    }
}

/// A request that wasn't sent hasn't run, whatever the server has done with the call.
fn not_reserved(err: &HttpError) -> LegFailure {
    match err {
        HttpError::NotSent { .. } => LegFailure::NotSent,
        _ => LegFailure::NotReserved,
    }
}

/// Longest time for which the servers of the request's service reserve room.
fn reservation_max(admitted: &Admitted) -> Duration {
    admitted.engine_class().map_or(Duration::ZERO, |class| class.reservation_max)
}

fn request<D: Dialect>(
    relay: &Relay<D>,
    admitted: &Admitted,
    server: ServerIdx,
    last_event_id: Option<u64>,
    reservation: Option<&Reservation>,
) -> Request<Full<Bytes>> {
    let head = &admitted.head;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut req = Request::new(Full::new(admitted.body.clone()));
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = path.parse().expect("part of a URI that was read");
    let headers = req.headers_mut();
    *headers = head.headers.clone();
    hop::strip(headers);
    let dispatcher = relay.dispatcher.borrow();
    let terms = AttemptMetadata {
        server: &dispatcher.record(server).key.id,
        time_left: admitted.time_left(relay.clock.now()),
        urgency: admitted.visit.need.model.as_ref().map(|_| admitted.visit.need.rank.min(9)),
        last_event_id,
        reservation,
    };
    relay.dialect.write_attempt_metadata(headers, &terms);
    req
}

/// Checks that an answer's head belongs to this request and can be passed on.
fn check_head(
    admitted: &Admitted,
    expected: &BackendId,
    head: &Parts,
    marks: &AnswerMetadata,
) -> Result<(), LegFailure> {
    // An answer that names another request says nothing about this one.
    if marks.request_id.as_ref().is_some_and(|id| *id != admitted.received.id) {
        return Err(LegFailure::Foreign);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        let is_expected = marks.server.as_ref() == Some(expected);
        return Err(if is_expected { LegFailure::NotHeld } else { LegFailure::OtherServer });
    }
    if marks.not_run {
        return Err(LegFailure::Refused(head.status));
    }
    let usable =
        marks.signed && marks.request_id.is_some() && !head.headers.contains_key(CONTENT_ENCODING);
    if usable { Ok(()) } else { Err(LegFailure::Foreign) }
}

impl<D: Dialect> Relay<D> {
    /// Takes an idle connection to `server` or opens one.
    pub(crate) async fn connect(
        &self,
        server: ServerIdx,
        repeat: Repeat,
    ) -> Result<Connection, LegFailure> {
        let once = repeat == Repeat::AtMostOnce;
        let kept = self.idle.borrow_mut().take(self.clock.now(), server, once);
        if let Some(connection) = kept {
            return Ok(connection);
        }
        let addr = self.dispatcher.borrow().record(server).addr;
        Connection::open(addr, CONNECT_TIMEOUT).await.map_err(LegFailure::from)
    }
}
