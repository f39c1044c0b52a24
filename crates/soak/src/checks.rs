//! What must hold whatever happens, from what callers and backend servers see.

use {
    glade_standins::site::{Reply, RunLog, event_text, stream_versions},
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, TIME_LIMIT},
    std::{fmt, time::Duration},
};

/// Longest time from the writing of a request to the close that it crosses.
const LOST_SLACK: Duration = Duration::from_millis(200);

/// Promise of requests that are properly made.
pub(crate) const NOTHING_DENIED: &str = "nothing proper is denied";

/// A request with what became of it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// Its path.
    pub path: &'static str,
    /// The node that it was sent to.
    pub node: usize,
    /// Whether that node ran undisturbed, and its connections to the request's servers were sound.
    pub is_calm: bool,
    /// Longest time that it can have taken.
    pub took: Duration,
    /// Events of its whole stream.
    pub events: u64,
    /// What its caller got; `None` if the connection broke before an answer began.
    pub reply: Option<Reply>,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.seen)
    }
}

/// Checks one request against what servers ran.
pub fn check(seen: &Seen, log: &RunLog) -> Vec<Violation> {
    let runs = log.runs_of(&seen.id);
    let mut found = Vec::new();
    let mut expect = |promise, holds: bool| {
        if !holds {
            found.push(Violation { promise, seen: format!("{seen:?}, runs {runs:?}") });
        }
    };
    if [CLAIM, BATCH].contains(&seen.path) {
        expect("what may run once isn't repeated", runs.len() <= 1);
    }
    let is_sound = !runs.is_empty() && !runs.iter().any(|run| run.fault.spoils_runs());
    if seen.is_calm && is_sound && seen.took < TIME_LIMIT {
        expect("what sound servers run is answered", seen.reply.as_ref().is_some_and(is_answer));
    }
    let Some(reply) = &seen.reply else { return found };
    expect(NOTHING_DENIED, !(400..500).contains(&reply.status));
    if reply.status == 503 {
        expect("a refusal that says not run is true", runs.is_empty());
        let says_when = reply.headers.contains_key("retry-after");
        expect("a refusal says when to come back", says_when);
    }
    if reply.status != 200 {
        return found;
    }
    if [CLAIM, BROWSE].contains(&seen.path) {
        let to_itself = reply.body.ends_with(&format!("to {}", seen.id));
        expect("an answer belongs to its request", !reply.whole || to_itself);
    }
    if [CHAT, BATCH].contains(&seen.path) {
        let ids = reply.event_ids();
        let expected: Vec<u64> = (1..=ids.len() as u64).collect();
        expect("events come once and in order", ids == expected);
        expect("a whole stream has all events", !reply.whole || ids.len() as u64 == seen.events);
        let own = "a stream holds nothing but its events";
        let versions = reply.versions().len();
        expect("a stream holds events of one software version", versions <= 1);
        expect(own, versions > 1 || is_part_of_stream(&reply.body, seen.events));
    }
    found
}

/// Checks a request that was refused for its key or its team's quota.
pub(crate) fn check_not_run(seen: &Seen, log: &RunLog) -> Option<Violation> {
    let runs = log.runs_of(&seen.id);
    let promise = "a refusal that says not run is true";
    (!runs.is_empty()).then(|| Violation { promise, seen: format!("{seen:?}, runs {runs:?}") })
}

/// Checks a request whose connection was closed without an answer, `after` the request was written.
pub fn check_unanswered(seen: &Seen, after: Duration, log: &RunLog) -> Option<Violation> {
    let arrivals = log.arrivals_of(&seen.id);
    let runs = log.runs_of(&seen.id);
    let is_spoiled = runs.iter().any(|run| run.fault.spoils_runs());
    let counts = seen.is_calm && seen.took < TIME_LIMIT && !is_spoiled;
    let is_lost = counts && (arrivals > 0 || after > LOST_SLACK);
    let promise = "what a node has read is answered";
    let seen = || format!("{seen:?} closed after {after:?}, arrivals {arrivals}, runs {runs:?}");
    is_lost.then(|| Violation { promise, seen: seen() })
}

/// Checks a request that has ended for long against what servers ran.
pub fn check_overlap(seen: &Seen, log: &RunLog) -> Option<Violation> {
    let runs = log.runs_of(&seen.id);
    let overlaps = seen.path == CHAT && seen.is_calm && runs.iter().any(|run| run.overlaps);
    let promise = "no two engines work on a stream";
    overlaps.then(|| Violation { promise, seen: format!("{seen:?}, runs {runs:?}") })
}

/// True if `body` is the beginning of a stream of `events` events, of an engine of any software version.
pub(crate) fn is_part_of_stream(body: &str, events: u64) -> bool {
    let Some(version) = stream_versions(body).first().copied() else {
        let before_version = "id: 1\ndata: ";
        let cut = body.strip_prefix(before_version).unwrap_or_default();
        return (before_version.starts_with(body) || !cut.is_empty()) && !cut.contains('\n');
    };
    let whole: String = (1..=events).map(|id| event_text(id, version)).collect();
    whole.starts_with(body)
}

/// False if the answer was cut, or says that what became of the request is unknown.
fn is_answer(reply: &Reply) -> bool {
    reply.status != 502 && (reply.status != 200 || reply.whole)
}
