//! Servers that name limits on their requests for a while, and how many requests they get then.

use {
    crate::checks::Violation,
    glade_standins::site::{RunLog, SiteServer},
    std::{
        ops::Range,
        time::{Duration, Instant},
    },
};

/// Shortest and longest time for which a server names a limit, and for which it names none after that.
const TIMES_S: Range<f64> = 4.0..9.0;
/// Limits, in requests per second, the least and the highest.
const RATES: Range<f64> = 0.3..8.0;
/// Time after a server first named its limit from which its requests count.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time over which requests are counted, and what of the limit, and beyond it, is allowed in it.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_SHARE: f64 = 1.5;
const ALLOWED_BEYOND: f64 = 5.0;

/// A time for which a run of a server named a limit.
#[derive(Clone, Copy, Debug)]
struct Named {
    server: usize,
    per_second: f64,
    /// When an answer first named it.
    since: Option<Instant>,
    until: Option<Instant>,
}

/// What one server names, and when it changes its mind.
#[derive(Clone, Copy, Debug)]
struct Turn {
    run: u64,
    changes_at: Duration,
    named: Option<usize>,
}

/// Has servers name limits, and watches them.
#[derive(Debug)]
pub(crate) struct NamedLimits {
    rng: fastrand::Rng,
    begins_at: Duration,
    turns: Vec<Turn>,
    named: Vec<Named>,
}

impl NamedLimits {
    /// Servers name limits from `begins_at` on.
    pub(crate) fn new(rng: fastrand::Rng, begins_at: Duration) -> Self {
        Self { rng, begins_at, turns: Vec::new(), named: Vec::new() }
    }

    /// Has `servers` change what they name, where it is time. A run that begins anew names its limit anew.
    pub(crate) fn play<'a>(
        &mut self,
        now: Duration,
        servers: impl Iterator<Item = &'a SiteServer>,
    ) {
        for (position, server) in servers.enumerate() {
            if self.turns.len() <= position {
                let changes_at = self.begins_at + self.draw_time();
                self.turns.push(Turn { run: server.run(), changes_at, named: None });
            }
            let is_new_run = self.turns[position].run != server.run();
            self.turns[position].run = server.run();
            let is_due = self.turns[position].changes_at <= now;
            if !is_due && !is_new_run {
                continue;
            }
            let before = self.end(position, server);
            let per_second = match (is_due, before) {
                (true, None) => Some(self.draw_rate()),
                (true, Some(_)) => None,
                (false, before) => before,
            };
            server.state_limit(per_second.map(|rate| rate.to_string()).as_deref());
            if let Some(per_second) = per_second {
                self.turns[position].named = Some(self.named.len());
                self.named.push(Named { server: position, per_second, since: None, until: None });
            }
            if is_due {
                self.turns[position].changes_at = now + self.draw_time();
            }
        }
    }

    /// Ends all limits.
    pub(crate) fn stop<'a>(&mut self, servers: impl Iterator<Item = &'a SiteServer>) {
        for (position, server) in servers.enumerate() {
            if position < self.turns.len() {
                self.end(position, server);
            }
            server.state_limit(None);
        }
    }

    /// Checks what servers got while they named limits. Nothing excuses a node.
    pub(crate) fn check(&self, log: &RunLog, ids: &[&str]) -> Vec<Violation> {
        self.named.iter().filter_map(|named| self.check_one(named, log, ids)).collect()
    }

    fn check_one(&self, named: &Named, log: &RunLog, ids: &[&str]) -> Option<Violation> {
        let (from, until) = (named.since? + CONTACT_TIME, named.until?);
        let arrivals = log.arrival_times(ids[named.server]);
        let counted: Vec<Instant> =
            arrivals.into_iter().filter(|at| *at >= from && *at < until).collect();
        let in_window = |at: &Instant| {
            counted.iter().filter(|other| *other >= at && **other < *at + WINDOW).count()
        };
        let most = counted.iter().map(in_window).max().unwrap_or(0);
        let allowed = ALLOWED_SHARE * named.per_second * WINDOW.as_secs_f64() + ALLOWED_BEYOND;
        let promise = "a server gets no more than the limit that it names";
        let (id, rate) = (ids[named.server], named.per_second);
        let seen =
            || format!("{id}: {most} requests in 4 s at {rate:.1} a second, allowed {allowed:.1}");
        (most as f64 > allowed).then(|| Violation { promise, seen: seen() })
    }

    /// Notes that a server names its limit no longer; returns the limit.
    fn end(&mut self, position: usize, server: &SiteServer) -> Option<f64> {
        let named = &mut self.named[self.turns[position].named.take()?];
        (named.since, named.until) = (server.limit_stated_at(), Some(Instant::now()));
        Some(named.per_second)
    }

    fn draw_time(&mut self) -> Duration {
        Duration::from_secs_f64(TIMES_S.start + self.rng.f64() * (TIMES_S.end - TIMES_S.start))
    }

    fn draw_rate(&mut self) -> f64 {
        RATES.start + self.rng.f64() * (RATES.end - RATES.start)
    }
}
