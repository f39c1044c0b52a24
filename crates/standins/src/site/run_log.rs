//! What backend servers were sent and have run.

use {
    crate::site::{engine_fault::EngineFault, work::Work},
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time for which two servers may work on one request, in steps: while the process gets no processor
/// time, little of it passes.
const OVERLAP_STEP: Duration = Duration::from_millis(10);
const OVERLAP_STEPS: u32 = 40;

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub request_id: String,
    /// The server.
    pub server: String,
    /// Version of the server's software.
    pub version: String,
    /// The caller's request that it said to have begun the stream.
    pub resumes: Option<String>,
    /// Last event that the caller of the run had already.
    pub resumed_after: Option<u64>,
    /// Whether its engine kept a place for it.
    pub reserved: bool,
    /// What was wrong with its server when it began.
    pub fault: EngineFault,
    /// Whether the run came to its end.
    pub ended: bool,
    /// Whether its caller left before the end of its stream.
    pub left: bool,
    /// Whether its server works on it no more.
    pub stopped: bool,
    /// Whether a run before it was still worked on long after its beginning, and it hadn't failed by then.
    pub overlaps: bool,
}

/// What the headers of a request that a server got say of its team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenTeam {
    /// The request; empty for a request for a place.
    pub request_id: String,
    /// Names of teams, one for each header.
    pub teams: Vec<String>,
    /// Whether the server got a key.
    pub has_key: bool,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct Entries {
    /// One for each request to a server.
    seen_teams: Vec<SeenTeam>,
    runs: Vec<Run>,
    /// Requests that were rejected, each with the server.
    rejections: Vec<(String, String)>,
    places: Vec<Place>,
    /// Requests that have reached a server.
    arrivals: Vec<Arrival>,
}

/// A request that has reached a server.
#[derive(Debug)]
struct Arrival {
    request_id: String,
    server: String,
    at: Instant,
}

/// A place that a server has kept.
#[derive(Debug)]
struct Place {
    name: String,
    server: String,
    /// Whether a request has come for it.
    claimed: bool,
}

/// What all servers have run, in the order of its beginning, and what else they were asked. Clones share
/// the same entries.
#[derive(Clone, Debug, Default)]
pub struct RunLog(Arc<Mutex<Entries>>);

impl RunLog {
    /// All runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Runs of one request.
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        let is_of = |run: &&Run| run.request_id == request_id;
        self.lock().runs.iter().filter(is_of).cloned().collect()
    }

    /// What the servers were told of teams, by all requests so far.
    pub fn seen_teams(&self) -> Vec<SeenTeam> {
        self.lock().seen_teams.clone()
    }

    /// A server gets a request.
    pub(crate) fn see_team(&self, seen: SeenTeam) {
        self.lock().seen_teams.push(seen);
    }

    /// Number of times that a request has reached a server, which has run or rejected it.
    pub fn arrivals_of(&self, request_id: &str) -> usize {
        let entries = self.lock();
        let runs = entries.runs.iter().filter(|run| run.request_id == request_id).count();
        runs + entries.rejections.iter().filter(|(id, _)| id == request_id).count()
    }

    /// When requests have reached `server`, in their order.
    pub fn arrival_times(&self, server: &str) -> Vec<Instant> {
        self.arrivals_at(server).into_iter().map(|(_, at)| at).collect()
    }

    /// Requests that have reached `server`, with the times, in their order.
    pub fn arrivals_at(&self, server: &str) -> Vec<(String, Instant)> {
        let entries = self.lock();
        let at_server = entries.arrivals.iter().filter(|arrival| arrival.server == server);
        at_server.map(|arrival| (arrival.request_id.clone(), arrival.at)).collect()
    }

    /// Records that a request has reached `server` at `at`.
    pub fn arrive_at(&self, request_id: &str, server: &str, at: Instant) {
        self.lock().arrive(request_id, server, at);
    }

    /// Servers that have run or rejected a request, or kept a place that nobody came for, of those after
    /// the first `places_before`: it may have been this request's.
    pub fn servers_of(&self, request_id: &str, places_before: usize) -> BTreeSet<String> {
        let entries = self.lock();
        let runs = entries.runs.iter().map(|run| (&run.request_id, &run.server));
        let rejections = entries.rejections.iter().map(|(id, server)| (id, server));
        let asked = runs.chain(rejections).filter(|(id, _)| *id == request_id);
        let places = entries.places.iter().skip(places_before).filter(|place| !place.claimed);
        let kept = places.map(|place| &place.server);
        asked.map(|(_, server)| server).chain(kept).cloned().collect()
    }

    /// Places that servers have kept so far.
    pub fn places(&self) -> usize {
        self.lock().places.len()
    }

    /// A server begins to work on a request.
    pub(crate) fn begin(&self, run: Run) -> Work {
        let mut entries = self.lock();
        let position = entries.runs.len();
        let is_elsewhere = entries.is_worked_on(&run.request_id, position);
        entries.arrive(&run.request_id, &run.server, Instant::now());
        entries.runs.push(run);
        if is_elsewhere {
            tokio::spawn(self.clone().watch_overlap(position));
        }
        Work::new(self, position)
    }

    /// A server ends with all that it runs.
    pub(crate) fn crash(&self, server: &str) {
        let mut entries = self.lock();
        let running = entries.runs.iter_mut().filter(|run| run.server == server && !run.ended);
        running.for_each(|run| run.fault = EngineFault::Crashes);
    }

    pub(crate) fn change(&self, position: usize, change: impl FnOnce(&mut Run)) {
        change(&mut self.lock().runs[position]);
    }

    /// A server rejects a request.
    pub(crate) fn reject(&self, request_id: &str, server: &str) {
        let mut entries = self.lock();
        entries.arrive(request_id, server, Instant::now());
        entries.rejections.push((request_id.to_owned(), server.to_owned()));
    }

    /// A server keeps a place.
    pub(crate) fn keep_place(&self, name: &str, server: &str) {
        let (name, server) = (name.to_owned(), server.to_owned());
        self.lock().places.push(Place { name, server, claimed: false });
    }

    /// A request has come for a place.
    pub(crate) fn claim_place(&self, name: &str) {
        let mut entries = self.lock();
        let place = entries.places.iter_mut().rev().find(|place| place.name == name);
        place.into_iter().for_each(|place| place.claimed = true);
    }

    /// Notes whether a run before the one at `position` goes on for long beside it, unless that has failed.
    async fn watch_overlap(self, position: usize) {
        for _ in 0..OVERLAP_STEPS {
            sleep(OVERLAP_STEP).await;
        }
        let mut entries = self.lock();
        let run = entries.runs[position].clone();
        let has_failed = run.stopped && !run.ended;
        entries.runs[position].overlaps =
            !has_failed && entries.is_worked_on(&run.request_id, position);
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entries {
    fn arrive(&mut self, request_id: &str, server: &str, at: Instant) {
        let (request_id, server) = (request_id.to_owned(), server.to_owned());
        self.arrivals.push(Arrival { request_id, server, at });
    }

    /// True if a run of the request that began before the one at `position` hasn't stopped.
    fn is_worked_on(&self, request_id: &str, position: usize) -> bool {
        self.runs[..position].iter().any(|run| !run.stopped && run.request_id == request_id)
    }
}
