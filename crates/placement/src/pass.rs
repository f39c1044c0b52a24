//! One placement pass over the engines of a group.

use {
    crate::input::{EngineInput, ModelDemand, Move, PlacementInput},
    glade_ledger::Phase,
    glade_table::{Row, RowKind},
    glade_types::{Bytes, ModelName},
    std::{
        cmp::Reverse,
        collections::{HashMap, HashSet},
    },
};

/// Requests in flight per residence below which a copy may always be evicted for another row.
const IDLE_REQUESTS_PER_RESIDENCE: f64 = 1.0;
/// A copy may also be evicted if its row has less demand per residence than this share of the
/// overloaded row's. Well below 1, so that two rows do not evict each other in turn.
const EVICTABLE_DEMAND_RATIO: f64 = 0.4;
/// Demand below which a row counts as idle, in requests in flight.
const IDLE_IN_FLIGHT: f64 = 0.05;

/// Returns the moves that lead towards the target placement, the most urgent first.
pub fn plan(input: &PlacementInput<'_>) -> Vec<Move> {
    let mut pass = Pass::new(input);
    pass.unload_unlisted();
    pass.place_required();
    pass.add_copies();
    pass.moves
}

/// State of an engine during the pass, after the moves decided so far.
struct EngineState<'a> {
    input: EngineInput<'a>,
    free_bytes: Bytes,
    /// Requests per slot of the batch: those at the engine, or the engine's share of the demand for
    /// its rows if that is more, because requests of patient priority wait at the entries and not
    /// at the engine.
    load_factor: f64,
    /// Rows that the engine holds or will hold.
    rows: HashSet<&'a ModelName>,
    /// Rows that are unloaded during this pass.
    unloaded: HashSet<&'a ModelName>,
}

struct Pass<'a> {
    input: &'a PlacementInput<'a>,
    engines: Vec<EngineState<'a>>,
    /// Number of residences by row in the whole deployment, after the moves decided so far.
    residences: HashMap<&'a ModelName, u32>,
    /// Adapters by base model.
    adapters: HashMap<&'a ModelName, Vec<&'a Row>>,
    /// Demand by base model, including its adapters.
    base_demand: HashMap<&'a ModelName, f64>,
    moves: Vec<Move>,
}

impl<'a> Pass<'a> {
    fn new(input: &'a PlacementInput<'a>) -> Self {
        let mut engines: Vec<EngineState<'a>> =
            input.engines.iter().map(|engine| EngineState::new(*engine)).collect();
        let mut residences: HashMap<&ModelName, u32> =
            input.external.iter().map(|(name, external)| (*name, external.count)).collect();
        for engine in engines.iter().filter(|engine| engine.input.usable) {
            for name in &engine.rows {
                *residences.entry(name).or_default() += 1;
            }
        }
        for engine in &mut engines {
            engine.load_factor =
                engine.load_factor.max(demand_load_factor(engine, input, &residences));
        }
        let mut base_demand: HashMap<&ModelName, f64> = HashMap::new();
        for row in input.table.loadable() {
            let in_flight = input.demand.get(&row.name).map_or(0.0, |demand| demand.in_flight);
            *base_demand.entry(row.base().unwrap_or(&row.name)).or_default() += in_flight;
        }
        let mut adapters: HashMap<&ModelName, Vec<&Row>> = HashMap::new();
        for row in input.table.loadable() {
            if let Some(base) = row.base() {
                adapters.entry(base).or_default().push(row);
            }
        }
        Self { input, engines, residences, adapters, base_demand, moves: Vec::new() }
    }

    fn demand(&self, name: &ModelName) -> ModelDemand {
        self.input.demand.get(name).copied().unwrap_or_default()
    }

    /// Unloads rows that have left the table, adapters before their base.
    fn unload_unlisted(&mut self) {
        for idx in 0..self.engines.len() {
            let ledger = self.engines[idx].input.ledger;
            let mut unlisted: Vec<&ModelName> = ledger
                .entries
                .iter()
                .filter(|(name, entry)| {
                    entry.phase == Phase::Resident && self.input.table.row(name.as_str()).is_none()
                })
                .map(|(name, _)| name)
                .collect();
            unlisted.sort_by_key(|name| ledger.entries[*name].base.is_none());
            for name in unlisted {
                self.unload(idx, name);
            }
        }
    }

    /// Gives each required row without a residence one: bases before adapters, large rows before
    /// small ones.
    fn place_required(&mut self) {
        let mut rows: Vec<&'a Row> = self
            .input
            .table
            .loadable()
            .filter(|row| self.input.required.contains(&row.name))
            .filter(|row| self.residences.get(&row.name).is_none_or(|count| *count == 0))
            .collect();
        // Large rows come first because they are the hardest to fit. A base is placed with its
        // adapters' memory in mind, because they can be loaded nowhere else.
        rows.sort_by_key(|row| (row.base().is_some(), Reverse(row.memory_bytes), &row.name));
        for row in rows {
            self.place_row(row);
        }
    }

    /// Takes the first step that leads to a residence for `row`: loads it where it fits, unloads
    /// surplus copies so that it fits, or starts to relocate another row that is in its way.
    fn place_row(&mut self, row: &'a Row) {
        let adapter_bytes = self.adapter_bytes(row);
        let has_room = |engine: &EngineState<'a>| {
            engine.free_bytes >= engine.needed_bytes(row) + adapter_bytes
        };
        let engine = self.best_engine(row, has_room).or_else(|| self.best_engine(row, |_| true));
        if let Some(idx) = engine {
            self.load(idx, row);
        } else if !self.evict_for(row, |_| true, f64::INFINITY) {
            self.start_relocation_for(row);
        }
    }

    /// Memory of the adapters of `row` that have no residence yet.
    fn adapter_bytes(&self, row: &Row) -> Bytes {
        let adapters = self.adapters.get(&row.name).into_iter().flatten();
        let without_residence = adapters
            .filter(|adapter| self.residences.get(&adapter.name).is_none_or(|count| *count == 0));
        without_residence.map(|adapter| adapter.memory_bytes).sum()
    }

    /// Starts a relocation without which `row` fits nowhere. The relocated row is first loaded
    /// elsewhere; its old copy is then surplus, and a later pass unloads it. Each pass takes one
    /// step and keeps no state, because the next pass finds the state that this step led to.
    fn start_relocation_for(&mut self, row: &'a Row) {
        let base = row.base().and_then(|base| self.input.table.row(base.as_str()));
        match base {
            Some(base) if self.is_loading(&base.name) => {}
            Some(base) => {
                if !self.load_with_room_for(base, row.memory_bytes) {
                    self.relocate_one_for(row);
                }
            }
            None => self.relocate_one_for(row),
        }
    }

    /// Loads `base` on an engine that has room for `reserve_bytes` more; returns false if there is
    /// none.
    fn load_with_room_for(&mut self, base: &'a Row, reserve_bytes: Bytes) -> bool {
        let has_room = |engine: &EngineState<'a>| {
            engine.free_bytes >= engine.needed_bytes(base) + reserve_bytes
        };
        let engine = self.best_engine(base, has_room);
        if let Some(idx) = engine {
            self.load(idx, base);
        }
        engine.is_some()
    }

    /// Starts to move one row away from an engine on which `row` fits without it: the smallest row
    /// that can be loaded elsewhere.
    fn relocate_one_for(&mut self, row: &Row) {
        let mut candidates: Vec<(Bytes, &'a Row)> = self
            .engines
            .iter()
            .filter(|engine| {
                engine.input.usable && row.base().is_none_or(|base| engine.serves(base))
            })
            .flat_map(|engine| self.relocatable_for(engine, row))
            .collect();
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
        for (_, other) in candidates {
            if let Some(target) = self.best_engine(other, |_| true) {
                self.load(target, other);
                return;
            }
            let base = other.base().and_then(|base| self.input.table.row(base.as_str()));
            let loading = base.is_some_and(|base| self.is_loading(&base.name));
            if loading || base.is_some_and(|base| self.load_with_room_for(base, other.memory_bytes))
            {
                return;
            }
        }
    }

    /// Rows on `engine` each of which leaves enough room for `row` when it is unloaded.
    fn relocatable_for(&self, engine: &EngineState<'a>, row: &Row) -> Vec<(Bytes, &'a Row)> {
        let missing_bytes = engine.needed_bytes(row).saturating_sub(engine.free_bytes);
        let entries = engine.input.ledger.entries.iter().filter(|(name, entry)| {
            entry.phase == Phase::Resident
                && entry.memory_bytes >= missing_bytes
                && Some(*name) != row.base()
                && !engine.unloaded.contains(*name)
                && !engine.is_base(name)
                && !self.is_loading(name)
        });
        entries
            .filter_map(|(name, entry)| {
                Some((entry.memory_bytes, self.input.table.row(name.as_str())?))
            })
            .collect()
    }

    /// Adds copies of rows whose residences are all overloaded, the most valuable first.
    fn add_copies(&mut self) {
        let mut candidates: Vec<(f64, &'a Row)> = self
            .input
            .table
            .loadable()
            .filter_map(|row| self.copy_value(row).map(|value| (value, row)))
            .collect();
        candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.name.cmp(&b.1.name)));
        for (_, row) in candidates {
            let spare = self.input.policy.spare_utilization;
            let target = self.best_engine(row, |engine| engine.load_factor < spare);
            match target {
                Some(idx) => self.load(idx, row),
                None => {
                    let residences = self.residences.get(&row.name).copied().unwrap_or(1).max(1);
                    let demand_per_residence =
                        self.demand_with_adapters(row) / f64::from(residences);
                    let max_demand_per_residence = (demand_per_residence * EVICTABLE_DEMAND_RATIO)
                        .max(IDLE_REQUESTS_PER_RESIDENCE);
                    self.evict_for(
                        row,
                        |engine| engine.load_factor < spare,
                        max_demand_per_residence,
                    );
                }
            }
        }
    }

    /// Net value of a further copy of `row`, or `None` if the copy is not worth its cost.
    fn copy_value(&self, row: &Row) -> Option<f64> {
        let policy = &self.input.policy;
        if self.is_loading(&row.name) {
            return None;
        }
        let residences = self.engines.iter().filter(|engine| engine.serves(&row.name));
        let internal = residences.map(|engine| engine.load_factor).min_by(f64::total_cmp);
        let lowest_load_factor = internal.or_else(|| self.external_load_factor(row))?;
        if lowest_load_factor < policy.overload_utilization {
            return None;
        }
        let in_flight = self.demand_with_adapters(row);
        if in_flight < IDLE_IN_FLIGHT {
            return None;
        }
        let load_reduction = (lowest_load_factor - policy.spare_utilization).min(1.0);
        let missed = self.demand(&row.name).missed_per_s;
        let served = in_flight * load_reduction + missed;
        let value = policy.attainment_weight * f64::from(row.weight) * served * policy.horizon_s;
        let moves = if row.base().is_none() { policy.base_move_factor } else { 1.0 };
        let cost = policy.move_weight * moves * f64::from(row.weight.max(1));
        (value > cost).then_some(value - cost)
    }

    /// Requests in flight for the row, and for its adapters if it is a base model.
    fn demand_with_adapters(&self, row: &Row) -> f64 {
        match row.kind {
            RowKind::Model => self.base_demand.get(&row.name).copied().unwrap_or_default(),
            RowKind::Adapter { .. } | RowKind::Service => self.demand(&row.name).in_flight,
        }
    }

    /// Load factor of the residences outside the group, for a row that has none inside. The group's
    /// own demand counts too, because requests of patient priority for the row wait at the entries.
    fn external_load_factor(&self, row: &Row) -> Option<f64> {
        let external = self.input.external.get(&row.name).filter(|external| external.count > 0)?;
        let slots = self.engines.iter().map(|engine| engine.input.slots).max()?;
        let demand_per_residence = self.demand_with_adapters(row) / f64::from(external.count);
        Some(external.least_utilization.max(demand_per_residence / f64::from(slots.max(1))))
    }

    fn is_loading(&self, name: &ModelName) -> bool {
        self.engines.iter().any(|engine| {
            let entry = engine.input.ledger.entries.get(name);
            entry.is_some_and(|entry| entry.phase == Phase::Loading)
        })
    }

    /// The usable engine with the most free memory on which `row` fits now.
    fn best_engine(&self, row: &Row, accept: impl Fn(&EngineState<'a>) -> bool) -> Option<usize> {
        let fits = |engine: &EngineState<'a>| {
            engine.input.usable
                && !engine.rows.contains(&row.name)
                && row.base().is_none_or(|base| engine.serves(base))
                && engine.needed_bytes(row) <= engine.free_bytes
        };
        let candidates =
            self.engines.iter().enumerate().filter(|(_, engine)| fits(engine) && accept(engine));
        // Memory that is already reserved for this row costs nothing and is used first.
        candidates
            .min_by(|(_, a), (_, b)| {
                let key = |engine: &EngineState<'a>| {
                    (engine.needed_bytes(row) > 0, Reverse(engine.free_bytes))
                };
                key(a)
                    .cmp(&key(b))
                    .then_with(|| a.load_factor.total_cmp(&b.load_factor))
                    .then_with(|| a.input.ledger.engine.cmp(&b.input.ledger.engine))
            })
            .map(|(idx, _)| idx)
    }

    /// Unloads surplus copies from the engine where the fewest have to be unloaded for `row` to
    /// fit; returns false if there is no such engine.
    ///
    /// A copy is surplus only if the other residences of its row would have to serve less than
    /// `max_demand_per_residence` requests each.
    fn evict_for(
        &mut self,
        row: &'a Row,
        accept: impl Fn(&EngineState<'a>) -> bool,
        max_demand_per_residence: f64,
    ) -> bool {
        let best = (0..self.engines.len())
            .filter(|idx| {
                let engine = &self.engines[*idx];
                engine.input.usable
                    && accept(engine)
                    && !engine.rows.contains(&row.name)
                    && row.base().is_none_or(|base| engine.serves(base))
            })
            .filter_map(|idx| {
                self.evictions(idx, row, max_demand_per_residence)
                    .map(|evicted_rows| (idx, evicted_rows))
            })
            .min_by_key(|(idx, evicted_rows)| (evicted_rows.len(), *idx));
        let Some((idx, evicted_rows)) = best else { return false };
        for name in evicted_rows {
            self.unload(idx, name);
        }
        // The freed memory is reserved: nothing else in this pass may use it.
        let needed = self.engines[idx].needed_bytes(row);
        self.engines[idx].free_bytes = self.engines[idx].free_bytes.saturating_sub(needed);
        self.engines[idx].rows.insert(&row.name);
        *self.residences.entry(&row.name).or_default() += 1;
        true
    }

    /// Surplus rows on the engine at `idx` that have to be unloaded for `row` to fit, or `None` if
    /// it does not fit even then.
    fn evictions(
        &self,
        idx: usize,
        row: &Row,
        max_demand_per_residence: f64,
    ) -> Option<Vec<&'a ModelName>> {
        let engine = &self.engines[idx];
        let unloading_bytes: Bytes = engine
            .input
            .ledger
            .entries
            .iter()
            .filter(|(name, entry)| {
                entry.phase == Phase::Unloading || engine.unloaded.contains(*name)
            })
            .map(|(_, entry)| entry.memory_bytes)
            .sum();
        let mut missing_bytes = engine.needed_bytes(row).saturating_sub(engine.free_bytes);
        missing_bytes = missing_bytes.saturating_sub(unloading_bytes);
        let mut surplus: Vec<&'a ModelName> = engine
            .input
            .ledger
            .entries
            .iter()
            .filter(|(name, entry)| {
                entry.phase == Phase::Resident
                    && Some(*name) != row.base()
                    && !engine.unloaded.contains(*name)
                    && self.is_surplus(name, max_demand_per_residence)
            })
            .map(|(name, _)| name)
            .collect();
        surplus.sort_by(|a, b| {
            let demand = |name: &ModelName| self.demand(name).in_flight;
            demand(a).total_cmp(&demand(b)).then_with(|| a.cmp(b))
        });
        let mut evicted_rows = Vec::new();
        for name in surplus {
            if missing_bytes == 0 {
                break;
            }
            if self.is_base_of_remaining(idx, name, &evicted_rows) {
                continue;
            }
            missing_bytes =
                missing_bytes.saturating_sub(engine.input.ledger.entries[name].memory_bytes);
            evicted_rows.push(name);
        }
        (missing_bytes == 0).then_some(evicted_rows)
    }

    /// True if the row has another residence, and its other residences would have to serve less
    /// than `max_demand_per_residence` requests each.
    fn is_surplus(&self, name: &ModelName, max_demand_per_residence: f64) -> bool {
        let count = self.residences.get(name).copied().unwrap_or_default();
        let demand = self.base_demand.get(name).copied().unwrap_or(self.demand(name).in_flight);
        count > 1 && demand / f64::from(count - 1) < max_demand_per_residence
    }

    /// True if an adapter on this engine has `name` as its base.
    fn is_base_of_remaining(
        &self,
        idx: usize,
        name: &ModelName,
        evicted_rows: &[&ModelName],
    ) -> bool {
        self.engines[idx].input.ledger.entries.iter().any(|(other, entry)| {
            entry.base.as_ref() == Some(name) && !evicted_rows.contains(&other)
        })
    }

    fn load(&mut self, idx: usize, row: &'a Row) {
        let state = &mut self.engines[idx];
        state.free_bytes -= state.needed_bytes(row);
        state.rows.insert(&row.name);
        let engine = state.input.ledger.engine.clone();
        *self.residences.entry(&row.name).or_default() += 1;
        self.moves.push(Move::Load { engine, model: row.name.clone() });
    }

    fn unload(&mut self, idx: usize, name: &'a ModelName) {
        let state = &mut self.engines[idx];
        state.rows.remove(name);
        state.unloaded.insert(name);
        let engine = state.input.ledger.engine.clone();
        if state.input.usable
            && let Some(count) = self.residences.get_mut(name)
        {
            *count = count.saturating_sub(1);
        }
        self.moves.push(Move::Unload { engine, model: name.clone() });
    }
}

/// The engine's share of the demand for the rows that it serves, per slot of its batch.
fn demand_load_factor(
    engine: &EngineState<'_>,
    input: &PlacementInput<'_>,
    residences: &HashMap<&ModelName, u32>,
) -> f64 {
    let demand_per_residence = |name: &&ModelName| {
        let in_flight = input.demand.get(*name).map_or(0.0, |demand| demand.in_flight);
        in_flight / f64::from(residences.get(*name).copied().unwrap_or(1).max(1))
    };
    let served = engine.rows.iter().filter(|name| engine.serves(name));
    let mut demands: Vec<f64> = served.map(demand_per_residence).collect();
    // A fixed order of addition keeps the sum the same in every run.
    demands.sort_by(f64::total_cmp);
    demands.iter().sum::<f64>() / f64::from(engine.input.slots.max(1))
}

impl<'a> EngineState<'a> {
    fn new(input: EngineInput<'a>) -> Self {
        let wanted =
            input.ledger.entries.iter().filter(|(_, entry)| entry.is_resident_or_loading());
        let rows = wanted.map(|(name, _)| name).collect();
        let (free_bytes, load_factor) = (input.ledger.free_bytes(), input.utilization);
        Self { input, free_bytes, load_factor, rows, unloaded: HashSet::new() }
    }

    /// True if the engine holds the row and is expected to keep it.
    fn serves(&self, name: &ModelName) -> bool {
        let entry = self.input.ledger.entries.get(name);
        entry.is_some_and(|entry| entry.phase == Phase::Resident)
            && !self.unloaded.contains(name)
            && self.input.usable
    }

    /// True if an adapter on this engine has `name` as its base.
    fn is_base(&self, name: &ModelName) -> bool {
        self.input.ledger.entries.values().any(|entry| entry.base.as_ref() == Some(name))
    }

    /// Memory that `row` needs in addition to what is already reserved for it.
    fn needed_bytes(&self, row: &Row) -> Bytes {
        let entry = self.input.ledger.entries.get(&row.name);
        row.memory_bytes.saturating_sub(entry.map_or(0, |entry| entry.memory_bytes))
    }
}
