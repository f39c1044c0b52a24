//! One run: arrivals, entries, engines and planners in virtual time.

use {
    crate::{
        arrivals::{Arrival, arrivals},
        deployment::{ACCELERATORS_PER_ENGINE, Deployment, ENGINE_MEMORY_BYTES},
        engine::{FakeEngine, Job, SLOTS, Started},
        policy::PolicyKind,
        report::PolicyReport,
        scenario::{ARRIVALS, DRAIN, FAULT_END, FAULT_START, MEASURED_FROM, Scenario},
    },
    fastrand::Rng,
    glade_control::{Action, Event, OpId, PlannerConfig, PlannerCore, StoreAnswer},
    glade_engine::{EngineReport, Order, OrderKind, OrderOutcome},
    glade_placement::PlacementPolicy,
    glade_platform::{
        BackendKind, BackendRecord, Key, Listing, MemoryTable, StoreError, Txn, VmRecord,
    },
    glade_routing::{
        Decision, EngineEntry, InFlightGuard, PrefixAffinity, RequestSpec, RetryBudget, RouteTable,
        RoutingPolicy, ServerCounters, decide,
    },
    glade_table::Table,
    glade_types::{DataCentre, Incarnation, ModelName, Priority, VmId, stable_hash},
    glade_wire::Demand,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const DATA_CENTRES: usize = 3;
const TICK: Duration = Duration::from_millis(100);
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// Shortest and longest lag of a report, in milliseconds.
const REPORT_LAG_MS: std::ops::Range<u64> = 100..900;
const DEMAND_EVERY: Duration = Duration::from_secs(1);
const LOCAL_DISTANCE: Duration = Duration::from_micros(200);
const REMOTE_DISTANCE: Duration = Duration::from_micros(1500);
/// Time after which an entry gives a silent connection up.
const SILENCE: Duration = Duration::from_secs(2);
/// Time of a base model's load.
const BASE_LOAD: Duration = Duration::from_secs(3);
/// Time of an adapter's load.
const ADAPTER_LOAD: Duration = Duration::from_millis(6);
/// Need of urgent requests.
const FIRST_TOKEN_WITHIN: Duration = Duration::from_millis(1600);
const MAX_ATTEMPTS: u32 = 3;
/// Engines that leave or die.
const FAULTY_ENGINES: usize = 2;
/// Time between the notice and the end of a leaving engine.
const LEAVING_TIME: Duration = Duration::from_secs(20);
/// One in this many paths between entries and engines goes silent.
const SILENT_ONE_IN: usize = 3;

/// What to run.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig {
    /// Sizes and weights.
    pub deployment: Deployment,
    /// Faults.
    pub scenario: Scenario,
    /// Policy.
    pub policy: PolicyKind,
    /// Seed.
    pub seed: u64,
    /// Offered load, in requests per second.
    pub rate_per_s: f64,
}

/// An entry VM.
struct EntryVm {
    routes: RouteTable,
    counters: Vec<Arc<ServerCounters>>,
    prefixes: PrefixAffinity,
    retries: RetryBudget,
    turn: usize,
    under_way: HashMap<ModelName, u32>,
    missed: HashMap<ModelName, u32>,
}

/// A request and what became of it.
struct Tracked {
    arrival: Arrival,
    attempt: u32,
    engine: Option<usize>,
    under_way: Option<InFlightGuard>,
    first_token: Option<Duration>,
    ended: bool,
    refused: bool,
    ran: bool,
}

enum Delivery {
    Arrive(usize),
    Decide(usize),
    AtEngine { engine: usize, job: Job },
    FirstToken { request: usize, attempt: u32 },
    JobEnds { engine: usize, incarnation: u64, request: usize, attempt: u32 },
    AttemptFails { request: usize, attempt: u32 },
    Report,
    ReportAtEntries { engine: usize, report: Arc<EngineReport> },
    Tick,
    Demand,
    Planner(usize, Event),
    StoreEffect { planner: usize, op: OpId, work: StoreOp },
    OrderArrives { planner: usize, order: Order },
    Loaded { planner: usize, engine: usize, order: Order },
    FaultsBegin,
    EnginesGo,
    FaultsEnd,
    Reload { engine: usize, model: ModelName },
}

enum StoreOp {
    Transact(Txn),
    Read(Key),
    Scan(String),
}

struct World {
    config: RunConfig,
    rng: Rng,
    start: Instant,
    now: Duration,
    scheduled: u64,
    queue: BTreeMap<(Duration, u64), Delivery>,
    table: Arc<Table>,
    engines: Vec<FakeEngine>,
    /// Static placement, to which baselines return after a restart.
    placed: Vec<Vec<ModelName>>,
    entries: Vec<EntryVm>,
    planners: Vec<PlannerCore>,
    store: MemoryTable,
    requests: Vec<Tracked>,
    routing: RoutingPolicy,
    in_fault: bool,
    moves: u64,
}

fn data_centre(idx: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", idx % DATA_CENTRES))
}

/// Runs one configuration to its end.
pub fn run(config: &RunConfig) -> PolicyReport {
    let mut world = World::new(*config);
    world.begin();
    let end = ARRIVALS + DRAIN;
    while let Some(((at, _), delivery)) = world.queue.pop_first() {
        if at > end {
            break;
        }
        world.now = at;
        world.deliver(delivery);
    }
    world.report()
}

impl World {
    fn new(config: RunConfig) -> Self {
        let table = Arc::new(config.deployment.table());
        let list =
            arrivals(&table, config.deployment, config.scenario, config.seed, config.rate_per_s);
        let requests = list.into_iter().map(Tracked::new).collect();
        let mut engines: Vec<FakeEngine> =
            (0..config.deployment.engines()).map(FakeEngine::new).collect();
        let placed = place_statically(&table, &mut engines);
        let start = Instant::now();
        let mut world = Self {
            rng: Rng::with_seed(config.seed ^ 0x5eed),
            start,
            now: Duration::ZERO,
            scheduled: 0,
            queue: BTreeMap::new(),
            engines,
            placed,
            entries: Vec::new(),
            planners: Vec::new(),
            store: MemoryTable::default(),
            requests,
            routing: RoutingPolicy::default(),
            in_fault: false,
            moves: 0,
            table,
            config,
        };
        world.entries = (0..config.deployment.entries()).map(|idx| world.entry(idx)).collect();
        if config.policy.plans() {
            world.planners = (0..DATA_CENTRES).map(|idx| world.planner(idx)).collect();
        }
        world
    }

    fn entry(&self, idx: usize) -> EntryVm {
        let counters: Vec<Arc<ServerCounters>> =
            self.engines.iter().map(|_| Arc::default()).collect();
        let engines = self.engines.iter().enumerate().map(|(at, engine)| EngineEntry {
            id: engine.id.clone(),
            addr: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(engine.incarnation),
            key: stable_hash(engine.id.as_str().as_bytes()) as u16,
            one_way_latency: distance(idx, at),
            slots: SLOTS,
            reported_requests: 0,
            in_flight_at_report: 0,
            mean_request: Duration::from_secs(1),
            usable: true,
            counters: Arc::clone(&counters[at]),
        });
        let engines: Vec<EngineEntry> = engines.collect();
        let routes = RouteTable {
            holders: Arc::new(self.holders()),
            table: Arc::clone(&self.table),
            engines,
            entry_count: u32::try_from(self.config.deployment.entries()).unwrap_or(1),
            accepts_work: true,
            ..RouteTable::default()
        };
        EntryVm {
            routes,
            counters,
            prefixes: PrefixAffinity::default(),
            retries: RetryBudget::default(),
            turn: idx,
            under_way: HashMap::new(),
            missed: HashMap::new(),
        }
    }

    fn holders(&self) -> HashMap<ModelName, Vec<u32>> {
        let mut holders: HashMap<ModelName, Vec<u32>> = HashMap::new();
        for (idx, engine) in (0..).zip(&self.engines) {
            for model in engine.resident() {
                holders.entry(model.clone()).or_default().push(idx);
            }
        }
        holders
    }

    fn planner(&self, idx: usize) -> PlannerCore {
        let (loads_per_s, loads_at_once) = self.config.deployment.weight_store();
        let (attainment_weight, move_weight) = self.config.deployment.objective();
        let config = PlannerConfig {
            vm: VmId::new(&format!("vm-{idx}")),
            incarnation: Incarnation(1),
            data_centre: data_centre(idx),
            lease_duration: Duration::from_secs(4),
            lease_renew_interval: Duration::from_secs(1),
            max_report_age: Duration::from_secs(3),
            max_report_lag: Duration::from_millis(2500),
            loads_per_s,
            max_concurrent_loads: loads_at_once,
            groups_per_data_centre: 1,
            policy: PlacementPolicy {
                attainment_weight,
                move_weight,
                ..PlacementPolicy::default()
            },
            seed: self.config.seed + idx as u64,
        };
        PlannerCore::new(config, self.start)
    }

    fn listing(&self) -> Listing {
        let addr = ([127, 0, 0, 1], 1).into();
        let vms = (0..DATA_CENTRES).map(|idx| VmRecord {
            name: VmId::new(&format!("vm-{idx}")),
            data_centre: data_centre(idx),
            caller: addr,
            operator: addr,
            entry_peer: addr,
            planner_peer: addr,
            leaving: false,
        });
        let backends = self.engines.iter().enumerate().map(|(idx, engine)| BackendRecord {
            id: engine.id.clone(),
            kind: BackendKind::Engine { enforces_fencing: true },
            data_centre: data_centre(idx),
            addr,
            leaving: engine.leaving,
        });
        Listing { vms: vms.collect(), backends: backends.collect() }
    }

    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.scheduled += 1;
        self.queue.insert((self.now + after, self.scheduled), delivery);
    }

    fn begin(&mut self) {
        for idx in 0..self.requests.len() {
            let at = self.requests[idx].arrival.at;
            self.schedule(at, Delivery::Arrive(idx));
        }
        let live = (0..DATA_CENTRES).map(|idx| VmId::new(&format!("vm-{idx}"))).collect();
        for idx in 0..self.planners.len() {
            self.tell(idx, Event::Listing(self.listing()));
            self.tell(idx, Event::LivePlanners(std::collections::BTreeSet::clone(&live)));
            self.tell(idx, Event::Table(Arc::clone(&self.table)));
        }
        self.schedule(Duration::ZERO, Delivery::Report);
        if self.config.policy.plans() {
            self.schedule(TICK, Delivery::Tick);
            self.schedule(DEMAND_EVERY, Delivery::Demand);
        }
        self.schedule(FAULT_START, Delivery::FaultsBegin);
        self.schedule(FAULT_START + LEAVING_TIME, Delivery::EnginesGo);
        self.schedule(FAULT_END, Delivery::FaultsEnd);
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Arrive(request) => self.arrive(request),
            Delivery::Decide(request) => self.decide(request),
            Delivery::AtEngine { engine, job } => self.at_engine(engine, job),
            Delivery::FirstToken { request, attempt } => {
                let now = self.now;
                let tracked = &mut self.requests[request];
                if tracked.attempt == attempt && !tracked.ended {
                    tracked.first_token = Some(now);
                }
            }
            Delivery::JobEnds { engine, incarnation, request, attempt } => {
                self.job_ends(engine, incarnation, request, attempt);
            }
            Delivery::AttemptFails { request, attempt } => self.attempt_fails(request, attempt),
            Delivery::Report => self.send_reports(),
            Delivery::ReportAtEntries { engine, report } => self.take_report(engine, &report),
            Delivery::Tick => {
                self.schedule(TICK, Delivery::Tick);
                (0..self.planners.len()).for_each(|idx| self.tell(idx, Event::Tick));
            }
            Delivery::Demand => self.send_demand(),
            Delivery::Planner(idx, event) => self.tell(idx, event),
            Delivery::StoreEffect { planner, op, work } => self.store_effect(planner, op, &work),
            Delivery::OrderArrives { planner, order } => self.order_arrives(planner, order),
            Delivery::Loaded { planner, engine, order } => {
                self.engines[engine].loaded(&order.model);
                self.tell(planner, Event::OrderOutcome { order, outcome: OrderOutcome::Done });
            }
            Delivery::FaultsBegin => self.faults_begin(),
            Delivery::EnginesGo => {
                if self.config.scenario.leaving() {
                    (0..FAULTY_ENGINES).for_each(|idx| self.kill_engine(idx));
                }
            }
            Delivery::FaultsEnd => self.faults_end(),
            Delivery::Reload { engine, model } => {
                self.engines[engine].preload(&self.table, &model);
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = &self.requests[request].arrival;
        let (entry, model) = (arrival.entry, arrival.model.clone());
        self.entries[entry].retries.earn();
        *self.entries[entry].under_way.entry(model).or_default() += 1;
        self.decide(request);
    }

    fn decide(&mut self, request: usize) {
        let tracked = &self.requests[request];
        let arrival = tracked.arrival.clone();
        let avoid = tracked.engine;
        let entry = &mut self.entries[arrival.entry];
        let waited = self.now - arrival.at;
        let decision = match self.config.policy {
            PolicyKind::Glade => {
                let need = RequestSpec {
                    model: &arrival.model,
                    priority: arrival.priority,
                    first_token_within: FIRST_TOKEN_WITHIN.saturating_sub(waited),
                    prefix_hash: arrival.prefix,
                    waited,
                    avoided_engine: avoid,
                };
                let (routes, prefixes) = (&entry.routes, &entry.prefixes);
                decide(routes, &self.routing, prefixes, &need, self.now, &mut self.rng)
            }
            policy => baseline(policy, entry, &arrival.model, avoid, self.now),
        };
        match decision {
            Decision::Send { engine, .. } => self.send(request, engine),
            Decision::Wait(pause) => {
                let jitter = 0.5 + self.rng.f64();
                self.schedule(pause.mul_f64(jitter), Delivery::Decide(request));
            }
            Decision::Refuse { .. } => self.refuse(request),
        }
    }

    fn send(&mut self, request: usize, engine: usize) {
        let arrival = self.requests[request].arrival.clone();
        let entry = &self.entries[arrival.entry];
        entry.prefixes.record(arrival.prefix, entry.routes.engines[engine].key);
        let under_way = entry.counters[engine].begin_request();
        let tracked = &mut self.requests[request];
        tracked.attempt += 1;
        tracked.engine = Some(engine);
        tracked.under_way = Some(under_way);
        let attempt = tracked.attempt;
        if self.is_silent(arrival.entry, engine) {
            self.schedule(SILENCE, Delivery::AttemptFails { request, attempt });
            return;
        }
        let job = Job {
            request,
            attempt,
            priority: arrival.priority,
            prefix: arrival.prefix,
            tokens: arrival.tokens,
        };
        let delay = distance(arrival.entry, engine);
        self.schedule(delay, Delivery::AtEngine { engine, job });
    }

    fn is_silent(&self, entry: usize, engine: usize) -> bool {
        self.in_fault
            && self.config.scenario.silent_paths()
            && (entry * 7 + engine).is_multiple_of(SILENT_ONE_IN)
    }

    fn at_engine(&mut self, engine: usize, job: Job) {
        let model = &self.requests[job.request].arrival.model;
        if !self.engines[engine].alive || !self.engines[engine].holds(model) {
            let (request, attempt) = (job.request, job.attempt);
            let soon = Duration::from_millis(2);
            self.schedule(soon, Delivery::AttemptFails { request, attempt });
            return;
        }
        self.engines[engine].enqueue(job);
        self.start_jobs(engine);
    }

    fn start_jobs(&mut self, engine: usize) {
        while let Some(Started { job, first_token, end }) =
            self.engines[engine].start_next(self.now)
        {
            let (request, attempt) = (job.request, job.attempt);
            self.requests[request].ran = true;
            let incarnation = self.engines[engine].incarnation;
            let to_first = first_token - self.now;
            self.schedule(to_first, Delivery::FirstToken { request, attempt });
            let ends = Delivery::JobEnds { engine, incarnation, request, attempt };
            self.schedule(end - self.now, ends);
        }
    }

    fn job_ends(&mut self, engine: usize, incarnation: u64, request: usize, attempt: u32) {
        let state = &mut self.engines[engine];
        if state.incarnation != incarnation || !state.alive {
            self.attempt_fails(request, attempt);
            return;
        }
        state.ended();
        if self.requests[request].attempt == attempt {
            let entry = self.requests[request].arrival.entry;
            self.entries[entry].counters[engine].record_success();
            self.end(request);
        }
        self.start_jobs(engine);
    }

    fn attempt_fails(&mut self, request: usize, attempt: u32) {
        let tracked = &mut self.requests[request];
        if tracked.attempt != attempt || tracked.ended {
            return;
        }
        tracked.under_way = None;
        tracked.first_token = None;
        let (entry, patient) =
            (tracked.arrival.entry, tracked.arrival.priority == Priority::Patient);
        if let Some(engine) = tracked.engine {
            self.entries[entry].counters[engine].record_failure(self.now);
        }
        let may_retry = patient || attempt < MAX_ATTEMPTS;
        if may_retry && self.entries[entry].retries.spend() {
            self.decide(request);
        } else if patient {
            self.schedule(Duration::from_secs(1), Delivery::Decide(request));
        } else {
            self.end(request);
        }
    }

    fn refuse(&mut self, request: usize) {
        // After an attempt that ran, the caller is told that the request failed, not that it wasn't
        // run; the entry does the same.
        let tracked = &mut self.requests[request];
        tracked.refused = !tracked.ran;
        tracked.first_token = None;
        self.end(request);
    }

    fn end(&mut self, request: usize) {
        let tracked = &mut self.requests[request];
        tracked.ended = true;
        tracked.under_way = None;
        let missed = !tracked.met();
        let (entry, model) = (tracked.arrival.entry, tracked.arrival.model.clone());
        let entry = &mut self.entries[entry];
        if let Some(count) = entry.under_way.get_mut(&model) {
            *count = count.saturating_sub(1);
        }
        if missed {
            *entry.missed.entry(model).or_default() += 1;
        }
    }

    fn send_reports(&mut self) {
        self.schedule(REPORT_EVERY, Delivery::Report);
        for engine in 0..self.engines.len() {
            if !self.engines[engine].alive {
                continue;
            }
            let report = self.engines[engine].report(ENGINE_MEMORY_BYTES, ACCELERATORS_PER_ENGINE);
            let lag = Duration::from_millis(self.rng.u64(REPORT_LAG_MS));
            let report = Arc::new(report);
            self.schedule(lag, Delivery::ReportAtEntries { engine, report });
        }
    }

    fn take_report(&mut self, engine: usize, report: &Arc<EngineReport>) {
        for entry in &mut self.entries {
            let under_way = entry.counters[engine].in_flight();
            let view = &mut entry.routes.engines[engine];
            view.incarnation = report.incarnation;
            view.reported_requests = report.running + report.waiting;
            view.in_flight_at_report = under_way;
            view.mean_request = report.mean_request;
            view.usable = !report.leaving;
        }
        self.take_residents(engine, report);
        let id = self.engines[engine].id.clone();
        for idx in 0..self.planners.len() {
            let report = EngineReport::clone(report);
            self.tell(idx, Event::EngineReport { engine: id.clone(), report });
        }
    }

    /// Updates the holders of models if the report shows a change.
    fn take_residents(&mut self, engine: usize, report: &EngineReport) {
        let position = u32::try_from(engine).unwrap_or(u32::MAX);
        let held = |holders: &HashMap<ModelName, Vec<u32>>, model: &ModelName| {
            holders.get(model).is_some_and(|list| list.contains(&position))
        };
        let holders = &self.entries[0].routes.holders;
        let known = holders.values().filter(|list| list.contains(&position)).count();
        let same = known == report.resident.len()
            && report.resident.iter().all(|resident| held(holders, &resident.name));
        if same {
            return;
        }
        let mut holders = HashMap::clone(holders);
        holders.values_mut().for_each(|list| list.retain(|other| *other != position));
        for resident in &report.resident {
            let list = holders.entry(resident.name.clone()).or_default();
            list.push(position);
            list.sort_unstable();
        }
        let holders = Arc::new(holders);
        for entry in &mut self.entries {
            entry.routes.holders = Arc::clone(&holders);
        }
    }

    fn send_demand(&mut self) {
        self.schedule(DEMAND_EVERY, Delivery::Demand);
        for idx in 0..self.entries.len() {
            let entry = &mut self.entries[idx];
            let missed = std::mem::take(&mut entry.missed);
            let mut demands: Vec<Demand> = entry
                .under_way
                .iter()
                .filter(|(model, count)| **count > 0 || missed.contains_key(*model))
                .map(|(model, count)| Demand {
                    model: model.clone(),
                    in_flight: *count as f32,
                    missed: missed.get(model).copied().unwrap_or_default(),
                })
                .collect();
            demands.sort_by(|a, b| a.model.cmp(&b.model));
            for planner in 0..self.planners.len() {
                let event = Event::DemandReport {
                    from: VmId::new(&format!("entry-{idx}")),
                    data_centre: data_centre(idx),
                    demands: demands.clone(),
                };
                self.tell(planner, event);
            }
        }
    }

    fn tell(&mut self, planner: usize, event: Event) {
        let mut actions = Vec::new();
        self.planners[planner].step(self.start + self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Transact { op, txn } => self.store_op(planner, op, StoreOp::Transact(txn)),
                Action::Read { op, key } => self.store_op(planner, op, StoreOp::Read(key)),
                Action::Scan { op, prefix } => self.store_op(planner, op, StoreOp::Scan(prefix)),
                Action::SendOrder { order, .. } => {
                    self.schedule(REMOTE_DISTANCE, Delivery::OrderArrives { planner, order });
                }
            }
        }
    }

    fn store_op(&mut self, planner: usize, op: OpId, work: StoreOp) {
        let usual = Duration::from_millis(3);
        let scenario = self.config.scenario;
        let latency = if self.in_fault { scenario.store_latency() } else { Some(usual) };
        match latency {
            Some(latency) => {
                self.schedule(latency, Delivery::StoreEffect { planner, op, work });
            }
            None => {
                let error = StoreError::NotSent { reason: "down".to_owned() };
                let answer = match work {
                    StoreOp::Transact(_) => StoreAnswer::Transacted(Err(error)),
                    StoreOp::Read(_) => StoreAnswer::Read(Err(error)),
                    StoreOp::Scan(_) => StoreAnswer::Scanned(Err(error)),
                };
                let event = Event::StoreAnswered { op, answer };
                self.schedule(usual, Delivery::Planner(planner, event));
            }
        }
    }

    fn store_effect(&mut self, planner: usize, op: OpId, work: &StoreOp) {
        let answer = match work {
            StoreOp::Transact(txn) => StoreAnswer::Transacted(Ok(self.store.transact(txn))),
            StoreOp::Read(key) => StoreAnswer::Read(Ok(self.store.read(key))),
            StoreOp::Scan(prefix) => StoreAnswer::Scanned(Ok(self.store.scan(prefix))),
        };
        self.tell(planner, Event::StoreAnswered { op, answer });
    }

    fn order_arrives(&mut self, planner: usize, order: Order) {
        let engine = self.engines.iter().position(|engine| engine.id == order.engine);
        let Some(idx) = engine else { return };
        let engine = &mut self.engines[idx];
        if !engine.alive || Incarnation(engine.incarnation) != order.incarnation {
            self.tell(planner, Event::OrderOutcome { order, outcome: OrderOutcome::NotSent });
            return;
        }
        if engine.order(&order) {
            self.moves += 1;
            let is_base = matches!(order.kind, OrderKind::Load { base: None, .. });
            let time = if is_base { BASE_LOAD } else { ADAPTER_LOAD };
            self.schedule(time, Delivery::Loaded { planner, engine: idx, order });
        } else {
            self.tell(planner, Event::OrderOutcome { order, outcome: OrderOutcome::Done });
        }
    }

    fn faults_begin(&mut self) {
        self.in_fault = true;
        if self.config.scenario.leaving() {
            for idx in 0..FAULTY_ENGINES {
                self.engines[idx].leaving = true;
            }
        }
        if self.config.scenario.loses_engines() {
            for idx in FAULTY_ENGINES..2 * FAULTY_ENGINES {
                self.kill_engine(idx);
            }
        }
    }

    fn kill_engine(&mut self, engine: usize) {
        self.engines[engine].die();
        let lost: Vec<(usize, u32)> = self
            .requests
            .iter()
            .enumerate()
            .filter(|(_, r)| !r.ended && r.engine == Some(engine) && r.under_way.is_some())
            .map(|(idx, r)| (idx, r.attempt))
            .collect();
        for (request, attempt) in lost {
            self.schedule(Duration::from_millis(2), Delivery::AttemptFails { request, attempt });
        }
    }

    fn faults_end(&mut self) {
        self.in_fault = false;
        for engine in 0..self.engines.len() {
            if self.engines[engine].alive {
                continue;
            }
            self.engines[engine].start();
            if !self.config.policy.plans() {
                self.reload_statically(engine);
            }
        }
    }

    /// A baseline's engine loads its static set again at the pace of the weight store.
    fn reload_statically(&mut self, engine: usize) {
        let (per_s, _) = self.config.deployment.weight_store();
        for (idx, model) in self.placed[engine].clone().into_iter().enumerate() {
            let after = BASE_LOAD + Duration::from_secs_f64(idx as f64 / per_s / 4.0);
            self.schedule(after, Delivery::Reload { engine, model });
        }
    }

    fn report(&self) -> PolicyReport {
        let measured = || self.requests.iter().filter(|r| r.arrival.at >= MEASURED_FROM);
        let urgent = || measured().filter(|r| r.arrival.priority == Priority::Urgent);
        let share = |met: usize, all: usize| met as f64 / all.max(1) as f64;
        let requests = measured().count();
        let attainment = share(measured().filter(|r| r.met()).count(), requests);
        let mut times: Vec<Duration> =
            urgent().filter_map(|r| Some(r.first_token? - r.arrival.at)).collect();
        times.sort();
        let p95 = times.get(times.len() * 95 / 100).copied().unwrap_or_default();
        let accelerators = u32::try_from(self.engines.len()).unwrap_or(0) * ACCELERATORS_PER_ENGINE;
        let per_accelerator = attainment * 1000.0 / f64::from(accelerators);
        let round = |value: f64| (value * 10_000.0).round() / 10_000.0;
        let unfinished = measured().filter(|r| r.arrival.priority == Priority::Patient && !r.ended);
        PolicyReport {
            deployment: self.config.deployment.to_string(),
            scenario: self.config.scenario.to_string(),
            policy: self.config.policy.to_string(),
            seed: self.config.seed,
            rate_per_s: round(self.config.rate_per_s),
            requests: requests as u64,
            attainment: round(attainment),
            accelerators,
            attainment_per_accelerator: round(per_accelerator),
            moves: self.moves,
            urgent_ttft_p95_ms: u64::try_from(p95.as_millis()).unwrap_or(u64::MAX),
            urgent_attainment: round(share(urgent().filter(|r| r.met()).count(), urgent().count())),
            patient_unfinished: unfinished.count() as u64,
            refused_true: measured().filter(|r| r.refused && !r.ran).count() as u64,
            refused_false: measured().filter(|r| r.refused && r.ran).count() as u64,
        }
    }
}

impl Tracked {
    fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            attempt: 0,
            engine: None,
            under_way: None,
            first_token: None,
            ended: false,
            refused: false,
            ran: false,
        }
    }

    /// Whether the request met its need: an urgent one its first token in time, a patient one its
    /// end within the run.
    fn met(&self) -> bool {
        let in_time = self.first_token.is_some_and(|at| at - self.arrival.at <= FIRST_TOKEN_WITHIN);
        match self.arrival.priority {
            Priority::Urgent => self.ended && !self.refused && in_time,
            Priority::Patient => self.ended && !self.refused && self.first_token.is_some(),
        }
    }
}

fn distance(entry: usize, engine: usize) -> Duration {
    if entry % DATA_CENTRES == engine % DATA_CENTRES { LOCAL_DISTANCE } else { REMOTE_DISTANCE }
}

/// A baseline's choice among the engines that hold the model. It knows leaving and failing engines
/// as the system's own policy does.
fn baseline(
    policy: PolicyKind,
    entry: &mut EntryVm,
    model: &ModelName,
    avoid: Option<usize>,
    now: Duration,
) -> Decision {
    let holders = entry.routes.holders.get(model).map_or(&[][..], Vec::as_slice);
    let usable: Vec<usize> = holders
        .iter()
        .map(|position| *position as usize)
        .filter(|idx| entry.routes.engines[*idx].usable && Some(*idx) != avoid)
        .filter(|idx| entry.counters[*idx].accepts_requests(now))
        .collect();
    if usable.is_empty() {
        return Decision::Wait(Duration::from_millis(200));
    }
    entry.turn += 1;
    let engine = match policy {
        PolicyKind::LeastOutstanding => {
            let turn = entry.turn;
            let key =
                |idx: &&usize| (entry.counters[**idx].in_flight(), (**idx + turn) % usable.len());
            usable.iter().min_by_key(key).copied().unwrap_or(usable[0])
        }
        _ => usable[entry.turn % usable.len()],
    };
    Decision::Send { engine, predicted: Duration::ZERO }
}

/// Places every row once, then further copies in turn while memory is left.
fn place_statically(table: &Table, engines: &mut [FakeEngine]) -> Vec<Vec<ModelName>> {
    let bases: Vec<&glade_table::Row> =
        table.loadable().filter(|row| row.base().is_none()).collect();
    let adapters_of =
        |base: &ModelName| table.rows().filter(|row| row.base() == Some(base)).collect::<Vec<_>>();
    let mut placed = vec![Vec::new(); engines.len()];
    loop {
        let mut progress = false;
        for base in &bases {
            let family = adapters_of(&base.name);
            let bytes: u64 =
                base.memory_bytes + family.iter().map(|row| row.memory_bytes).sum::<u64>();
            let target = (0..engines.len())
                .filter(|idx| !engines[*idx].holds(&base.name))
                .filter(|idx| engines[*idx].free_bytes(ENGINE_MEMORY_BYTES) >= bytes)
                .max_by_key(|idx| {
                    (engines[*idx].free_bytes(ENGINE_MEMORY_BYTES), usize::MAX - idx)
                });
            let Some(idx) = target else { continue };
            for row in [*base].into_iter().chain(family) {
                engines[idx].preload(table, &row.name);
                placed[idx].push(row.name.clone());
            }
            progress = true;
        }
        if !progress {
            return placed;
        }
    }
}
