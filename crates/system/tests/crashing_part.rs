//! Real nodes before engines that crash on a part of a prompt: few requests with the part reach engines once it has
//! crashed several, and sound requests that share the other parts are served.

use {
    glade_standins::site::{Caller, Reply},
    glade_system::site::{CHAT, Site},
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
