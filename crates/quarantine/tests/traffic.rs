//! Traffic on engines that some requests crash, in virtual time: what reaches engines, and what sound requests get.

use {
    fastrand::Rng,
    glade_quarantine::{CrashLog, LostAttempt, Quarantine},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Time after the fifth crash from which requests with a crashing part are counted: what nodes need to hear of each
/// other.
const CONTACT_MS: u64 = 3_000;
/// Counted requests with a crashing part that may reach engines, those of trials included.
const LATE_ARRIVALS_MAX: usize = 3;
/// Crashes after which requests are counted.
const COUNTED_CRASHES: usize = 5;
/// The same for one request that comes again and again.
const COUNTED_CRASHES_OF_ONE: usize = 3;
/// Time that is left for answers to requests with suspected parts to become known.
const ANSWER_KNOWN_WITHIN: Duration = Duration::from_millis(300);
/// Step of the virtual time.
const STEP_MS: u64 = 5;
/// Time for which a crashed engine is away.
const RESTART_MS: u64 = 3_000;
/// Time for which a request waits at an engine, and for which it is answered then.
const WAIT_MS: u64 = 60;
const ANSWER_MS: u64 = 1_200;
/// Time from the start of an answer after which it is sure that the request doesn't crash its engine.
const SURE_MS: u64 = 200;
/// Longest time until a crash or an answer is known where parts are blamed.
const REPORT_MS_MAX: u64 = 120;
const SHARED: u64 = 1;
/// Fingerprints of requests, one for each.
const FINGERPRINTS: u64 = 0xf17e << 48;
/// The fingerprint of the request that crashes servers.
const CRASHING_REQUEST: u64 = FINGERPRINTS | 1 << 40;

/// The load and what goes wrong.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    engines: u32,
    /// Requests per second.
    rate: f64,
    /// Share of the requests that hold a crashing part.
    crashing_share: f64,
    /// Crashing parts, each of which comes for an equal part of the time.
    crashing_parts: u64,
    /// The crashing requests are one that comes again and again: its fingerprint is the crashing part.
    is_one_request: bool,
    /// Middle parts that sound requests and crashing ones share; none if there are no prompts.
    middle_parts: u64,
    /// Share of the engines that end at the same moment for another cause, every second.
    other_crashes: f64,
}

#[derive(Clone, Debug)]
struct Running {
    request: u64,
    engine: u32,
    parts: Vec<u64>,
    began_ms: u64,
    attempt: u32,
}

/// A report that is under way.
#[derive(Clone, Debug)]
enum Report {
    Lost(LostAttempt),
    Ended(u32),
    Served(Vec<u64>),
}

struct World {
    scenario: Scenario,
    rng: Rng,
    began_at: Instant,
    now_ms: u64,
    log: CrashLog,
    quarantine: Quarantine,
    /// When an engine is back, and its incarnation.
    engines: Vec<(u64, u32)>,
    running: Vec<Running>,
    reports: BTreeMap<(u64, u64), Report>,
    next_id: u64,
    crashes_ms: Vec<u64>,
    /// When requests with a crashing part reached engines.
    arrivals_ms: Vec<u64>,
    trials: usize,
    /// Sound requests that were sent and refused, by second.
    sound_sent: BTreeMap<u64, usize>,
    sound_refused: BTreeMap<u64, usize>,
}

impl World {
    fn new(seed: u64, scenario: Scenario) -> Self {
        Self {
            scenario,
            rng: Rng::with_seed(seed),
            began_at: Instant::now(),
            now_ms: 0,
            log: CrashLog::default(),
            quarantine: Quarantine::default(),
            engines: vec![(0, 0); scenario.engines as usize],
            running: Vec::new(),
            reports: BTreeMap::new(),
            next_id: 0,
            crashes_ms: Vec::new(),
            arrivals_ms: Vec::new(),
            trials: 0,
            sound_sent: BTreeMap::new(),
            sound_refused: BTreeMap::new(),
        }
    }

    fn play(mut self, seconds: u64) -> Self {
        while self.now_ms < seconds * 1_000 {
            self.now_ms += STEP_MS;
            self.deliver_reports();
            let now = self.now();
            for found in self.log.attribute(now, &self.quarantine, ANSWER_KNOWN_WITHIN) {
                self.quarantine.add(now, &found);
            }
            if self.now_ms.is_multiple_of(1_000) {
                self.crash_for_another_cause();
            }
            self.work();
            let due = self.scenario.rate * STEP_MS as f64 / 1_000.0;
            let count = due as u32 + u32::from(self.rng.f64() < due.fract());
            (0..count).for_each(|_| self.arrive(seconds));
        }
        self
    }

    fn now(&self) -> Instant {
        self.began_at + Duration::from_millis(self.now_ms)
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn report(&mut self, report: Report) {
        let at = self.now_ms + self.rng.u64(0..REPORT_MS_MAX);
        let id = self.id();
        self.reports.insert((at, id), report);
    }

    fn deliver_reports(&mut self) {
        let later = self.reports.split_off(&(self.now_ms + 1, 0));
        let now = self.now();
        for report in std::mem::replace(&mut self.reports, later).into_values() {
            match report {
                Report::Lost(attempt) => self.log.on_lost(now, attempt),
                Report::Ended(server) => self.log.on_ended(now, server),
                Report::Served(parts) => {
                    self.log.on_served(&parts);
                    self.quarantine.on_served(now, &parts);
                }
            }
        }
    }

    fn arrive(&mut self, seconds: u64) {
        let request = self.id();
        let mut parts = Vec::new();
        if self.scenario.middle_parts > 0 {
            parts.extend([SHARED, 100 + self.rng.u64(0..self.scenario.middle_parts)]);
        }
        let is_crashing = self.rng.f64() < self.scenario.crashing_share;
        if is_crashing {
            let part = self.now_ms * self.scenario.crashing_parts / (seconds * 1_000 + 1);
            parts.push(match self.scenario.is_one_request {
                true => CRASHING_REQUEST,
                false => crashing_part(part),
            });
        }
        if !is_crashing || !self.scenario.is_one_request {
            parts.push(FINGERPRINTS | request);
        }
        let second = self.now_ms / 1_000;
        let is_trial = self.is_trial(&parts);
        if !is_crashing {
            *self.sound_sent.entry(second).or_default() += 1;
            if self.quarantine.blocks(&parts) && !is_trial {
                *self.sound_refused.entry(second).or_default() += 1;
            }
        }
        self.trials += usize::from(is_trial && is_crashing);
        self.send(request, parts, if is_trial { 2 } else { 1 }, is_trial);
    }

    /// Starts the trial that is due for a request with `parts`, if there is one.
    fn is_trial(&mut self, parts: &[u64]) -> bool {
        let view = self.quarantine.view(std::iter::empty());
        let Some(blocked) = view.find(|| parts) else { return false };
        let now = self.now();
        let Some(trials) = self.quarantine.due_trial(now, blocked.key).map(|due| due.trials) else {
            return false;
        };
        self.quarantine.begin_trial(now, blocked.key, trials)
    }

    fn send(&mut self, request: u64, parts: Vec<u64>, attempt: u32, is_trial: bool) {
        if !is_trial && self.quarantine.blocks(&parts) {
            return;
        }
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|at| self.engines[*at].0 <= self.now_ms).collect();
        let Some(engine) = self.rng.choice(up) else { return };
        if is_crashing(&parts) {
            self.arrivals_ms.push(self.now_ms);
        }
        let engine = engine as u32;
        self.running.push(Running { request, engine, parts, began_ms: self.now_ms, attempt });
    }

    /// A caller whose request has failed sends it once more, under another id.
    fn send_again(&mut self, parts: Vec<u64>) {
        if !is_crashing(&parts) && self.quarantine.blocks(&parts) {
            *self.sound_refused.entry(self.now_ms / 1_000).or_default() += 1;
        }
        let request = self.id();
        self.send(request, parts, 3, false);
    }

    fn work(&mut self) {
        let now_ms = self.now_ms;
        let age = |run: &Running| now_ms - run.began_ms;
        let starts = |run: &&Running| is_crashing(&run.parts) && age(run) >= WAIT_MS;
        let ending: BTreeSet<u32> =
            self.running.iter().filter(starts).map(|run| run.engine).collect();
        ending.into_iter().for_each(|engine| self.crash(engine));
        let suspects: BTreeSet<u64> = self.quarantine.view(self.log.suspects()).suspects;
        let sure = |run: &&Running| age(run) >= WAIT_MS + SURE_MS;
        let served: Vec<Vec<u64>> = self
            .running
            .iter()
            .filter(sure)
            .map(|run| run.parts.iter().copied().filter(|part| suspects.contains(part)).collect())
            .filter(|parts: &Vec<u64>| !parts.is_empty())
            .collect();
        served.into_iter().for_each(|parts| self.report(Report::Served(parts)));
        self.running.retain(|run| now_ms - run.began_ms < WAIT_MS + ANSWER_MS);
    }

    fn crash_for_another_cause(&mut self) {
        let share = self.scenario.other_crashes;
        for engine in 0..self.scenario.engines {
            if self.engines[engine as usize].0 <= self.now_ms && self.rng.f64() < share {
                self.crash(engine);
            }
        }
    }

    fn crash(&mut self, engine: u32) {
        let (back_ms, incarnation) = &mut self.engines[engine as usize];
        let server = engine << 16 | *incarnation;
        *back_ms = self.now_ms + RESTART_MS;
        *incarnation += 1;
        let (here, others) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.engine == engine);
        self.running = others;
        let here: Vec<Running> = here;
        if here.iter().any(|run| is_crashing(&run.parts)) {
            self.crashes_ms.push(self.now_ms);
        }
        self.report(Report::Ended(server));
        for run in here {
            if self.now_ms - run.began_ms < WAIT_MS + SURE_MS {
                let (request, parts) = (run.request, run.parts.clone());
                self.report(Report::Lost(LostAttempt { server, request, parts }));
            }
            if run.attempt < 2 {
                self.send(run.request, run.parts, run.attempt + 1, false);
            } else if run.attempt == 2 {
                self.send_again(run.parts);
            }
        }
    }

    /// Requests with a crashing part that reached engines when they are counted.
    fn late_arrivals(&self) -> usize {
        let counted =
            if self.scenario.is_one_request { COUNTED_CRASHES_OF_ONE } else { COUNTED_CRASHES };
        let Some(last) = self.crashes_ms.get(counted - 1) else { return 0 };
        self.arrivals_ms.iter().filter(|at| **at > last + CONTACT_MS).count()
    }

    /// Share of the sound requests from second `from` on that were refused.
    fn refused_share(&self, from: u64) -> f64 {
        let sum =
            |of: &BTreeMap<u64, usize>| of.range(from..).map(|(_, count)| count).sum::<usize>();
        sum(&self.sound_refused) as f64 / sum(&self.sound_sent).max(1) as f64
    }
}

fn crashing_part(number: u64) -> u64 {
    0xdead_0000 + number
}

fn is_crashing(parts: &[u64]) -> bool {
    let last = parts.last();
    last == Some(&CRASHING_REQUEST) || parts.iter().any(|part| part & !0xffff == 0xdead_0000)
}

const SMALL: Scenario = Scenario {
    engines: 18,
    rate: 120.0,
    crashing_share: 0.05,
    crashing_parts: 1,
    is_one_request: false,
    middle_parts: 60,
    other_crashes: 0.0,
};
const LARGE: Scenario = Scenario { engines: 160, rate: 600.0, middle_parts: 200, ..SMALL };

/// Seeds for which a scenario is played.
const SEEDS: u64 = 25;
const DAY_S: u64 = 30;

fn assert_kept_away(scenario: Scenario) {
    for seed in 0..SEEDS {
        let world = World::new(seed, scenario).play(DAY_S);
        let late = world.late_arrivals();
        assert!(
            late <= LATE_ARRIVALS_MAX,
            "seed {seed}: arrivals at {:?}, crashes at {:?}, {:?}",
            world.arrivals_ms,
            world.crashes_ms,
            world.quarantine
        );
        let refused = world.refused_share(12);
        assert!(refused < 0.02, "seed {seed}: {refused} of the sound requests are refused");
    }
}

#[test]
fn a_crashing_part_is_kept_from_engines_and_sound_requests_are_served() {
    assert_kept_away(SMALL);
}

#[test]
fn the_same_holds_for_many_engines() {
    assert_kept_away(LARGE);
}

#[test]
fn the_same_holds_for_few_requests_with_the_part() {
    assert_kept_away(Scenario { crashing_share: 0.004, ..SMALL });
}

#[test]
fn the_same_holds_if_every_tenth_request_has_the_part() {
    assert_kept_away(Scenario { crashing_share: 0.1, ..SMALL });
}

#[test]
fn the_same_holds_if_every_fifth_request_has_the_part_and_engines_are_mostly_away() {
    assert_kept_away(Scenario { crashing_share: 0.2, ..SMALL });
}

#[test]
fn the_same_holds_while_engines_crash_for_other_causes() {
    assert_kept_away(Scenario { other_crashes: 0.1, ..SMALL });
}

#[test]
fn the_same_holds_if_most_sound_requests_share_all_other_parts() {
    assert_kept_away(Scenario { middle_parts: 1, ..SMALL });
}

const ONE_REQUEST: Scenario = Scenario { is_one_request: true, crashing_share: 0.03, ..SMALL };
/// Calls of a plain service with a few servers.
const CALLS: Scenario = Scenario { engines: 3, rate: 30.0, middle_parts: 0, ..ONE_REQUEST };

#[test]
fn a_request_that_crashes_servers_again_and_again_is_kept_from_them() {
    for scenario in [ONE_REQUEST, CALLS] {
        for crashing_share in [0.005, 0.03, 0.08] {
            assert_kept_away(Scenario { crashing_share, ..scenario });
        }
    }
}

#[test]
fn the_same_holds_if_it_shares_all_parts_with_sound_requests() {
    assert_kept_away(Scenario { middle_parts: 1, ..ONE_REQUEST });
}

#[test]
fn the_same_holds_while_servers_crash_for_other_causes() {
    assert_kept_away(Scenario { other_crashes: 0.1, ..ONE_REQUEST });
    assert_kept_away(Scenario { other_crashes: 0.1, ..CALLS });
}

#[test]
fn sound_parts_arent_blamed_while_engines_crash_for_other_causes() {
    for scenario in [SMALL, LARGE] {
        for seed in 0..SEEDS {
            let scenario = Scenario { crashing_share: 0.0, other_crashes: 0.15, ..scenario };
            let refused = World::new(seed, scenario).play(DAY_S).refused_share(0);
            assert!(refused < 0.002, "seed {seed}: {refused} of the sound requests are refused");
        }
    }
}

#[test]
fn several_parts_one_after_the_other_are_each_kept_from_engines() {
    for seed in 0..SEEDS {
        let world = World::new(seed, Scenario { crashing_parts: 3, ..SMALL }).play(45);
        for number in 0..3 {
            let key = crashing_part(number);
            assert!(world.quarantine.blocks(&[SHARED, 100, key]), "seed {seed}: part {number}");
        }
        let refused = world.refused_share(12);
        assert!(refused < 0.02, "seed {seed}: {refused} of the sound requests are refused");
    }
}

#[test]
fn a_trial_costs_one_crash_and_comes_rarely() {
    for seed in 0..SEEDS {
        let world = World::new(seed, SMALL).play(60);
        assert_eq!(world.trials, 1, "seed {seed}");
    }
}
