//! Placement of adapters: a requested adapter is loaded on an engine that holds its base model, and
//! then on more of them, so that requests can choose between engines.
//!
//! Loading an adapter takes a few milliseconds and an adapter slot that would otherwise be unused,
//! so a requested adapter is loaded beside every copy of its base model. Without that, a second
//! copy of a model would serve no requests for the adapters that only the first copy has.

use {
    super::PlacementController,
    crate::managed_engine::{EvictionCost, ManagedEngine},
    glade_catalog::{EngineClass, Service, WantedModel, base_model_of, is_adapter},
    glade_types::ModelName,
    std::{collections::BTreeMap, time::Instant},
};

/// Running and waiting requests per copy from which another copy is worth an order: about what the
/// engines of both deployments have for an average adapter.
const REPLICATION_REQUESTS_PER_COPY: f64 = 0.5;
/// Adapter slots that an engine keeps free for adapters without a copy. Freeing a slot by an
/// eviction would take as long as the requests for the evicted adapter run.
const RESERVED_ADAPTER_SLOTS: usize = 1;

/// An adapter with running or waiting requests.
#[derive(Clone, Debug)]
struct AdapterDemand {
    adapter: ModelName,
    /// Number of running and waiting requests.
    requests: f64,
    /// Number of engines that hold it beside its base model; never 0.
    copies: usize,
}

impl AdapterDemand {
    /// Requests per copy.
    fn load_per_copy(&self) -> f64 {
        self.requests / self.copies as f64
    }
}

/// True if `engine` runs the software version that `wanted` is bound to, if any.
fn is_of_version(engine: &ManagedEngine, wanted: &WantedModel) -> bool {
    wanted.software_version.is_none_or(|version| engine.record.version_hash() == version)
}

impl PlacementController {
    /// Orders adapters that have been requested and that no engine holds which may run the requests.
    pub(super) fn order_wanted_adapters(
        &mut self,
        now: Instant,
        service: &Service,
        class: &EngineClass,
    ) {
        if self.wanted_models.is_empty() {
            return;
        }
        let copies = self.adapter_copies(service);
        let all_wanted: Vec<WantedModel> = self.wanted_models.keys().cloned().collect();
        for wanted in all_wanted {
            let base = base_model_of(&wanted.name);
            if !is_adapter(&wanted.name) || class.model(base).is_none() {
                continue;
            }
            let is_held = self.engines.values().any(|engine| {
                engine.usable
                    && is_of_version(engine, &wanted)
                    && engine.has_adapter(&wanted.name)
                    && engine.has_ready_base(base)
            });
            if is_held || self.order_wanted_adapter(now, service, class, &copies, &wanted) {
                self.wanted_models.remove(&wanted);
            }
        }
    }

    /// Orders an adapter on the engine where the least has to be evicted for it. Returns false if
    /// no engine can take it.
    fn order_wanted_adapter(
        &mut self,
        now: Instant,
        service: &Service,
        class: &EngineClass,
        copies: &BTreeMap<ModelName, usize>,
        wanted: &WantedModel,
    ) -> bool {
        let adapter_slots = class.adapter_slots as usize;
        let base = base_model_of(&wanted.name);
        let (demand, waits) = (&self.demand, &self.lease_term.waits);
        let cost = |name: &ModelName| {
            if demand.in_flight(now, name) <= 0.0 {
                EvictionCost::Unused
            } else if copies.get(name).is_some_and(|copies| *copies > 1) {
                EvictionCost::OtherCopies
            } else {
                EvictionCost::OnlyCopy
            }
        };
        let best = self
            .engines
            .values_mut()
            .filter(|engine| engine.record.service == service.name)
            .filter(|engine| is_of_version(engine, wanted))
            .filter(|engine| engine.can_load_adapters() && engine.has_ready_base(base))
            .filter(|engine| !waits.must_wait(now, &engine.key().id))
            .min_by_key(|engine| {
                let count = engine.adapter_count();
                let evictable = engine
                    .cheapest_adapter_to_evict(cost)
                    .map(|(_, cost, last_requested_at)| (cost, last_requested_at));
                (
                    count.saturating_sub(adapter_slots - 1),
                    evictable.filter(|_| count >= adapter_slots),
                    count,
                )
            });
        let Some(engine) = best else { return false };
        let evict = if engine.adapter_count() >= adapter_slots {
            match engine.cheapest_adapter_to_evict(cost) {
                Some((evict, ..)) => Some(evict.clone()),
                None => return false,
            }
        } else {
            None
        };
        engine.queue_adapter_load(now, wanted.name.clone(), evict);
        true
    }

    /// Orders one more copy of an adapter for each idle engine.
    pub(super) fn replicate_adapters(
        &mut self,
        now: Instant,
        service: &Service,
        class: &EngineClass,
    ) {
        let mut demand_by_base = self.adapter_demand(now, service);
        let adapter_slots = class.adapter_slots as usize;
        let waits = &self.lease_term.waits;
        let engines = self
            .engines
            .values_mut()
            .filter(|engine| engine.record.service == service.name)
            .filter(|engine| !waits.must_wait(now, &engine.key().id));
        for engine in engines {
            if !engine.is_idle() || engine.adapter_count() + RESERVED_ADAPTER_SLOTS >= adapter_slots
            {
                continue;
            }
            let bases = engine.record.residents.iter().map(|residence| &residence.model);
            let best = bases
                .filter(|base| engine.has_ready_base(base.as_str()))
                .filter_map(|base| demand_by_base.get(base))
                .flatten()
                .filter(|demand| demand.load_per_copy() >= REPLICATION_REQUESTS_PER_COPY)
                .filter(|demand| !engine.has_adapter(&demand.adapter))
                .max_by(|a, b| a.load_per_copy().total_cmp(&b.load_per_copy()))
                .map(|demand| demand.adapter.clone());
            let Some(adapter) = best else { continue };
            let demands = demand_by_base.get_mut(base_model_of(&adapter)).into_iter().flatten();
            demands
                .filter(|demand| demand.adapter == adapter)
                .for_each(|demand| demand.copies += 1);
            engine.queue_adapter_load(now, adapter, None);
        }
    }

    /// Adapters with running or waiting requests and at least one copy, by base model.
    fn adapter_demand(
        &self,
        now: Instant,
        service: &Service,
    ) -> BTreeMap<ModelName, Vec<AdapterDemand>> {
        let copies = self.adapter_copies(service);
        let mut demand_by_base: BTreeMap<ModelName, Vec<AdapterDemand>> = BTreeMap::new();
        for (adapter, copies) in copies {
            let requests = self.demand.in_flight(now, &adapter);
            if requests > 0.0 {
                let base = ModelName::new(base_model_of(&adapter));
                demand_by_base.entry(base).or_default().push(AdapterDemand {
                    adapter,
                    requests,
                    copies,
                });
            }
        }
        demand_by_base
    }

    /// Number of engines that hold each adapter beside its base model.
    fn adapter_copies(&self, service: &Service) -> BTreeMap<ModelName, usize> {
        let mut copies = BTreeMap::new();
        let engines = self.engines.values().filter(|engine| engine.record.service == service.name);
        for engine in engines.filter(|engine| engine.usable) {
            for adapter in engine.adapters() {
                if engine.has_ready_base(base_model_of(adapter)) {
                    *copies.entry(adapter.clone()).or_default() += 1;
                }
            }
        }
        copies
    }
}
