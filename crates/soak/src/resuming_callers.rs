//! Callers whose streams last, and that take them up again at any node when they break off.

use {
    crate::checks::{NOTHING_DENIED, Violation, is_part_of_stream},
    glade_catalog::RequestMetadata,
    glade_standins::site::{Caller, Reply, stream_versions},
    glade_system::site::{CHAT, Site, caller_terms},
    glade_types::RequestId,
    std::{ops::Range, time::Duration},
    tokio::task::JoinHandle,
};

/// Events of a stream, which lasts for one to four seconds.
const EVENTS: Range<u64> = 70..250;
/// Time until a caller sends its next request, in milliseconds.
const IDLE_MS: Range<u64> = 0..400;
/// Longest time for which a caller waits before it comes back, in milliseconds.
const RETURN_MS_MAX: u64 = 10_000;
/// Attempts to take a stream up.
const ATTEMPTS_MAX: usize = 6;

/// A stream that its caller has a part of.
#[derive(Debug)]
struct Stream {
    /// All attempts, the first that brought an event first.
    attempts: Vec<String>,
    model: String,
    events: u64,
    /// What the caller has, without half events.
    body: String,
}

#[derive(Debug)]
enum Activity {
    /// The caller sends its next request, or comes back, at this time.
    Idle(Option<Stream>, Duration),
    /// It waits for an answer to the stream's last attempt.
    Waiting(Stream, JoinHandle<Option<Reply>>),
}

#[derive(Debug)]
struct ResumingCaller {
    rng: fastrand::Rng,
    activity: Activity,
}

/// All such callers.
#[derive(Debug)]
pub(crate) struct ResumingCallers {
    callers: Vec<ResumingCaller>,
    /// Attempts to take up streams, and those that brought events.
    taken_up: usize,
    went_on: usize,
}

/// The part of `body` that whole events take, and the number of the last of them.
fn whole_events(body: &str) -> (&str, u64) {
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end + 2]);
    let last = whole.lines().rev().find_map(|line| line.strip_prefix("id: ")?.parse().ok());
    (whole, last.unwrap_or(0))
}

impl ResumingCallers {
    pub(crate) fn new(callers: usize, rng: &mut fastrand::Rng) -> Self {
        let caller =
            |_| ResumingCaller { rng: rng.fork(), activity: Activity::Idle(None, Duration::ZERO) };
        Self { callers: (0..callers).map(caller).collect(), taken_up: 0, went_on: 0 }
    }

    /// Attempts to take up streams, and those that brought events.
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.taken_up, self.went_on)
    }

    /// Sends the requests that are due, and checks the answers that have ended.
    pub(crate) fn play(&mut self, site: &Site, now: Duration) -> Vec<Violation> {
        let mut found = Vec::new();
        for caller in &mut self.callers {
            if let Some((stream, reply)) = caller.take_ended(site) {
                let (taken_up, went_on) = outcome(&stream, reply.as_ref());
                self.taken_up += usize::from(taken_up);
                self.went_on += usize::from(went_on);
                found.extend(caller.end(site, now, stream, reply));
            }
            caller.begin(site, now);
        }
        found
    }

    /// Waits for the requests that are under way, and checks their answers.
    pub(crate) fn finish(&mut self, site: &Site, now: Duration) -> Vec<Violation> {
        let mut found = Vec::new();
        for caller in &mut self.callers {
            let idle = Activity::Idle(None, Duration::MAX);
            if let Activity::Waiting(stream, sent) = std::mem::replace(&mut caller.activity, idle) {
                let reply = site.finish(sent);
                found.extend(caller.end(site, now, stream, reply));
            }
        }
        found
    }
}

/// Whether the stream's last attempt took it up, and whether it brought events.
fn outcome(stream: &Stream, reply: Option<&Reply>) -> (bool, bool) {
    let is_taken_up = !stream.body.is_empty();
    let has_events = reply.is_some_and(|reply| whole_events(&reply.body).1 > 0);
    (is_taken_up, is_taken_up && has_events)
}

impl ResumingCaller {
    fn begin(&mut self, site: &Site, now: Duration) {
        let Activity::Idle(stream, due) = &mut self.activity else { return };
        if *due > now {
            return;
        }
        let mut stream = stream.take().unwrap_or_else(|| Stream {
            attempts: Vec::new(),
            model: format!("m{}", self.rng.u8(0..3)),
            events: self.rng.u64(EVENTS),
            body: String::new(),
        });
        let id = site.request_id();
        let terms = stream.terms(&id);
        stream.attempts.push(id);
        let node = self.rng.usize(0..site.node_count());
        let sent = site.begin_with_body(Caller::default(), node, CHAT, terms, "body");
        self.activity = Activity::Waiting(stream, sent);
    }

    fn take_ended(&mut self, site: &Site) -> Option<(Stream, Option<Reply>)> {
        if !matches!(&self.activity, Activity::Waiting(_, sent) if sent.is_finished()) {
            return None;
        }
        let idle = Activity::Idle(None, Duration::ZERO);
        match std::mem::replace(&mut self.activity, idle) {
            Activity::Waiting(stream, sent) => Some((stream, site.finish(sent))),
            Activity::Idle(..) => None,
        }
    }

    /// Handles the end of an attempt: the caller comes back for the rest, or has done.
    fn end(
        &mut self,
        site: &Site,
        now: Duration,
        mut stream: Stream,
        reply: Option<Reply>,
    ) -> Vec<Violation> {
        let found = stream.add(site, reply.as_ref());
        let is_refused = reply.as_ref().is_some_and(|reply| reply.status != 200);
        let is_whole = reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.whole);
        let retry_after = reply.as_ref().and_then(retry_after_ms);
        let has_done = is_whole
            || !found.is_empty()
            || (is_refused && retry_after.is_none())
            || stream.attempts.len() > ATTEMPTS_MAX;
        let wait_ms = retry_after.unwrap_or(0) + self.rng.u64(IDLE_MS);
        let due = now + Duration::from_millis(wait_ms.min(RETURN_MS_MAX));
        self.activity = Activity::Idle((!has_done).then_some(stream), due);
        found
    }
}

impl Stream {
    fn terms(&self, id: &str) -> RequestMetadata {
        let terms = caller_terms(id, Some(&self.model), self.events, &[]);
        match self.attempts.first() {
            Some(first) if !self.body.is_empty() => RequestMetadata {
                last_event_id: Some(whole_events(&self.body).1),
                resumes: Some(RequestId::new(first)),
                ..terms
            },
            _ => terms,
        }
    }

    fn summary(&self) -> String {
        let versions = stream_versions(&self.body);
        let last = whole_events(&self.body).1;
        let Self { attempts, model, events, .. } = self;
        format!("attempts {attempts:?} for {model}, {last} of {events} events, of {versions:?}")
    }

    /// Adds what the last attempt brought, and checks the whole.
    fn add(&mut self, site: &Site, reply: Option<&Reply>) -> Vec<Violation> {
        let before = whole_events(&self.body).1;
        let is_stream = reply.is_some_and(|reply| reply.status == 200);
        if let Some(reply) = reply.filter(|_| is_stream) {
            self.body.push_str(whole_events(&reply.body).0);
        }
        // Attempts before the first event aren't what a caller resumes.
        if self.body.is_empty() {
            self.attempts.clear();
        } else if before == 0 {
            self.attempts.drain(..self.attempts.len() - 1);
        }
        let mut found = Vec::new();
        let mut expect = |promise, holds: bool| {
            if !holds {
                let runs: Vec<_> = self.attempts.iter().map(|id| site.log.runs_of(id)).collect();
                let last = reply.map(|reply| (reply.status, reply.whole));
                let seen = format!("{}, last reply {last:?}, runs {runs:?}", self.summary());
                found.push(Violation { promise, seen });
            }
        };
        let Some(reply) = reply else { return found };
        expect(NOTHING_DENIED, !(400..500).contains(&reply.status));
        let versions = stream_versions(&self.body).len();
        expect("a stream holds events of one software version", versions <= 1);
        let is_own = versions > 1 || is_part_of_stream(&self.body, self.events);
        expect("a stream taken up goes on after its last event", is_own);
        let last = whole_events(&self.body).1;
        let is_complete = !(is_stream && reply.whole) || last == self.events;
        expect("a whole stream has all events", is_complete);
        found
    }
}

fn retry_after_ms(reply: &Reply) -> Option<u64> {
    let seconds: f64 = reply.headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
    Some((seconds * 1000.0) as u64)
}
