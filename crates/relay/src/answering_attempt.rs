//! An attempt whose answer has begun.

use {
    crate::{
        admitted_request::AdmittedRequest,
        attempt::Attempt,
        attempt_failure::AttemptFailure,
        dialect::Dialect,
        event_splitter::{Event, EventSplitter},
        hop_by_hop,
    },
    bytes::{Bytes, BytesMut},
    glade_budget::{Account, Kind, Reservation},
    glade_dispatch::ServerIdx,
    glade_http::Connection,
    http_body_util::BodyExt,
    hyper::{
        body::{Body, Incoming},
        http::response::Parts,
    },
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// Largest answer that is buffered in full before it is passed on.
const BUFFERED_BYTES_MAX: usize = 1 << 20;
/// Answer up to which no room is reserved: the connection's own memory covers it.
const UNRESERVED_BYTES_MAX: usize = 8 << 10;

/// An attempt whose answer has begun. Dropping it closes the connection, which makes the server
/// stop working on the request.
#[derive(Debug)]
pub(crate) struct AnsweringAttempt<D: Dialect> {
    attempt: Attempt<D>,
    pub(crate) head: Parts,
    connection: Connection,
    body: Incoming,
    /// Idle time after which the server closes the connection. Zero if the connection can't be
    /// reused; `None` if the server didn't announce a time.
    idle_timeout: Option<Duration>,
    splitter: EventSplitter,
}

impl<D: Dialect> AnsweringAttempt<D> {
    /// Wraps the rest of an answer that has begun with `head` on `connection`.
    pub(crate) fn new(
        attempt: Attempt<D>,
        head: Parts,
        connection: Connection,
        body: Incoming,
    ) -> Self {
        let idle_timeout = if hop_by_hop::has_connection_close(&head.headers) {
            Some(Duration::ZERO)
        } else {
            hop_by_hop::keep_alive_timeout_s(&head.headers).map(Duration::from_secs)
        };
        Self { attempt, head, connection, body, idle_timeout, splitter: EventSplitter::default() }
    }

    /// Waits for the first event after `last_event_id`; `None` if none can follow and the stream has ended.
    ///
    /// # Errors
    ///
    /// No event has arrived in time, the stream is broken, or it ended where an event could follow.
    pub(crate) async fn first_event(
        &mut self,
        admitted: &AdmittedRequest,
        last_event_id: Option<u64>,
    ) -> Result<Option<Event>, AttemptFailure> {
        let within = admitted.time_left(self.now());
        let first = timeout(within, self.next_event()).await;
        let first = first.unwrap_or(Err(AttemptFailure::Silent))?;
        match &first {
            Some(event) if !event.follows(last_event_id) => return Err(AttemptFailure::Foreign),
            None if !admitted.has_all_tokens(last_event_id) => return Err(AttemptFailure::Empty),
            _ => {}
        }
        self.record_first_byte();
        admitted.begin_answer(self.now(), self.server());
        Ok(first)
    }

    /// Records that the first byte of the answer's body has arrived.
    fn record_first_byte(&self) {
        self.attempt.record_first_byte();
    }

    /// Records that `tokens` were generated in `time` since the first byte.
    pub(crate) fn record_generation(
        &self,
        tokens: u32,
        time: Duration,
        decode_step: Option<Duration>,
    ) {
        self.attempt.record_generation(tokens, time, decode_step);
    }

    pub(crate) fn now(&self) -> Instant {
        self.attempt.relay().clock.now()
    }

    pub(crate) fn server(&self) -> ServerIdx {
        self.attempt.server
    }

    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// The body ended early, or is too large to be buffered.
    pub(crate) async fn read_body(
        mut self,
        account: &Account,
    ) -> Result<(Parts, Bytes, Option<Reservation>), AttemptFailure> {
        let announced = usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > BUFFERED_BYTES_MAX {
            return Err(AttemptFailure::Foreign);
        }
        let mut room = None;
        if announced > UNRESERVED_BYTES_MAX {
            room = Some(account.reserve(Kind::Answers, announced).await);
        }
        let mut buffered = BytesMut::with_capacity(announced);
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|_| AttemptFailure::Broken)?;
            if let Ok(data) = frame.into_data() {
                let length = buffered.len() + data.len();
                if room.is_none() && length > UNRESERVED_BYTES_MAX {
                    // The length isn't known.
                    room = Some(account.reserve(Kind::Answers, BUFFERED_BYTES_MAX).await);
                }
                buffered.extend_from_slice(&data);
            }
            if buffered.len() > BUFFERED_BYTES_MAX {
                return Err(AttemptFailure::Foreign);
            }
        }
        self.record_first_byte();
        if let Some(room) = &mut room {
            room.shrink_to(buffered.len());
        }
        Ok((self.finish(), buffered.freeze(), room))
    }

    /// Waits for the next complete event; `None` marks the clean end of the stream.
    ///
    /// # Errors
    ///
    /// The stream ended early, or contains something that isn't an event.
    pub(crate) async fn next_event(&mut self) -> Result<Option<Event>, AttemptFailure> {
        loop {
            if let Some(event) = self.splitter.next_event().map_err(|_| AttemptFailure::Foreign)? {
                return Ok(Some(event));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                    }
                }
                Some(Err(_)) => return Err(AttemptFailure::Broken),
                None if self.splitter.is_empty() => return Ok(None),
                None => return Err(AttemptFailure::Broken),
            }
        }
    }

    /// Returns the connection to the pool after the end of the body.
    pub(crate) fn finish(self) -> Parts {
        if !self.head.status.is_server_error() {
            self.attempt.record_success();
        }
        let relay = self.attempt.relay();
        relay.keep_connection(self.attempt.server, self.connection, self.idle_timeout);
        self.head
    }
}
