//! Real nodes before servers that one request crashes, which callers send again and again: it soon reaches no server any
//! more, whoever sends it and wherever, and sound requests of its path are served.

use {
    glade_catalog::RequestMetadata,
    glade_standins::site::{Caller, Reply, SiteServer},
    glade_system::site::{CHAT, CLAIM, Site, caller_terms},
    std::time::{Duration, Instant},
    tokio::task::JoinHandle,
};

/// Bound of the platform on the time that nodes may take to learn of each other's observations.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Crashes after which the platform counts sends of the request.
const COUNTED_CRASHES: u64 = 3;
/// Sends that may reach servers later than [`CONTACT_TIME`] after the last counted crash.
const LATE_ARRIVALS_MAX: usize = 3;
/// Longest time until the counted crashes have happened.
const CRASHES_WITHIN: Duration = Duration::from_secs(20);
/// Pause between two rounds of requests, and rounds for each send of the request that crashes servers.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
const ROUNDS_PER_CRASH: usize = 3;
const NODES: usize = 3;
const EVENTS: u64 = 12;
const CRASHING_BODY: &str = "the order that crashes servers";
/// The part that all prompts share.
const FIRST_PART: u64 = 0xf1;

type Sent = JoinHandle<Option<Reply>>;

/// Callers on one path. Each sound request has a body of its own.
struct Traffic<'a> {
    site: &'a Site,
    path: &'static str,
    round: usize,
    crashing: Vec<(String, Instant)>,
    sound: Vec<(Sent, Instant)>,
}

impl<'a> Traffic<'a> {
    fn new(site: &'a Site, path: &'static str) -> Self {
        Self { site, path, round: 0, crashing: Vec::new(), sound: Vec::new() }
    }

    fn terms(&self, id: &str) -> RequestMetadata {
        let own = 0x1000 + self.round as u64;
        match self.path {
            CHAT => caller_terms(id, Some("m0"), EVENTS, &[FIRST_PART, own]),
            _ => caller_terms(id, None, EVENTS, &[]),
        }
    }

    fn send(&self, id: &str, body: &str) -> Sent {
        let node = (self.round + body.len()) % NODES;
        self.site.begin_with_body(Caller::default(), node, self.path, self.terms(id), body)
    }

    fn play_round(&mut self) {
        self.round += 1;
        let id = self.site.request_id();
        self.sound.push((self.send(&id, &format!("sound {id}")), Instant::now()));
        if self.round.is_multiple_of(ROUNDS_PER_CRASH) {
            let id = self.site.request_id();
            // The answer is of no interest.
            drop(self.send(&id, CRASHING_BODY));
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

    /// Times that sends of the request after `since` have reached servers.
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

fn assert_stops(site: &Site, servers: &[SiteServer], path: &'static str) {
    let mut traffic = Traffic::new(site, path);
    traffic.play_for(Duration::from_secs(1));
    servers.iter().for_each(|server| server.crash_on_body(Some(CRASHING_BODY)));
    let crashes = || servers.iter().map(SiteServer::crashes).sum::<u64>();
    let began = Instant::now();
    while crashes() < COUNTED_CRASHES && began.elapsed() < CRASHES_WITHIN {
        traffic.play_round();
    }
    assert!(crashes() >= COUNTED_CRASHES, "{} crashes", crashes());
    traffic.play_for(CONTACT_TIME);
    let since = Instant::now();
    traffic.play_for(3 * CONTACT_TIME);
    let arrivals = traffic.arrivals_since(since);
    assert!(arrivals <= LATE_ARRIVALS_MAX, "{arrivals} late arrivals, {} crashes", crashes());
    let (served, sent) = traffic.sound_since(since);
    assert!(10 * served >= 9 * sent, "{served} of {sent} sound requests were served");
}

#[test]
fn a_call_that_crashes_plain_servers_stops_reaching_them() {
    let site = Site::start(NODES, &[&["m0"]]);
    assert_stops(&site, &site.plain, CLAIM);
}

#[test]
fn a_prompt_that_crashes_engines_by_its_body_stops_reaching_them() {
    let models: &[&str] = &["m0"];
    let site = Site::start(NODES, &[models; 6]);
    assert_stops(&site, &site.engines, CHAT);
}
