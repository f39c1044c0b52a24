//! Nodes that pass the right to send orders on, in virtual time and with faults, to engines that
//! don't check fencing tokens.

use {
    super::*,
    glade_catalog::{OrderKind, ServerKey},
    glade_platform::{Key, MemoryTable, StoreError, Txn},
    glade_types::{BackendId, Incarnation, ModelName},
    std::net::SocketAddr,
};

/// The platform's limit on alternating holders.
const LIMIT: Duration = Duration::from_secs(3);
const LEASE: Duration = Duration::from_millis(2010);
const STEP: Duration = Duration::from_millis(10);
/// Time after which a node no longer waits for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
const NODES: usize = 3;
const ENGINES: usize = 4;

/// An order on its way to an engine.
struct InTransit {
    node: usize,
    process: u64,
    order: EngineOrder,
    arrives_at: Instant,
    /// Time of the answer, or of the end of the wait for it.
    answer_at: Instant,
    has_arrived: bool,
    is_reported: bool,
    is_answered: bool,
}

/// A write that the store makes late, without an answer.
struct LateWrite {
    txn: Txn,
    made_at: Instant,
}

struct Node {
    right: OrderRight,
    term: Option<LeaseTerm>,
    /// Number of the process on this VM.
    process: u64,
    /// Since when the node's calls to the store get no answer, and until when.
    cut: Option<(Instant, Instant)>,
    /// When the next process starts; the present one has ended or is ending.
    restarts_at: Option<Instant>,
    is_killed: bool,
}

/// Order that has reached an engine.
struct Arrival {
    at: Instant,
    node: usize,
    fence: u64,
}

struct Simulation {
    now: Instant,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    store: MemoryTable,
    late_writes: Vec<LateWrite>,
    in_transit: Vec<InTransit>,
    arrivals: Vec<Vec<Arrival>>,
    writes: u64,
    turns: usize,
    /// Number of engines that get orders.
    used_engines: usize,
}

fn right(node: usize, process: u64, now: Instant) -> OrderRight {
    let config = LeaseConfig {
        holder: VmId::new(&format!("vm-{node}")),
        incarnation: Incarnation(process),
        duration: LEASE,
        renew_every: LEASE / 5,
        watch_every: LEASE / 5,
        takeover_delay: Duration::ZERO,
        alternation_limit: LIMIT,
    };
    OrderRight::new(now, config)
}

fn engine_id(engine: usize) -> BackendId {
    BackendId::new(&format!("e-{engine}"))
}

fn order(holder: usize, engine: usize, fence: u64) -> EngineOrder {
    EngineOrder {
        server: ServerKey { id: engine_id(engine), start_time_ms: 1 },
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        kind: OrderKind::Load,
        model: ModelName::new("m"),
        expected_orders: 0,
        holder: VmId::new(&format!("vm-{holder}")),
        fencing_token: fence,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let node = |node| Node {
            right: right(node, 0, now),
            term: None,
            process: 0,
            cut: None,
            restarts_at: None,
            is_killed: false,
        };
        Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            nodes: (0..NODES).map(node).collect(),
            store: MemoryTable::default(),
            late_writes: Vec::new(),
            in_transit: Vec::new(),
            arrivals: (0..ENGINES).map(|_| Vec::new()).collect(),
            writes: 0,
            turns: 0,
            used_engines: ENGINES,
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|node| self.is_up(*node) && self.nodes[*node].term.is_some())
    }

    fn is_up(&self, node: usize) -> bool {
        !self.nodes[node].is_killed
    }

    fn is_cut(&self, node: usize) -> bool {
        self.nodes[node].cut.is_some_and(|(since, until)| (since..until).contains(&self.now))
    }

    /// Cuts the holder off from the store, tells it to end or kills it.
    fn disrupt(&mut self) {
        let Some(holder) = self.holder().filter(|_| self.rng.u32(0..90) == 0) else { return };
        let (now, kind) = (self.now, self.rng.u32(0..4));
        let time = Duration::from_millis(self.rng.u64(300..2600));
        match kind {
            0 | 1 => self.nodes[holder].cut = Some((now, now + time)),
            2 => self.tell_to_end(holder, now + time),
            _ => {
                self.nodes[holder].is_killed = true;
                self.nodes[holder].restarts_at = Some(now + time / 4);
            }
        }
    }

    fn tell_to_end(&mut self, node: usize, restarts_at: Instant) {
        self.nodes[node].right.give_up();
        self.nodes[node].restarts_at.get_or_insert(restarts_at + ORDER_ARRIVAL_MAX);
    }

    fn restart_due(&mut self) {
        let now = self.now;
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if node.restarts_at.is_some_and(|at| at <= now) {
                node.process += 1;
                node.right = right(index, node.process, now);
                (node.term, node.restarts_at, node.is_killed) = (None, None, false);
            }
        }
    }

    /// As the node does that can't renew while others reach the store.
    fn resign_if_cut_off(&mut self, node: usize) {
        let Some((since, _)) = self.nodes[node].cut.filter(|_| self.is_cut(node)) else { return };
        let right = &mut self.nodes[node].right;
        let Some(valid_until) = right.lease().valid_until() else { return };
        let left = valid_until.saturating_duration_since(self.now);
        if self.now - since > Duration::from_millis(700) && left < LEASE.mul_f64(0.4) {
            right.resign(self.now);
        }
    }

    fn hear_of_resignations(&mut self) {
        let epochs: Vec<u64> = self.nodes.iter().map(|node| node.right.resigned_epoch()).collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            for (other, epoch) in epochs.iter().enumerate() {
                if other != index {
                    node.right.lease_mut().on_resigned(self.now, *epoch);
                }
            }
        }
    }

    fn call_store(&mut self, node: usize) {
        self.writes += 1;
        let Some(action) = self.nodes[node].right.tick(self.now, self.writes) else { return };
        let (key, now) = (Key::new("lease/orders"), self.now);
        let is_cut = self.is_cut(node);
        let lost = StoreError::Unknown { reason: "no answer".to_owned() };
        match action {
            LeaseAction::Read => {
                let row = self.store.read(&key);
                let answer = if is_cut { Err(&lost) } else { Ok(row.as_ref()) };
                self.nodes[node].right.lease_mut().on_read(now, answer);
            }
            LeaseAction::Write { expected, row } => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let txn = Txn::compare_and_set(key, expected, value);
                let loses_answer = self.rng.u32(0..12) == 0;
                if is_cut || loses_answer {
                    if self.rng.bool() {
                        let delay = Duration::from_millis(self.rng.u64(0..1500));
                        self.late_writes.push(LateWrite { txn, made_at: now + delay });
                    }
                    self.nodes[node].right.lease_mut().on_write(now, Err(&lost));
                } else {
                    let answer = self.store.transact(&txn);
                    self.nodes[node].right.lease_mut().on_write(now, Ok(&answer));
                }
            }
        }
    }

    fn follow_lease(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.term = match (node.right.held(self.now), node.term.take()) {
            (Some((fence, valid_until)), Some(term)) if term.fence == fence => {
                Some(LeaseTerm { valid_until, ..term })
            }
            (Some((fence, valid_until)), _) => {
                self.turns += 1;
                Some(node.right.begin_term(self.now, fence, valid_until))
            }
            (None, _) => None,
        };
    }

    fn send_orders(&mut self, index: usize) {
        for engine in 0..self.used_engines {
            let node = &mut self.nodes[index];
            let Some(term) = node.term.as_ref().filter(|term| term.may_send(self.now)) else {
                return;
            };
            let must_wait = term.waits.must_wait(self.now, &engine_id(engine));
            let order = order(index, engine, term.fence);
            let is_pending = self.in_transit.iter().any(|sent| {
                sent.process == node.process && sent.order == order && !sent.is_reported
            });
            if must_wait || is_pending || self.rng.u32(0..6) != 0 {
                continue;
            }
            node.right.on_sent(self.now, &order);
            let is_answered = self.rng.u32(0..10) != 0;
            let delay_max = if is_answered { 40 } else { ORDER_ARRIVAL_MAX.as_millis() as u64 };
            let arrives_at = self.now + Duration::from_millis(self.rng.u64(0..delay_max));
            let answer_at = if is_answered { arrives_at } else { self.now + ORDER_TIMEOUT };
            self.in_transit.push(InTransit {
                node: index,
                process: node.process,
                order,
                arrives_at,
                answer_at,
                has_arrived: false,
                is_reported: false,
                is_answered,
            });
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        for sent in &mut self.in_transit {
            if sent.arrives_at <= now && !sent.has_arrived {
                sent.has_arrived = true;
                let engine = (0..ENGINES).find(|engine| engine_id(*engine) == sent.order.server.id);
                let arrivals = &mut self.arrivals[engine.expect("a known engine")];
                arrivals.push(Arrival {
                    at: now,
                    node: sent.node,
                    fence: sent.order.fencing_token,
                });
            }
            if sent.answer_at > now {
                continue;
            }
            let node = &mut self.nodes[sent.node];
            if !std::mem::replace(&mut sent.is_reported, true) && node.process == sent.process {
                let answer =
                    if sent.is_answered { OrderAnswer::Accepted } else { OrderAnswer::Unclear };
                node.right.on_answer(now, &sent.order, answer);
            }
        }
        self.in_transit.retain(|sent| !(sent.has_arrived && sent.is_reported));
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, late_writes): (Vec<_>, Vec<_>) =
            self.late_writes.drain(..).partition(|write| write.made_at <= now);
        self.late_writes = late_writes;
        for write in due {
            self.store.transact(&write.txn);
        }
        self.restart_due();
        for node in 0..self.nodes.len() {
            if !self.is_up(node) {
                continue;
            }
            self.resign_if_cut_off(node);
            self.call_store(node);
            self.follow_lease(node);
            self.send_orders(node);
        }
        self.hear_of_resignations();
        self.deliver_orders();
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Orders that an engine got after one with a later fencing token, or in turns within the
    /// limit.
    fn violations(&self) -> Vec<String> {
        self.arrivals.iter().flat_map(|arrivals| engine_violations(arrivals)).collect()
    }
}

fn engine_violations(arrivals: &[Arrival]) -> Vec<String> {
    let mut violations = Vec::new();
    for (idx, arrival) in arrivals.iter().enumerate() {
        let earlier = &arrivals[..idx];
        if earlier.iter().any(|other| other.fence > arrival.fence) {
            violations.push(format!("vm-{}: earlier token {}", arrival.node, arrival.fence));
        }
        let recent = earlier.iter().filter(|other| arrival.at - other.at < LIMIT);
        let mut from_others = recent.skip_while(|other| other.node != arrival.node);
        if from_others.any(|other| other.node != arrival.node) {
            violations.push(format!("vm-{}: in turns, token {}", arrival.node, arrival.fence));
        }
    }
    violations
}

/// Engines got orders of a node, of its successor, and of the first one again within the limit:
/// holders resigned, ended, started again and lost answers of the store, and the lease came back.
#[test]
fn no_engine_gets_orders_in_turns_within_the_limit_under_faults() {
    let mut turns = 0;
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..6000 {
            simulation.disrupt();
            simulation.step();
        }
        assert_eq!(simulation.violations(), Vec::<String>::new(), "seed {seed}");
        turns += simulation.turns;
    }
    assert!(turns > 60 * 10, "{turns} turns");
}

/// A lease that comes back must not make what is loaded later than the limit needs: engines to
/// which the node has sent no order lately get theirs at once, the others after the limit.
#[test]
fn a_holder_that_returns_delays_only_engines_that_it_has_sent_orders_lately() {
    let mut simulation = Simulation::new(1);
    simulation.nodes.truncate(2);
    simulation.used_engines = ENGINES - 1;
    simulation.run(Duration::from_secs(4));
    let first = simulation.holder().expect("a node holds the lease");
    let resigned_at = simulation.now;
    simulation.nodes[first].right.resign(resigned_at);
    simulation.nodes[first].cut = Some((resigned_at, resigned_at + Duration::from_secs(1)));
    simulation.run(Duration::from_millis(900));
    let second = simulation.holder().filter(|node| *node != first).expect("the other node");
    simulation.tell_to_end(second, resigned_at + LIMIT * 10);
    simulation.run(Duration::from_millis(900));
    let node = &simulation.nodes[first];
    let waits = &node.term.as_ref().expect("the lease has come back").waits;
    let now = simulation.now;
    for engine in 0..ENGINES {
        let must_wait = waits.must_wait(now, &engine_id(engine));
        assert_eq!(must_wait, engine < simulation.used_engines, "engine {engine}");
        let late = resigned_at + LIMIT + ORDER_ARRIVAL_MAX;
        assert!(!waits.must_wait(late, &engine_id(engine)), "engine {engine}");
    }
}

/// An order without an answer may still be on its way, so its sender's resignation isn't known to
/// others yet.
#[test]
fn a_lease_is_not_passed_on_while_an_order_may_be_on_its_way() {
    let (start, mut store) = (Instant::now(), MemoryTable::default());
    let mut right = right(0, 0, start);
    let LeaseAction::Read = right.tick(start, 1).expect("reads first") else { panic!("reads") };
    right.lease_mut().on_read(start, Ok(None));
    let action = right.tick(start + STEP, 2).expect("takes over");
    let LeaseAction::Write { expected, row } = action else { panic!("{action:?}") };
    let value = serde_json::to_vec(&row).expect("plain structure");
    let txn = Txn::compare_and_set(Key::new("lease/orders"), expected, value);
    right.lease_mut().on_write(start + STEP, Ok(&store.transact(&txn)));
    let now = start + STEP;
    let (fence, valid_until) = right.held(now).expect("holds the lease");
    right.begin_term(now, fence, valid_until);
    right.on_sent(now, &order(0, 0, fence));
    assert_eq!(right.resign(now), Some(fence));
    assert_eq!(right.resigned_epoch(), 0);
    assert_eq!(right.held(now), None);
    right.announce_if_settled(now + ORDER_ARRIVAL_MAX);
    assert_eq!(right.resigned_epoch(), fence);
}
