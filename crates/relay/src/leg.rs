//! An attempt whose answer has begun.

use {
    crate::{
        admitted::Admitted,
        dialect::Dialect,
        event_splitter::{Event, EventSplitter},
        flight::Flight,
        hop,
        leg_failure::LegFailure,
    },
    bytes::{Bytes, BytesMut},
    glade_dispatch::ServerIdx,
    glade_http::Connection,
    http_body_util::BodyExt,
    hyper::{body::Incoming, http::response::Parts},
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Largest answer that is gathered before it is passed on.
const GATHERED_BYTES_MAX: usize = 1 << 20;

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
    /// The rest of an answer that has begun with `head` on `connection`.
    pub(crate) fn new(
        flight: Flight<D>,
        head: Parts,
        connection: Connection,
        body: Incoming,
    ) -> Self {
        let idle = if hop::says_close(&head.headers) {
            Some(Duration::ZERO)
        } else {
            hop::keep_alive_s(&head.headers).map(Duration::from_secs)
        };
        Self { flight, head, connection, body, idle, splitter: EventSplitter::default() }
    }

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
