//! Real nodes before engines that crash on a part of a prompt: few requests with the part reach engines once it has
//! crashed several, and sound requests that share the other parts are served.

use {
    glade_standins::site::{Caller, Reply},
    glade_system::site::{BATCH, CHAT, Site},
    std::time::{Duration, Instant},
    tokio::task::JoinHandle,
};

/// Bound of the platform on the time that nodes may take to learn of each other's observations.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which the platform counts requests with the part.
const COUNTED_CRASHES: u64 = 5;
/// Requests with the part that may reach engines later than [`CONTACT_TIME`] after the last counted crash.
const LATE_ARRIVALS_MAX: usize = 3;
/// Pause between two rounds of requests.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// Rounds for each request with the part.
const ROUNDS_PER_CRASH: usize = 3;
/// Longest time until the counted crashes have happened.
const CRASHES_WITHIN: Duration = Duration::from_secs(20);
const NODES: usize = 3;
/// The part that all requests share, and a part that the requests with the crashing part share with few others.
const FIRST_PART: u64 = 0xf1;
const MIDDLE_PART: u64 = 0x3d;
const CRASHING_PART: u64 = 0xdead;

type Sent = JoinHandle<Option<Reply>>;

/// Time within which a VM that starts has what the others know.
const START_TIME: Duration = Duration::from_secs(3);

/// Callers that send sound requests all the time, and now and then one with the crashing part.
struct Traffic<'a> {
    site: &'a Site,
    round: usize,
    crashing: Vec<(String, Instant)>,
    sound: Vec<(Sent, Instant)>,
}

impl<'a> Traffic<'a> {
    fn new(site: &'a Site) -> Self {
        Self { site, round: 0, crashing: Vec::new(), sound: Vec::new() }
    }

    fn send(&self, id: &str, parts: &[u64]) -> Sent {
        let node = (self.round + parts.len()) % NODES;
        let model = format!("m{}", self.round % 2);
        self.site.begin_with_parts(Caller::default(), node, CHAT, Some(&model), id, parts)
    }

    fn play_round(&mut self) {
        self.round += 1;
        let own = 0x1000 + self.round as u64;
        for parts in [&[FIRST_PART, own][..], &[FIRST_PART, MIDDLE_PART, own]] {
            let sent = self.send(&self.site.request_id(), parts);
            self.sound.push((sent, Instant::now()));
        }
        if self.round.is_multiple_of(ROUNDS_PER_CRASH) {
            let id = self.site.request_id();
            // The answer is of no interest.
            drop(self.send(&id, &[FIRST_PART, MIDDLE_PART, CRASHING_PART, own]));
            self.crashing.push((id, Instant::now()));
        }
        self.site.pause(ROUND_PAUSE);
    }

    fn play_for(&mut self, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            self.play_round();
        }
    }

    /// Times that requests with the crashing part sent after `since` have reached engines.
    fn arrivals_since(&self, since: Instant) -> usize {
        let late = self.crashing.iter().filter(|(_, at)| *at > since);
        late.map(|(id, _)| self.site.log.arrivals_of(id)).sum()
    }

    /// Answered and all sound requests that were sent after `since`.
    fn sound_since(self, since: Instant) -> (usize, usize) {
        let site = self.site;
        let late = self.sound.into_iter().filter(|(_, at)| *at > since);
        let replies: Vec<_> = late.map(|(sent, _)| site.finish(sent)).collect();
        let is_served = |reply: &Option<Reply>| {
            reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.whole)
        };
        (replies.iter().filter(|reply| is_served(reply)).count(), replies.len())
    }
}

/// Plays crashes until the part has been kept from engines for a while.
fn quarantine(site: &Site) {
    let mut traffic = Traffic::new(site);
    traffic.play_for(Duration::from_secs(1));
    site.engines.iter().for_each(|engine| engine.crash_on(Some(CRASHING_PART)));
    let began = Instant::now();
    let is_known = |node: usize| {
        site.node_log(node).contains("quarantine_entry")
            || site.node_log(node).contains("parts_quarantined")
    };
    while !(0..NODES).all(is_known) && began.elapsed() < CRASHES_WITHIN {
        traffic.play_round();
    }
    assert!((0..NODES).all(is_known), "all nodes know of the part");
    site.pause(CONTACT_TIME);
}

/// Key of the row of the crashing part.
fn row() -> String {
    format!("quarantine/{CRASHING_PART:016x}")
}

/// Sends a request with the crashing part; returns its id and the reply.
fn send_crashing(site: &Site, node: usize, path: &str) -> (String, Option<Reply>) {
    let id = site.request_id();
    let parts = [FIRST_PART, MIDDLE_PART, CRASHING_PART, 7];
    let sent = site.begin_with_parts(Caller::default(), node, path, Some("m0"), &id, &parts);
    (id, site.finish(sent))
}

fn crashes(site: &Site) -> u64 {
    site.engines.iter().map(|engine| engine.crashes()).sum()
}

#[test]
fn requests_that_crash_engines_stop_reaching_them_and_sound_ones_are_served() {
    let models: &[&str] = &["m0", "m1"];
    let site = Site::start(NODES, &[models; 8]);
    let mut traffic = Traffic::new(&site);
    traffic.play_for(Duration::from_secs(1));
    site.engines.iter().for_each(|engine| engine.crash_on(Some(CRASHING_PART)));
    let began = Instant::now();
    while crashes(&site) < COUNTED_CRASHES && began.elapsed() < CRASHES_WITHIN {
        traffic.play_round();
    }
    traffic.play_for(CONTACT_TIME);
    let counted_from = Instant::now();
    traffic.play_for(CONTACT_TIME);
    let sound_from = Instant::now();
    traffic.play_for(CONTACT_TIME);
    let arrivals = traffic.arrivals_since(counted_from);
    assert!(arrivals <= LATE_ARRIVALS_MAX, "{arrivals} arrivals, {} crashes", crashes(&site));
    let (served, sent) = traffic.sound_since(sound_from);
    assert!(2 * served >= sent, "{served} of {sent} sound requests were served");
}

#[test]
fn a_refusal_of_a_crashing_part_is_true_on_every_route() {
    let models: &[&str] = &["m0", "m1"];
    let site = Site::start(NODES, &[models; 8]);
    quarantine(&site);
    for node in 0..NODES {
        for path in [CHAT, BATCH] {
            let (id, reply) = send_crashing(&site, node, path);
            let reply = reply.expect("an answer");
            assert_eq!((reply.status, site.log.arrivals_of(&id)), (503, 0), "{reply:?}");
            assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
            let is_named = |line: &str| line.contains("request_quarantined") && line.contains(&id);
            site.eventually("the log names the parts", || {
                site.node_log(node).lines().any(is_named)
            });
        }
    }
}

#[test]
fn a_request_that_has_crashed_an_engine_isnt_said_not_to_have_run() {
    let site = Site::start(1, &[&["m0"], &["m0"]]);
    site.engines.iter().for_each(|engine| engine.crash_on(Some(CRASHING_PART)));
    for path in [CHAT, BATCH] {
        site.eventually("engines serve", || {
            let reply = site.send(0, CHAT, Some("m0"), &site.request_id());
            reply.is_some_and(|reply| reply.status == 200)
        });
        let (id, reply) = send_crashing(&site, 0, path);
        assert!(site.log.arrivals_of(&id) > 0);
        let status = reply.map_or(502, |reply| reply.status);
        assert!(status == 502 || status == 504, "{status}");
    }
}

#[test]
fn a_quarantine_outlasts_the_end_of_all_nodes() {
    let models: &[&str] = &["m0", "m1"];
    let mut site = Site::start(NODES, &[models; 8]);
    quarantine(&site);
    let row = row();
    site.eventually("the store has it", || site.store.read(&row).is_some());
    (0..NODES).for_each(|node| site.kill_node(node));
    (0..NODES).for_each(|node| site.start_node(node));
    site.all_serve();
    site.pause(START_TIME);
    for node in 0..NODES {
        let (id, reply) = send_crashing(&site, node, CHAT);
        assert_eq!(reply.map(|reply| reply.status), Some(503));
        assert_eq!(site.log.arrivals_of(&id), 0);
    }
}

#[test]
fn a_quarantine_ends_when_its_row_is_deleted() {
    let models: &[&str] = &["m0", "m1"];
    let site = Site::start(NODES, &[models; 8]);
    quarantine(&site);
    site.eventually("the store has it", || site.store.read(&row()).is_some());
    site.engines.iter().for_each(|engine| engine.crash_on(None));
    site.store.delete(&row());
    for node in 0..NODES {
        site.eventually("requests with the part are served", || {
            let (_id, reply) = send_crashing(&site, node, CHAT);
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
}
