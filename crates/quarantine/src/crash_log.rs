//! Attempts that broke when their engines ended, and the parts of prompts that explain these crashes.
//!
//! A part is quarantined if requests with it were among those whose answers hadn't begun at several crashes, at moments
//! of their own, and if none of its requests has been answered since the first of them. Requests that only happened to
//! be at a crashed engine are repeated elsewhere and answered, which clears all their parts; a part that most requests
//! share is cleared all the time. Parts that can't be told apart yet, because every such request holds all of them, are
//! quarantined as a combination, so that requests which hold only some of them are still sent.

use {
    crate::{contains_all, fingerprint::Fingerprint, quarantine::Quarantine},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Moments of crashes after which a part is quarantined.
const MOMENTS_MIN: usize = 3;
/// Crashes after which a single request is blamed that was sent more than once. The next of its sends may be many: all
/// that wait for the same server.
const SINGLE_REQUEST_CRASHES_MIN: usize = 2;
/// The same for a part that different requests share, several of them at each crash.
const WIDELY_SHARED_MOMENTS_MIN: usize = 6;
/// Requests with a part at a crash, on average, above which the part is widely shared.
const REQUESTS_PER_CRASH_MAX: usize = 2;
/// Requests with a part, different ones, that must have been at crashes. The attempts of one unlucky request prove
/// little.
const REQUESTS_MIN: usize = 2;
/// Requests with a part that were each at several crashes, from which on two moments suffice to blame the part. Servers that
/// end together for a cause of their own don't all run the same requests.
const REPEATED_REQUESTS_MIN: usize = 2;
/// Moments of crashes after which it is asked whether requests with a part are answered.
const SUSPECT_MOMENTS_MIN: usize = 2;
/// Crashes within this time count as one moment: engines that end together have a cause of their own, and nodes notice
/// the same crash up to about 100 ms apart.
const MOMENT: Duration = Duration::from_millis(120);
/// Time within which the end of an engine must be known, before or after the attempts that broke there. Without it
/// only connections broke.
const CONFIRMED_WITHIN: Duration = Duration::from_secs(5);
/// Time for which crashes are kept.
const CRASH_KEPT_FOR: Duration = Duration::from_secs(120);
/// Largest number of crashes that are kept.
const CRASHES_MAX: usize = 128;
/// Largest number of broken attempts that are kept for a crash.
const ATTEMPTS_PER_CRASH_MAX: usize = 64;
/// Largest number of parts that are kept for an attempt: the first ones, and the last one, which stands for the request
/// itself.
const PARTS_PER_ATTEMPT_MAX: usize = 16;
/// Largest number of suspected parts. A crash has up to some hundred requests, most of which are answered elsewhere soon.
const SUSPECTS_MAX: usize = 256;

/// An attempt that broke before its answer had begun, or just after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LostAttempt {
    /// Hash that identifies the run of the server.
    pub server: u32,
    /// Hash of the request's id.
    pub request: u64,
    /// Hashes of the prompt's parts that other requests may share, in their order, and then the fingerprint of the
    /// request itself. Nodes of earlier versions leave the fingerprint out.
    pub parts: Vec<u64>,
}

impl LostAttempt {
    fn bound_parts(&mut self) {
        if self.parts.len() > PARTS_PER_ATTEMPT_MAX {
            self.parts.drain(PARTS_PER_ATTEMPT_MAX - 1..self.parts.len() - 1);
        }
    }
}

/// A combination of parts that explains crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attribution {
    /// Hashes of the parts, in the order of the prompt.
    pub parts: Vec<u64>,
    /// Number of crashes that the parts explain.
    pub crashes: u32,
}

#[derive(Clone, Debug)]
struct Crash {
    server: u32,
    at: Instant,
    /// The server is known to have ended.
    is_confirmed: bool,
    attempts: Vec<KeptAttempt>,
}

#[derive(Clone, Debug)]
struct KeptAttempt {
    attempt: LostAttempt,
    /// Its parts of which no request was answered since.
    open_parts: Vec<u64>,
}

/// The recent crashes of engines, as far as one node has heard of them.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    crashes: VecDeque<Crash>,
    /// Servers that have ended recently.
    ended: VecDeque<(u32, Instant)>,
    /// Parts that were at several crashes, and since when that is known.
    suspected_since: BTreeMap<u64, Instant>,
    /// Single requests that were at one crash. Others may ask for the same, and be answered.
    at_one_crash: BTreeSet<u64>,
    /// Something was recorded since the last attribution.
    has_changed: bool,
    /// When the next suspect may be blamed although nothing more is recorded.
    next_blame_at: Option<Instant>,
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
struct Tally {
    moments: usize,
    last_moment_at: Option<Instant>,
    crashes: usize,
    /// Requests with the part, and the number of crashes that each was at.
    requests: BTreeMap<u64, usize>,
    attempts: usize,
    /// The parts that all attempts with this one hold, in the order of the prompt.
    common_parts: Vec<u64>,
    /// Those of them of which no request was answered since.
    open_parts: Vec<u64>,
}

impl CrashLog {
    /// Records an attempt that broke.
    pub fn on_lost(&mut self, now: Instant, mut attempt: LostAttempt) {
        attempt.bound_parts();
        if attempt.parts.is_empty() {
            return;
        }
        self.has_changed = true;
        let server = attempt.server;
        let is_confirmed = self.ended.iter().any(|(ended, _)| *ended == server);
        let known = self.crashes.iter().position(|crash| crash.server == server);
        let position = known.unwrap_or_else(|| {
            if self.crashes.len() == CRASHES_MAX {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash { server, at: now, is_confirmed, attempts: Vec::new() });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[position];
        let is_known = crash.attempts.iter().any(|kept| kept.attempt == attempt);
        if !is_known && crash.attempts.len() < ATTEMPTS_PER_CRASH_MAX {
            let open_parts = attempt.parts.clone();
            crash.attempts.push(KeptAttempt { attempt, open_parts });
        }
    }

    /// Records that a server has ended.
    pub fn on_ended(&mut self, now: Instant, server: u32) {
        if self.ended.iter().any(|(ended, _)| *ended == server) {
            return;
        }
        if self.ended.len() == CRASHES_MAX {
            self.ended.pop_front();
        }
        self.has_changed = true;
        self.ended.push_back((server, now));
        let of_server = self.crashes.iter_mut().filter(|crash| crash.server == server);
        of_server.for_each(|crash| crash.is_confirmed = true);
    }

    /// Servers at which attempts broke and which aren't known to have ended.
    pub fn unconfirmed(&self) -> impl Iterator<Item = u32> + '_ {
        self.crashes.iter().filter(|crash| !crash.is_confirmed).map(|crash| crash.server)
    }

    /// Records that requests with `parts` were answered: these parts explain no crash.
    pub fn on_served(&mut self, parts: &[u64]) {
        self.has_changed = true;
        for crash in &mut self.crashes {
            for kept in &mut crash.attempts {
                kept.open_parts.retain(|part| !parts.contains(part));
            }
            crash.attempts.retain(|kept| !kept.open_parts.is_empty());
        }
        self.suspected_since.retain(|part, _| !parts.contains(part));
        self.at_one_crash.retain(|part| !parts.contains(part));
    }

    /// The parts of which it must be known whether requests with them are answered.
    pub fn suspects(&self) -> impl Iterator<Item = u64> + '_ {
        let suspects = self.suspected_since.keys().chain(&self.at_one_crash);
        suspects.copied().take(SUSPECTS_MAX)
    }

    /// True if nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Names the combinations of parts that explain the crashes which `quarantine` doesn't explain, the most likely
    /// first, and updates the suspects. An answer to a request with a suspected part becomes known here within
    /// `answer_known_within`; no part is blamed before.
    pub fn attribute(
        &mut self,
        now: Instant,
        quarantine: &Quarantine,
        answer_known_within: Duration,
    ) -> Vec<Attribution> {
        self.forget_old(now);
        let is_due = self.next_blame_at.is_some_and(|at| at <= now);
        if !std::mem::take(&mut self.has_changed) && !is_due {
            return Vec::new();
        }
        let suspected_by = now.checked_sub(answer_known_within).unwrap_or(now);
        let mut open: Vec<OpenCrash> = self
            .crashes
            .iter()
            .filter(|crash| crash.is_confirmed)
            .filter_map(|crash| OpenCrash::new(crash, quarantine))
            .collect();
        let tallies = tally(&open);
        let is_suspect = |(part, tally): &(&u64, &Tally)| {
            let is_single = Fingerprint::is_of_single_request(**part);
            tally.moments >= SUSPECT_MOMENTS_MIN
                || is_single && tally.crashes >= SINGLE_REQUEST_CRASHES_MIN
        };
        let suspects = tallies
            .iter()
            .filter(is_suspect)
            .map(|(part, _)| (*part, self.suspected_since.get(part).copied().unwrap_or(now)));
        let suspected_since: BTreeMap<u64, Instant> = suspects.collect();
        let single = tallies.keys().filter(|part| Fingerprint::is_of_single_request(**part));
        let at_one_crash = single.filter(|part| !suspected_since.contains_key(*part)).copied();
        self.at_one_crash = at_one_crash.collect();
        let mut found = Vec::new();
        while let Some(attribution) = most_likely(&tally(&open), &suspected_since, suspected_by) {
            open.retain_mut(|crash| crash.remains_open(&attribution.parts));
            found.push(attribution);
        }
        let blame_at = suspected_since.values().map(|since| *since + answer_known_within);
        self.next_blame_at = blame_at.filter(|at| *at > now).min();
        self.suspected_since = suspected_since;
        found
    }

    fn forget_old(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.crashes.retain(|crash| {
            let kept_for = if crash.is_confirmed { CRASH_KEPT_FOR } else { CONFIRMED_WITHIN };
            age(crash.at) < kept_for && !crash.attempts.is_empty()
        });
        self.ended.retain(|(_, at)| age(*at) < CONFIRMED_WITHIN);
    }
}

/// A crash for which a cause is still looked for.
///
/// A single request that is kept away explains a crash. The request may owe that to a part which other requests hold
/// too, so the crash goes on to count for the parts of that request, and for no parts of others that were there. It
/// counts for these other requests as well: several that were at the same crashes can't be told apart.
struct OpenCrash<'a> {
    at: Instant,
    attempts: Vec<&'a KeptAttempt>,
    /// Fingerprints of requests that are kept away and explain the crash.
    explained_by: BTreeSet<u64>,
}

impl<'a> OpenCrash<'a> {
    /// Returns `None` if parts that `quarantine` keeps away explain the crash.
    fn new(crash: &'a Crash, quarantine: &Quarantine) -> Option<Self> {
        let attempts = crash.attempts.iter().collect();
        let mut open = Self { at: crash.at, attempts, explained_by: BTreeSet::new() };
        quarantine.combinations().all(|parts| open.remains_open(parts)).then_some(open)
    }

    /// Takes into account that the combination `parts` is kept away. Returns false if it explains the crash and is
    /// not that of a single request.
    fn remains_open(&mut self, parts: &[u64]) -> bool {
        if !self.attempts.iter().any(|kept| contains_all(&kept.attempt.parts, parts)) {
            return true;
        }
        let Some(request) = single_request(parts) else { return false };
        self.explained_by.insert(request);
        true
    }

    /// The attempts for whose parts the crash counts.
    fn blamable(&self, part: u64) -> impl Iterator<Item = &'a KeptAttempt> {
        let is_open_for = move |kept: &&KeptAttempt| {
            let own = single_request(&kept.attempt.parts);
            Fingerprint::is_of_single_request(part)
                || self.explained_by.is_empty()
                || own.is_some_and(|request| self.explained_by.contains(&request))
        };
        let attempts = self.attempts.iter().copied().filter(is_open_for);
        attempts.filter(move |kept| kept.open_parts.contains(&part))
    }

    /// The parts of which no request was answered since, and that aren't known to explain the crash.
    fn parts(&self) -> BTreeSet<u64> {
        let parts = self.attempts.iter().flat_map(|kept| &kept.open_parts).copied();
        parts.filter(|part| !self.explained_by.contains(part)).collect()
    }
}

/// The fingerprint of the single request whose parts these are.
fn single_request(parts: &[u64]) -> Option<u64> {
    parts.last().copied().filter(|part| Fingerprint::is_of_single_request(*part))
}

/// Adds up what `crashes`, in the order of their times, show of each part.
fn tally(crashes: &[OpenCrash]) -> BTreeMap<u64, Tally> {
    let mut tallies: BTreeMap<u64, Tally> = BTreeMap::new();
    for crash in crashes {
        for part in crash.parts() {
            let attempts: Vec<&KeptAttempt> = crash.blamable(part).collect();
            if attempts.is_empty() {
                continue;
            }
            let tally = tallies.entry(part).or_default();
            let is_single = Fingerprint::is_of_single_request(part);
            tally.add_crash(crash.at);
            attempts.iter().for_each(|kept| tally.add(kept, is_single));
        }
    }
    tallies
}

impl Tally {
    fn add_crash(&mut self, at: Instant) {
        let is_new_moment = |last: Instant| at.saturating_duration_since(last) >= MOMENT;
        if self.last_moment_at.is_none_or(is_new_moment) {
            self.moments += 1;
            self.last_moment_at = Some(at);
        }
        self.crashes += 1;
    }

    /// Adds an attempt with the part, which `is_single` if it stands for a request itself.
    fn add(&mut self, kept: &KeptAttempt, is_single: bool) {
        let KeptAttempt { attempt, open_parts } = kept;
        if self.attempts == 0 {
            self.common_parts.clone_from(&attempt.parts);
            self.open_parts.clone_from(open_parts);
        } else {
            self.common_parts.retain(|part| attempt.parts.contains(part));
            self.open_parts.retain(|part| open_parts.contains(part));
        }
        self.attempts += 1;
        // A part has to be in requests that differ; a request has to be sent more than once.
        let own = attempt.parts.last().filter(|part| Fingerprint::is_of_single_request(**part));
        let request = own.filter(|_| !is_single).copied().unwrap_or(attempt.request);
        *self.requests.entry(request).or_default() += 1;
    }

    /// True if the part is in several requests at each crash that have nothing else in common, as the first part of
    /// most prompts is.
    fn is_widely_shared(&self) -> bool {
        self.common_parts.len() <= 1 && self.is_crowded()
    }

    /// True if several requests with the part, and with another one in common, were each at several crashes, and none of
    /// them was at most.
    fn is_in_repeated_requests(&self) -> bool {
        let is_repeated = |crashes: &&usize| **crashes >= SINGLE_REQUEST_CRASHES_MIN;
        let repeated = self.requests.values().filter(is_repeated).count();
        let most_of_one = self.requests.values().max().copied().unwrap_or(0);
        self.common_parts.len() > 1
            && repeated >= REPEATED_REQUESTS_MIN
            && 2 * most_of_one <= self.crashes
    }

    /// True if many at each crash had the part.
    fn is_crowded(&self) -> bool {
        self.attempts > REQUESTS_PER_CRASH_MAX * self.crashes
    }

    /// True if the tally of `part` suffices to blame it.
    fn suffices(&self, part: u64) -> bool {
        let is_single = Fingerprint::is_of_single_request(part);
        // Servers that end together for a cause of their own don't all run the same request, unless many ask for the same.
        let suffices = if is_single && !self.is_crowded() {
            self.crashes >= SINGLE_REQUEST_CRASHES_MIN
        } else if self.is_widely_shared() && !is_single {
            self.moments >= WIDELY_SHARED_MOMENTS_MIN
        } else if !is_single && self.is_in_repeated_requests() {
            self.moments >= SUSPECT_MOMENTS_MIN
        } else {
            self.moments >= MOMENTS_MIN
        };
        suffices && self.requests.len() >= REQUESTS_MIN
    }
}

/// The combination that explains most crashes, of those that explain enough, if it was suspected at `suspected_by`. Until
/// then no other is blamed that explains fewer: it would hide the crashes that both were at.
fn most_likely(
    tallies: &BTreeMap<u64, Tally>,
    suspected_since: &BTreeMap<u64, Instant>,
    suspected_by: Instant,
) -> Option<Attribution> {
    let is_due = |part: &u64| suspected_since.get(part).is_some_and(|at| *at <= suspected_by);
    let sufficient = tallies.iter().filter(|(part, tally)| tally.suffices(**part));
    let best = sufficient.max_by_key(|(part, tally)| {
        (
            !tally.is_widely_shared(),
            tally.crashes,
            // Of several explanations, the one that keeps the fewest requests away.
            Fingerprint::is_of_single_request(**part),
            tally.common_parts.len(),
            Reverse(tally.attempts),
        )
    });
    let (_, best) = best.filter(|(part, _)| is_due(part))?;
    let crashes = u32::try_from(best.crashes).unwrap_or(u32::MAX);
    Some(Attribution { parts: best.open_parts.clone(), crashes })
}
