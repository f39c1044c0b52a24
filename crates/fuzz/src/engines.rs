//! Fake engines with true memory.

use {
    glade_engine::{
        EngineReport, FencingToken, Order, OrderKind, OrderOutcome, Refusal, ResidentModel,
    },
    glade_types::{BackendId, DataCentre, Incarnation, ModelName},
    std::{collections::BTreeMap, time::Duration},
};

/// Memory of every engine.
pub(crate) const CAPACITY_BYTES: u64 = 100;

#[derive(Clone, Debug)]
struct Held {
    memory_bytes: u64,
    ready: bool,
}

/// An engine. It takes whatever memory it is told to: only the system's care keeps it in bounds.
#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    pub(crate) id: BackendId,
    pub(crate) data_centre: DataCentre,
    pub(crate) enforces_fencing: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) leaving: bool,
    highest_token: FencingToken,
    models: BTreeMap<ModelName, Held>,
}

/// What an engine does with an order on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// It is answered at once.
    Answered(OrderOutcome),
    /// The model is ready, and the order answered, after the load's time.
    Loading,
}

impl FakeEngine {
    pub(crate) fn new(idx: usize, data_centre: &DataCentre, enforces_fencing: bool) -> Self {
        Self {
            id: BackendId::new(&format!("engine-{idx}")),
            data_centre: data_centre.clone(),
            enforces_fencing,
            incarnation: Incarnation(1),
            leaving: false,
            highest_token: FencingToken(0),
            models: BTreeMap::new(),
        }
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.models.clear();
        self.highest_token = FencingToken(0);
        self.leaving = false;
    }

    pub(crate) fn taken_bytes(&self) -> u64 {
        self.models.values().map(|held| held.memory_bytes).sum()
    }

    pub(crate) fn serves(&self, model: &str) -> bool {
        self.models.get(model).is_some_and(|held| held.ready)
    }

    pub(crate) fn arrive(&mut self, order: &Order) -> Arrival {
        if self.enforces_fencing && order.token <= self.highest_token {
            return Arrival::Answered(OrderOutcome::Refused(Refusal::StaleToken));
        }
        self.highest_token = self.highest_token.max(order.token);
        match &order.kind {
            OrderKind::Unload => {
                self.models.remove(&order.model);
                Arrival::Answered(OrderOutcome::Done)
            }
            OrderKind::Load { memory_bytes, base } => {
                let base_ready = base.as_ref().is_none_or(|base| self.serves(base.as_str()));
                if !base_ready {
                    return Arrival::Answered(OrderOutcome::Refused(Refusal::BaseMissing));
                }
                let held = Held { memory_bytes: *memory_bytes, ready: false };
                self.models.entry(order.model.clone()).or_insert(held);
                Arrival::Loading
            }
        }
    }

    /// Ends a load. An unload may have come in between.
    pub(crate) fn loaded(&mut self, model: &ModelName) {
        if let Some(held) = self.models.get_mut(model) {
            held.ready = true;
        }
    }

    pub(crate) fn report(&self) -> EngineReport {
        let ready = self.models.iter().filter(|(_, held)| held.ready);
        EngineReport {
            incarnation: self.incarnation,
            memory_bytes: CAPACITY_BYTES,
            accelerators: 1,
            running: 0,
            waiting: 0,
            slots: 8,
            mean_request: Duration::from_millis(100),
            leaving: self.leaving,
            resident: ready
                .map(|(name, held)| ResidentModel {
                    name: name.clone(),
                    memory_bytes: held.memory_bytes,
                })
                .collect(),
        }
    }
}
