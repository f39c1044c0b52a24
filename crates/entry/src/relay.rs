//! Relays a stream of server-sent events to the caller.
//!
//! Every event carries the request's identifier and its position. Events of another request and
//! repeated positions are dropped. When the stream breaks, leaves out a position or falls silent,
//! it is resumed on a new connection after the last position passed on. The caller sees the end
//! mark only if every event before it was passed on; otherwise it sees an error event.

use {
    crate::{
        api_error::ApiError,
        burn::Sample,
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
    glade_routing::{Permit, UnderWay},
    std::{
        fmt::Write,
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Times that one stream is resumed.
const MAX_RESUMES: u32 = 3;
/// Data of the event that ends a stream.
const END_MARK: &str = "[DONE]";

type Events = EventStream<BoxStream<'static, Result<Bytes, io::Error>>>;

/// What keeps the accounts of a request while its stream runs.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) _serving: Serving,
    pub(crate) _permit: Permit,
    pub(crate) _under_way: UnderWay,
}

/// A stream under way.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    request: ModelRequest,
    addr: SocketAddr,
    events: Events,
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
    Broken(&'static str),
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
                Next::Broken(reason) => {
                    if let Err(err) = self.resume(reason).await {
                        self.ended = true;
                        return Some(format!("data: {}\n\n", err.to_json()));
                    }
                }
            }
        }
        None
    }

    async fn next_event(&mut self) -> Next {
        let silence = self.silence();
        let event = match timeout(silence, self.events.next()).await {
            Err(_) => return Next::Broken("silent"),
            Ok(None) => return Next::Broken("ended early"),
            Ok(Some(Err(_))) => return Next::Broken("broken"),
            Ok(Some(Ok(event))) => event,
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
            return Next::Broken("a part is missing");
        }
        Next::Pass(event)
    }

    /// Longest silence before the connection counts as dead.
    fn silence(&self) -> Duration {
        let settings = &self.shared.settings.timing;
        let gap = self.request.row.targets.between_tokens * 4;
        settings.stream_silent.max(gap)
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

    /// Opens a new connection and goes on after the last position.
    async fn resume(&mut self, reason: &'static str) -> Result<(), ApiError> {
        self.resumes += 1;
        let failed = |message: String| ApiError::Failed { message };
        if self.resumes > MAX_RESUMES || !self.shared.retries.spend() {
            Counts::add(&self.shared.counts.broken);
            return Err(failed(format!("the stream was cut: {reason}; ask again")));
        }
        Counts::add(&self.shared.counts.resumed);
        self.shared.pool.forget(self.addr);
        let request = &self.request;
        let last = self.next.checked_sub(1).map(|last| format!("{}:{last}", request.id));
        let upstream = Upstream {
            addr: self.addr,
            method: Method::POST,
            path: &request.path,
            id: &request.id,
            priority: Some(request.priority),
            content_type: Some("application/json"),
            last_event: last,
            body: request.body.clone(),
        };
        let silence = self.silence();
        let head = upstream.send(&self.shared, true, silence).await;
        let head = head.map_err(|err| failed(format!("the stream was cut: {err}")))?;
        if !head.response.status().is_success() || is_crossed(&head.response, &request.id) {
            return Err(failed("the stream was cut and can't be resumed; ask again".to_owned()));
        }
        self.events = events(head.response.into_body());
        self._connection = head.connection;
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.burn.record(now, &self.request.model, self.sample);
    }
}

fn events(body: Incoming) -> Events {
    let frames = body.into_data_stream().map_err(io::Error::other);
    frames.boxed().eventsource()
}
