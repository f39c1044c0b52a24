//! Requests whose prompts hold a part that crashes engines, and how many of them reach engines.

use {
    crate::{
        checks::Violation,
        harm::{Harm, Harmed},
    },
    glade_standins::site::{RunLog, SiteServer},
    std::time::Duration,
};

/// The part that crashes engines.
const PART: u64 = 0xdead;
/// Part that all prompts begin with.
const FIRST_PART: u64 = 0xf1;
/// Parts that follow it; each request has one of them.
const MIDDLE_PARTS: u64 = 12;
/// One in so many requests to engines holds the crashing part.
const ONE_IN: u64 = 12;
/// Crashes after which requests with the part are counted.
const COUNTED_CRASHES: u64 = 5;
/// Time from the last of these from which they are counted, by the platform, and time for which a node must have run
/// undisturbed for its requests to count.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Counted requests with the part that may reach engines.
const LATE_ARRIVALS_MAX: usize = 3;

/// A request with the crashing part.
#[derive(Debug)]
struct Sent {
    id: String,
    node: usize,
    at: Duration,
}

/// Draws the parts of prompts, and watches what becomes of requests with the crashing part.
#[derive(Debug)]
pub(crate) struct CrashingPart {
    rng: fastrand::Rng,
    begins_at: Duration,
    sent: Vec<Sent>,
    counted_from: Option<Duration>,
}

impl CrashingPart {
    /// Requests with the part come from `begins_at` on.
    pub(crate) fn new(rng: fastrand::Rng, begins_at: Duration) -> Self {
        Self { rng, begins_at, sent: Vec::new(), counted_from: None }
    }

    /// Draws the parts of the prompt of the request `id`, which is sent to `node`.
    pub(crate) fn draw(&mut self, now: Duration, id: &str, node: usize) -> Vec<u64> {
        let own = self.rng.u64(1 << 32..u64::MAX);
        let middle = 0x100 + self.rng.u64(0..MIDDLE_PARTS);
        if self.rng.u64(0..ONE_IN) > 0 || now < self.begins_at {
            return vec![FIRST_PART, middle, own];
        }
        self.sent.push(Sent { id: id.to_owned(), node, at: now });
        vec![FIRST_PART, middle, PART, own]
    }

    /// Has all `engines` crash on the part, and notes when requests with it begin to count.
    pub(crate) fn watch(&mut self, now: Duration, engines: &[SiteServer]) {
        engines.iter().for_each(|engine| engine.crash_on(Some(PART)));
        let crashes: u64 = engines.iter().map(SiteServer::crashes).sum();
        if crashes >= COUNTED_CRASHES {
            self.counted_from.get_or_insert(now + CONTACT_TIME);
        }
    }

    /// Checks how many of the counted requests have reached engines.
    pub(crate) fn check(&self, log: &RunLog, harm: &Harm) -> Option<Violation> {
        let counted_from = self.counted_from?;
        let is_in_touch = |sent: &&Sent| {
            let since = sent.at.saturating_sub(CONTACT_TIME);
            !harm.is_harmed_since(Harmed::Node(sent.node), since)
        };
        let counted = self.sent.iter().filter(|sent| sent.at > counted_from).filter(is_in_touch);
        let arrived: Vec<(&str, usize)> = counted
            .map(|sent| (sent.id.as_str(), log.arrivals_of(&sent.id)))
            .filter(|(_, arrivals)| *arrivals > 0)
            .collect();
        let arrivals: usize = arrived.iter().map(|(_, arrivals)| arrivals).sum();
        let promise = "few requests with a part that crashes engines reach them";
        let seen = format!("from {counted_from:?} on: {arrived:?}");
        (arrivals > LATE_ARRIVALS_MAX).then_some(Violation { promise, seen })
    }
}
