//! The holder's work: keeps ledgers of all engines, decides, and gives orders.

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
        ServerKey, ServerRecord, Service, base_of, is_adapter,
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
const PLAN_EVERY: Duration = Duration::from_millis(200);
/// Prompt tokens that an engine reads in a second, for sizing.
const TOKENS_PER_S: f64 = 25_000.0;
/// Time that a model without a copy is given to turn up in the registry before it is loaded unasked.
/// After a start the engines' entries arrive over more than a second.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// How long a wish for an adapter is remembered.
const WISH_TIME: Duration = Duration::from_secs(3);

/// What the steward wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this order and report its answer.
    Order(EngineOrder),
    /// Ask this engine for its report.
    RequestReport {
        /// The engine.
        server: ServerKey,
        /// Where it listens.
        addr: SocketAddr,
    },
}

/// Demand for one base model.
#[derive(Clone, Copy, Debug, Default)]
struct BaseDemand {
    /// Engines that its requests would keep busy.
    load: f64,
    /// Requests under way or waiting.
    in_flight: f64,
}

/// Acts for all engines while its node holds the lease.
#[derive(Clone, Debug)]
pub struct PlacementController {
    tenure: LeaseTerm,
    slots: BTreeMap<ServerKey, ManagedEngine>,
    demand: DemandTable,
    pacer: RateLimiter,
    /// Adapters that were asked for and are nowhere, with the time of the last wish.
    wishes: BTreeMap<ModelName, Instant>,
    /// Since when base models have had no copy.
    uncovered_since: BTreeMap<ModelName, Instant>,
    plan_at: Instant,
    /// An engine has seen a higher fencing token than this tenure's.
    fenced: bool,
}

impl PlacementController {
    /// Begins a tenure that knows nothing of the engines yet.
    pub fn begin(now: Instant, tenure: LeaseTerm) -> Self {
        log::info!(fence = tenure.fence, holder = tenure.holder.as_str(); "tenure_begun");
        Self {
            tenure,
            slots: BTreeMap::new(),
            demand: DemandTable::default(),
            pacer: RateLimiter::empty(now),
            wishes: BTreeMap::new(),
            uncovered_since: BTreeMap::new(),
            plan_at: now,
            fenced: false,
        }
    }

    /// The tenure.
    pub fn lease_term(&self) -> &LeaseTerm {
        &self.tenure
    }

    /// Takes a renewal of the lease.
    pub fn renew(&mut self, valid_until: Instant) {
        self.tenure.valid_until = valid_until;
    }

    /// True if an engine has refused an order because of a later holder.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Takes the servers as the registry describes them, with whether they take work.
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
            match self.slots.get_mut(&record.key) {
                Some(slot) => slot.on_record(Arc::clone(record), usable),
                None => {
                    let slot = ManagedEngine::new(now, Arc::clone(record), usable);
                    self.slots.insert(record.key.clone(), slot);
                }
            }
        }
        self.slots.retain(|key, _| present.contains(key));
    }

    /// Takes what a node saw of demand.
    pub fn on_demand(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        self.demand.on_report(now, vm, report);
        for seen in &report.models {
            if seen.requests > 0 && is_adapter(&seen.model) {
                for slot in self.slots.values_mut() {
                    slot.on_adapter_used(now, &seen.model);
                }
            }
        }
    }

    /// Takes note that somebody waits for `model`, which is nowhere.
    pub fn on_model_wanted(&mut self, now: Instant, model: &ModelName) {
        self.wishes.insert(model.clone(), now);
    }

    /// Takes the answer to an order.
    pub fn on_answer(&mut self, now: Instant, order: &EngineOrder, answer: OrderAnswer) {
        if answer == OrderAnswer::Fenced {
            log::warn!(server = order.server.id.as_str(), fence = order.fence; "order_fenced");
            self.fenced = true;
        }
        log::info!(
            server = order.server.id.as_str(),
            model = order.subject.as_str(),
            kind = kind_name(order.kind),
            expected = order.expected_orders,
            answer = answer_name(answer);
            "order_answered"
        );
        if let Some(slot) = self.slots.get_mut(&order.server) {
            slot.on_answer(now, order, answer);
        }
    }

    /// Takes an engine's report, or the failure to get one.
    pub fn on_report(&mut self, now: Instant, server: &ServerKey, report: Option<&EngineReport>) {
        if let Some(slot) = self.slots.get_mut(server) {
            slot.on_report(now, report);
        }
    }

    /// An engine wants nothing from this VM until then, neither orders nor questions.
    pub fn on_backoff(&mut self, server: &ServerKey, until: Instant) {
        if let Some(slot) = self.slots.get_mut(server) {
            slot.close(until);
        }
    }

    /// Decides and returns what is to be done now.
    pub fn tick(&mut self, now: Instant, catalog: &Catalog) -> Vec<Action> {
        self.wishes.retain(|_, at| now.saturating_duration_since(*at) < WISH_TIME);
        let may_send = !self.fenced && self.tenure.may_send(now);
        if may_send {
            for service in catalog.services() {
                let Some(class) = &service.engine_class else { continue };
                self.grant_wishes(now, service, class);
                if now >= self.plan_at {
                    self.pacer.set_rate(now, class.store_loads_per_s);
                    self.place(now, service, class);
                    self.spread_adapters(now, service, class);
                }
            }
            if now >= self.plan_at {
                self.plan_at = now + PLAN_EVERY;
            }
        }
        let LeaseTerm { holder, fence, .. } = &self.tenure;
        let mut actions = Vec::new();
        for slot in self.slots.values_mut() {
            match slot.next_action(now, may_send, holder, *fence) {
                Some(EngineAction::Order(order)) => actions.push(Action::Order(order)),
                Some(EngineAction::RequestReport) => actions.push(Action::RequestReport {
                    server: slot.key().clone(),
                    addr: slot.record.addr,
                }),
                None => {}
            }
        }
        actions
    }

    /// Digests of the engines that changed since this was last called.
    pub fn take_changed_digests(&mut self, now: Instant) -> Vec<EngineDigest> {
        self.slots.values_mut().filter_map(|slot| slot.take_change(now)).collect()
    }

    /// Digests of all engines.
    pub fn digests(&self, now: Instant) -> Vec<EngineDigest> {
        self.slots.values().map(|slot| slot.digest(now)).collect()
    }

    /// Makes one placement decision for a service.
    fn place(&mut self, now: Instant, service: &Service, class: &EngineClass) {
        let keys: Vec<ServerKey> = self
            .slots
            .values()
            .filter(|slot| slot.usable && slot.record.service == service.name)
            .map(|slot| slot.key().clone())
            .collect();
        self.note_uncovered(now, class, &keys);
        let input = self.plan_input(now, class, &keys);
        for found in plan(&input) {
            self.carry_out(now, class, &keys, &found);
        }
    }

    /// Takes note of models without a copy.
    fn note_uncovered(&mut self, now: Instant, class: &EngineClass, keys: &[ServerKey]) {
        let held: HashSet<&ModelName> =
            keys.iter().flat_map(|key| self.slots[key].bases()).collect();
        for model in &class.models {
            if held.contains(&model.name) {
                self.uncovered_since.remove(&model.name);
            } else {
                self.uncovered_since.entry(model.name.clone()).or_insert(now);
            }
        }
    }

    /// How long a model has had no copy.
    fn uncovered(&self, now: Instant, model: &ModelName) -> Duration {
        self.uncovered_since
            .get(model)
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(*since))
    }

    fn plan_input(&self, now: Instant, class: &EngineClass, keys: &[ServerKey]) -> PlanInput {
        let adapter_mb = class.models.iter().map(|model| model.adapter_mb).fold(0.0, f64::max);
        let reserved_mb = adapter_mb * f64::from(class.adapter_slots);
        let positions: HashMap<&ModelName, usize> =
            class.models.iter().map(|model| &model.name).zip(0..).collect();
        let position = |name: &ModelName| positions.get(name).copied();
        let places: BTreeSet<&DataCentre> =
            keys.iter().map(|key| &self.slots[key].record.data_centre).collect();
        let engine = |key: &ServerKey| {
            let slot = &self.slots[key];
            let record = &slot.record;
            EngineInput {
                data_centre: places
                    .iter()
                    .take_while(|place| **place < &record.data_centre)
                    .count(),
                capacity_mb: class.weights_capacity_mb - reserved_mb,
                free_for_order: slot.is_free() && !slot.is_closed(now),
                fresh: slot.fresh_bases(now).into_iter().filter_map(position).collect(),
                holds: slot.bases().into_iter().filter_map(position).collect(),
                at_hand: record
                    .in_memory
                    .iter()
                    .chain(&record.on_disk)
                    .filter_map(position)
                    .collect(),
            }
        };
        let demand = self.demand_by_base(now, class);
        let need = |(rank, model): (usize, &ModelSpec)| {
            self.need(now, rank, model, demand.get(model.name.as_str()).copied())
        };
        PlanInput {
            models: class.models.iter().enumerate().map(need).collect(),
            engines: keys.iter().map(engine).collect(),
            store_loads: self.pacer.available(now),
            settle_time: SETTLE_TIME,
        }
    }

    /// Demand for base models, that for their adapters included.
    fn demand_by_base(&self, now: Instant, class: &EngineClass) -> HashMap<&str, BaseDemand> {
        let slots = class.batch_slots;
        let mut by_base: HashMap<&str, BaseDemand> = HashMap::new();
        for name in self.demand.models() {
            let base = by_base.entry(base_of(name)).or_default();
            base.load += self.demand.coming_load(now, name, TOKENS_PER_S, slots);
            base.in_flight += self.demand.in_flight(now, name);
        }
        for wish in self.wishes.keys().filter(|wish| is_adapter(wish)) {
            by_base.entry(base_of(wish)).or_default();
        }
        by_base
    }

    fn need(
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
            uncovered: self.uncovered(now, &model.name),
            asked_for: demand.is_some(),
            // Operators list first what they expect to be used most.
            prior: rank as u32,
        }
    }

    fn carry_out(&mut self, now: Instant, class: &EngineClass, keys: &[ServerKey], found: &Move) {
        if found.from_store && !self.pacer.take(now) {
            return;
        }
        let spec = &class.models[found.load];
        let Some(slot) = self.slots.get_mut(&keys[found.engine]) else { return };
        let takes = if !found.from_store {
            if slot.record.in_memory.contains(&spec.name) {
                spec.load_from_memory
            } else {
                spec.load_from_disk
            }
        } else {
            spec.load_from_store
        };
        let drop: Vec<ModelName> =
            found.drop.iter().map(|dropped| class.models[*dropped].name.clone()).collect();
        log::info!(
            server = slot.key().id.as_str(),
            model = spec.name.as_str(),
            dropped = drop.iter().map(ModelName::as_str).collect::<Vec<_>>().join(",").as_str(),
            from_store = found.from_store;
            "move_decided"
        );
        slot.order_base(now, spec.name.clone(), takes, drop);
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
