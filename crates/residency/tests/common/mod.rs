//! Fixtures: a service with engines, and fake engines that carry out orders as real ones do.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    glade_catalog::{
        CallerLimits, Catalog, DemandReport, EngineClass, EngineOrder, EngineReport, ModelDemand,
        ModelSpec, OrderAnswer, OrderKind, Residence, ServerKey, ServerRecord, ServerState,
        Service,
    },
    glade_types::{BackendId, DataCentre, ModelName, ServiceName, SoftwareVersion},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const MODEL_MB: f64 = 70_000.0;
pub const ADAPTER_MB: f64 = 50.0;
pub const ADAPTER_SLOTS: u32 = 2;
pub const BASES_PER_ENGINE: usize = 3;

pub fn model(name: &str) -> ModelName {
    ModelName::new(name)
}

pub fn spec(name: &str, adapters: u32) -> ModelSpec {
    ModelSpec {
        name: model(name),
        weights_mb: MODEL_MB,
        load_from_store: Duration::from_secs(3),
        load_from_memory: Duration::from_millis(400),
        load_from_disk: Duration::from_millis(600),
        adapters,
        adapter_mb: ADAPTER_MB,
    }
}

pub fn class(models: Vec<ModelSpec>) -> EngineClass {
    EngineClass {
        batch_slots: 32,
        kv_capacity_tokens: 100_000,
        kv_token_bytes: 1,
        tokens_per_event: 5,
        weights_capacity_mb: MODEL_MB * BASES_PER_ENGINE as f64
            + ADAPTER_MB * f64::from(ADAPTER_SLOTS),
        adapter_slots: ADAPTER_SLOTS,
        memory_copies_mb: 0.0,
        disk_copies_mb: 0.0,
        reservation_max: Duration::ZERO,
        store_loads_per_s: 2.0,
        models,
    }
}

pub fn catalog(models: Vec<ModelSpec>) -> Catalog {
    let service = Service {
        name: ServiceName::new("pool"),
        connection_limit: 100,
        engine_class: Some(class(models)),
    };
    Catalog::new(1, CallerLimits::default(), Vec::new(), vec![service])
}

/// A report of `requests` requests for `name` in 250 ms, with as many in flight.
pub fn demand(name: &str, requests: u32) -> DemandReport {
    let model_demand = ModelDemand {
        model: model(name),
        requests,
        prompt_tokens: u64::from(requests) * 800,
        in_flight: requests,
    };
    DemandReport { interval: Duration::from_millis(250), models: vec![model_demand] }
}

/// An order that arrives later.
#[derive(Clone, Debug)]
struct DelayedOrder {
    order: EngineOrder,
    arrives_at: Instant,
}

/// An engine as the platform describes it: it carries out one order for a base model at a time,
/// checks that orders expect its count of accepted orders, and dies if its memory is overcommitted.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub key: ServerKey,
    pub bases: BTreeSet<ModelName>,
    pub adapters: BTreeSet<ModelName>,
    pub on_disk: BTreeSet<ModelName>,
    pub accepted: u64,
    pub fence: u64,
    pub store_loads: Vec<Instant>,
    /// Software version.
    pub version: &'static str,
    /// Set when an order needs more memory than the engine has.
    pub overcommitted: bool,
    pending: Option<(OrderKind, ModelName, Instant)>,
    delayed_orders: Vec<DelayedOrder>,
}

impl FakeEngine {
    pub fn new(number: u16, bases: &[&str]) -> Self {
        let bases: BTreeSet<ModelName> = bases.iter().map(|name| model(name)).collect();
        Self {
            key: ServerKey { id: BackendId::new(&format!("e{number}")), start_time_ms: 1 },
            on_disk: bases.clone(),
            bases,
            adapters: BTreeSet::new(),
            accepted: 0,
            fence: 0,
            store_loads: Vec::new(),
            version: "v1",
            overcommitted: false,
            pending: None,
            delayed_orders: Vec::new(),
        }
    }

    /// The engine's record in the registry.
    pub fn record(&self) -> Arc<ServerRecord> {
        let residence = |base: &ModelName| Residence {
            model: base.clone(),
            adapters: self.adapters_of(base).cloned().collect(),
        };
        Arc::new(ServerRecord {
            key: self.key.clone(),
            service: ServiceName::new("pool"),
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: DataCentre::new("dc-1"),
            version: SoftwareVersion::new(self.version),
            slots: 32,
            state: ServerState::Ready,
            warm_up_remaining: Duration::ZERO,
            residents: self.bases.iter().map(residence).collect(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.iter().cloned().collect(),
        })
    }

    fn adapters_of(&self, base: &ModelName) -> impl Iterator<Item = &ModelName> {
        let prefix = format!("{base}/");
        self.adapters.iter().filter(move |adapter| adapter.as_str().starts_with(&prefix))
    }

    pub fn report(&self) -> EngineReport {
        EngineReport {
            start_time_ms: self.key.start_time_ms,
            orders_accepted: self.accepted,
            order_in_flight: self.pending.is_some(),
            residents: self.record().residents.clone(),
            ..EngineReport::default()
        }
    }

    /// Delivers an order now and returns the answer.
    pub fn order(&mut self, now: Instant, order: &EngineOrder) -> OrderAnswer {
        if order.fencing_token < self.fence {
            return OrderAnswer::Fenced;
        }
        self.fence = order.fencing_token;
        if self.pending.is_some() || order.expected_orders != self.accepted {
            return OrderAnswer::Conflict;
        }
        let is_adapter = order.model.as_str().contains('/');
        match order.kind {
            OrderKind::Load => self.load(now, &order.model, is_adapter),
            OrderKind::Unload => self.unload(now, &order.model, is_adapter),
        }
        self.accepted += 1;
        OrderAnswer::Accepted
    }

    /// Queues an order that gets no answer and is carried out at `arrives_at`.
    pub fn delay_order(&mut self, order: EngineOrder, arrives_at: Instant) {
        self.delayed_orders.push(DelayedOrder { order, arrives_at });
    }

    fn load(&mut self, now: Instant, subject: &ModelName, is_adapter: bool) {
        if is_adapter {
            self.adapters.insert(subject.clone());
            self.overcommitted |= self.adapters.len() > ADAPTER_SLOTS as usize;
            return;
        }
        self.overcommitted |= self.bases.len() >= BASES_PER_ENGINE;
        let on_disk = !self.on_disk.insert(subject.clone());
        if !on_disk {
            self.store_loads.push(now);
        }
        let duration = if on_disk { Duration::from_millis(600) } else { Duration::from_secs(3) };
        self.pending = Some((OrderKind::Load, subject.clone(), now + duration));
    }

    fn unload(&mut self, now: Instant, subject: &ModelName, is_adapter: bool) {
        if is_adapter {
            self.adapters.remove(subject);
            return;
        }
        let until = now + Duration::from_millis(200);
        self.pending = Some((OrderKind::Unload, subject.clone(), until));
    }

    /// Advances the engine to `now`.
    pub fn advance(&mut self, now: Instant) {
        if let Some((kind, subject, until)) = self.pending.clone()
            && until <= now
        {
            self.pending = None;
            match kind {
                OrderKind::Load => {
                    self.bases.insert(subject);
                }
                OrderKind::Unload => {
                    self.bases.remove(&subject);
                    let prefix = format!("{subject}/");
                    self.adapters.retain(|adapter| !adapter.as_str().starts_with(&prefix));
                }
            }
        }
        let due: Vec<DelayedOrder> =
            self.delayed_orders.extract_if(.., |delayed| delayed.arrives_at <= now).collect();
        for delayed in due {
            // Nobody receives this answer.
            self.order(now, &delayed.order);
        }
    }
}
