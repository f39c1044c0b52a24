//! The ledger of one engine: a row of the table service that reserves memory for models, and the rules
//! for loads, unloads and their outcomes.

use {
    crate::{
        entry::{Entry, Phase},
        error::LedgerError,
    },
    glade_engine::{EngineReport, FencingToken, Order, OrderKind, OrderOutcome},
    glade_types::{BackendId, Bytes, Incarnation, ModelName},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The ledger of one engine, as stored in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Ledger {
    /// The engine.
    pub engine: BackendId,
    /// Incarnation of the engine to which the entries apply.
    pub incarnation: Incarnation,
    /// Accelerator memory of the engine.
    pub capacity_bytes: Bytes,
    /// Whether the engine rejects orders with a stale fencing token.
    pub enforces_fencing: bool,
    /// Epoch of the lease under which a planner last took over the row.
    pub epoch: u64,
    /// Highest fencing token issued. It never decreases, even when the engine restarts.
    pub last_token: FencingToken,
    /// Identifies the last write, so that a lost commit reply can be resolved by reading the row.
    pub write_id: u64,
    /// Entries by model.
    pub entries: BTreeMap<ModelName, Entry>,
}

impl Ledger {
    /// Creates the ledger of an engine from its report. No order may have been sent to the engine before.
    pub fn from_first_report(
        engine: &BackendId,
        enforces_fencing: bool,
        report: &EngineReport,
    ) -> Self {
        let mut ledger = Self {
            engine: engine.clone(),
            incarnation: report.incarnation,
            capacity_bytes: report.memory_bytes,
            enforces_fencing,
            epoch: 0,
            last_token: FencingToken(0),
            write_id: 0,
            entries: BTreeMap::new(),
        };
        ledger.add_residents(report);
        ledger
    }

    /// Sets the base models of adapters that a report listed without them.
    pub fn set_bases(&mut self, base_model_of: impl Fn(&ModelName) -> Option<ModelName>) {
        for (name, entry) in &mut self.entries {
            entry.base = entry.base.take().or_else(|| base_model_of(name));
        }
    }

    /// Total memory reserved by all entries.
    pub fn reserved_bytes(&self) -> Bytes {
        self.entries.values().map(|entry| entry.memory_bytes).sum()
    }

    /// Memory that is available for new entries.
    pub fn free_bytes(&self) -> Bytes {
        self.capacity_bytes.saturating_sub(self.reserved_bytes())
    }

    /// Number of unanswered loads of all entries.
    pub fn open_loads(&self) -> usize {
        self.entries.values().map(|entry| entry.open_loads.len()).sum()
    }

    /// Resets the ledger to a new incarnation of the engine, at which only the reported models are
    /// resident.
    pub fn restart(&mut self, report: &EngineReport) {
        self.incarnation = report.incarnation;
        self.capacity_bytes = report.memory_bytes;
        self.entries.clear();
        self.add_residents(report);
    }

    /// Reserves memory for resident models without an entry, which were loaded without the ledger.
    /// Returns whether there were any. `report` must be newer than the ledger.
    pub fn adopt_untracked(&mut self, report: &EngineReport) -> bool {
        let entries_before = self.entries.len();
        let mut untracked = report.clone();
        untracked.resident.retain(|resident| !self.entries.contains_key(&resident.name));
        self.add_residents(&untracked);
        self.entries.len() > entries_before
    }

    fn add_residents(&mut self, report: &EngineReport) {
        for resident in &report.resident {
            let entry = Entry {
                memory_bytes: resident.memory_bytes,
                base: None,
                phase: Phase::Resident,
                was_resident: true,
                open_loads: Default::default(),
            };
            self.entries.insert(resident.name.clone(), entry);
        }
    }

    /// Reserves memory for `model` and returns the order to send once the row is committed.
    ///
    /// If the model already has an entry, this is another attempt, and only memory beyond what the
    /// entry has reserved is added.
    ///
    /// # Errors
    ///
    /// The model doesn't fit, or its base model isn't resident.
    pub fn begin_load(
        &mut self,
        model: &ModelName,
        memory_bytes: Bytes,
        base: Option<&ModelName>,
    ) -> Result<Order, LedgerError> {
        if let Some(base) = base {
            let resident = self.entries.get(base).is_some_and(|e| e.phase == Phase::Resident);
            if !resident {
                return Err(LedgerError::BaseMissing(base.clone()));
            }
        }
        let reserved_bytes = self.entries.get(model).map_or(0, |entry| entry.memory_bytes);
        let needed_bytes = memory_bytes.saturating_sub(reserved_bytes);
        let free_bytes = self.free_bytes();
        if needed_bytes > free_bytes {
            return Err(LedgerError::NoMemory { needed_bytes, free_bytes });
        }
        let token = self.next_token();
        let entry = self.entries.entry(model.clone()).or_insert_with(|| Entry {
            memory_bytes,
            base: base.cloned(),
            phase: Phase::Loading,
            was_resident: false,
            open_loads: Default::default(),
        });
        entry.memory_bytes = entry.memory_bytes.max(memory_bytes);
        entry.phase = Phase::Loading;
        entry.open_loads.insert(token);
        let kind = OrderKind::Load { memory_bytes, base: base.cloned() };
        Ok(self.order(token, model, kind))
    }

    /// Decides to unload `model` and returns the order to send once the row is committed.
    ///
    /// # Errors
    ///
    /// The model has no entry, or an adapter needs it as its base model.
    pub fn begin_unload(&mut self, model: &ModelName) -> Result<Order, LedgerError> {
        let in_use = self.entries.values().any(|entry| entry.base.as_ref() == Some(model));
        if in_use {
            return Err(LedgerError::BaseInUse(model.clone()));
        }
        if !self.entries.contains_key(model) {
            return Err(LedgerError::NoEntry(model.clone()));
        }
        let token = self.next_token();
        if let Some(entry) = self.entries.get_mut(model) {
            entry.phase = Phase::Unloading;
        }
        Ok(self.order(token, model, OrderKind::Unload))
    }

    /// Records the outcome of `order`. Returns false if the outcome changes nothing, for instance
    /// because the order was for an earlier incarnation.
    pub fn record_outcome(&mut self, order: &Order, outcome: OrderOutcome) -> bool {
        if order.incarnation != self.incarnation {
            return false;
        }
        match order.kind {
            OrderKind::Load { .. } => self.record_load_outcome(order, outcome),
            OrderKind::Unload => self.record_unload_outcome(order, outcome),
        }
    }

    fn record_load_outcome(&mut self, order: &Order, outcome: OrderOutcome) -> bool {
        let Some(entry) = self.entries.get_mut(&order.model) else { return false };
        #[cfg(feature = "sabotage")]
        if outcome == OrderOutcome::Unknown && crate::sabotage::is_guard_removed() {
            self.entries.remove(&order.model);
            return true;
        }
        if outcome == OrderOutcome::Unknown || !entry.open_loads.remove(&order.token) {
            return false;
        }
        if outcome == OrderOutcome::Done {
            entry.was_resident = true;
            if entry.phase == Phase::Loading {
                entry.phase = Phase::Resident;
            }
            if self.enforces_fencing {
                entry.open_loads.retain(|token| *token > order.token);
            }
            return true;
        }
        let never_loaded = !entry.was_resident && entry.open_loads.is_empty();
        if never_loaded {
            self.entries.remove(&order.model);
        }
        true
    }

    fn record_unload_outcome(&mut self, order: &Order, outcome: OrderOutcome) -> bool {
        let Some(entry) = self.entries.get_mut(&order.model) else { return false };
        // If a newer load was decided, this outcome doesn't show whether the memory is free.
        let superseded = entry.open_loads.iter().any(|token| *token > order.token);
        if outcome != OrderOutcome::Done || entry.phase != Phase::Unloading || superseded {
            return false;
        }
        if self.enforces_fencing {
            entry.open_loads.retain(|token| *token > order.token);
        }
        entry.was_resident = false;
        if entry.open_loads.is_empty() {
            self.entries.remove(&order.model);
        }
        true
    }

    fn next_token(&mut self) -> FencingToken {
        self.last_token = FencingToken(self.last_token.0 + 1);
        self.last_token
    }

    fn order(&self, token: FencingToken, model: &ModelName, kind: OrderKind) -> Order {
        Order {
            engine: self.engine.clone(),
            incarnation: self.incarnation,
            token,
            model: model.clone(),
            kind,
        }
    }
}

#[cfg(test)]
mod tests {
    use {super::*, std::time::Duration};

    fn report(incarnation: u64) -> EngineReport {
        EngineReport {
            incarnation: Incarnation(incarnation),
            memory_bytes: 100,
            accelerators: 1,
            running: 0,
            waiting: 0,
            slots: 8,
            mean_request: Duration::ZERO,
            leaving: false,
            resident: vec![],
        }
    }

    fn ledger(enforces_fencing: bool) -> Ledger {
        Ledger::from_first_report(&BackendId::new("engine-1"), enforces_fencing, &report(1))
    }

    fn model(name: &str) -> ModelName {
        ModelName::new(name)
    }

    #[test]
    fn memory_of_a_replaced_model_stays_reserved_until_its_unload_is_confirmed() {
        let mut ledger = ledger(true);
        let load = ledger.begin_load(&model("a"), 60, None).expect("fits");
        ledger.record_outcome(&load, OrderOutcome::Done);
        let unload = ledger.begin_unload(&model("a")).expect("resident");
        let rejected = ledger.begin_load(&model("b"), 60, None);
        assert_eq!(rejected, Err(LedgerError::NoMemory { needed_bytes: 60, free_bytes: 40 }));
        ledger.record_outcome(&unload, OrderOutcome::Unknown);
        assert!(ledger.begin_load(&model("b"), 60, None).is_err());
        ledger.record_outcome(&unload, OrderOutcome::Done);
        assert!(ledger.begin_load(&model("b"), 60, None).is_ok());
    }

    #[test]
    fn an_unanswered_load_keeps_its_memory_after_a_confirmed_unload_without_fencing() {
        let mut ledger = ledger(false);
        let unanswered = ledger.begin_load(&model("a"), 60, None).expect("fits");
        ledger.record_outcome(&unanswered, OrderOutcome::Unknown);
        let retry = ledger.begin_load(&model("a"), 60, None).expect("needs no additional memory");
        ledger.record_outcome(&retry, OrderOutcome::Done);
        let unload = ledger.begin_unload(&model("a")).expect("resident");
        ledger.record_outcome(&unload, OrderOutcome::Done);
        assert_eq!(ledger.free_bytes(), 40, "the first load may still be carried out");
        ledger.record_outcome(&unanswered, OrderOutcome::Done);
        assert_eq!(
            ledger.free_bytes(),
            40,
            "the first load was carried out and needs another unload"
        );
        let unload = ledger.begin_unload(&model("a")).expect("resident");
        ledger.record_outcome(&unload, OrderOutcome::Done);
        assert_eq!(ledger.free_bytes(), 100);
    }

    #[test]
    fn a_confirmed_unload_rules_out_older_loads_with_fencing() {
        let mut ledger = ledger(true);
        let unanswered = ledger.begin_load(&model("a"), 60, None).expect("fits");
        ledger.record_outcome(&unanswered, OrderOutcome::Unknown);
        let unload = ledger.begin_unload(&model("a")).expect("has an entry");
        ledger.record_outcome(&unload, OrderOutcome::Done);
        assert_eq!(ledger.free_bytes(), 100);
    }

    #[test]
    fn an_unsent_load_frees_its_memory_only_if_no_other_load_is_unanswered() {
        let mut ledger = ledger(false);
        let first = ledger.begin_load(&model("a"), 60, None).expect("fits");
        let second = ledger.begin_load(&model("a"), 60, None).expect("fits");
        ledger.record_outcome(&second, OrderOutcome::NotSent);
        assert_eq!(ledger.free_bytes(), 40);
        ledger.record_outcome(&first, OrderOutcome::NotSent);
        assert_eq!(ledger.free_bytes(), 100);
    }

    #[test]
    fn a_late_unload_answer_does_not_free_the_memory_of_a_newer_load() {
        let mut ledger = ledger(false);
        let load = ledger.begin_load(&model("a"), 60, None).expect("fits");
        ledger.record_outcome(&load, OrderOutcome::Done);
        let unload = ledger.begin_unload(&model("a")).expect("resident");
        let reload = ledger.begin_load(&model("a"), 60, None).expect("needs no additional memory");
        ledger.record_outcome(&unload, OrderOutcome::Done);
        assert_eq!(ledger.free_bytes(), 40);
        ledger.record_outcome(&reload, OrderOutcome::Done);
        assert_eq!(ledger.entries[&model("a")].phase, Phase::Resident);
    }

    #[test]
    fn a_restart_clears_the_entries_but_tokens_keep_increasing() {
        let mut ledger = ledger(false);
        let order = ledger.begin_load(&model("a"), 60, None).expect("fits");
        ledger.restart(&report(2));
        assert_eq!(ledger.free_bytes(), 100);
        assert!(
            !ledger.record_outcome(&order, OrderOutcome::Done),
            "the order was for incarnation 1"
        );
        let next = ledger.begin_load(&model("a"), 60, None).expect("fits");
        assert!(next.token > order.token);
    }

    #[test]
    fn a_base_model_cant_be_unloaded_while_an_adapter_needs_it() {
        let mut ledger = ledger(true);
        let missing = ledger.begin_load(&model("a-1"), 5, Some(&model("a")));
        assert_eq!(missing, Err(LedgerError::BaseMissing(model("a"))));
        let load = ledger.begin_load(&model("a"), 60, None).expect("fits");
        ledger.record_outcome(&load, OrderOutcome::Done);
        ledger.begin_load(&model("a-1"), 5, Some(&model("a"))).expect("base is resident");
        assert_eq!(ledger.begin_unload(&model("a")), Err(LedgerError::BaseInUse(model("a"))));
    }
}
