//! Where adapters go: to some engine with their model once they are asked for, and to more of them so
//! that requests have a choice.
//!
//! An adapter takes a few milliseconds to load and a place that would stand empty, so it is put beside
//! every copy of its base model while it is asked for. Without that, a second copy of a model serves
//! nobody who asks for an adapter that the first one has.

use {
    super::PlacementController,
    crate::managed_engine::AdapterLoss,
    glade_catalog::{EngineClass, Service, base_of, is_adapter},
    glade_types::ModelName,
    std::{collections::BTreeMap, time::Instant},
};

/// Requests under way for each copy from which another one is worth an order: about what the engines of
/// both users have of an average adapter.
const REQUESTS_PER_COPY: f64 = 0.5;
/// Places that an engine keeps free for adapters that are nowhere; to make room would take the time
/// that requests for another are under way.
const PLACES_KEPT: usize = 1;

/// An adapter that is asked for.
#[derive(Clone, Debug)]
struct Wanted {
    adapter: ModelName,
    /// Requests under way or waiting.
    requests: f64,
    /// Engines that have it beside its base model; never 0.
    copies: usize,
}

impl Wanted {
    /// Requests for each copy.
    fn load(&self) -> f64 {
        self.requests / self.copies as f64
    }
}

impl PlacementController {
    /// Orders adapters that were asked for and are nowhere.
    pub(super) fn grant_wishes(&mut self, now: Instant, service: &Service, class: &EngineClass) {
        if self.wishes.is_empty() {
            return;
        }
        let copies = self.adapter_copies(service);
        let wishes: Vec<ModelName> = self.wishes.keys().cloned().collect();
        for adapter in wishes {
            let base = base_of(&adapter);
            if !is_adapter(&adapter) || class.model(base).is_none() {
                continue;
            }
            let is_somewhere = self
                .slots
                .values()
                .any(|slot| slot.usable && slot.has_adapter(&adapter) && slot.has_ready_base(base));
            if is_somewhere || self.grant(now, service, class, &copies, &adapter) {
                self.wishes.remove(&adapter);
            }
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        service: &Service,
        class: &EngineClass,
        copies: &BTreeMap<ModelName, usize>,
        adapter: &ModelName,
    ) -> bool {
        let places = class.adapter_slots as usize;
        let base = base_of(adapter);
        let demand = &self.demand;
        let loss = |name: &ModelName| {
            if demand.in_flight(now, name) <= 0.0 {
                AdapterLoss::Unused
            } else if copies.get(name).is_some_and(|copies| *copies > 1) {
                AdapterLoss::Elsewhere
            } else {
                AdapterLoss::InUse
            }
        };
        let best = self
            .slots
            .values_mut()
            .filter(|slot| slot.record.service == service.name)
            .filter(|slot| slot.takes_adapters() && slot.has_ready_base(base))
            .min_by_key(|slot| {
                let count = slot.adapter_count();
                let stalest = slot.least_adapter(loss).map(|(_, loss, used_at)| (loss, used_at));
                (count.saturating_sub(places - 1), stalest.filter(|_| count >= places), count)
            });
        let Some(slot) = best else { return false };
        let victim = if slot.adapter_count() >= places {
            match slot.least_adapter(loss) {
                Some((victim, ..)) => Some(victim.clone()),
                None => return false,
            }
        } else {
            None
        };
        slot.order_adapter(now, adapter.clone(), victim);
        true
    }

    /// Orders one more copy of an adapter for each engine that has nothing else to do.
    pub(super) fn spread_adapters(&mut self, now: Instant, service: &Service, class: &EngineClass) {
        let mut wanted = self.wanted_adapters(now, service);
        let places = class.adapter_slots as usize;
        let slots = self.slots.values_mut().filter(|slot| slot.record.service == service.name);
        for slot in slots {
            if !slot.is_free() || slot.adapter_count() + PLACES_KEPT >= places {
                continue;
            }
            let bases = slot.record.residents.iter().map(|residence| &residence.model);
            let best = bases
                .filter(|base| slot.has_ready_base(base.as_str()))
                .filter_map(|base| wanted.get(base))
                .flatten()
                .filter(|want| want.load() >= REQUESTS_PER_COPY)
                .filter(|want| !slot.has_adapter(&want.adapter))
                .max_by(|a, b| a.load().total_cmp(&b.load()))
                .map(|want| want.adapter.clone());
            let Some(adapter) = best else { continue };
            let wants = wanted.get_mut(base_of(&adapter)).into_iter().flatten();
            wants.filter(|want| want.adapter == adapter).for_each(|want| want.copies += 1);
            slot.order_adapter(now, adapter, None);
        }
    }

    /// Adapters that are asked for now and have a copy, by base model.
    fn wanted_adapters(&self, now: Instant, service: &Service) -> BTreeMap<ModelName, Vec<Wanted>> {
        let copies = self.adapter_copies(service);
        let mut wanted: BTreeMap<ModelName, Vec<Wanted>> = BTreeMap::new();
        for (adapter, copies) in copies {
            let requests = self.demand.in_flight(now, &adapter);
            if requests > 0.0 {
                let base = ModelName::new(base_of(&adapter));
                wanted.entry(base).or_default().push(Wanted { adapter, requests, copies });
            }
        }
        wanted
    }

    /// Engines that have each adapter beside its base model.
    fn adapter_copies(&self, service: &Service) -> BTreeMap<ModelName, usize> {
        let mut copies = BTreeMap::new();
        let slots = self.slots.values().filter(|slot| slot.record.service == service.name);
        for slot in slots.filter(|slot| slot.usable) {
            for adapter in slot.adapters() {
                if slot.has_ready_base(base_of(adapter)) {
                    *copies.entry(adapter.clone()).or_default() += 1;
                }
            }
        }
        copies
    }
}
