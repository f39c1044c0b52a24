//! Relays a stream of server-sent events to the caller.
//!
//! Every event carries the request's identifier and its position. Events of another request and
//! repeated positions are dropped. When the stream breaks, leaves out a position or falls silent,
//! it is resumed on a new connection after the last position passed on. One that is only silent is
//! kept until the new connection has brought an event. The caller sees the end mark only if every
//! event before it was passed on; otherwise it sees an error event.

use {
    crate::{
        api_error::ApiError,
        burn::Sample,
        event_limit::EventLimit,
        proxy::{Head, Upstream, is_crossed},
        request::ModelRequest,
        shared::{Counts, Serving, Shared},
    },
    eventsource_stream::{Event, EventStream, Eventsource},
    futures_util::{
        Stream, StreamExt, TryStreamExt,
        stream::{self, BoxStream},
    },
    glade_http::{BodyExt, Bytes, Connection, Incoming, Method},
    glade_routing::{InFlightGuard, Permit},
    std::{
        fmt::Write,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Attempts at resuming one stream.
const MAX_RESUMES: u32 = 3;
/// Pause after an attempt to resume a broken stream has failed.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// Data of the event that ends a stream.
const END_MARK: &str = "[DONE]";

type Events = EventStream<BoxStream<'static, Result<Bytes, io::Error>>>;

/// What keeps the accounts of a request while its stream runs.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) _serving: Serving,
    pub(crate) _permit: Permit,
    pub(crate) _under_way: InFlightGuard,
}

/// A stream under way.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    request: ModelRequest,
    addr: SocketAddr,
    events: Events,
    /// An event that was read while the stream was being resumed.
    ahead: Option<Event>,
    /// Keeps the connection open for as long as its events are read.
    _connection: Connection,
    next: u64,
    resumes: u32,
    started_at: Instant,
    last_at: Option<Instant>,
    sample: Sample,
    ended: bool,
    _holding: Holding,
}

/// What the next wait on the stream brought.
enum Next {
    Pass(Event),
    Skip,
    Stopped(Stop),
}

/// Why a stream doesn't go on by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Silent,
    EndedEarly,
    Broken,
    PartMissing,
}

impl Stop {
    fn text(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::EndedEarly => "ended early",
            Self::Broken => "broken",
            Self::PartMissing => "a part is missing",
        }
    }
}

/// A stream that goes on, with its first event.
struct Resumed {
    events: Events,
    first: Event,
    connection: Connection,
}

impl Relay {
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: ModelRequest,
        addr: SocketAddr,
        head: Head,
        started_at: Instant,
        holding: Holding,
    ) -> Self {
        Self {
            shared,
            request,
            addr,
            events: events(head.response.into_body()),
            ahead: None,
            _connection: head.connection,
            next: 0,
            resumes: 0,
            started_at,
            last_at: None,
            sample: Sample { first_token_met: false, gaps_met: true, refused: false },
            ended: false,
            _holding: holding,
        }
    }

    /// The bytes for the caller.
    pub(crate) fn into_bytes(self) -> impl Stream<Item = Result<Bytes, io::Error>> + Send {
        stream::unfold(self, |mut relay| async move {
            let text = relay.next_text().await?;
            Some((Ok(Bytes::from(text)), relay))
        })
    }

    /// The next event as text, or `None` after the end.
    async fn next_text(&mut self) -> Option<String> {
        while !self.ended {
            match self.next_event().await {
                Next::Pass(event) => return Some(self.pass(&event)),
                Next::Skip => {}
                Next::Stopped(stop) => match self.resume(stop).await {
                    Ok(()) => {}
                    Err(err) if self.resumes >= MAX_RESUMES => {
                        Counts::add(&self.shared.counts.broken);
                        self.ended = true;
                        return Some(format!("data: {}\n\n", err.to_json()));
                    }
                    // It may go on where it is.
                    Err(_) if stop == Stop::Silent => {}
                    Err(_) => sleep(RESUME_PAUSE).await,
                },
            }
        }
        None
    }

    async fn next_event(&mut self) -> Next {
        let silence = self.silence();
        let event = match self.ahead.take() {
            Some(event) => event,
            None => match timeout(silence, self.events.next()).await {
                Err(_) => return Next::Stopped(Stop::Silent),
                Ok(None) => return Next::Stopped(Stop::EndedEarly),
                Ok(Some(Err(_))) => return Next::Stopped(Stop::Broken),
                Ok(Some(Ok(event))) => event,
            },
        };
        let position = event.id.rsplit_once(':').filter(|(id, _)| *id == self.request.id.as_str());
        let Some(position) = position.and_then(|(_, at)| at.parse::<u64>().ok()) else {
            Counts::add(&self.shared.counts.crossed);
            return Next::Skip;
        };
        if position < self.next {
            return Next::Skip;
        }
        if position > self.next {
            return Next::Stopped(Stop::PartMissing);
        }
        Next::Pass(event)
    }

    /// Longest silence before the stream is resumed on another connection.
    fn silence(&self) -> Duration {
        let settings = &self.shared.settings.timing;
        let gap = self.request.row.targets.between_tokens * 4;
        settings.stream_idle_timeout.max(gap)
    }

    fn pass(&mut self, event: &Event) -> String {
        let now = self.shared.now();
        self.next += 1;
        self.measure(now);
        self.ended = event.data == END_MARK;
        let mut text = format!("id: {}\n", event.id);
        for line in event.data.lines() {
            let _ = writeln!(text, "data: {line}");
        }
        text.push('\n');
        text
    }

    fn measure(&mut self, now: Instant) {
        let targets = &self.request.row.targets;
        match self.last_at {
            None => {
                let met = now - self.started_at <= self.request.first_token_within;
                self.sample.first_token_met = met;
            }
            Some(last) if now - last > targets.between_tokens => self.sample.gaps_met = false,
            Some(_) => {}
        }
        self.last_at = Some(now);
    }

    /// Goes on after the last position on a new connection, or where the stream is if it was only
    /// silent and brings an event first.
    async fn resume(&mut self, stop: Stop) -> Result<(), ApiError> {
        self.resumes += 1;
        if self.resumes > MAX_RESUMES || !self.shared.retries.spend() {
            return Err(failed(format!("the stream was cut: {}; ask again", stop.text())));
        }
        Counts::add(&self.shared.counts.resumed);
        self.shared.pool.remove_idle(self.addr);
        let silence = self.silence();
        let Self { shared, request, addr, events, next, .. } = self;
        tokio::select! {
            biased;
            Some(Ok(event)) = events.next(), if stop == Stop::Silent => self.ahead = Some(event),
            resumed = go_on(shared, request, *addr, *next, silence) => {
                let Resumed { events, first, connection } = resumed?;
                self.events = events;
                self.ahead = Some(first);
                self._connection = connection;
            }
        }
        Ok(())
    }
}

/// Has `request` go on at position `next`, and waits for the first event.
async fn go_on(
    shared: &Shared,
    request: &ModelRequest,
    addr: SocketAddr,
    next: u64,
    silence: Duration,
) -> Result<Resumed, ApiError> {
    let last = next.checked_sub(1).map(|last| format!("{}:{last}", request.id));
    let upstream = Upstream {
        addr,
        method: Method::POST,
        path: &request.path,
        id: &request.id,
        priority: Some(request.priority),
        content_type: Some("application/json"),
        last_event: last,
        body: request.body.clone(),
    };
    let head = upstream.send(shared, true, silence).await;
    let head = head.map_err(|err| failed(format!("the stream was cut: {err}")))?;
    if !head.response.status().is_success() || is_crossed(&head.response, &request.id) {
        return Err(failed("the stream was cut and can't be resumed; ask again".to_owned()));
    }
    let mut events = events(head.response.into_body());
    match timeout(silence, events.next()).await {
        Ok(Some(Ok(first))) => Ok(Resumed { events, first, connection: head.connection }),
        _ => Err(failed("the stream was cut and doesn't go on; ask again".to_owned())),
    }
}

fn failed(message: String) -> ApiError {
    ApiError::Failed { message }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.burn.record(now, &self.request.model, self.sample);
    }
}

fn events(body: Incoming) -> Events {
    let mut limit = EventLimit::default();
    let frames = body.into_data_stream().map_err(io::Error::other);
    let frames =
        frames.map(move |frame| frame.and_then(|bytes| limit.record(&bytes).map(|()| bytes)));
    frames.boxed().eventsource()
}
