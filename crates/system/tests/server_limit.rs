//! Real nodes before servers that name in their answers how many requests a second they take from all nodes together.

use {
    glade_standins::site::Reply,
    glade_system::site::{CHAT, Site},
    std::time::{Duration, Instant},
    tokio::task::JoinHandle,
};

/// Bound of the platform on the time that nodes may take to learn of each other's observations.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time over which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Share of the limit, and requests beyond it, that the platform allows in each window.
const ALLOWED_SHARE: f64 = 1.5;
const ALLOWED_BEYOND: f64 = 5.0;
/// Pause between two requests of the callers.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);

/// Callers that send requests to all nodes in turn.
struct Traffic<'a> {
    site: &'a Site,
    nodes: usize,
    sent: Vec<JoinHandle<Option<Reply>>>,
}

impl<'a> Traffic<'a> {
    fn new(site: &'a Site, nodes: usize) -> Self {
        Self { site, nodes, sent: Vec::new() }
    }

    fn play_for(&mut self, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            let node = self.sent.len() % self.nodes;
            self.sent.push(self.site.begin(node, CHAT, Some("m0"), &self.site.request_id()));
            self.site.pause(REQUEST_PAUSE);
        }
    }

    /// Statuses of all answers.
    fn finish(self) -> Vec<u16> {
        let site = self.site;
        let replies = self.sent.into_iter().map(|sent| site.finish(sent));
        replies.map(|reply| reply.map_or(0, |reply| reply.status)).collect()
    }
}

/// Most requests that reached a server in one window that began after `since`.
fn most_in_window(site: &Site, server: usize, since: Instant) -> usize {
    let arrivals = site.log.arrival_times(site.engines[server].id());
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= since).collect();
    let in_window =
        |from: &Instant| counted.iter().filter(|at| *at >= from && **at < *from + WINDOW).count();
    counted.iter().map(in_window).max().unwrap_or(0)
}

fn allowed(limit_per_s: f64) -> usize {
    (ALLOWED_SHARE * limit_per_s * WINDOW.as_secs_f64() + ALLOWED_BEYOND) as usize
}

/// Plays traffic after `limits` are named by the first engines, and checks what these get.
fn assert_limits_hold(nodes: usize, engines: usize, limits: &[&str]) -> Vec<u16> {
    let models: &[&str] = &["m0"];
    let site = Site::start(nodes, &vec![models; engines]);
    let mut traffic = Traffic::new(&site, nodes);
    traffic.play_for(Duration::from_secs(1));
    for (engine, limit) in site.engines.iter().zip(limits) {
        engine.state_limit(Some(limit));
    }
    traffic.play_for(CONTACT_TIME);
    let since = Instant::now();
    traffic.play_for(WINDOW + WINDOW / 2);
    for (engine, limit) in limits.iter().enumerate() {
        let rate: f64 = limit.parse().expect("a rate");
        let most = most_in_window(&site, engine, since);
        assert!(most <= allowed(rate), "limit {limit}: {most} in 4 s, allowed {}", allowed(rate));
    }
    traffic.finish()
}

#[test]
fn servers_beside_free_ones_get_no_more_than_the_limits_that_they_name() {
    let statuses = assert_limits_hold(4, 4, &["2.1", "1.3"]);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[test]
fn the_only_server_of_a_model_gets_no_more_than_the_limit_that_it_names() {
    let statuses = assert_limits_hold(6, 1, &["3.0"]);
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
}
