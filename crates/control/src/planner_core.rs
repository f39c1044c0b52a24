//! The planner's state machine.
//!
//! On each tick the core renews or acquires the leases of engine groups. For each group whose lease
//! it holds, the core scans the ledger rows, plans moves, and reserves memory in the engines'
//! ledgers. An order is sent only after its reservation is committed.

use {
    crate::{
        coverage::{Coverage, CoverageInput},
        demand_aggregator::DemandAggregator,
        engine_group::EngineGroup,
        engine_ledger::{EngineLedger, LedgerRow},
        event::{Action, Event, OpId, StoreAnswer},
        load_limiter::LoadLimiter,
        planner_config::PlannerConfig,
        planner_status::{EngineStatus, GroupStatus, PlannerStatus},
    },
    glade_engine::{EngineReport, Order, OrderKind, OrderOutcome},
    glade_fleet::{EngineView, Fleet, digests},
    glade_lease::LeaseAction,
    glade_ledger::{Ledger, Phase},
    glade_placement::{EngineInput, ExternalResidences, Move, PlacementInput, plan},
    glade_platform::{BackendKind, BackendRecord, Listing, Txn, VmRecord},
    glade_table::Table,
    glade_types::{BackendId, GroupId, ModelName, VmId, rendezvous_order},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval between planning passes of a group.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start during which a planner treats all listed VMs as live.
const STARTUP_GRACE_PERIOD: Duration = Duration::from_secs(4);
/// Delay before a failed scan is retried.
const SCAN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of VMs that read the reports of an engine, all in the engine's data centre.
const WATCHERS_PER_ENGINE: usize = 2;

/// An operation on the table service whose answer is outstanding, by its purpose.
#[derive(Clone, Debug)]
enum PendingOp {
    /// Read or write of a group's lease row.
    Lease(GroupId),
    /// Scan of a group's ledger rows under a lease epoch.
    ScanGroup(GroupId, u64),
    /// Read or write of an engine's ledger row.
    Ledger(BackendId),
}

/// State machine of the planner. See the crate's documentation.
#[derive(Debug)]
pub struct PlannerCore {
    config: PlannerConfig,
    rng: fastrand::Rng,
    now: Instant,
    table: Arc<Table>,
    listing: Listing,
    /// VMs whose planners send heartbeats, including this one.
    live_planners: BTreeSet<VmId>,
    /// End of the start-up period in which listed VMs count as live although no heartbeat of them
    /// has arrived yet. Without it, the planner that starts first would take the leases for which
    /// others are preferred.
    startup_grace_until: Option<Instant>,
    /// Engines whose reports this planner reads, derived from the VM list and the live planners.
    watched_engines: Vec<BackendRecord>,
    fleet: Fleet,
    groups: BTreeMap<GroupId, EngineGroup>,
    engine_ledgers: BTreeMap<BackendId, EngineLedger>,
    demand: DemandAggregator,
    coverage: Coverage,
    pending_ops: HashMap<OpId, PendingOp>,
    next_op: u64,
    sent_orders: u64,
    store_writes: u64,
    store_reads: u64,
}

impl PlannerCore {
    /// Returns a planner without a VM list, a model table or engine reports.
    pub fn new(config: PlannerConfig, now: Instant) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(config.seed),
            live_planners: [config.vm.clone()].into(),
            startup_grace_until: Some(now + STARTUP_GRACE_PERIOD),
            config,
            now,
            table: Arc::default(),
            listing: Listing::default(),
            watched_engines: Vec::new(),
            fleet: Fleet::default(),
            groups: BTreeMap::new(),
            engine_ledgers: BTreeMap::new(),
            demand: DemandAggregator::default(),
            coverage: Coverage::default(),
            pending_ops: HashMap::new(),
            next_op: 0,
            sent_orders: 0,
            store_writes: 0,
            store_reads: 0,
        }
    }

    /// Handles `event` at clock reading `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::Tick => self.tick(out),
            Event::Listing(listing) => self.on_listing(&listing),
            Event::Table(table) => {
                if table.version >= self.table.version {
                    self.table = table;
                }
            }
            Event::LivePlanners(mut live_planners) => {
                live_planners.insert(self.config.vm.clone());
                if live_planners != self.live_planners {
                    self.live_planners = live_planners;
                    self.rank_candidates();
                    self.choose_watched_engines();
                }
            }
            Event::EngineReport { engine, report } => self.on_report(&engine, &report),
            Event::EngineLoad(digest) => self.fleet.load(now, digest),
            Event::EngineResidency(residency) => self.fleet.residency(now, residency),
            Event::EngineLeaving { engine, incarnation } => {
                self.fleet.leaving(&engine, incarnation);
            }
            Event::DemandReport { from, data_centre, demands } => {
                if data_centre == self.config.data_centre {
                    self.demand.record(now, from, &demands);
                }
            }
            Event::ModelMissing { engine, incarnation, model } => {
                self.fleet.missing(&engine, incarnation, &model);
            }
            Event::StoreAnswered { op, answer } => self.on_store_answer(op, answer, out),
            Event::OrderOutcome { order, outcome } => {
                if let Some(engine_ledger) = self.engine_ledgers.get_mut(&order.engine) {
                    engine_ledger.on_order_outcome(now, order, outcome);
                }
            }
        }
    }

    /// Returns the engines whose reports this planner has to read and forward to other planners.
    pub fn watched_engines(&self) -> &[BackendRecord] {
        &self.watched_engines
    }

    /// Selects the engines whose reports this planner has to read, by rendezvous hashing over the
    /// live VMs of its data centre.
    fn choose_watched_engines(&mut self) {
        let live_vms: Vec<&VmRecord> = self
            .listing
            .vms
            .iter()
            .filter(|vm| vm.data_centre == self.config.data_centre)
            .filter(|vm| !vm.leaving && self.live_planners.contains(&vm.name))
            .collect();
        let watched_engines = self
            .fleet
            .iter()
            .map(|view| &view.record)
            .filter(|record| record.data_centre == self.config.data_centre)
            .filter(|record| {
                let vms = live_vms.iter().map(|vm| vm.name.as_str());
                rendezvous_order(record.id.as_str(), vms)
                    .iter()
                    .take(WATCHERS_PER_ENGINE)
                    .any(|name| *name == self.config.vm.as_str())
            })
            .cloned()
            .collect();
        self.watched_engines = watched_engines;
    }

    /// Returns the epoch of the lease over `group` if this planner holds the lease and may act on
    /// it at `now`.
    pub fn epoch_at(&self, group: &GroupId, now: Instant) -> Option<u64> {
        self.groups.get(group)?.lease.epoch(now)
    }

    /// Returns a snapshot of the state for operators and metrics.
    pub fn status(&self) -> PlannerStatus {
        let groups = self.groups.values().map(|group| GroupStatus {
            group: group.id.clone(),
            holder: group.lease.holder().cloned(),
            epoch: group.lease.epoch(self.now),
            wanted_moves: group.moves.len(),
        });
        let held = self
            .engine_ledgers
            .values()
            .filter(|engine_ledger| self.epoch(&engine_ledger.group).is_some());
        let engines =
            held.filter_map(|engine_ledger| engine_ledger.ledger()).map(|ledger| EngineStatus {
                engine: ledger.engine.clone(),
                capacity_bytes: ledger.capacity_bytes,
                reserved_bytes: ledger.reserved_bytes(),
                open_loads: ledger.open_loads(),
            });
        PlannerStatus {
            groups: groups.collect(),
            engines: engines.collect(),
            moves: self.sent_orders,
            store_writes: self.store_writes,
            store_reads: self.store_reads,
        }
    }

    /// Returns the epoch of the lease over `group` if this planner may act on it now.
    fn epoch(&self, group: &GroupId) -> Option<u64> {
        self.groups.get(group)?.lease.epoch(self.now)
    }

    fn on_listing(&mut self, listing: &Listing) {
        self.fleet.list(listing);
        // The list is read every second and rarely changes.
        if self.listing == *listing {
            return;
        }
        self.listing = listing.clone();
        for view in self.fleet.iter() {
            let record = &view.record;
            let id = self.config.group_of(&record.id, &record.data_centre);
            self.groups.entry(id.clone()).or_insert_with(|| {
                EngineGroup::new(id.clone(), record.data_centre.clone(), &self.config, self.now)
            });
            self.engine_ledgers
                .entry(record.id.clone())
                .or_insert_with(|| EngineLedger::new(record.id.clone(), id, self.now));
        }
        self.rank_candidates();
        self.choose_watched_engines();
        let count = u32::try_from(self.groups.len()).unwrap_or(u32::MAX);
        for (idx, group) in (0..).zip(self.groups.values_mut()) {
            let (rate, max_concurrent) =
                (self.config.loads_per_s, self.config.max_concurrent_loads);
            group.load_limiter.set_share(LoadLimiter::share(rate, max_concurrent, count, idx));
        }
    }

    /// Recomputes for which groups this planner is a lease candidate.
    fn rank_candidates(&mut self) {
        let mut live_vms = self.live_planners.clone();
        if self.startup_grace_until.is_some() {
            live_vms.extend(self.listing.vms.iter().map(|vm| vm.name.clone()));
        }
        for group in self.groups.values_mut() {
            group.rank_candidates(&self.config.vm, &self.listing.vms, &live_vms);
        }
    }

    fn on_report(&mut self, engine: &BackendId, report: &EngineReport) {
        let (load, residency) = digests(engine, report);
        self.fleet.load(self.now, load);
        self.fleet.residency(self.now, residency);
    }

    fn on_store_answer(&mut self, op: OpId, answer: StoreAnswer, out: &mut Vec<Action>) {
        let Some(pending_op) = self.pending_ops.remove(&op) else { return };
        match (pending_op, answer) {
            (PendingOp::Lease(group), answer) => self.on_lease_answer(&group, answer),
            (PendingOp::ScanGroup(group, epoch), StoreAnswer::Scanned(rows)) => {
                self.on_scanned(&group, epoch, rows.ok(), out);
            }
            (PendingOp::Ledger(engine), answer) => {
                let Some(engine_ledger) = self.engine_ledgers.get_mut(&engine) else { return };
                let committed = match answer {
                    StoreAnswer::Transacted(answer) => {
                        engine_ledger.on_written(self.now, op, answer)
                    }
                    StoreAnswer::Read(answer) => engine_ledger.on_read(self.now, op, answer),
                    StoreAnswer::Scanned(_) => None,
                };
                self.send_committed(&engine, committed, out);
            }
            (PendingOp::ScanGroup(..), _) => {}
        }
    }

    /// Handles the answer to a read or write of a lease row.
    fn on_lease_answer(&mut self, group: &GroupId, answer: StoreAnswer) {
        let Some(group) = self.groups.get_mut(group) else { return };
        match answer {
            StoreAnswer::Read(answer) => {
                group.lease.on_read(self.now, answer.as_ref().map(Option::as_ref));
            }
            StoreAnswer::Transacted(answer) => group.lease.on_write(self.now, answer.as_ref()),
            StoreAnswer::Scanned(_) => {}
        }
    }

    /// Updates all ledgers of a group from the scanned rows and sends orders whose reservations
    /// turn out to be committed.
    fn on_scanned(
        &mut self,
        id: &GroupId,
        epoch: u64,
        rows: Option<Vec<glade_platform::StoredRow>>,
        out: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get_mut(id) else { return };
        group.is_scanning = false;
        let Some(rows) = rows else {
            group.next_scan_at = self.now + SCAN_RETRY_DELAY;
            return;
        };
        group.scanned_epoch = Some(epoch);
        let engines: Vec<BackendId> = self
            .engine_ledgers
            .values()
            .filter(|engine_ledger| engine_ledger.group == *id && !engine_ledger.has_operation())
            .map(|engine_ledger| engine_ledger.engine.clone())
            .collect();
        for engine in engines {
            let Some(engine_ledger) = self.engine_ledgers.get_mut(&engine) else { continue };
            let key = engine_ledger.key();
            let committed = engine_ledger.observe(self.now, rows.iter().find(|row| row.key == key));
            self.send_committed(&engine, committed, out);
        }
    }

    /// Sends an order whose reservation is committed, if this planner still holds the lease and the
    /// ledger has the epoch of that lease. Otherwise records the order as not sent.
    fn send_committed(&mut self, engine: &BackendId, order: Option<Order>, out: &mut Vec<Action>) {
        let Some(order) = order else { return };
        let Some(engine_ledger) = self.engine_ledgers.get_mut(engine) else { return };
        let lease = self.groups.get(&engine_ledger.group).and_then(|group| {
            let epoch = group.lease.epoch(self.now)?;
            let send_before = group.lease.valid_until()?;
            let same_epoch = engine_ledger.ledger().is_some_and(|ledger| ledger.epoch == epoch);
            same_epoch.then_some(send_before)
        });
        match lease {
            Some(send_before) if engine_ledger.in_flight.is_none() => {
                engine_ledger.in_flight = Some(order.clone());
                self.sent_orders += 1;
                out.push(Action::SendOrder { order, send_before });
            }
            _ => engine_ledger.on_order_outcome(self.now, order, OrderOutcome::NotSent),
        }
    }

    /// Performs all work that is due.
    fn tick(&mut self, out: &mut Vec<Action>) {
        if self.startup_grace_until.is_some_and(|until| self.now >= until) {
            self.startup_grace_until = None;
            self.rank_candidates();
        }
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in &ids {
            self.tick_lease(id, out);
            self.tick_scan(id, out);
        }
        let mut coverage = std::mem::take(&mut self.coverage);
        coverage.update(self.coverage_input());
        self.coverage = coverage;
        for id in &ids {
            self.tick_plan(id);
        }
        let engines: Vec<BackendId> = self.engine_ledgers.keys().cloned().collect();
        for engine in engines {
            self.tick_engine(&engine, out);
        }
    }

    /// Reads or writes the lease row if that is due.
    fn tick_lease(&mut self, id: &GroupId, out: &mut Vec<Action>) {
        let write_id = self.rng.u64(1..);
        let Some(group) = self.groups.get_mut(id) else { return };
        if !group.is_candidate {
            return;
        }
        let key = group.lease_key();
        match group.lease.tick(self.now, write_id) {
            Some(LeaseAction::Read) => {
                let op = self.begin_op(PendingOp::Lease(id.clone()));
                self.store_reads += 1;
                out.push(Action::Read { op, key });
            }
            Some(LeaseAction::Write { expected, row }) => {
                let value = serde_json::to_vec(&row).expect("lease rows have only string keys");
                let txn = Txn::compare_and_set(key, expected, value);
                let op = self.begin_op(PendingOp::Lease(id.clone()));
                self.store_writes += 1;
                out.push(Action::Transact { op, txn });
            }
            None => {}
        }
    }

    /// Scans the ledger rows of a group once in each epoch of its lease.
    fn tick_scan(&mut self, id: &GroupId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(id) else { return };
        let Some(epoch) = group.lease.epoch(now) else { return };
        if group.is_scanning || group.scanned_epoch == Some(epoch) || now < group.next_scan_at {
            return;
        }
        group.is_scanning = true;
        group.moves.clear();
        let prefix = group.ledger_prefix();
        let op = self.begin_op(PendingOp::ScanGroup(id.clone(), epoch));
        self.store_reads += 1;
        out.push(Action::Scan { op, prefix });
    }

    /// Plans the moves of a group whose ledgers were scanned, if a planning pass is due.
    fn tick_plan(&mut self, id: &GroupId) {
        let now = self.now;
        let Some(group) = self.groups.get(id) else { return };
        let scanned = group.lease.epoch(now).is_some_and(|e| group.scanned_epoch == Some(e));
        let due = group.planned_at.is_none_or(|at| now >= at + PLAN_INTERVAL);
        if !scanned || !due {
            return;
        }
        let demand = self.demand.levels(now).clone();
        let moves = plan(&self.placement_input(id, demand));
        if let Some(group) = self.groups.get_mut(id) {
            group.moves = moves;
            group.planned_at = Some(now);
        }
    }

    fn placement_input<'a>(
        &'a self,
        id: &'a GroupId,
        demand: HashMap<ModelName, glade_placement::ModelDemand>,
    ) -> PlacementInput<'a> {
        let (now, max_age) = (self.now, self.config.max_report_age);
        let mut engines = Vec::new();
        let mut external: HashMap<&ModelName, ExternalResidences> = HashMap::new();
        for view in self.fleet.iter() {
            let usable = view.is_usable(now, max_age);
            let engine_ledger = self
                .engine_ledgers
                .get(&view.record.id)
                .filter(|engine_ledger| engine_ledger.group == *id);
            match engine_ledger {
                Some(engine_ledger) => {
                    engines.extend(engine_ledger.ledger().map(|ledger| EngineInput {
                        ledger,
                        usable: usable && ledger.incarnation == view.incarnation(),
                        utilization: view.utilization(),
                        slots: view.load.as_ref().map_or(1, |(load, _)| load.slots),
                    }));
                }
                None if usable => {
                    let resident = view.current_residency().into_iter();
                    for (name, _) in resident.flat_map(|(residency, _)| &residency.resident) {
                        let utilization = view.utilization();
                        let residences = external.entry(name).or_insert(ExternalResidences {
                            count: 0,
                            least_utilization: utilization,
                        });
                        residences.count += 1;
                        residences.least_utilization =
                            residences.least_utilization.min(utilization);
                    }
                }
                None => {}
            }
        }
        PlacementInput {
            table: &self.table,
            engines,
            required: self.coverage.required(id, self.coverage_input()),
            external,
            demand,
            policy: self.config.policy,
        }
    }

    fn coverage_input(&self) -> CoverageInput<'_> {
        CoverageInput {
            now: self.now,
            config: &self.config,
            table: &self.table,
            fleet: &self.fleet,
        }
    }

    /// Starts the next operation on the ledger row of an engine, if any is needed.
    fn tick_engine(&mut self, engine: &BackendId, out: &mut Vec<Action>) {
        let Some(engine_ledger) = self.engine_ledgers.get(engine) else { return };
        if engine_ledger.has_operation() {
            return;
        }
        let group = engine_ledger.group.clone();
        let epoch = self.epoch(&group);
        let scanned = epoch.is_some()
            && self.groups.get(&group).is_some_and(|group| group.scanned_epoch == epoch);
        let needs_row = scanned || engine_ledger.has_outcomes();
        match &engine_ledger.row {
            LedgerRow::Unread if needs_row => self.read_ledger(engine, out),
            LedgerRow::Unread => {}
            LedgerRow::Absent => {
                if let Some(epoch) = epoch.filter(|_| scanned) {
                    self.create_ledger(engine, epoch, out);
                }
            }
            LedgerRow::Present { ledger, .. } => {
                let draft = ledger.clone();
                let epoch = epoch.filter(|epoch| scanned && *epoch >= draft.epoch);
                self.update_ledger(engine, draft, epoch, out);
            }
        }
    }

    fn read_ledger(&mut self, engine: &BackendId, out: &mut Vec<Action>) {
        let op = self.begin_op(PendingOp::Ledger(engine.clone()));
        self.store_reads += 1;
        let Some(engine_ledger) = self.engine_ledgers.get_mut(engine) else { return };
        engine_ledger.begin_read(op);
        out.push(Action::Read { op, key: engine_ledger.key() });
    }

    /// Creates the ledger of an engine that has none.
    fn create_ledger(&mut self, engine: &BackendId, epoch: u64, out: &mut Vec<Action>) {
        let Some(view) = self.fleet.get(engine) else { return };
        let Some(report) = view.report() else { return };
        let enforces_fencing = view.record.kind == BackendKind::Engine { enforces_fencing: true };
        let mut ledger = Ledger::from_first_report(engine, enforces_fencing, &report);
        self.set_base_models(&mut ledger);
        ledger.epoch = epoch;
        self.write_ledger(engine, ledger, None, out);
    }

    /// Sets the base model of each adapter in the ledger from the model table.
    fn set_base_models(&self, ledger: &mut Ledger) {
        ledger.set_bases(|name| self.table.row(name.as_str()).and_then(|row| row.base()).cloned());
    }

    /// Records outcomes and the engine's reported state in the ledger and decides the next order to
    /// the engine. `epoch` is `Some` only if this planner may act for the group.
    fn update_ledger(
        &mut self,
        engine: &BackendId,
        mut draft: Ledger,
        epoch: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(engine_ledger) = self.engine_ledgers.get(engine) else { return };
        let mut changed = engine_ledger.apply_outcomes(&mut draft);
        let mut order = None;
        if let Some(epoch) = epoch {
            changed |= draft.epoch != epoch;
            draft.epoch = epoch;
            changed |= self.apply_report(engine, &mut draft);
            // If the draft changed, for example by an outcome, the reports can't show its new state
            // yet.
            let use_report = !changed && self.residency_is_current(engine);
            order = self.next_order(engine, &mut draft, use_report);
            changed |= order.is_some();
        }
        if changed {
            self.write_ledger(engine, draft, order, out);
        } else if let Some(engine_ledger) = self.engine_ledgers.get_mut(engine) {
            engine_ledger.discard_outcomes();
        }
    }

    /// Applies a restart of the engine, and resident models that the ledger lacks, to the draft.
    /// Returns true if the draft changed.
    fn apply_report(&mut self, engine: &BackendId, draft: &mut Ledger) -> bool {
        let Some(report) = self.fleet.get(engine).and_then(EngineView::report) else {
            return false;
        };
        if report.incarnation > draft.incarnation {
            draft.restart(&report);
            self.set_base_models(draft);
            if let Some(engine_ledger) = self.engine_ledgers.get_mut(engine) {
                engine_ledger.in_flight = None;
                engine_ledger.retry_at = self.now;
            }
            return true;
        }
        if report.incarnation < draft.incarnation || !self.residency_is_current(engine) {
            return false;
        }
        let adopted = draft.adopt_untracked(&report);
        if adopted {
            self.set_base_models(draft);
        }
        adopted
    }

    /// Returns true if the engine's resident models were reported long enough after the last change
    /// of the ledger to reflect that change, and no order is in flight.
    fn residency_is_current(&self, engine: &BackendId) -> bool {
        let Some(engine_ledger) = self.engine_ledgers.get(engine) else { return false };
        let residency = self.fleet.get(engine).and_then(EngineView::current_residency);
        engine_ledger.in_flight.is_none()
            && residency
                .is_some_and(|(_, at)| *at > engine_ledger.changed_at + self.config.max_report_lag)
    }

    /// Decides the next order to the engine, if an order is due, and reserves its memory in the
    /// draft.
    fn next_order(
        &mut self,
        engine: &BackendId,
        draft: &mut Ledger,
        use_report: bool,
    ) -> Option<Order> {
        let engine_ledger = self.engine_ledgers.get(engine)?;
        let view = self.fleet.get(engine)?;
        let reachable = view.incarnation() == draft.incarnation
            && !view.is_leaving()
            && view
                .load
                .as_ref()
                .is_some_and(|(_, at)| self.now < *at + self.config.max_report_age);
        if engine_ledger.in_flight.is_some() || self.now < engine_ledger.retry_at || !reachable {
            return None;
        }
        let candidates = self.candidate_moves(engine, draft, use_report);
        candidates.into_iter().find_map(|candidate| self.try_move(&candidate, draft, use_report))
    }

    /// Returns moves for the engine in the order of their urgency: loads and unloads that were left
    /// unfinished, models that the engine no longer reports as resident, then the planned moves.
    /// `use_report` says whether the engine's report is recent enough to compare with the draft.
    fn candidate_moves(&self, engine: &BackendId, draft: &Ledger, use_report: bool) -> Vec<Move> {
        let (Some(engine_ledger), Some(view)) =
            (self.engine_ledgers.get(engine), self.fleet.get(engine))
        else {
            return Vec::new();
        };
        let load = |model: &ModelName| Move::Load { engine: engine.clone(), model: model.clone() };
        let unload =
            |model: &ModelName| Move::Unload { engine: engine.clone(), model: model.clone() };
        let mut moves = Vec::new();
        for (model, phase) in unfinished(draft) {
            let listed = self.table.row(model.as_str()).is_some();
            let wanted = phase == Phase::Loading && listed;
            moves.push(if wanted { load(model) } else { unload(model) });
        }
        if use_report {
            let vanished = draft
                .entries
                .iter()
                .filter(|(name, entry)| entry.phase == Phase::Resident && !view.holds(name))
                .filter(|(name, _)| self.table.row(name.as_str()).is_some());
            moves.extend(vanished.map(|(name, _)| load(name)));
        }
        let planned =
            self.groups.get(&engine_ledger.group).into_iter().flat_map(|group| &group.moves);
        moves.extend(planned.filter(|planned_move| planned_move.engine() == engine).cloned());
        moves
    }

    /// Reserves memory for a load, or marks the model for an unload, in the draft and returns the
    /// order to send. Returns `None` if the move isn't possible or needed now.
    fn try_move(
        &mut self,
        candidate: &Move,
        draft: &mut Ledger,
        use_report: bool,
    ) -> Option<Order> {
        match candidate {
            Move::Unload { model, .. } => {
                let gone = !draft.entries.contains_key(model);
                if gone { None } else { draft.begin_unload(model).ok() }
            }
            Move::Load { model, .. } => {
                let table = Arc::clone(&self.table);
                let row = table.row(model.as_str())?;
                let vanished = use_report
                    && !self.fleet.get(&draft.engine).is_some_and(|view| view.holds(model));
                let entry = draft.entries.get(model);
                let resident =
                    entry.is_some_and(|entry| entry.phase == Phase::Resident) && !vanished;
                if resident || (row.base().is_none() && !self.may_load_base(&draft.engine)) {
                    return None;
                }
                let order = draft.begin_load(model, row.memory_bytes, row.base()).ok()?;
                if matches!(order.kind, OrderKind::Load { base: None, .. }) {
                    self.record_base_load(&draft.engine);
                }
                Some(order)
            }
        }
    }

    /// Returns true if the group's share of the limits on the weight store allows another load of a
    /// base model.
    fn may_load_base(&self, engine: &BackendId) -> bool {
        let Some(engine_ledger) = self.engine_ledgers.get(engine) else { return false };
        let in_progress = self
            .engine_ledgers
            .values()
            .filter(|other| other.group == engine_ledger.group && other.is_loading_base())
            .count();
        let in_progress = u32::try_from(in_progress).unwrap_or(u32::MAX);
        let group = self.groups.get(&engine_ledger.group);
        group.is_some_and(|group| group.load_limiter.allows(self.now, in_progress))
    }

    fn record_base_load(&mut self, engine: &BackendId) {
        let Some(engine_ledger) = self.engine_ledgers.get(engine) else { return };
        if let Some(group) = self.groups.get_mut(&engine_ledger.group) {
            group.load_limiter.record_load(self.now);
        }
    }

    fn write_ledger(
        &mut self,
        engine: &BackendId,
        mut ledger: Ledger,
        order: Option<Order>,
        out: &mut Vec<Action>,
    ) {
        ledger.write_id = self.rng.u64(1..);
        let op = self.begin_op(PendingOp::Ledger(engine.clone()));
        let Some(engine_ledger) = self.engine_ledgers.get_mut(engine) else { return };
        let txn = engine_ledger.begin_write(op, ledger, order);
        self.store_writes += 1;
        out.push(Action::Transact { op, txn });
    }

    /// Allocates the identifier of an operation and remembers its purpose until the answer arrives.
    fn begin_op(&mut self, pending_op: PendingOp) -> OpId {
        self.next_op += 1;
        let op = OpId(self.next_op);
        self.pending_ops.insert(op, pending_op);
        op
    }
}

/// Returns the models whose entries need another order: a load or unload that an earlier lease
/// holder committed, or whose answer was lost. To be called only while no order to the engine is in
/// flight.
///
/// An entry that is unloading and not resident needs no further order while loads of the model have
/// no outcome on an engine that doesn't enforce fencing. Each of these loads may still take effect,
/// so the entry keeps its memory reserved.
fn unfinished(ledger: &Ledger) -> impl Iterator<Item = (&ModelName, Phase)> {
    ledger.entries.iter().filter_map(|(name, entry)| {
        let awaits_open_load = entry.phase == Phase::Unloading
            && !entry.was_resident
            && !entry.open_loads.is_empty()
            && !ledger.enforces_fencing;
        let needs_no_order = entry.phase == Phase::Resident || awaits_open_load;
        (!needs_no_order).then_some((name, entry.phase))
    })
}
