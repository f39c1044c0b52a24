//! The planner's core.

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

/// Period of planning passes.
const PLAN_EVERY: Duration = Duration::from_millis(500);
/// How long after its start a planner presumes that listed VMs are live.
const PRESUMED_LIVE: Duration = Duration::from_secs(4);
/// Pause before a scan that failed is tried again.
const SCAN_RETRY: Duration = Duration::from_secs(1);
/// VMs of its data centre that watch an engine.
const WATCHERS: usize = 2;

/// What an operation on the table service was for.
#[derive(Clone, Debug)]
enum Purpose {
    Lease(GroupId),
    ScanGroup(GroupId, u64),
    Ledger(BackendId),
}

/// The planner's core. See the crate's documentation.
#[derive(Debug)]
pub struct PlannerCore {
    config: PlannerConfig,
    rng: fastrand::Rng,
    now: Instant,
    table: Arc<Table>,
    listing: Listing,
    live: BTreeSet<VmId>,
    /// Until when listed VMs count as live although they haven't been heard yet, so that a planner
    /// that starts first doesn't take the leases that others are preferred for.
    presumed_live_until: Option<Instant>,
    /// Engines that this planner watches; follows from the VM list and the live planners.
    watched_engines: Vec<BackendRecord>,
    fleet: Fleet,
    groups: BTreeMap<GroupId, EngineGroup>,
    engine_ledgers: BTreeMap<BackendId, EngineLedger>,
    demand: DemandAggregator,
    coverage: Coverage,
    ops: HashMap<OpId, Purpose>,
    next_op: u64,
    moves: u64,
    store_writes: u64,
    store_reads: u64,
}

impl PlannerCore {
    /// Returns a planner that knows nothing yet.
    pub fn new(config: PlannerConfig, now: Instant) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(config.seed),
            live: [config.vm.clone()].into(),
            presumed_live_until: Some(now + PRESUMED_LIVE),
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
            ops: HashMap::new(),
            next_op: 0,
            moves: 0,
            store_writes: 0,
            store_reads: 0,
        }
    }

    /// Takes `event` at clock reading `now` and appends the actions it calls for to `out`.
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
            Event::LivePlanners(mut live) => {
                live.insert(self.config.vm.clone());
                if live != self.live {
                    self.live = live;
                    self.rank_candidates();
                    self.choose_watched_engines();
                }
            }
            Event::EngineReport { engine, report } => self.on_report(&engine, &report),
            Event::EngineLoad(digest) => self.fleet.load(now, digest),
            Event::EngineResidency(residency) => self.fleet.residency(now, residency),
            Event::EngineLeaving { engine, incarnation } => {
                self.fleet.leaving(&engine, incarnation)
            }
            Event::DemandReport { from, data_centre, demands } => {
                if data_centre == self.config.data_centre {
                    self.demand.record(now, from, &demands);
                }
            }
            Event::ModelMissing { engine, incarnation, model } => {
                self.fleet.missing(&engine, incarnation, &model);
            }
            Event::StoreAnswered { op, answer } => self.on_store(op, answer, out),
            Event::OrderOutcome { order, outcome } => {
                if let Some(slot) = self.engine_ledgers.get_mut(&order.engine) {
                    slot.on_order(now, order, outcome);
                }
            }
        }
    }

    /// Engines whose reports this planner should read: it is one of their watchers.
    pub fn watched_engines(&self) -> &[BackendRecord] {
        &self.watched_engines
    }

    fn choose_watched_engines(&mut self) {
        let names: Vec<&VmRecord> = self
            .listing
            .vms
            .iter()
            .filter(|vm| vm.data_centre == self.config.data_centre)
            .filter(|vm| !vm.leaving && self.live.contains(&vm.name))
            .collect();
        let watched_engines = self
            .fleet
            .iter()
            .map(|view| &view.record)
            .filter(|record| record.data_centre == self.config.data_centre)
            .filter(|record| {
                let vms = names.iter().map(|vm| vm.name.as_str());
                rendezvous_order(record.id.as_str(), vms)
                    .iter()
                    .take(WATCHERS)
                    .any(|name| *name == self.config.vm.as_str())
            })
            .cloned()
            .collect();
        self.watched_engines = watched_engines;
    }

    /// Epoch of the lease over `group` if this planner may act on it at `now`.
    pub fn epoch_at(&self, group: &GroupId, now: Instant) -> Option<u64> {
        self.groups.get(group)?.keeper.epoch(now)
    }

    /// The state for operators and metrics.
    pub fn status(&self) -> PlannerStatus {
        let groups = self.groups.values().map(|group| GroupStatus {
            group: group.id.clone(),
            holder: group.keeper.holder().cloned(),
            epoch: group.keeper.epoch(self.now),
            wanted_moves: group.moves.len(),
        });
        let held = self.engine_ledgers.values().filter(|slot| self.epoch(&slot.group).is_some());
        let engines = held.filter_map(|slot| slot.ledger()).map(|ledger| EngineStatus {
            engine: ledger.engine.clone(),
            capacity_bytes: ledger.capacity_bytes,
            reserved_bytes: ledger.reserved_bytes(),
            open_loads: ledger.open_loads(),
        });
        PlannerStatus {
            groups: groups.collect(),
            engines: engines.collect(),
            moves: self.moves,
            store_writes: self.store_writes,
            store_reads: self.store_reads,
        }
    }

    fn epoch(&self, group: &GroupId) -> Option<u64> {
        self.groups.get(group)?.keeper.epoch(self.now)
    }

    fn on_listing(&mut self, listing: &Listing) {
        self.fleet.list(listing);
        // The list is read every second and seldom changes.
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
        for (rank, group) in (0..).zip(self.groups.values_mut()) {
            let (rate, at_once) = (self.config.loads_per_s, self.config.max_concurrent_loads);
            group.pacer.reshare(LoadLimiter::share(rate, at_once, count, rank));
        }
    }

    fn rank_candidates(&mut self) {
        let mut live = self.live.clone();
        if self.presumed_live_until.is_some() {
            live.extend(self.listing.vms.iter().map(|vm| vm.name.clone()));
        }
        for group in self.groups.values_mut() {
            group.rank_candidates(&self.config.vm, &self.listing.vms, &live);
        }
    }

    fn on_report(&mut self, engine: &BackendId, report: &EngineReport) {
        let (load, residency) = digests(engine, report);
        self.fleet.load(self.now, load);
        self.fleet.residency(self.now, residency);
    }

    fn on_store(&mut self, op: OpId, answer: StoreAnswer, out: &mut Vec<Action>) {
        let Some(purpose) = self.ops.remove(&op) else { return };
        match (purpose, answer) {
            (Purpose::Lease(group), answer) => self.on_lease(&group, answer),
            (Purpose::ScanGroup(group, epoch), StoreAnswer::Scanned(rows)) => {
                self.on_scanned(&group, epoch, rows.ok(), out);
            }
            (Purpose::Ledger(engine), answer) => {
                let Some(slot) = self.engine_ledgers.get_mut(&engine) else { return };
                let committed = match answer {
                    StoreAnswer::Transacted(answer) => slot.on_written(self.now, op, answer),
                    StoreAnswer::Read(answer) => slot.on_read(self.now, op, answer),
                    StoreAnswer::Scanned(_) => None,
                };
                self.send_committed(&engine, committed, out);
            }
            (Purpose::ScanGroup(..), _) => {}
        }
    }

    fn on_lease(&mut self, group: &GroupId, answer: StoreAnswer) {
        let Some(group) = self.groups.get_mut(group) else { return };
        match answer {
            StoreAnswer::Read(answer) => {
                group.keeper.on_read(self.now, answer.as_ref().map(Option::as_ref));
            }
            StoreAnswer::Transacted(answer) => group.keeper.on_write(self.now, answer.as_ref()),
            StoreAnswer::Scanned(_) => {}
        }
    }

    fn on_scanned(
        &mut self,
        id: &GroupId,
        epoch: u64,
        rows: Option<Vec<glade_platform::StoredRow>>,
        out: &mut Vec<Action>,
    ) {
        let Some(group) = self.groups.get_mut(id) else { return };
        group.scanning = false;
        let Some(rows) = rows else {
            group.scan_at = self.now + SCAN_RETRY;
            return;
        };
        group.scanned_epoch = Some(epoch);
        let engines: Vec<BackendId> = self
            .engine_ledgers
            .values()
            .filter(|slot| slot.group == *id && !slot.is_busy())
            .map(|slot| slot.engine.clone())
            .collect();
        for engine in engines {
            let Some(slot) = self.engine_ledgers.get_mut(&engine) else { continue };
            let key = slot.key();
            let committed = slot.observe(self.now, rows.iter().find(|row| row.key == key));
            self.send_committed(&engine, committed, out);
        }
    }

    /// Sends an order whose reservation is committed, if the lease still allows it.
    fn send_committed(&mut self, engine: &BackendId, order: Option<Order>, out: &mut Vec<Action>) {
        let Some(order) = order else { return };
        let Some(slot) = self.engine_ledgers.get_mut(engine) else { return };
        let lease = self.groups.get(&slot.group).and_then(|group| {
            let epoch = group.keeper.epoch(self.now)?;
            let send_before = group.keeper.valid_until()?;
            let adopted = slot.ledger().is_some_and(|ledger| ledger.epoch == epoch);
            adopted.then_some(send_before)
        });
        match lease {
            Some(send_before) if slot.in_flight.is_none() => {
                slot.in_flight = Some(order.clone());
                self.moves += 1;
                out.push(Action::SendOrder { order, send_before });
            }
            _ => slot.on_order(self.now, order, OrderOutcome::NotSent),
        }
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        if self.presumed_live_until.is_some_and(|until| self.now >= until) {
            self.presumed_live_until = None;
            self.rank_candidates();
        }
        let ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        for id in &ids {
            self.tick_lease(id, out);
            self.tick_scan(id, out);
        }
        let mut coverage = std::mem::take(&mut self.coverage);
        coverage.note(self.situation());
        self.coverage = coverage;
        for id in &ids {
            self.tick_plan(id);
        }
        let engines: Vec<BackendId> = self.engine_ledgers.keys().cloned().collect();
        for engine in engines {
            self.tick_slot(&engine, out);
        }
    }

    fn tick_lease(&mut self, id: &GroupId, out: &mut Vec<Action>) {
        let write_id = self.rng.u64(1..);
        let Some(group) = self.groups.get_mut(id) else { return };
        if !group.candidate {
            return;
        }
        let key = group.lease_key();
        match group.keeper.tick(self.now, write_id) {
            Some(LeaseAction::Read) => {
                let op = self.begin_op(Purpose::Lease(id.clone()));
                self.store_reads += 1;
                out.push(Action::Read { op, key });
            }
            Some(LeaseAction::Write { expected, row }) => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let txn = Txn::compare_and_set(key, expected, value);
                let op = self.begin_op(Purpose::Lease(id.clone()));
                self.store_writes += 1;
                out.push(Action::Transact { op, txn });
            }
            None => {}
        }
    }

    /// Reads the ledgers of a group that was acquired lately.
    fn tick_scan(&mut self, id: &GroupId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(group) = self.groups.get_mut(id) else { return };
        let Some(epoch) = group.keeper.epoch(now) else { return };
        if group.scanning || group.scanned_epoch == Some(epoch) || now < group.scan_at {
            return;
        }
        group.scanning = true;
        group.moves.clear();
        let prefix = group.ledger_prefix();
        let op = self.begin_op(Purpose::ScanGroup(id.clone(), epoch));
        self.store_reads += 1;
        out.push(Action::Scan { op, prefix });
    }

    fn tick_plan(&mut self, id: &GroupId) {
        let now = self.now;
        let Some(group) = self.groups.get(id) else { return };
        let ready = group.keeper.epoch(now).is_some_and(|e| group.scanned_epoch == Some(e));
        let due = group.planned_at.is_none_or(|at| now >= at + PLAN_EVERY);
        if !ready || !due {
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
        let (now, stale) = (self.now, self.config.max_report_age);
        let mut engines = Vec::new();
        let mut elsewhere: HashMap<&ModelName, ExternalResidences> = HashMap::new();
        for view in self.fleet.iter() {
            let usable = view.is_usable(now, stale);
            let slot = self.engine_ledgers.get(&view.record.id).filter(|slot| slot.group == *id);
            match slot {
                Some(slot) => engines.extend(slot.ledger().map(|ledger| EngineInput {
                    ledger,
                    usable: usable && ledger.incarnation == view.incarnation(),
                    utilization: view.utilization(),
                    slots: view.load.as_ref().map_or(1, |(load, _)| load.slots),
                })),
                None if usable => {
                    let resident = view.current_residency().into_iter();
                    for (name, _) in resident.flat_map(|(residency, _)| &residency.resident) {
                        let utilization = view.utilization();
                        let outside = elsewhere.entry(name).or_insert(ExternalResidences {
                            count: 0,
                            least_utilization: utilization,
                        });
                        outside.count += 1;
                        outside.least_utilization = outside.least_utilization.min(utilization);
                    }
                }
                None => {}
            }
        }
        PlacementInput {
            table: &self.table,
            engines,
            required: self.coverage.owed(id, self.situation()),
            external: elsewhere,
            demand,
            policy: self.config.policy,
        }
    }

    fn situation(&self) -> CoverageInput<'_> {
        CoverageInput {
            now: self.now,
            config: &self.config,
            table: &self.table,
            fleet: &self.fleet,
        }
    }

    fn tick_slot(&mut self, engine: &BackendId, out: &mut Vec<Action>) {
        let Some(slot) = self.engine_ledgers.get(engine) else { return };
        if slot.is_busy() {
            return;
        }
        let group = slot.group.clone();
        let epoch = self.epoch(&group);
        let scanned = epoch.is_some()
            && self.groups.get(&group).is_some_and(|group| group.scanned_epoch == epoch);
        let concerned = scanned || slot.has_outcomes();
        match &slot.row {
            LedgerRow::Unread if concerned => self.read_slot(engine, out),
            LedgerRow::Unread => {}
            LedgerRow::Absent => {
                if let Some(epoch) = epoch.filter(|_| scanned) {
                    self.create_ledger(engine, epoch, out);
                }
            }
            LedgerRow::Present { ledger, .. } => {
                let draft = ledger.clone();
                let epoch = epoch.filter(|epoch| scanned && *epoch >= draft.epoch);
                self.advance_ledger(engine, draft, epoch, out);
            }
        }
    }

    fn read_slot(&mut self, engine: &BackendId, out: &mut Vec<Action>) {
        let op = self.begin_op(Purpose::Ledger(engine.clone()));
        self.store_reads += 1;
        let Some(slot) = self.engine_ledgers.get_mut(engine) else { return };
        slot.begin_read(op);
        out.push(Action::Read { op, key: slot.key() });
    }

    /// Writes the first ledger of an engine.
    fn create_ledger(&mut self, engine: &BackendId, epoch: u64, out: &mut Vec<Action>) {
        let Some(view) = self.fleet.get(engine) else { return };
        let Some(report) = view.report() else { return };
        let enforces = view.record.kind == BackendKind::Engine { enforces_fencing: true };
        let mut ledger = Ledger::from_first_report(engine, enforces, &report);
        self.fill_bases(&mut ledger);
        ledger.epoch = epoch;
        self.write_slot(engine, ledger, None, out);
    }

    fn fill_bases(&self, ledger: &mut Ledger) {
        ledger.set_bases(|name| self.table.row(name.as_str()).and_then(|row| row.base()).cloned());
    }

    /// Brings the ledger up to date and decides the next order to its engine. `epoch` is given only
    /// if this planner may act for the group.
    fn advance_ledger(
        &mut self,
        engine: &BackendId,
        mut draft: Ledger,
        epoch: Option<u64>,
        out: &mut Vec<Action>,
    ) {
        let Some(slot) = self.engine_ledgers.get(engine) else { return };
        let mut changed = slot.settle_into(&mut draft);
        let mut order = None;
        if let Some(epoch) = epoch {
            changed |= draft.epoch != epoch;
            draft.epoch = epoch;
            changed |= self.follow_engine(engine, &mut draft);
            // After a settlement the reports can't show the new state yet.
            let reports_count = !changed && self.residency_is_settled(engine);
            order = self.next_order(engine, &mut draft, reports_count);
            changed |= order.is_some();
        }
        if changed {
            self.write_slot(engine, draft, order, out);
        } else if let Some(slot) = self.engine_ledgers.get_mut(engine) {
            slot.drop_outcomes();
        }
    }

    /// Takes a restart of the engine, and residents that the ledger lacks, into the draft.
    fn follow_engine(&mut self, engine: &BackendId, draft: &mut Ledger) -> bool {
        let Some(report) = self.fleet.get(engine).and_then(EngineView::report) else {
            return false;
        };
        if report.incarnation > draft.incarnation {
            draft.restart(&report);
            self.fill_bases(draft);
            if let Some(slot) = self.engine_ledgers.get_mut(engine) {
                slot.in_flight = None;
                slot.retry_at = self.now;
            }
            return true;
        }
        if report.incarnation < draft.incarnation || !self.residency_is_settled(engine) {
            return false;
        }
        let adopted = draft.adopt_untracked(&report);
        if adopted {
            self.fill_bases(draft);
        }
        adopted
    }

    /// True if the last residency was read long enough after the last change to show it.
    fn residency_is_settled(&self, engine: &BackendId) -> bool {
        let Some(slot) = self.engine_ledgers.get(engine) else { return false };
        let seen = self.fleet.get(engine).and_then(EngineView::current_residency);
        slot.in_flight.is_none()
            && seen.is_some_and(|(_, at)| *at > slot.changed_at + self.config.max_report_lag)
    }

    /// Decides the next order to the engine, if one is due, and reserves for it in the draft.
    fn next_order(
        &mut self,
        engine: &BackendId,
        draft: &mut Ledger,
        reports_count: bool,
    ) -> Option<Order> {
        let slot = self.engine_ledgers.get(engine)?;
        let view = self.fleet.get(engine)?;
        let reachable = view.incarnation() == draft.incarnation
            && !view.is_leaving()
            && view
                .load
                .as_ref()
                .is_some_and(|(_, at)| self.now < *at + self.config.max_report_age);
        if slot.in_flight.is_some() || self.now < slot.retry_at || !reachable {
            return None;
        }
        let candidates = self.candidate_moves(engine, draft, reports_count);
        candidates.into_iter().find_map(|step| self.try_move(&step, draft, reports_count))
    }

    /// Moves for the engine in the order of their urgency: work that was left undone, models that
    /// vanished from the engine, then the plan. `reports_count` says whether the engine's report can
    /// be held against the draft.
    fn candidate_moves(
        &self,
        engine: &BackendId,
        draft: &Ledger,
        reports_count: bool,
    ) -> Vec<Move> {
        let (Some(slot), Some(view)) = (self.engine_ledgers.get(engine), self.fleet.get(engine))
        else {
            return Vec::new();
        };
        let load = |model: &ModelName| Move::Load { engine: engine.clone(), model: model.clone() };
        let unload =
            |model: &ModelName| Move::Unload { engine: engine.clone(), model: model.clone() };
        let mut moves = Vec::new();
        for (model, phase) in unattended(draft) {
            let listed = self.table.row(model.as_str()).is_some();
            let wanted = phase == Phase::Loading && listed;
            moves.push(if wanted { load(model) } else { unload(model) });
        }
        if reports_count {
            let vanished = draft
                .entries
                .iter()
                .filter(|(name, entry)| entry.phase == Phase::Resident && !view.holds(name))
                .filter(|(name, _)| self.table.row(name.as_str()).is_some());
            moves.extend(vanished.map(|(name, _)| load(name)));
        }
        let planned = self.groups.get(&slot.group).into_iter().flat_map(|group| &group.moves);
        moves.extend(planned.filter(|step| step.engine() == engine).cloned());
        moves
    }

    /// Reserves for `step` in the draft, unless a rule forbids it now.
    fn try_move(&mut self, step: &Move, draft: &mut Ledger, reports_count: bool) -> Option<Order> {
        match step {
            Move::Unload { model, .. } => {
                let gone = !draft.entries.contains_key(model);
                if gone { None } else { draft.begin_unload(model).ok() }
            }
            Move::Load { model, .. } => {
                let table = Arc::clone(&self.table);
                let row = table.row(model.as_str())?;
                let vanished = reports_count
                    && !self.fleet.get(&draft.engine).is_some_and(|view| view.holds(model));
                let entry = draft.entries.get(model);
                let resident =
                    entry.is_some_and(|entry| entry.phase == Phase::Resident) && !vanished;
                if resident || (row.base().is_none() && !self.may_load_base(&draft.engine)) {
                    return None;
                }
                let order = draft.begin_load(model, row.memory_bytes, row.base()).ok()?;
                if matches!(order.kind, OrderKind::Load { base: None, .. }) {
                    self.note_base_load(&draft.engine);
                }
                Some(order)
            }
        }
    }

    /// True if the group's share of the weight store allows another base model.
    fn may_load_base(&self, engine: &BackendId) -> bool {
        let Some(slot) = self.engine_ledgers.get(engine) else { return false };
        let under_way = self
            .engine_ledgers
            .values()
            .filter(|other| other.group == slot.group && other.is_loading_base())
            .count();
        let under_way = u32::try_from(under_way).unwrap_or(u32::MAX);
        let group = self.groups.get(&slot.group);
        group.is_some_and(|group| group.pacer.allows(self.now, under_way))
    }

    fn note_base_load(&mut self, engine: &BackendId) {
        let Some(slot) = self.engine_ledgers.get(engine) else { return };
        if let Some(group) = self.groups.get_mut(&slot.group) {
            group.pacer.started(self.now);
        }
    }

    fn write_slot(
        &mut self,
        engine: &BackendId,
        mut ledger: Ledger,
        order: Option<Order>,
        out: &mut Vec<Action>,
    ) {
        ledger.write_id = self.rng.u64(1..);
        let op = self.begin_op(Purpose::Ledger(engine.clone()));
        let Some(slot) = self.engine_ledgers.get_mut(engine) else { return };
        let txn = slot.begin_write(op, ledger, order);
        self.store_writes += 1;
        out.push(Action::Transact { op, txn });
    }

    fn begin_op(&mut self, purpose: Purpose) -> OpId {
        self.next_op += 1;
        let op = OpId(self.next_op);
        self.ops.insert(op, purpose);
        op
    }
}

/// Models whose entry needs another order because nobody is working on it: a load or unload that was
/// committed by an earlier holder or had no answer. The engine has no order under way.
fn unattended(ledger: &Ledger) -> impl Iterator<Item = (&ModelName, Phase)> {
    ledger.entries.iter().filter_map(|(name, entry)| {
        let waits_for_late_load = entry.phase == Phase::Unloading
            && !entry.was_resident
            && !entry.open_loads.is_empty()
            && !ledger.enforces_fencing;
        let attended = entry.phase == Phase::Resident || waits_for_late_load;
        (!attended).then_some((name, entry.phase))
    })
}
