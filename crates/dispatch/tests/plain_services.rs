//! A plain service before many nodes: requests take less time than word of them.

mod common;

use {
    common::{Fixture, ms},
    glade_catalog::ServerRecord,
    glade_dispatch::{Dispatcher, InFlightId, Load, RequestSpec, RetryLimit, ServerIdx, Verdict},
    glade_types::ServiceName,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const NODES: usize = 295;
const SERVERS: usize = 6;
const SLOTS: usize = 6;
/// Requests that a server keeps beyond those that it processes; it rejects any more.
const QUEUE: usize = 24;
const WORK_MS: u64 = 60;
/// Period at which nodes of so large a mesh learn what the others have under way.
const TOLD_EVERY_MS: u64 = 300;
const PLAYED_MS: u64 = 20_000;

/// What came of a load.
#[derive(Debug, Default)]
struct Served {
    requests: usize,
    rejected: usize,
    /// Node and server, in the order of the requests.
    sends: Vec<(usize, ServerIdx)>,
}

struct Site {
    start: Instant,
    nodes: Vec<Fixture>,
    /// Ends of what each server processes, and how many wait, by server.
    queues: HashMap<ServerIdx, Vec<u64>>,
    under_way: Vec<(u64, usize, InFlightId)>,
    served: Served,
}

fn shop(need: RequestSpec) -> RequestSpec {
    RequestSpec {
        service: ServiceName::new("shop"),
        model: None,
        prompt_tokens: 0,
        output_tokens: 0,
        output_tokens_max: 0,
        pause_limit: None,
        ..need
    }
}

impl Site {
    fn new() -> Self {
        let limit = RetryLimit { share: 0.2, window: Duration::from_secs(10), reserve: 56.0 };
        let node = |number: usize| {
            let mut node = Fixture::engines(&[&[][..]; SERVERS]);
            node.dispatcher = Dispatcher::new(limit, (number as u32).wrapping_mul(0x9E37_79B9));
            node.view.live_vms = NODES as u32;
            for server in &mut node.view.servers {
                let record = ServerRecord {
                    service: ServiceName::new("shop"),
                    slots: SLOTS as u32,
                    ..ServerRecord::clone(&server.record)
                };
                server.record = Arc::new(record);
            }
            node.update_view();
            node
        };
        let nodes: Vec<Fixture> = (0..NODES).map(node).collect();
        Self {
            start: nodes[0].now,
            nodes,
            queues: HashMap::new(),
            under_way: Vec::new(),
            served: Served::default(),
        }
    }

    /// Plays `per_s` requests a second that come to nodes by chance.
    fn play(mut self, per_s: u64) -> Served {
        let mut rng = fastrand::Rng::with_seed(7);
        for at_ms in 0..PLAYED_MS {
            let now = self.start + ms(at_ms);
            self.end_runs(at_ms);
            if at_ms % TOLD_EVERY_MS == 0 {
                self.tell_loads();
            }
            if rng.u64(..1000) < per_s {
                self.arrive(now, at_ms, &mut rng);
            }
        }
        self.served
    }

    fn arrive(&mut self, now: Instant, at_ms: u64, rng: &mut fastrand::Rng) {
        let position = rng.usize(..NODES);
        let node = &mut self.nodes[position];
        node.now = now;
        let need = RequestSpec { seed: rng.u32(..), ..shop(node.need("m", 0)) };
        self.served.requests += 1;
        let Verdict::Send(server) = node.decide(&need, &[]) else { return };
        let flight = node.dispatcher.begin_request(now, &need, server);
        self.served.sends.push((position, server));
        let queue = self.queues.entry(server).or_default();
        if queue.len() >= SLOTS + QUEUE {
            self.served.rejected += 1;
            node.dispatcher.end_request(flight);
            return;
        }
        let free_at = if queue.len() < SLOTS { at_ms } else { queue[queue.len() - SLOTS] };
        let ends_at = free_at + WORK_MS;
        queue.push(ends_at);
        self.under_way.push((ends_at, position, flight));
    }

    fn end_runs(&mut self, at_ms: u64) {
        self.queues.values_mut().for_each(|queue| queue.retain(|ends_at| *ends_at > at_ms));
        let (ended, going) = self.under_way.drain(..).partition(|(ends_at, ..)| *ends_at <= at_ms);
        self.under_way = going;
        let ended: Vec<(u64, usize, InFlightId)> = ended;
        for (_, position, flight) in ended {
            self.nodes[position].dispatcher.end_request(flight);
        }
    }

    fn tell_loads(&mut self) {
        let mut all: HashMap<u32, Load> = HashMap::new();
        for told in self.nodes.iter().flat_map(|node| node.dispatcher.loads()) {
            all.entry(told.server).or_default().add(&told.load);
        }
        for node in &mut self.nodes {
            for server in &mut node.view.servers {
                server.other_vms_load =
                    all.get(&server.record.key.tag()).copied().unwrap_or_default();
            }
            node.update_view();
        }
    }
}

/// The large Kalahari site, scale-1: 295 nodes sent 12,000 of 26,000 requests to a server that rejected
/// them, since all chose the one that was idle 300 ms before.
#[test]
fn a_crowd_doesnt_fill_one_server_after_the_other() {
    let served = Site::new().play(500);
    let share = served.rejected as f64 / served.requests as f64;
    assert!(served.requests > 8_000 && share <= 0.01, "{share} of {} rejected", served.requests);
    assert!(served.sends.len() == served.requests, "some were refused with servers free");
}

/// A node that goes to the same server again finds its connection still open.
#[test]
fn a_node_of_a_crowd_keeps_to_few_servers() {
    let served = Site::new().play(300);
    let pairs: HashSet<(usize, ServerIdx)> = served.sends.iter().copied().collect();
    assert!(pairs.len() <= 2 * NODES, "{} pairs of node and server", pairs.len());
}

/// The nodes' own servers are spread evenly.
#[test]
fn servers_get_like_shares_of_a_crowd() {
    let served = Site::new().play(300);
    let mut counts: HashMap<ServerIdx, usize> = HashMap::new();
    served.sends.iter().for_each(|(_, server)| *counts.entry(*server).or_default() += 1);
    let mean = served.sends.len() / SERVERS;
    assert!(
        counts.len() == SERVERS && counts.values().all(|count| *count < mean * 3 / 2),
        "{counts:?}"
    );
}

/// A node whose server leaves goes to another.
#[test]
fn a_server_that_leaves_is_replaced() {
    let mut node = Site::new().nodes.swap_remove(3);
    let need = shop(node.need("m", 0));
    let first = node.sent(&need);
    assert_eq!(node.sent(&need), first, "it keeps to one");
    let position = first_position(&node, first);
    node.view.servers[position].usable = false;
    node.update_view();
    assert_ne!(node.sent(&need), first);
}

fn first_position(node: &Fixture, server: ServerIdx) -> usize {
    let key = &node.dispatcher.record(server).key;
    node.view.servers.iter().position(|view| view.record.key == *key).expect("a server")
}
