//! Several planners over engines with true memory.
//!
//! Checked after every event: no engine's memory is overcommitted, and no two planners may act on
//! one lease. Checked once faults have ended: every listed row is ready on some engine.

use {
    crate::{
        counts::FaultCounts,
        driver::World,
        engines::{Arrival, FakeEngine},
        faulty_store::{FaultyStore, StoreEvent},
        timeline::Timeline,
    },
    fastrand::Rng,
    glade_control::{Action, Event, OpId, PlannerConfig, PlannerCore, StoreAnswer},
    glade_engine::{EngineReport, Order, OrderOutcome},
    glade_ledger::Ledger,
    glade_placement::PlacementPolicy,
    glade_platform::{BackendKind, BackendRecord, Key, Listing, Txn, VmRecord},
    glade_table::{COLUMNS, Table, TableVersion},
    glade_types::{BackendId, DataCentre, Incarnation, VmId},
    quickcheck::{Arbitrary, Gen},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

const PLANNERS: usize = 4;
const ENGINES: usize = 6;
const DATA_CENTRES: usize = 2;
const BASES: u8 = 6;
const TICK: Duration = Duration::from_millis(200);
const REPORT_EVERY: Duration = Duration::from_millis(500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
const LOAD_TIME: Duration = Duration::from_millis(300);
const LEASE: Duration = Duration::from_secs(4);
/// Longest lag of a report.
const REPORT_LAG_MS: u64 = 1500;
/// Time after the last fault within which every row has to be resident.
const RECOVERY: Duration = Duration::from_secs(150);

/// One operation.
#[derive(Clone, Debug)]
pub enum PlannerOp {
    /// Lets time pass.
    Advance {
        /// How long, in milliseconds.
        ms: u16,
    },
    /// Kills a planner; a new incarnation starts at once.
    Kill {
        /// Number of the planner.
        planner: u8,
    },
    /// Stops a planner for a while; it wakes believing what it believed.
    Pause {
        /// Number of the planner.
        planner: u8,
        /// How long, in milliseconds.
        ms: u16,
    },
    /// Restarts an engine.
    RestartEngine {
        /// Number of the engine.
        engine: u8,
    },
    /// Starts or ends an engine's leaving.
    Leave {
        /// Number of the engine.
        engine: u8,
        /// Whether it leaves.
        leaving: bool,
    },
    /// Sets the store's faults.
    Store {
        /// Whether it refuses everything.
        down: bool,
        /// Longest time of an operation, in milliseconds.
        slow_ms: u16,
        /// Share of operations that are lost.
        loss_percent: u8,
    },
    /// Sets the share of orders that go wrong, in percent.
    Orders {
        /// The share.
        fault_percent: u8,
    },
    /// Adds or removes a base model with its adapter.
    Edit {
        /// Number of the base model.
        base: u8,
    },
}

impl Arbitrary for PlannerOp {
    fn arbitrary(g: &mut Gen) -> Self {
        let (byte, short) = (u8::arbitrary(g), u16::arbitrary(g));
        match u8::arbitrary(g) % 20 {
            0 => Self::Kill { planner: byte },
            1 | 2 => Self::Pause { planner: byte, ms: short },
            3 => Self::RestartEngine { engine: byte },
            4 => Self::Leave { engine: byte, leaving: bool::arbitrary(g) },
            5 | 6 => Self::Store {
                down: byte.is_multiple_of(4),
                slow_ms: short % 1500,
                loss_percent: byte % 40,
            },
            7 | 8 => Self::Orders { fault_percent: byte % 80 },
            9 | 10 => Self::Edit { base: byte },
            _ => Self::Advance { ms: short % 5000 },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Advance { ms } => Box::new(ms.shrink().map(|ms| Self::Advance { ms })),
            _ => quickcheck::empty_shrinker(),
        }
    }
}

/// A planner process.
struct Process {
    control: PlannerCore,
    life: u64,
    paused_until: Option<Duration>,
    deferred: Vec<Event>,
}

/// One operation on the store.
#[derive(Clone, Debug)]
enum StoreOp {
    Transact(Txn),
    Read(Key),
    Scan(String),
}

/// Which process something is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Address {
    planner: usize,
    life: u64,
}

enum Delivery {
    Tick,
    Reports,
    Event(Address, Event),
    StoreEffect {
        to: Address,
        op: OpId,
        work: StoreOp,
        answer_after: Option<Duration>,
    },
    /// The sender opens its connection, after its check of the lease.
    OrderOpens {
        from: Address,
        order: Order,
    },
    OrderArrives {
        from: Address,
        order: Order,
        answered: bool,
    },
    Loaded {
        to: Address,
        order: Order,
        answered: bool,
    },
}

/// See the module.
pub struct PlannerWorld {
    time: Timeline<Delivery>,
    rng: Rng,
    store: FaultyStore,
    order_fault_percent: u8,
    planners: Vec<Process>,
    engines: Vec<FakeEngine>,
    listed: BTreeSet<u8>,
    table: Arc<Table>,
    next_life: u64,
    violation: Option<String>,
    counts: FaultCounts,
}

fn data_centre(idx: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", idx % DATA_CENTRES))
}

fn vm(idx: usize) -> VmId {
    VmId::new(&format!("vm-{idx}"))
}

fn base_bytes(base: u8) -> u64 {
    20 + 4 * u64::from(base)
}

impl World for PlannerWorld {
    type Op = PlannerOp;

    fn new(seed: u64) -> Self {
        let engines =
            (0..ENGINES).map(|idx| FakeEngine::new(idx, &data_centre(idx), idx % 3 != 0)).collect();
        let mut world = Self {
            time: Timeline::new(),
            rng: Rng::with_seed(seed),
            store: FaultyStore::default(),
            order_fault_percent: 0,
            planners: Vec::new(),
            engines,
            listed: (0..4).collect(),
            table: Arc::default(),
            next_life: 1,
            violation: None,
            counts: FaultCounts::default(),
        };
        world.rebuild_table();
        for idx in 0..PLANNERS {
            let process = world.start_planner(idx);
            world.planners.push(process);
        }
        world.introduce_all();
        world.time.schedule(Duration::ZERO, Delivery::Tick);
        world.time.schedule(Duration::ZERO, Delivery::Reports);
        world
    }

    fn apply(&mut self, op: &PlannerOp) {
        match *op {
            PlannerOp::Advance { ms } => self.advance(Duration::from_millis(u64::from(ms))),
            PlannerOp::Kill { planner } => {
                self.counts.add("planner killed");
                let idx = usize::from(planner) % PLANNERS;
                self.planners[idx] = self.start_planner(idx);
                self.introduce(idx);
            }
            PlannerOp::Pause { planner, ms } => {
                self.counts.add("planner paused");
                let idx = usize::from(planner) % PLANNERS;
                let until = self.time.elapsed() + Duration::from_millis(u64::from(ms));
                let before = self.planners[idx].paused_until.unwrap_or_default();
                self.planners[idx].paused_until = Some(until.max(before));
            }
            PlannerOp::RestartEngine { engine } => {
                self.counts.add("engine restarted");
                self.engines[usize::from(engine) % ENGINES].restart();
            }
            PlannerOp::Leave { engine, leaving } => {
                self.counts.add("engine leaving");
                self.engines[usize::from(engine) % ENGINES].leaving = leaving;
            }
            PlannerOp::Store { down, slow_ms, loss_percent } => {
                self.store.down = down;
                self.store.slow_ms = u64::from(slow_ms);
                self.store.loss_percent = loss_percent;
            }
            PlannerOp::Orders { fault_percent } => self.order_fault_percent = fault_percent,
            PlannerOp::Edit { base } => {
                let base = base % BASES;
                if !self.listed.remove(&base) {
                    self.listed.insert(base);
                }
                self.rebuild_table();
                self.introduce_all();
            }
        }
        self.check();
    }

    fn finish(&mut self) {
        self.store.heal();
        self.order_fault_percent = 0;
        let now = self.time.elapsed();
        for process in &mut self.planners {
            process.paused_until = process.paused_until.map(|_| now);
        }
        for engine in &mut self.engines {
            engine.leaving = false;
        }
        // Time for late orders and for leases to settle; then the operator's remedy for orders in
        // doubt on engines that ignore fences, which is to restart them.
        self.advance(RECOVERY);
        let stuck = self.engines_in_doubt();
        for engine in &mut self.engines {
            if stuck.contains(&engine.id) || engine.leaving {
                engine.restart();
            }
        }
        self.advance(RECOVERY);
        self.check_reachable();
    }

    fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    fn counts(&self) -> &FaultCounts {
        &self.counts
    }
}

impl PlannerWorld {
    fn start_planner(&mut self, idx: usize) -> Process {
        let life = self.next_life;
        self.next_life += 1;
        let config = PlannerConfig {
            vm: vm(idx),
            incarnation: Incarnation(life),
            data_centre: data_centre(idx),
            lease_duration: LEASE,
            lease_renew_interval: Duration::from_secs(1),
            max_report_age: Duration::from_secs(3),
            max_report_lag: Duration::from_millis(REPORT_LAG_MS) + REPORT_EVERY,
            loads_per_s: 20.0,
            max_concurrent_loads: 12,
            groups_per_data_centre: 1,
            policy: PlacementPolicy::default(),
            seed: self.rng.u64(..),
        };
        let control = PlannerCore::new(config, self.time.now());
        Process { control, life, paused_until: None, deferred: Vec::new() }
    }

    fn listing(&self) -> Listing {
        let addr = ([127, 0, 0, 1], 1).into();
        let vms = (0..PLANNERS).map(|idx| VmRecord {
            name: vm(idx),
            data_centre: data_centre(idx),
            caller: addr,
            operator: addr,
            entry_peer: addr,
            planner_peer: addr,
            leaving: false,
        });
        let backends = self.engines.iter().map(|engine| BackendRecord {
            id: engine.id.clone(),
            kind: BackendKind::Engine { enforces_fencing: engine.enforces_fencing },
            data_centre: engine.data_centre.clone(),
            addr,
            leaving: false,
        });
        Listing { vms: vms.collect(), backends: backends.collect() }
    }

    fn rebuild_table(&mut self) {
        let mut text = COLUMNS.join(",") + "\n";
        for base in &self.listed {
            let bytes = base_bytes(*base);
            text += &format!("base-{base},model,,{bytes},urgent,1,0,0,1000,50,true\n");
            text += &format!("adapter-{base},adapter,base-{base},5,urgent,1,0,0,1000,50,true\n");
        }
        let version = TableVersion(self.table.version.0 + 1);
        let table = Table::parse_csv(&text, version).expect("the world's table is valid");
        self.table = Arc::new(table);
    }

    fn introduce_all(&mut self) {
        (0..PLANNERS).for_each(|idx| self.introduce(idx));
    }

    /// Tells a planner the table, the VM list and who is alive.
    fn introduce(&mut self, idx: usize) {
        let live = (0..PLANNERS).map(vm).collect();
        let events = [
            Event::Listing(self.listing()),
            Event::LivePlanners(live),
            Event::Table(self.table.clone()),
        ];
        for event in events {
            self.give(idx, event);
        }
    }

    /// Hands an event to a planner, or keeps it while the planner is paused.
    fn give(&mut self, idx: usize, event: Event) {
        let process = &mut self.planners[idx];
        if process.paused_until.is_some() {
            process.deferred.push(event);
            return;
        }
        let mut actions = Vec::new();
        process.control.step(self.time.now(), event, &mut actions);
        let from = Address { planner: idx, life: process.life };
        for action in actions {
            self.act(from, action);
        }
    }

    fn act(&mut self, from: Address, action: Action) {
        match action {
            Action::Transact { op, txn } => self.store_op(from, op, StoreOp::Transact(txn)),
            Action::Read { op, key } => self.store_op(from, op, StoreOp::Read(key)),
            Action::Scan { op, prefix } => self.store_op(from, op, StoreOp::Scan(prefix)),
            Action::SendOrder { order, send_before } => {
                if self.time.now() >= send_before {
                    let outcome = OrderOutcome::NotSent;
                    self.settle_later(from, order, outcome, Duration::ZERO);
                    return;
                }
                // The sender may be paused between its check of the lease and its connection.
                let paused = self.rng.u8(0..100) < self.order_fault_percent / 4;
                let delay = if paused {
                    self.counts.add("sender paused after its check");
                    Duration::from_millis(self.rng.u64(0..60_000))
                } else {
                    Duration::from_millis(1)
                };
                self.time.schedule(delay, Delivery::OrderOpens { from, order });
            }
        }
    }

    fn settle_later(&mut self, to: Address, order: Order, outcome: OrderOutcome, after: Duration) {
        self.time.schedule(after, Delivery::Event(to, Event::OrderOutcome { order, outcome }));
    }

    fn store_op(&mut self, to: Address, op: OpId, work: StoreOp) {
        let fail = |error| match &work {
            StoreOp::Transact(_) => StoreAnswer::Transacted(Err(error)),
            StoreOp::Read(_) => StoreAnswer::Read(Err(error)),
            StoreOp::Scan(_) => StoreAnswer::Scanned(Err(error)),
        };
        let answered = |answer| Delivery::Event(to, Event::StoreAnswered { op, answer });
        for event in self.store.events(&mut self.rng, &mut self.counts) {
            match event {
                StoreEvent::Fails { after, error } => {
                    self.time.schedule(after, answered(fail(error)));
                }
                StoreEvent::TakesEffect { after, answer_after } => {
                    let effect = Delivery::StoreEffect { to, op, work: work.clone(), answer_after };
                    self.time.schedule(after, effect);
                }
            }
        }
    }

    fn advance(&mut self, by: Duration) {
        let until = self.time.elapsed() + by;
        while let Some(delivery) = self.time.next(until) {
            self.deliver(delivery);
            self.check();
            if self.violation.is_some() {
                return;
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick => {
                self.time.schedule(TICK, Delivery::Tick);
                self.wake();
                (0..PLANNERS)
                    .filter(|idx| self.planners[*idx].paused_until.is_none())
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|idx| self.give(idx, Event::Tick));
            }
            Delivery::Reports => {
                self.time.schedule(REPORT_EVERY, Delivery::Reports);
                self.send_reports();
            }
            Delivery::Event(to, event) => {
                if self.planners[to.planner].life == to.life {
                    self.give(to.planner, event);
                }
            }
            Delivery::StoreEffect { to, op, work, answer_after } => {
                let answer = match &work {
                    StoreOp::Transact(txn) => {
                        StoreAnswer::Transacted(Ok(self.store.table.transact(txn)))
                    }
                    StoreOp::Read(key) => StoreAnswer::Read(Ok(self.store.table.read(key))),
                    StoreOp::Scan(prefix) => {
                        StoreAnswer::Scanned(Ok(self.store.table.scan(prefix)))
                    }
                };
                if let Some(after) = answer_after {
                    let event = Event::StoreAnswered { op, answer };
                    self.time.schedule(after, Delivery::Event(to, event));
                }
            }
            Delivery::OrderOpens { from, order } => self.open_order(from, order),
            Delivery::OrderArrives { from, order, answered } => {
                self.order_arrives(from, order, answered);
            }
            Delivery::Loaded { to, order, answered } => {
                if let Some(engine) = self.engine(&order) {
                    engine.loaded(&order.model);
                }
                if answered {
                    self.settle_later(to, order, OrderOutcome::Done, Duration::from_millis(1));
                }
            }
        }
    }

    /// Wakes planners whose pause is over and gives them what came meanwhile.
    fn wake(&mut self) {
        let now = self.time.elapsed();
        for idx in 0..PLANNERS {
            if self.planners[idx].paused_until.is_some_and(|until| now >= until) {
                self.planners[idx].paused_until = None;
                for event in std::mem::take(&mut self.planners[idx].deferred) {
                    self.give(idx, event);
                }
            }
        }
    }

    fn send_reports(&mut self) {
        let reports: Vec<(BackendId, EngineReport)> =
            self.engines.iter().map(|engine| (engine.id.clone(), engine.report())).collect();
        for (engine, report) in reports {
            for planner in 0..PLANNERS {
                if self.rng.u8(0..10) == 0 {
                    self.counts.add("report lost");
                    continue;
                }
                let lag = Duration::from_millis(self.rng.u64(0..REPORT_LAG_MS));
                let life = self.planners[planner].life;
                let event = Event::EngineReport { engine: engine.clone(), report: report.clone() };
                let to = Address { planner, life };
                self.time.schedule(lag, Delivery::Event(to, event));
            }
        }
    }

    /// The engine that an order is for, if it still lives the same life.
    fn engine(&mut self, order: &Order) -> Option<&mut FakeEngine> {
        let engine = self.engines.iter_mut().find(|engine| engine.id == order.engine)?;
        (engine.incarnation == order.incarnation).then_some(engine)
    }

    /// The sender connects, reads the engine's incarnation and sends on the same connection.
    fn open_order(&mut self, from: Address, order: Order) {
        let Some(engine) = self.engine(&order) else {
            self.settle_later(from, order, OrderOutcome::NotSent, Duration::from_millis(1));
            return;
        };
        let enforces = engine.enforces_fencing;
        let soon = Duration::from_millis(1 + self.rng.u64(0..20));
        if self.rng.u8(0..100) >= self.order_fault_percent {
            self.time.schedule(soon, Delivery::OrderArrives { from, order, answered: true });
            return;
        }
        let arrives = |order, answered| Delivery::OrderArrives { from, order, answered };
        let unknown = Event::OrderOutcome { order: order.clone(), outcome: OrderOutcome::Unknown };
        match self.rng.u8(0..4) {
            0 => {
                self.counts.add("order lost");
                self.time.schedule(ORDER_TIMEOUT, Delivery::Event(from, unknown));
            }
            1 => {
                self.counts.add("order late by minutes");
                let late = Duration::from_millis(self.rng.u64(0..300_000));
                self.time.schedule(late, arrives(order, false));
                self.time.schedule(ORDER_TIMEOUT, Delivery::Event(from, unknown));
            }
            2 => {
                self.counts.add("order answer lost");
                self.time.schedule(soon, arrives(order, false));
                self.time.schedule(ORDER_TIMEOUT, Delivery::Event(from, unknown));
            }
            _ => {
                self.counts.add("order doubled");
                // Without fencing nothing can stop a copy that outlives its answered original, so
                // there the copy comes with it.
                let copy_after =
                    if enforces { Duration::from_millis(self.rng.u64(0..60_000)) } else { soon };
                self.time.schedule(soon, arrives(order.clone(), true));
                self.time.schedule(copy_after, arrives(order, false));
            }
        }
    }

    fn order_arrives(&mut self, from: Address, order: Order, answered: bool) {
        let Some(engine) = self.engine(&order) else {
            if answered {
                self.settle_later(from, order, OrderOutcome::Unknown, ORDER_TIMEOUT);
            }
            return;
        };
        match engine.arrive(&order) {
            Arrival::Answered(outcome) if answered => {
                self.settle_later(from, order, outcome, Duration::from_millis(1));
            }
            Arrival::Answered(_) => {}
            Arrival::Loading => {
                self.time.schedule(LOAD_TIME, Delivery::Loaded { to: from, order, answered });
            }
        }
    }

    fn fail(&mut self, message: String) {
        let at = self.time.elapsed();
        self.violation.get_or_insert(format!("at {at:?}: {message}"));
    }

    fn check(&mut self) {
        let over = self
            .engines
            .iter()
            .find(|engine| engine.taken_bytes() > crate::engines::CAPACITY_BYTES);
        if let Some(engine) = over {
            let (id, taken) = (engine.id.clone(), engine.taken_bytes());
            self.fail(format!("memory of {id} overcommitted: {taken} bytes taken"));
        }
        let now = self.time.now();
        for dc in 0..DATA_CENTRES {
            let group = glade_types::GroupId::new(&format!("{}.0", data_centre(dc)));
            let holders =
                self.planners.iter().filter(|p| p.control.epoch_at(&group, now).is_some()).count();
            if holders > 1 {
                self.fail(format!("{holders} planners may act on group {group}"));
            }
        }
    }

    fn engines_in_doubt(&self) -> BTreeSet<BackendId> {
        let rows = self.store.table.scan("ledger/");
        let ledgers = rows.iter().filter_map(|row| serde_json::from_slice(&row.value).ok());
        ledgers
            .filter(|ledger: &Ledger| ledger.open_loads() > 0)
            .map(|ledger| ledger.engine)
            .collect()
    }

    fn check_reachable(&mut self) {
        let table = Arc::clone(&self.table);
        for row in table.rows() {
            let served = self.engines.iter().any(|engine| engine.serves(row.name.as_str()));
            if !served {
                self.fail(format!("{} has no residence {RECOVERY:?} after the faults", row.name));
            }
        }
    }
}
