//! Callers that keep their connections and send one request after the other on them.

use {
    crate::sent_request::SentRequest,
    glade_clock::Clock,
    glade_standins::site::{KeptConnection, KeptOutcome},
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, EVENTS, HOST, Site, caller_terms},
    std::{mem, ops::Range, sync::Arc, time::Duration},
    tokio::task::JoinHandle,
};

/// Idle time between two requests, in milliseconds.
const SHORT_IDLE_MS: Range<u64> = 0..60;
/// The same now and then; longer than a node that drains waits for the next request.
const LONG_IDLE_MS: Range<u64> = 300..2000;
/// One in so many idle times is long.
const LONG_IDLE_ONE_IN: u8 = 6;
/// Events of a long stream, which outlasts the first seconds of a drain.
const LONG_STREAM_EVENTS: Range<u64> = 100..300;
/// One in so many streams is long.
const LONG_STREAM_ONE_IN: u8 = 3;

/// What a caller does.
#[derive(Debug)]
enum Activity {
    /// It sends its next request at this time.
    Idle(Option<KeptConnection>, Duration),
    /// It waits for an answer.
    Waiting(SentRequest, JoinHandle<(Option<KeptConnection>, KeptOutcome)>),
}

#[derive(Debug)]
struct KeptCaller {
    rng: fastrand::Rng,
    /// The node that it is connected to, or connects to next.
    node: usize,
    activity: Activity,
}

/// All such callers.
#[derive(Debug)]
pub(crate) struct KeptCallers {
    callers: Vec<KeptCaller>,
    clock: Arc<dyn Clock>,
}

impl KeptCallers {
    pub(crate) fn new(callers: usize, rng: &mut fastrand::Rng, clock: Arc<dyn Clock>) -> Self {
        let activity = || Activity::Idle(None, Duration::ZERO);
        let caller = |_| KeptCaller { rng: rng.fork(), node: 0, activity: activity() };
        Self { callers: (0..callers).map(caller).collect(), clock }
    }

    /// Sends the requests that are due.
    pub(crate) fn send_due(&mut self, site: &Site, now: Duration) {
        for caller in &mut self.callers {
            caller.begin(site, now, self.clock.as_ref());
        }
    }

    /// Returns the requests that have ended.
    pub(crate) fn take_ended(
        &mut self,
        site: &Site,
        now: Duration,
    ) -> Vec<(SentRequest, KeptOutcome)> {
        self.callers.iter_mut().filter_map(|caller| caller.end(site, now)).collect()
    }

    /// Waits for the requests that are under way.
    pub(crate) fn finish(self, site: &Site) -> Vec<(SentRequest, KeptOutcome)> {
        let waiting = self.callers.into_iter().filter_map(|caller| match caller.activity {
            Activity::Waiting(request, task) => Some((request, task)),
            Activity::Idle(..) => None,
        });
        waiting.filter_map(|(request, task)| Some((request, site.wait(task)?.1))).collect()
    }
}

impl KeptCaller {
    /// Sends the next request if it is due.
    fn begin(&mut self, site: &Site, now: Duration, clock: &dyn Clock) {
        let Activity::Idle(connection, due) = &mut self.activity else { return };
        if *due > now {
            return;
        }
        let connection = connection.take().filter(|connection| !connection.is_closed());
        if connection.is_none() {
            self.node = self.rng.usize(0..site.node_count());
        }
        let path = [CHAT, CHAT, BATCH, CLAIM, BROWSE][self.rng.usize(0..5)];
        let is_long = self.rng.u8(0..LONG_STREAM_ONE_IN) == 0;
        let events = if is_long { self.rng.u64(LONG_STREAM_EVENTS) } else { EVENTS };
        let model = format!("m{}", self.rng.u8(0..3));
        let model = [CHAT, BATCH].contains(&path).then_some(model.as_str());
        let id = site.request_id();
        let terms = caller_terms(&id, model, events, &[]);
        let request = SentRequest {
            id,
            path,
            node: self.node,
            events,
            sent_at: now,
            began_at: clock.now(),
            places_before: site.log.places(),
        };
        let addr = site.addrs(self.node).callers;
        let task = site.runtime().spawn(async move {
            let opened = match connection {
                Some(connection) => Some(connection),
                None => KeptConnection::open(addr).await,
            };
            let Some(mut connection) = opened else { return (None, KeptOutcome::NotSent) };
            let outcome = connection.send(HOST, path, &terms, "body").await;
            (Some(connection), outcome)
        });
        self.activity = Activity::Waiting(request, task);
    }

    /// Returns the request that was under way if it has ended.
    fn end(&mut self, site: &Site, now: Duration) -> Option<(SentRequest, KeptOutcome)> {
        if !matches!(&self.activity, Activity::Waiting(_, task) if task.is_finished()) {
            return None;
        }
        let idle_ms = match self.rng.u8(0..LONG_IDLE_ONE_IN) {
            0 => LONG_IDLE_MS,
            _ => SHORT_IDLE_MS,
        };
        let due = now + Duration::from_millis(self.rng.u64(idle_ms));
        let ended = mem::replace(&mut self.activity, Activity::Idle(None, due));
        let Activity::Waiting(request, task) = ended else { return None };
        let (connection, outcome) = site.wait(task)?;
        self.activity = Activity::Idle(connection, due);
        Some((request, outcome))
    }
}
