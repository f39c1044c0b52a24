//! How many permits the nodes of a deployment get for a server that names a limit, in virtual time. The store doesn't
//! answer.

use {
    super::{
        deployment::Deployment, equal_nodes, nodes_of_data_centres, quarantine::row, start_all,
    },
    crate::event::{Event, WatchedTable},
    glade_catalog::ServerKey,
    glade_limit::{LimitReport, PermitWish, RankCount},
    glade_platform::{Revision, Snapshot},
    glade_relay::TrafficUpdate,
    glade_types::BackendId,
    std::time::{Duration, Instant},
};

/// Time after which all nodes in touch must know of a limit: the shortest that the platform allows.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time over which the platform counts requests, and what it allows in each.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_SHARE: f64 = 1.5;
const ALLOWED_BEYOND: f64 = 5.0;
/// Time after which a deployment has its topology.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Requests that wait on each node all the time.
const WAITING: u32 = 3;
const STEP: Duration = Duration::from_millis(50);

fn key() -> ServerKey {
    ServerKey { id: BackendId::new("engine-0"), start_time_ms: 1 }
}

/// Nodes whose requests wait for one server that names a limit, which they send as they get permits.
struct Limited {
    deployment: Deployment,
    nodes: usize,
    rate: f64,
    /// Times of the sends, with the node.
    sends: Vec<(Instant, usize)>,
}

impl Limited {
    /// Node 0 learns that the server takes `rate` requests a second.
    fn new(mut deployment: Deployment, nodes: usize, rate: f64) -> Self {
        deployment.run_for(SETTLING_TIME);
        let mut this = Self { deployment, nodes, rate, sends: Vec::new() };
        (0..nodes).for_each(|node| this.show_registry(node));
        this.state(0, LimitReport::Named(rate));
        this
    }

    fn show_registry(&mut self, node: usize) {
        let snapshot = Snapshot { rows: vec![row(0)], revision: Revision::new(1) };
        self.deployment.handle(node, Event::Snapshot(WatchedTable::Registry, snapshot));
    }

    fn state(&mut self, node: usize, report: LimitReport) {
        let update = TrafficUpdate::LimitStated(key(), report);
        self.deployment.handle(node, Event::TrafficUpdate(update));
    }

    fn want(&mut self, node: usize) {
        let waiting = vec![RankCount { rank: 1, count: WAITING }];
        let wish = PermitWish { server: key().short_hash(), waiting, wants_probe: false };
        let update = TrafficUpdate::PermitsWanted(vec![wish]);
        self.deployment.handle(node, Event::TrafficUpdate(update));
    }

    fn run_for(&mut self, time: Duration) {
        for step in 0..(time.as_millis() / STEP.as_millis()) as usize {
            self.deployment.run_for(STEP);
            let now = self.deployment.now();
            for node in 0..self.nodes {
                let grants = self.deployment.take_permits(node);
                let permits: u32 = grants.iter().map(|grant| grant.permits).sum();
                self.sends.extend((0..permits).map(|_| (now, node)));
                let is_frozen = self.deployment.frozen_nodes.contains(&node);
                if !is_frozen && (permits > 0 || step.is_multiple_of(20)) {
                    self.want(node);
                }
            }
        }
    }

    /// Most sends in one window that began after `since`.
    fn most_in_window(&self, since: Instant) -> usize {
        let counted: Vec<Instant> =
            self.sends.iter().map(|(at, _)| *at).filter(|at| *at >= since).collect();
        let in_window = |from: &Instant| {
            counted.iter().filter(|at| *at >= from && **at < *from + WINDOW).count()
        };
        counted.iter().map(in_window).max().unwrap_or(0)
    }

    fn sends_since(&self, since: Instant) -> usize {
        self.sends.iter().filter(|(at, _)| *at >= since).count()
    }

    fn assert_within_limit(&self, since: Instant) {
        let allowed = (ALLOWED_SHARE * self.rate * WINDOW.as_secs_f64() + ALLOWED_BEYOND) as usize;
        let most = self.most_in_window(since);
        assert!(
            most <= allowed,
            "{most} sends in 4 s at {} a second, allowed {allowed}",
            self.rate
        );
    }

    /// Running nodes by whose views the server names the limit.
    fn knowing(&self) -> usize {
        let knows = |node: &usize| {
            let view = self.deployment.view(*node);
            view.is_some_and(|view| view.servers.iter().any(|server| server.limit.is_some()))
        };
        (0..self.nodes).filter(knows).count()
    }

    fn cut(&mut self, is_across: impl Fn(usize, usize) -> bool) {
        for from in 0..self.nodes {
            let across = (0..self.nodes).filter(|to| is_across(from, *to));
            self.deployment.cut_links.extend(across.map(|to| (from, to)));
        }
    }

    /// The node that has sent most.
    fn most_sending(&self) -> usize {
        let count = |node: usize| self.sends.iter().filter(|(_, from)| *from == node).count();
        (0..self.nodes).max_by_key(|node| count(*node)).unwrap_or(0)
    }
}

fn deployment(nodes: usize) -> Deployment {
    match nodes {
        36 | 300 => start_all(1, nodes_of_data_centres(3, (nodes / 3) as u8)),
        _ => start_all(1, equal_nodes(nodes as u8)),
    }
}

#[test]
fn nodes_send_as_many_requests_as_the_limit_allows_and_no_more() {
    for (nodes, rate) in [
        (1, 0.4),
        (1, 2.0),
        (1, 40.0),
        (8, 0.4),
        (8, 1.3),
        (8, 40.0),
        (300, 0.4),
        (300, 2.0),
        (300, 60.0),
    ] {
        let mut limited = Limited::new(deployment(nodes), nodes, rate);
        limited.run_for(CONTACT_TIME);
        assert_eq!(limited.knowing(), nodes, "{nodes} nodes");
        let since = limited.deployment.now();
        let time = Duration::from_secs(10);
        limited.run_for(time);
        limited.assert_within_limit(since);
        let due = rate * time.as_secs_f64();
        let sent = limited.sends_since(since) as f64;
        assert!(sent >= 0.8 * due - 1.0, "{nodes} nodes at {rate} a second: {sent} of {due}");
    }
}

#[test]
fn a_limit_holds_while_nodes_end_and_start() {
    for (nodes, rate) in [(8, 1.3), (8, 20.0)] {
        let mut limited = Limited::new(deployment(nodes), nodes, rate);
        limited.run_for(CONTACT_TIME);
        let since = limited.deployment.now();
        for node in [3, 0, 5, 1, 7, 2, 6, 4] {
            limited.deployment.kill(node);
            limited.run_for(Duration::from_secs(2));
            limited.deployment.start(node);
            limited.run_for(Duration::from_millis(500));
            limited.show_registry(node);
            limited.run_for(CONTACT_TIME);
            assert_eq!(limited.knowing(), nodes, "after the start of {node}");
        }
        limited.assert_within_limit(since);
        assert!(limited.sends_since(since) as f64 > rate * 10.0);
    }
}

#[test]
fn a_limit_holds_while_each_node_freezes_and_thaws() {
    for (nodes, rate) in [(8, 1.3), (8, 20.0)] {
        let mut limited = Limited::new(deployment(nodes), nodes, rate);
        limited.run_for(CONTACT_TIME);
        let since = limited.deployment.now();
        for node in 0..nodes {
            limited.deployment.frozen_nodes.insert(node);
            limited.run_for(CONTACT_TIME);
            limited.deployment.frozen_nodes.remove(&node);
            limited.run_for(CONTACT_TIME);
        }
        limited.assert_within_limit(since);
        assert!(limited.sends_since(since) as f64 > rate * 10.0);
    }
}

#[test]
fn halves_that_lose_each_other_keep_to_the_limit_together() {
    for rate in [1.3, 8.0, 40.0] {
        let mut limited = Limited::new(deployment(8), 8, rate);
        limited.run_for(CONTACT_TIME);
        let since = limited.deployment.now();
        limited.cut(|from, to| from / 4 != to / 4);
        limited.run_for(Duration::from_secs(90));
        limited.deployment.cut_links.clear();
        limited.run_for(Duration::from_secs(10));
        limited.assert_within_limit(since);
        assert!(limited.sends_since(since) as f64 > rate * 50.0);
    }
}

#[test]
fn halves_keep_to_the_limit_together_though_nodes_start_that_never_met_the_other_half() {
    let mut limited = Limited::new(deployment(8), 8, 40.0);
    limited.run_for(CONTACT_TIME);
    let since = limited.deployment.now();
    limited.cut(|from, to| from / 4 != to / 4);
    for node in [0, 4, 1, 5, 2, 6, 3, 7] {
        limited.deployment.kill(node);
        limited.run_for(Duration::from_secs(2));
        limited.deployment.start(node);
        limited.run_for(Duration::from_millis(500));
        limited.show_registry(node);
        limited.run_for(Duration::from_secs(8));
        limited.assert_within_limit(since);
    }
    assert!(limited.sends_since(since) as f64 > 40.0 * 30.0);
}

#[test]
fn nodes_that_all_lose_each_other_keep_to_the_limit_together() {
    let mut limited = Limited::new(deployment(8), 8, 4.0);
    limited.run_for(CONTACT_TIME);
    let since = limited.deployment.now();
    limited.cut(|from, to| from != to);
    limited.run_for(Duration::from_secs(60));
    limited.assert_within_limit(since);
    assert!(limited.sends_since(since) > 100, "{} sends", limited.sends_since(since));
}

#[test]
fn two_nodes_that_lose_each_other_alone_keep_to_the_limit() {
    for (a, b) in [(0, 1), (2, 7), (3, 4), (5, 6)] {
        let mut limited = Limited::new(deployment(8), 8, 8.0);
        limited.run_for(CONTACT_TIME);
        let since = limited.deployment.now();
        limited.cut(|from, to| (from, to) == (a, b) || (from, to) == (b, a));
        limited.run_for(Duration::from_secs(20));
        limited.assert_within_limit(since);
    }
}

#[test]
fn data_centres_of_300_nodes_that_lose_each_other_keep_to_the_limit_together() {
    for rate in [2.0, 30.0] {
        let mut limited = Limited::new(deployment(300), 300, rate);
        limited.run_for(CONTACT_TIME);
        let since = limited.deployment.now();
        limited.cut(|from, to| from % 3 != to % 3);
        limited.run_for(Duration::from_secs(12));
        limited.assert_within_limit(since);
    }
}

#[test]
fn a_limit_holds_though_primary_cores_end() {
    let mut limited = Limited::new(deployment(300), 300, 10.0);
    limited.run_for(CONTACT_TIME);
    let since = limited.deployment.now();
    for core in limited.deployment.primary_cores() {
        limited.deployment.kill(core);
        limited.run_for(Duration::from_secs(4));
    }
    limited.assert_within_limit(since);
    assert!(limited.sends_since(since) > 30, "{} sends", limited.sends_since(since));
}

#[test]
fn all_nodes_learn_that_a_limit_has_changed_and_that_it_has_ended() {
    for nodes in [8, 300] {
        let mut limited = Limited::new(deployment(nodes), nodes, 2.0);
        limited.run_for(CONTACT_TIME);
        limited.state(nodes - 1, LimitReport::Named(7.5));
        limited.run_for(Duration::from_secs(1));
        for node in 0..nodes {
            let view = limited.deployment.view(node).expect("it runs");
            let rate = view.servers[0].limit.map(|limit| limit.per_second);
            assert_eq!(rate, Some(7.5), "node {node} of {nodes}");
        }
        let sent_before = Duration::from_secs(5);
        limited.state(nodes / 2, LimitReport::Ended { sent_before });
        limited.run_for(Duration::from_secs(1));
        assert_eq!(limited.knowing(), nodes, "the answer to an older send doesn't end it");
        limited.state(nodes / 2, LimitReport::Ended { sent_before: Duration::ZERO });
        limited.run_for(Duration::from_secs(1));
        assert_eq!(limited.knowing(), 0, "{nodes} nodes");
    }
}

#[test]
fn another_run_of_a_server_has_named_no_limit() {
    let mut limited = Limited::new(deployment(8), 8, 2.0);
    limited.run_for(CONTACT_TIME);
    for node in 0..8 {
        let snapshot = Snapshot { rows: vec![row(1)], revision: Revision::new(2) };
        limited.deployment.handle(node, Event::Snapshot(WatchedTable::Registry, snapshot));
    }
    limited.run_for(Duration::from_secs(1));
    assert_eq!(limited.knowing(), 0);
}

#[test]
fn the_permits_of_a_server_go_to_all_nodes_in_turn() {
    let mut limited = Limited::new(deployment(8), 8, 16.0);
    limited.run_for(Duration::from_secs(10));
    let busiest = limited.most_sending();
    let most = limited.sends.iter().filter(|(_, node)| *node == busiest).count();
    assert!(most <= limited.sends.len() / 4, "{most} of {} on node {busiest}", limited.sends.len());
}

#[test]
fn nodes_that_lose_each_other_do_not_each_take_the_whole_reserve_of_retries() {
    for nodes in [8, 36] {
        let mut limited = Limited::new(deployment(nodes), nodes, 2.0);
        limited.run_for(CONTACT_TIME);
        limited.cut(|from, to| from != to);
        limited.run_for(Duration::from_secs(40));
        let share = |node: usize| {
            1.0 / f64::from(limited.deployment.view(node).expect("it runs").known_vms)
        };
        let shares: f64 = (0..nodes).map(share).sum();
        assert!(shares <= 1.01, "{nodes} nodes take {shares:.1} times the reserve");
        limited.deployment.cut_links.clear();
    }
}
