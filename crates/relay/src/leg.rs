//! One attempt at one server.

use {
    crate::{
        admitted::Admitted,
        dialect::{AnswerMarks, Dialect, DispatchTerms, Reservation},
        event_splitter::{Event, EventSplitter},
        flight::Flight,
        hop,
        relay::Relay,
    },
    bytes::{Bytes, BytesMut},
    glade_catalog::Repeat,
    glade_dispatch::ServerIdx,
    glade_http::{Connection, HttpError},
    glade_types::{BackendId, CallOutcome},
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode, body::Incoming, header::CONTENT_ENCODING, http::response::Parts},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Time allowed for a new connection. Backend servers are a few milliseconds away; a lost opening
/// packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest answer that is gathered before it is passed on.
const GATHERED_BYTES_MAX: usize = 1 << 20;

/// Why an attempt has no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LegFailure {
    /// No connection came about.
    NotConnected,
    /// Nothing listens at the server's address.
    Down,
    /// The connection closed before a byte of the request left.
    NotSent,
    /// The server keeps no place for the request, or didn't say so in time. The request wasn't sent.
    NotReserved,
    /// The server states that it didn't run the request.
    Refused(StatusCode),
    /// The server doesn't hold the model.
    NotHeld,
    /// The address belongs to another server now.
    OtherServer,
    /// The server has answered that it failed.
    Failed,
    /// The connection broke, or the answer ended early.
    Broken,
    /// The answer isn't one to this request, or isn't signed.
    Foreign,
    /// No answer, or no further part of it, in time.
    Silent,
}

impl LegFailure {
    /// False if the request is proved not to have run.
    pub(crate) fn may_have_run(self) -> bool {
        match self {
            Self::NotConnected
            | Self::Down
            | Self::NotSent
            | Self::NotReserved
            | Self::Refused(_)
            | Self::NotHeld
            | Self::OtherServer => false,
            Self::Failed | Self::Broken | Self::Foreign | Self::Silent => true,
        }
    }

    /// True if nothing arrived at any server.
    pub(crate) fn never_arrived(self) -> bool {
        matches!(self, Self::NotConnected | Self::Down | Self::NotSent | Self::NotReserved)
    }

    /// True if the server's process is proved to be gone.
    pub(crate) fn proves_gone(self) -> bool {
        matches!(self, Self::Down | Self::OtherServer)
    }

    /// How many failures it counts as when servers are compared. Silence costs callers most; a
    /// connection that the server closed while idle, or a model that was just dropped, says nothing
    /// against the server.
    pub(crate) fn weight(self) -> u32 {
        match self {
            Self::NotSent | Self::NotHeld => 0,
            Self::NotReserved | Self::Refused(_) | Self::Failed => 1,
            Self::Broken | Self::Foreign => 2,
            Self::NotConnected | Self::Down | Self::OtherServer | Self::Silent => 3,
        }
    }

    /// True if the server's idle connections are likely to be dead too.
    pub(crate) fn spoils_connections(self) -> bool {
        match self {
            Self::NotSent | Self::Down | Self::OtherServer | Self::Broken | Self::Silent => true,
            Self::NotConnected
            | Self::NotReserved
            | Self::Refused(_)
            | Self::NotHeld
            | Self::Failed
            | Self::Foreign => false,
        }
    }

    /// Short name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::Down => "down",
            Self::NotSent => "not_sent",
            Self::NotReserved => "not_reserved",
            Self::Refused(_) => "refused",
            Self::NotHeld => "not_held",
            Self::OtherServer => "other_server",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Foreign => "foreign",
            Self::Silent => "silent",
        }
    }
}

/// An attempt that has a connection. Nothing of the request has left yet.
#[derive(Debug)]
pub(crate) struct Reached<D: Dialect> {
    pub(crate) flight: Flight<D>,
    pub(crate) connection: Connection,
    /// The place that the server keeps for the request.
    pub(crate) reservation: Option<Reservation>,
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
        let response = connection.send(req, within).await.map_err(|err| failure(&err))?;
        let (head, body) = response.into_parts();
        let marks = relay.dialect.read_answer(&head.headers);
        let expected = relay.dispatcher.borrow().record(server).key.id.clone();
        relay.heed(server, head.status, &marks);
        check_head(admitted, &expected, &head, &marks)?;
        let idle = if hop::says_close(&head.headers) {
            Some(Duration::ZERO)
        } else {
            hop::keep_alive_s(&head.headers).map(Duration::from_secs)
        };
        let splitter = EventSplitter::default();
        Ok(Leg { flight, head, connection, body, idle, splitter })
    }
}

/// An attempt whose answer has begun. Dropping it closes the connection, which makes the server
/// stop working on the request.
#[derive(Debug)]
pub(crate) struct Leg<D: Dialect> {
    flight: Flight<D>,
    pub(crate) head: Parts,
    connection: Connection,
    body: Incoming,
    /// Idle time after which the server closes the connection; zero if it can't be used again.
    idle: Option<Duration>,
    splitter: EventSplitter,
}

impl<D: Dialect> Leg<D> {
    /// Waits for the first event.
    ///
    /// # Errors
    ///
    /// There is none in time, or the stream is broken.
    pub(crate) async fn first_event(
        &mut self,
        admitted: &Admitted,
    ) -> Result<Option<Event>, LegFailure> {
        let within = admitted.time_left(self.now());
        let first = timeout(within, self.next_event()).await;
        let first = first.unwrap_or(Err(LegFailure::Silent))?;
        self.answered();
        Ok(first)
    }

    /// Takes note that the first byte of the answer's body is there.
    fn answered(&self) {
        self.flight.answered();
    }

    /// `tokens` were generated since the first byte, in `time`.
    pub(crate) fn generated(&self, tokens: u32, time: Duration, step: Option<Duration>) {
        self.flight.generated(tokens, time, step);
    }

    /// The present time.
    pub(crate) fn now(&self) -> Instant {
        self.flight.relay().clock.now()
    }

    /// The server.
    pub(crate) fn server(&self) -> ServerIdx {
        self.flight.server
    }

    /// Gathers the whole body and gives the connection back.
    ///
    /// # Errors
    ///
    /// The body ended early, or is too large to be gathered.
    pub(crate) async fn gather(mut self) -> Result<(Parts, Bytes), LegFailure> {
        let mut gathered = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| LegFailure::Broken)?;
            if let Ok(data) = frame.into_data() {
                gathered.extend_from_slice(&data);
            }
            if gathered.len() > GATHERED_BYTES_MAX {
                return Err(LegFailure::Foreign);
            }
        }
        self.answered();
        Ok((self.finish(), gathered.freeze()))
    }

    /// Waits for the next whole event; `None` at the clean end of the stream.
    ///
    /// # Errors
    ///
    /// The stream ended early, or holds something that isn't an event.
    pub(crate) async fn next_event(&mut self) -> Result<Option<Event>, LegFailure> {
        loop {
            if let Some(event) = self.splitter.next_event().map_err(|_| LegFailure::Foreign)? {
                return Ok(Some(event));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(_)) => return Err(LegFailure::Broken),
                None if self.splitter.is_empty() => return Ok(None),
                None => return Err(LegFailure::Broken),
            }
        }
    }

    /// Gives the connection back after the body's end.
    pub(crate) fn finish(self) -> Parts {
        if !self.head.status.is_server_error() {
            self.flight.succeeded();
        }
        let relay = self.flight.relay();
        let now = relay.clock.now();
        relay.idle.borrow_mut().give_back(now, self.flight.server, self.connection, self.idle);
        self.head
    }
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
    let terms = DispatchTerms {
        server: &dispatcher.record(server).key.id,
        time_left: admitted.time_left(relay.clock.now()),
        urgency: admitted.visit.need.model.as_ref().map(|_| admitted.visit.need.rank.min(9)),
        last_event_id,
        reservation,
    };
    relay.dialect.write_terms(headers, &terms);
    req
}

fn failure(err: &HttpError) -> LegFailure {
    match err {
        HttpError::NotConnected { .. } => LegFailure::NotConnected,
        HttpError::Refused { .. } => LegFailure::Down,
        HttpError::NotSent { .. } => LegFailure::NotSent,
        HttpError::TimedOut { .. } => LegFailure::Silent,
        HttpError::Broken { .. } | HttpError::Malformed { .. } | HttpError::Status { .. } => {
            debug_assert!(err.outcome() != CallOutcome::NotRun, "{err}");
            LegFailure::Broken
        }
    }
}

/// Checks that an answer's head belongs to this request and can be passed on.
fn check_head(
    admitted: &Admitted,
    expected: &BackendId,
    head: &Parts,
    marks: &AnswerMarks,
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
        Connection::open(addr, CONNECT_TIMEOUT).await.map_err(|err| failure(&err))
    }
}
