//! Real nodes before servers that name in their answers how many requests a second they take from all nodes together.

use {
    glade_catalog::RequestMetadata,
    glade_standins::site::{Caller, EngineFault, Reply, Run, SiteServer},
    glade_system::site::{BROWSE, CHAT, CLAIM, EVENTS, Site, caller_terms},
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

/// Part of what a limit allows that callers who ask for more must get.
const USED_SHARE: f64 = 0.6;

/// Callers that send requests to all nodes in turn.
struct Traffic {
    nodes: usize,
    paths: &'static [&'static str],
    sent: Vec<JoinHandle<Option<Reply>>>,
}

impl Traffic {
    fn new(nodes: usize, paths: &'static [&'static str]) -> Self {
        Self { nodes, paths, sent: Vec::new() }
    }

    fn play_for(&mut self, site: &Site, time: Duration) {
        let began = Instant::now();
        while began.elapsed() < time {
            let node = self.sent.len() % self.nodes;
            let path = self.paths[self.sent.len() % self.paths.len()];
            let model = (path == CHAT).then_some("m0");
            self.sent.push(site.begin(node, path, model, &site.request_id()));
            site.pause(REQUEST_PAUSE);
        }
    }

    /// Replies to all requests.
    fn finish(self, site: &Site) -> Vec<Option<Reply>> {
        self.sent.into_iter().map(|sent| site.finish(sent)).collect()
    }
}

fn statuses(replies: &[Option<Reply>]) -> Vec<u16> {
    replies.iter().map(|reply| reply.as_ref().map_or(0, |reply| reply.status)).collect()
}

fn arrivals_since(site: &Site, server: &SiteServer, since: Instant) -> Vec<Instant> {
    let arrivals = site.log.arrival_times(server.id());
    arrivals.into_iter().filter(|at| *at >= since).collect()
}

/// Checks that `server` got no more than `limit_per_s` allows in any window that began after `since`.
fn assert_within(site: &Site, server: &SiteServer, limit_per_s: f64, since: Instant) {
    let arrivals = arrivals_since(site, server, since);
    let in_window =
        |from: &Instant| arrivals.iter().filter(|at| *at >= from && **at < *from + WINDOW).count();
    let most = arrivals.iter().map(in_window).max().unwrap_or(0);
    let allowed = (ALLOWED_SHARE * limit_per_s * WINDOW.as_secs_f64() + ALLOWED_BEYOND) as usize;
    assert!(most <= allowed, "limit {limit_per_s}: {most} in 4 s, allowed {allowed}");
}

/// Checks that `server` got about as much as `limit_per_s` allows after `since`.
fn assert_used(site: &Site, server: &SiteServer, limit_per_s: f64, since: Instant) {
    let arrivals = arrivals_since(site, server, since).len();
    let due = USED_SHARE * limit_per_s * since.elapsed().as_secs_f64() - 1.0;
    assert!(arrivals as f64 >= due, "limit {limit_per_s}: {arrivals} in {:?}", since.elapsed());
}

fn site(nodes: usize, engines: usize) -> Site {
    let models: &[&str] = &["m0"];
    Site::start(nodes, &vec![models; engines])
}

#[test]
fn servers_beside_free_ones_get_no_more_than_the_limits_that_they_name() {
    let site = site(4, 4);
    let mut traffic = Traffic::new(4, &[CHAT]);
    traffic.play_for(&site, Duration::from_secs(1));
    let limits = [2.1, 1.3];
    for (engine, limit) in site.engines.iter().zip(limits) {
        engine.state_limit(Some(&limit.to_string()));
    }
    traffic.play_for(&site, CONTACT_TIME);
    let since = Instant::now();
    traffic.play_for(&site, WINDOW + WINDOW / 2);
    for (engine, limit) in site.engines.iter().zip(limits) {
        assert_within(&site, engine, limit, since);
    }
    let statuses = statuses(&traffic.finish(&site));
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[test]
fn the_only_server_of_a_model_gets_no_more_than_the_limit_that_it_names() {
    let site = site(6, 1);
    let mut traffic = Traffic::new(6, &[CHAT]);
    traffic.play_for(&site, Duration::from_secs(1));
    site.engines[0].state_limit(Some("3.0"));
    traffic.play_for(&site, CONTACT_TIME);
    let since = Instant::now();
    traffic.play_for(&site, WINDOW + WINDOW / 2);
    assert_within(&site, &site.engines[0], 3.0, since);
    assert_used(&site, &site.engines[0], 3.0, since);
    for reply in traffic.finish(&site).iter().flatten() {
        assert!([200, 503].contains(&reply.status), "{reply:?}");
        assert!(reply.status == 200 || reply.headers.contains_key("retry-after"), "{reply:?}");
    }
}

#[test]
fn plain_servers_get_no_more_than_the_limits_that_they_name() {
    let site = site(4, 1);
    let mut traffic = Traffic::new(4, &[BROWSE, CLAIM]);
    site.plain.iter().for_each(|server| server.state_limit(Some("2.5")));
    traffic.play_for(&site, CONTACT_TIME);
    let since = Instant::now();
    traffic.play_for(&site, WINDOW + WINDOW / 2);
    for server in &site.plain {
        assert_within(&site, server, 2.5, since);
        assert_used(&site, server, 2.5, since);
    }
    let statuses = statuses(&traffic.finish(&site));
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
}

#[test]
fn a_limit_holds_while_nodes_end_start_and_freeze() {
    let mut site = site(5, 2);
    let mut traffic = Traffic::new(5, &[CHAT]);
    for engine in &site.engines {
        engine.state_limit(Some("2.0"));
    }
    traffic.play_for(&site, CONTACT_TIME);
    let since = Instant::now();
    for node in 0..4 {
        if node % 2 == 0 {
            site.kill_node(node);
            site.start_node(node);
        } else {
            site.pause_node(node);
        }
        traffic.play_for(&site, CONTACT_TIME);
        if node % 2 == 1 {
            site.resume_node(node);
        }
    }
    let added = site.add_node();
    traffic.nodes = added + 1;
    traffic.play_for(&site, CONTACT_TIME);
    for engine in &site.engines {
        assert_within(&site, engine, 2.0, since);
        assert_used(&site, engine, 1.0, since);
    }
}

#[test]
fn a_value_that_is_no_rate_neither_ends_a_limit_nor_is_obeyed() {
    let site = site(3, 2);
    let mut traffic = Traffic::new(3, &[CHAT]);
    site.engines[0].state_limit(Some("1.5"));
    site.engines[1].state_limit(Some("-1"));
    traffic.play_for(&site, CONTACT_TIME);
    let since = Instant::now();
    let long = "9".repeat(400);
    for odd in ["", "NaN", "inf", "-0.1", "1.5\n1.5", &long] {
        site.engines[0].state_limit(Some(odd));
        traffic.play_for(&site, Duration::from_millis(900));
    }
    assert_within(&site, &site.engines[0], 1.5, since);
    assert!(arrivals_since(&site, &site.engines[1], since).len() > 100);
    for node in 0..3 {
        let log = site.node_log(node);
        let lines = log.lines().filter(|line| line.contains("server_limit_unreadable")).count();
        assert!(lines <= 2, "{lines} lines on node {node}");
    }
}

#[test]
fn a_server_that_names_no_limit_any_more_is_found_out_though_others_are_free() {
    let site = site(3, 2);
    let mut traffic = Traffic::new(3, &[CHAT]);
    site.engines[0].state_limit(Some("1.0"));
    traffic.play_for(&site, CONTACT_TIME);
    site.engines[0].state_limit(None);
    traffic.play_for(&site, 2 * CONTACT_TIME);
    let since = Instant::now();
    traffic.play_for(&site, Duration::from_secs(2));
    let arrivals = arrivals_since(&site, &site.engines[0], since).len();
    assert!(arrivals > 10, "{arrivals} requests");
}

/// Has all engines but the first do `fault`, and checks that requests which leave them for the first one, which names a
/// limit, keep to it. Returns how many did so as resumed streams, and for reservations.
fn repeats_within_limit(fault: EngineFault) -> (usize, usize) {
    let site = site(4, 3);
    let mut traffic = Traffic::new(4, &[CHAT]);
    site.engines[0].state_limit(Some("2.0"));
    traffic.play_for(&site, CONTACT_TIME);
    let since = Instant::now();
    (1..3).for_each(|engine| site.engine_fault(engine, fault));
    traffic.play_for(&site, WINDOW + WINDOW / 2);
    assert_within(&site, &site.engines[0], 2.0, since);
    traffic.finish(&site);
    let runs = site.log.runs();
    let count = |is_counted: fn(&Run) -> bool| {
        runs.iter().filter(|run| run.server == site.engines[0].id() && is_counted(run)).count()
    };
    (count(|run| run.resumed_after.is_some()), count(|run| run.reserved))
}

#[test]
fn streams_that_broke_elsewhere_are_resumed_at_a_server_within_its_limit() {
    let (resumed, _) = repeats_within_limit(EngineFault::BreaksAfter(4));
    assert!(resumed > 0);
}

#[test]
fn requests_that_leave_silent_servers_reach_a_server_within_its_limit() {
    let (_, reserved) = repeats_within_limit(EngineFault::PausesAfter(2));
    assert!(reserved > 0);
}

/// Share of the callers that return when they are told to, and must be served then.
const SERVED_SHARE: f64 = 0.8;

fn retry_after(reply: &Reply) -> Option<Duration> {
    let value = reply.headers.get("retry-after")?.to_str().ok()?;
    Some(Duration::from_secs_f64(value.parse().ok()?))
}

/// Sends a request that its caller waits a second for.
fn begin_urgent(site: &Site, node: usize) -> JoinHandle<Option<Reply>> {
    let id = site.request_id();
    let deadline = Some(Duration::from_secs(1));
    let terms = RequestMetadata { deadline, ..caller_terms(&id, Some("m0"), EVENTS, &[]) };
    site.begin_with_body(Caller::default(), node, CHAT, terms, &format!("body of {id}"))
}

/// Waits for the reply to a request, and returns when it came.
async fn timed(sent: JoinHandle<Option<Reply>>) -> (Instant, Reply) {
    let reply = sent.await.ok().flatten().expect("an answer");
    (Instant::now(), reply)
}

#[test]
fn callers_that_come_back_when_a_limited_server_has_room_for_them_are_served() {
    let nodes = 6;
    let site = site(nodes, 1);
    site.engines[0].state_limit(Some("3.0"));
    site.send(0, CHAT, Some("m0"), &site.request_id());
    site.pause(CONTACT_TIME);
    let begin = |node| (node, site.runtime().spawn(timed(begin_urgent(&site, node))));
    let sent: Vec<_> = (0..4 * nodes).map(|number| begin(number % nodes)).collect();
    let mut returns = Vec::new();
    for (node, sent) in sent {
        let (at, reply) = site.wait(sent).expect("an answer");
        if reply.status != 200 {
            let after = retry_after(&reply);
            assert_eq!((reply.status, after.is_some()), (503, true), "{reply:?}");
            returns.push((at + after.unwrap_or_default(), node));
        }
    }
    assert!(returns.len() >= nodes, "{} of {} refused", returns.len(), 4 * nodes);
    returns.sort();
    let mut sent = Vec::new();
    for (at, node) in &returns {
        site.pause(at.saturating_duration_since(Instant::now()));
        sent.push(begin_urgent(&site, *node));
    }
    let served = sent.into_iter().filter_map(|sent| site.finish(sent));
    let served = served.filter(|reply| reply.status == 200).count();
    let due = SERVED_SHARE * returns.len() as f64;
    assert!(served as f64 >= due, "{served} of {} served", returns.len());
}
