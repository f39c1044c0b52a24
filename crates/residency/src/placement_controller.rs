//! Placement controller: runs on the node that holds the leader lease, keeps ledgers of all
//! engines, decides on placement and issues the orders.

mod adapters;

use {
    crate::{
        demand_table::DemandTable,
        engine_digest::EngineDigest,
        lease_term::LeaseTerm,
        managed_engine::{EngineAction, ManagedEngine, kind_name},
        plan::{EngineInput, ModelInput, Move, PlanInput, plan},
        rate_limiter::RateLimiter,
    },
    glade_catalog::{
        Catalog, DemandReport, EngineClass, EngineOrder, EngineReport, ModelSpec, OrderAnswer,
        ServerKey, ServerRecord, Service, WantedModel, base_model_of, is_adapter,
    },
    glade_types::{DataCentre, ModelName, VmId},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Period of placement decisions.
const PLAN_PERIOD: Duration = Duration::from_millis(200);
/// Prefill rate of an engine, used to convert demand into engines.
const PREFILL_TOKENS_PER_S: f64 = 25_000.0;
/// Time for which a model must have had no copy before it is loaded without being requested. After
/// a start the engines' registry records arrive over more than a second, so a copy may show up
/// late.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which a request for a model that no engine holds is remembered.
const WANTED_TTL: Duration = Duration::from_secs(3);

/// What the caller has to send to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this order and report its answer.
    Order(EngineOrder),
    /// Request this engine's report.
    RequestReport {
        /// The engine.
        server: ServerKey,
        /// Address at which it listens.
        addr: SocketAddr,
    },
}

/// Demand for one base model.
#[derive(Clone, Copy, Debug, Default)]
struct BaseDemand {
    /// Number of engines that its requests would keep busy.
    load: f64,
    /// Number of running and waiting requests.
    in_flight: f64,
}

/// Decides for all engines while its node holds the lease.
#[derive(Clone, Debug)]
pub struct PlacementController {
    lease_term: LeaseTerm,
    engines: BTreeMap<ServerKey, ManagedEngine>,
    demand: DemandTable,
    store_load_limiter: RateLimiter,
    /// Models and adapters for which a request waits although no engine holds them which may run it,
    /// with the time of the last such request.
    wanted_models: BTreeMap<WantedModel, Instant>,
    /// Time since which base models have had no copy.
    without_copy_since: BTreeMap<ModelName, Instant>,
    plan_at: Instant,
    /// Set once an engine has seen a higher fencing token than that of this lease term.
    is_fenced: bool,
}

impl PlacementController {
    /// Begins a lease term. Nothing is known of the engines yet.
    pub fn begin(now: Instant, lease_term: LeaseTerm) -> Self {
        log::info!(fence = lease_term.fence, holder = lease_term.holder.as_str(); "tenure_begun");
        Self {
            lease_term,
            engines: BTreeMap::new(),
            demand: DemandTable::default(),
            store_load_limiter: RateLimiter::without_burst(now),
            wanted_models: BTreeMap::new(),
            without_copy_since: BTreeMap::new(),
            plan_at: now,
            is_fenced: false,
        }
    }

    /// The lease term.
    pub fn lease_term(&self) -> &LeaseTerm {
        &self.lease_term
    }

    /// Records a renewal of the lease.
    pub fn renew(&mut self, valid_until: Instant) {
        self.lease_term.valid_until = valid_until;
    }

    /// True if an engine has rejected an order because it has seen the token of a later lease
    /// holder.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Updates the engines from the registry. Each record comes with whether the server accepts
    /// work.
    pub fn on_records<'a>(
        &mut self,
        now: Instant,
        catalog: &Catalog,
        records: impl Iterator<Item = (&'a Arc<ServerRecord>, bool)>,
    ) {
        let is_engine = |record: &ServerRecord| {
            catalog
                .service(record.service.as_str())
                .is_some_and(|service| service.engine_class.is_some())
        };
        let mut present = BTreeSet::new();
        for (record, usable) in records.filter(|(record, _)| is_engine(record)) {
            present.insert(record.key.clone());
            match self.engines.get_mut(&record.key) {
                Some(engine) => engine.on_record(Arc::clone(record), usable),
                None => {
                    let engine = ManagedEngine::new(now, Arc::clone(record), usable);
                    self.engines.insert(record.key.clone(), engine);
                }
            }
        }
        self.engines.retain(|key, _| present.contains(key));
    }

    /// Handles a node's demand report.
    pub fn on_demand(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        self.demand.on_report(now, vm, report);
        for demand in &report.models {
            if demand.requests > 0 && is_adapter(&demand.model) {
                for engine in self.engines.values_mut() {
                    engine.on_adapter_requested(now, &demand.model);
                }
            }
        }
    }

    /// Records that a request waits for a model that no engine holds which may run it.
    pub fn on_model_wanted(&mut self, now: Instant, wanted: WantedModel) {
        self.wanted_models.insert(wanted, now);
    }

    /// Handles the answer to an order.
    pub fn on_answer(&mut self, now: Instant, order: &EngineOrder, answer: OrderAnswer) {
        if answer == OrderAnswer::Fenced {
            log::warn!(server = order.server.id.as_str(), fence = order.fencing_token; "order_fenced");
            self.is_fenced = true;
        }
        log::info!(
            server = order.server.id.as_str(),
            model = order.model.as_str(),
            kind = kind_name(order.kind),
            expected = order.expected_orders,
            answer = answer_name(answer);
            "order_answered"
        );
        if let Some(engine) = self.engines.get_mut(&order.server) {
            engine.on_answer(now, order, answer);
        }
    }

    /// Handles an engine's report; `None` means that it could not be had.
    pub fn on_report(&mut self, now: Instant, server: &ServerKey, report: Option<&EngineReport>) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.on_report(now, report);
        }
    }

    /// An engine has asked this VM to send nothing until `until`: neither orders nor requests for
    /// its report.
    pub fn on_backoff(&mut self, server: &ServerKey, until: Instant) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.back_off(until);
        }
    }

    /// Makes the decisions that are due and returns what is to be sent now.
    pub fn tick(&mut self, now: Instant, catalog: &Catalog) -> Vec<Action> {
        self.wanted_models.retain(|_, at| now.saturating_duration_since(*at) < WANTED_TTL);
        let may_send = !self.is_fenced && self.lease_term.may_send(now);
        if may_send {
            for service in catalog.services() {
                let Some(class) = &service.engine_class else { continue };
                self.order_wanted_adapters(now, service, class);
                if now >= self.plan_at {
                    self.store_load_limiter.set_rate(now, class.store_loads_per_s);
                    self.plan_service(now, service, class);
                    self.replicate_adapters(now, service, class);
                }
            }
            if now >= self.plan_at {
                self.plan_at = now + PLAN_PERIOD;
            }
        }
        let LeaseTerm { holder, fence, waits, .. } = &self.lease_term;
        let mut actions = Vec::new();
        for engine in self.engines.values_mut() {
            let may_send = may_send && !waits.must_wait(now, &engine.key().id);
            match engine.next_action(now, may_send, holder, *fence) {
                Some(EngineAction::Order(order)) => actions.push(Action::Order(order)),
                Some(EngineAction::RequestReport) => actions.push(Action::RequestReport {
                    server: engine.key().clone(),
                    addr: engine.record.addr,
                }),
                None => {}
            }
        }
        actions
    }

    /// Digests of the engines whose digest has changed since the last call.
    pub fn take_changed_digests(&mut self, now: Instant) -> Vec<EngineDigest> {
        self.engines.values_mut().filter_map(|engine| engine.take_changed_digest(now)).collect()
    }

    /// Digests of all engines.
    pub fn digests(&self, now: Instant) -> Vec<EngineDigest> {
        self.engines.values().map(|engine| engine.digest(now)).collect()
    }

    /// Makes one placement decision for the engines of a service.
    fn plan_service(&mut self, now: Instant, service: &Service, class: &EngineClass) {
        let engine_keys: Vec<ServerKey> = self
            .engines
            .values()
            .filter(|engine| engine.usable && engine.record.service == service.name)
            .map(|engine| engine.key().clone())
            .collect();
        self.update_without_copy_since(now, class, &engine_keys);
        let input = self.plan_input(now, class, &engine_keys);
        for next_move in plan(&input) {
            self.apply_move(now, class, &engine_keys, &next_move);
        }
    }

    /// Updates since when models have had no copy.
    fn update_without_copy_since(
        &mut self,
        now: Instant,
        class: &EngineClass,
        engine_keys: &[ServerKey],
    ) {
        let models_with_copy: HashSet<&ModelName> =
            engine_keys.iter().flat_map(|key| self.engines[key].bases()).collect();
        for model in &class.models {
            if models_with_copy.contains(&model.name) {
                self.without_copy_since.remove(&model.name);
            } else {
                self.without_copy_since.entry(model.name.clone()).or_insert(now);
            }
        }
    }

    /// Time for which a model has had no copy.
    fn time_without_copy(&self, now: Instant, model: &ModelName) -> Duration {
        self.without_copy_since
            .get(model)
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(*since))
    }

    fn plan_input(
        &self,
        now: Instant,
        class: &EngineClass,
        engine_keys: &[ServerKey],
    ) -> PlanInput {
        let adapter_mb = class.models.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
        let adapters_mb = adapter_mb * f64::from(class.adapter_slots);
        let positions: HashMap<&ModelName, usize> =
            class.models.iter().map(|model| &model.name).zip(0..).collect();
        let position = |name: &ModelName| positions.get(name).copied();
        let data_centres: BTreeSet<&DataCentre> =
            engine_keys.iter().map(|key| &self.engines[key].record.data_centre).collect();
        let engine = |key: &ServerKey| {
            let engine = &self.engines[key];
            let record = &engine.record;
            EngineInput {
                data_centre: data_centres
                    .iter()
                    .take_while(|data_centre| **data_centre < &record.data_centre)
                    .count(),
                capacity_mb: class.weights_capacity_mb - adapters_mb,
                accepts_orders: engine.is_idle()
                    && !engine.is_backing_off(now)
                    && !self.lease_term.waits.must_wait(now, &key.id),
                recently_loaded: engine
                    .recently_loaded_bases(now)
                    .into_iter()
                    .filter_map(position)
                    .collect(),
                models: engine.bases().into_iter().filter_map(position).collect(),
                local_weights: record
                    .in_memory
                    .iter()
                    .chain(&record.on_disk)
                    .filter_map(position)
                    .collect(),
            }
        };
        let demand = self.demand_by_base(now, class);
        let model_input = |(rank, model): (usize, &ModelSpec)| {
            self.model_input(now, rank, model, demand.get(model.name.as_str()).copied())
        };
        PlanInput {
            models: class.models.iter().enumerate().map(model_input).collect(),
            engines: engine_keys.iter().map(engine).collect(),
            store_loads_available: self.store_load_limiter.available(now),
            settle_time: SETTLE_TIME,
        }
    }

    /// Demand by base model, including demand for the adapters of each.
    fn demand_by_base(&self, now: Instant, class: &EngineClass) -> HashMap<&str, BaseDemand> {
        let batch_slots = class.batch_slots;
        let mut by_base: HashMap<&str, BaseDemand> = HashMap::new();
        for name in self.demand.models() {
            let base = by_base.entry(base_model_of(name)).or_default();
            base.load += self.demand.projected_load(now, name, PREFILL_TOKENS_PER_S, batch_slots);
            base.in_flight += self.demand.in_flight(now, name);
        }
        let wanted = self.wanted_models.keys().map(|wanted| &wanted.name);
        for model in wanted.filter(|model| is_adapter(model)) {
            by_base.entry(base_model_of(model)).or_default();
        }
        by_base
    }

    fn model_input(
        &self,
        now: Instant,
        rank: usize,
        model: &ModelSpec,
        demand: Option<BaseDemand>,
    ) -> ModelInput {
        let BaseDemand { load, in_flight } = demand.unwrap_or_default();
        ModelInput {
            model: model.name.clone(),
            size_mb: model.weights_mb,
            load,
            in_flight,
            time_without_copy: self.time_without_copy(now, &model.name),
            requested: demand.is_some(),
            // Operators list the models that they expect to be used most first.
            rank: rank as u32,
        }
    }

    fn apply_move(
        &mut self,
        now: Instant,
        class: &EngineClass,
        engine_keys: &[ServerKey],
        next_move: &Move,
    ) {
        if next_move.from_store && !self.store_load_limiter.try_acquire(now) {
            return;
        }
        let spec = &class.models[next_move.load];
        let Some(engine) = self.engines.get_mut(&engine_keys[next_move.engine]) else { return };
        let expected_duration = if !next_move.from_store {
            if engine.record.in_memory.contains(&spec.name) {
                spec.load_from_memory
            } else {
                spec.load_from_disk
            }
        } else {
            spec.load_from_store
        };
        let evict: Vec<ModelName> =
            next_move.evict.iter().map(|model| class.models[*model].name.clone()).collect();
        log::info!(
            server = engine.key().id.as_str(),
            model = spec.name.as_str(),
            dropped = evict.iter().map(ModelName::as_str).collect::<Vec<_>>().join(",").as_str(),
            from_store = next_move.from_store;
            "move_decided"
        );
        engine.queue_base_load(now, spec.name.clone(), expected_duration, evict);
    }
}

fn answer_name(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::AlreadyHolds => "already_holds",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Fenced => "fenced",
        OrderAnswer::OtherServer => "other_server",
        OrderAnswer::Refused => "refused",
        OrderAnswer::Unclear => "unclear",
    }
}
