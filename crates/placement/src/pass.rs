//! One placement pass.

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

/// Requests under way at each residence below which a copy gives way to any other.
const IDLE_SHARE: f64 = 1.0;
/// Share of a crowded row's requests at each residence that other copies may have and still give
/// way. Well below 1, so that two rows don't take each other's place in turn.
const YIELDING_SHARE: f64 = 0.4;
/// Demand below which a row counts as idle, in requests under way.
const IDLE_UNDER_WAY: f64 = 0.05;

/// Returns the moves that lead towards the wanted placement, most urgent first.
pub fn plan(input: &PlacementInput<'_>) -> Vec<Move> {
    let mut pass = Pass::new(input);
    pass.remove_unlisted();
    pass.cover_owed();
    pass.add_copies();
    pass.moves
}

/// An engine during the pass, with the moves decided so far taken into account.
struct Site<'a> {
    input: EngineInput<'a>,
    free_bytes: Bytes,
    /// Requests for each place in the batch: those at the engine, or the engine's share of the
    /// demand for its rows if that is more, since patient work waits at the entries.
    pressure: f64,
    /// Rows that the engine holds or will hold.
    held: HashSet<&'a ModelName>,
    /// Rows that leave during this pass.
    evicted: HashSet<&'a ModelName>,
}

struct Pass<'a> {
    input: &'a PlacementInput<'a>,
    sites: Vec<Site<'a>>,
    /// Residences by row in the whole deployment, as after the moves decided so far.
    residences: HashMap<&'a ModelName, u32>,
    /// Adapters by base model.
    adapters: HashMap<&'a ModelName, Vec<&'a Row>>,
    /// Demand by base model, its adapters included.
    base_demand: HashMap<&'a ModelName, f64>,
    moves: Vec<Move>,
}

impl<'a> Pass<'a> {
    fn new(input: &'a PlacementInput<'a>) -> Self {
        let mut sites: Vec<Site<'a>> =
            input.engines.iter().map(|engine| Site::new(*engine)).collect();
        let mut residences: HashMap<&ModelName, u32> =
            input.external.iter().map(|(name, outside)| (*name, outside.count)).collect();
        for site in sites.iter().filter(|site| site.input.usable) {
            for name in &site.held {
                *residences.entry(name).or_default() += 1;
            }
        }
        for site in &mut sites {
            site.pressure = site.pressure.max(demand_pressure(site, input, &residences));
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
        Self { input, sites, residences, adapters, base_demand, moves: Vec::new() }
    }

    fn demand(&self, name: &ModelName) -> ModelDemand {
        self.input.demand.get(name).copied().unwrap_or_default()
    }

    /// Unloads rows that left the table, adapters before their base.
    fn remove_unlisted(&mut self) {
        for idx in 0..self.sites.len() {
            let ledger = self.sites[idx].input.ledger;
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

    /// Gives every required row that has no residence one, heaviest first; bases before adapters.
    fn cover_owed(&mut self) {
        let mut rows: Vec<&'a Row> = self
            .input
            .table
            .loadable()
            .filter(|row| self.input.required.contains(&row.name))
            .filter(|row| self.residences.get(&row.name).is_none_or(|count| *count == 0))
            .collect();
        // Large rows first: they are the hardest to fit. A base takes its adapters' memory into
        // account, because they can go nowhere else.
        rows.sort_by_key(|row| (row.base().is_some(), Reverse(row.memory_bytes), &row.name));
        for row in rows {
            self.cover(row);
        }
    }

    /// Takes the first step that leads to a residence for `row`: load it where it fits, unload
    /// surplus copies where it then fits, or start to move something else out of its way.
    fn cover(&mut self, row: &'a Row) {
        let family_bytes = self.adapter_bytes(row);
        let roomy = |site: &Site<'a>| site.free_bytes >= site.needed_bytes(row) + family_bytes;
        let site = self.best_site(row, roomy).or_else(|| self.best_site(row, |_| true));
        if let Some(idx) = site {
            self.load(idx, row);
        } else if !self.evict_for(row, |_| true, f64::INFINITY) {
            self.relocate_for(row);
        }
    }

    /// Memory of the adapters of `row` that have no residence yet.
    fn adapter_bytes(&self, row: &Row) -> Bytes {
        let adapters = self.adapters.get(&row.name).into_iter().flatten();
        let uncovered = adapters
            .filter(|adapter| self.residences.get(&adapter.name).is_none_or(|count| *count == 0));
        uncovered.map(|adapter| adapter.memory_bytes).sum()
    }

    /// Starts a relocation without which `row` fits nowhere. Copies go up first; the old ones are
    /// then surplus, and a later pass unloads them. Each pass takes one step and remembers nothing,
    /// because the next one finds the state that this step led to.
    fn relocate_for(&mut self, row: &'a Row) {
        let base = row.base().and_then(|base| self.input.table.row(base.as_str()));
        match base {
            Some(base) if self.is_loading(&base.name) => {}
            Some(base) => {
                if !self.load_with_room_for(base, row.memory_bytes) {
                    self.move_one_out(row);
                }
            }
            None => self.move_one_out(row),
        }
    }

    /// Loads `base` to an engine that has `extra_bytes` more; false if there is none.
    fn load_with_room_for(&mut self, base: &'a Row, extra_bytes: Bytes) -> bool {
        let roomy = |site: &Site<'a>| site.free_bytes >= site.needed_bytes(base) + extra_bytes;
        let site = self.best_site(base, roomy);
        if let Some(idx) = site {
            self.load(idx, base);
        }
        site.is_some()
    }

    /// Starts to move one row away from an engine on which `row` fits once that one is gone: the
    /// smallest that has somewhere to go.
    fn move_one_out(&mut self, row: &Row) {
        let mut candidates: Vec<(Bytes, &'a Row)> = self
            .sites
            .iter()
            .filter(|site| site.input.usable && row.base().is_none_or(|base| site.serves(base)))
            .flat_map(|site| self.movable_for(site, row))
            .collect();
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
        for (_, other) in candidates {
            if let Some(target) = self.best_site(other, |_| true) {
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

    /// Rows on `site` each of which makes enough room for `row` by leaving.
    fn movable_for(&self, site: &Site<'a>, row: &Row) -> Vec<(Bytes, &'a Row)> {
        let missing = site.needed_bytes(row).saturating_sub(site.free_bytes);
        let entries = site.input.ledger.entries.iter().filter(|(name, entry)| {
            entry.phase == Phase::Resident
                && entry.memory_bytes >= missing
                && Some(*name) != row.base()
                && !site.evicted.contains(*name)
                && !site.is_base(name)
                && !self.is_loading(name)
        });
        entries
            .filter_map(|(name, entry)| {
                Some((entry.memory_bytes, self.input.table.row(name.as_str())?))
            })
            .collect()
    }

    /// Adds copies of rows whose residences are all crowded, the most valuable first.
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
            let target = self.best_site(row, |site| site.pressure < spare);
            match target {
                Some(idx) => self.load(idx, row),
                None => {
                    let residences = self.residences.get(&row.name).copied().unwrap_or(1).max(1);
                    let share = self.demand_with_adapters(row) / f64::from(residences);
                    let yielding = (share * YIELDING_SHARE).max(IDLE_SHARE);
                    self.evict_for(row, |site| site.pressure < spare, yielding);
                }
            }
        }
    }

    /// Net worth of a further copy of `row`, or `None` if it isn't worth its cost.
    fn copy_value(&self, row: &Row) -> Option<f64> {
        let policy = &self.input.policy;
        if self.is_loading(&row.name) {
            return None;
        }
        let residences = self.sites.iter().filter(|site| site.serves(&row.name));
        let inside = residences.map(|site| site.pressure).min_by(f64::total_cmp);
        let least = inside.or_else(|| self.outside_pressure(row))?;
        if least < policy.overload_utilization {
            return None;
        }
        let in_flight = self.demand_with_adapters(row);
        if in_flight < IDLE_UNDER_WAY {
            return None;
        }
        let relief = (least - policy.spare_utilization).min(1.0);
        let missed = self.demand(&row.name).missed_per_s;
        let served = in_flight * relief + missed;
        let worth = policy.attainment_weight * f64::from(row.weight) * served * policy.horizon_s;
        let moves = if row.base().is_none() { policy.base_move_factor } else { 1.0 };
        let cost = policy.move_weight * moves * f64::from(row.weight.max(1));
        (worth > cost).then_some(worth - cost)
    }

    /// Requests under way for the row, and for its adapters if it is a base model.
    fn demand_with_adapters(&self, row: &Row) -> f64 {
        match row.kind {
            RowKind::Model => self.base_demand.get(&row.name).copied().unwrap_or_default(),
            RowKind::Adapter { .. } | RowKind::Service => self.demand(&row.name).in_flight,
        }
    }

    /// Pressure on the residences outside the group, for a row that has none inside. The group's
    /// own demand counts too: patient work for the row waits at the entries.
    fn outside_pressure(&self, row: &Row) -> Option<f64> {
        let outside = self.input.external.get(&row.name).filter(|outside| outside.count > 0)?;
        let slots = self.sites.iter().map(|site| site.input.slots).max()?;
        let share = self.demand_with_adapters(row) / f64::from(outside.count);
        Some(outside.least_utilization.max(share / f64::from(slots.max(1))))
    }

    fn is_loading(&self, name: &ModelName) -> bool {
        self.sites.iter().any(|site| {
            let entry = site.input.ledger.entries.get(name);
            entry.is_some_and(|entry| entry.phase == Phase::Loading)
        })
    }

    /// The usable engine with the most room on which `row` fits now.
    fn best_site(&self, row: &Row, accept: impl Fn(&Site<'a>) -> bool) -> Option<usize> {
        let fits = |site: &Site<'a>| {
            site.input.usable
                && !site.held.contains(&row.name)
                && row.base().is_none_or(|base| site.serves(base))
                && site.needed_bytes(row) <= site.free_bytes
        };
        let candidates = self.sites.iter().enumerate().filter(|(_, s)| fits(s) && accept(s));
        // Memory that is reserved for this row already costs nothing; it is used first.
        candidates
            .min_by(|(_, a), (_, b)| {
                let key = |site: &Site<'a>| (site.needed_bytes(row) > 0, Reverse(site.free_bytes));
                key(a)
                    .cmp(&key(b))
                    .then_with(|| a.pressure.total_cmp(&b.pressure))
                    .then_with(|| a.input.ledger.engine.cmp(&b.input.ledger.engine))
            })
            .map(|(idx, _)| idx)
    }

    /// Unloads surplus copies from the engine where the fewest have to go for `row` to fit; false if
    /// there is no such engine.
    /// Copies give way only while their other residences would have to carry less than `yielding`
    /// requests each.
    fn evict_for(
        &mut self,
        row: &'a Row,
        accept: impl Fn(&Site<'a>) -> bool,
        yielding: f64,
    ) -> bool {
        let best = (0..self.sites.len())
            .filter(|idx| {
                let site = &self.sites[*idx];
                site.input.usable
                    && accept(site)
                    && !site.held.contains(&row.name)
                    && row.base().is_none_or(|base| site.serves(base))
            })
            .filter_map(|idx| self.evictions(idx, row, yielding).map(|victims| (idx, victims)))
            .min_by_key(|(idx, victims)| (victims.len(), *idx));
        let Some((idx, victims)) = best else { return false };
        for victim in victims {
            self.unload(idx, victim);
        }
        // The room is spoken for: nothing else of this pass may take it.
        let needed = self.sites[idx].needed_bytes(row);
        self.sites[idx].free_bytes = self.sites[idx].free_bytes.saturating_sub(needed);
        self.sites[idx].held.insert(&row.name);
        *self.residences.entry(&row.name).or_default() += 1;
        true
    }

    /// Surplus rows on the engine at `idx` whose memory makes `row` fit, or `None`.
    fn evictions(&self, idx: usize, row: &Row, yielding: f64) -> Option<Vec<&'a ModelName>> {
        let site = &self.sites[idx];
        let leaving_bytes: Bytes = site
            .input
            .ledger
            .entries
            .iter()
            .filter(|(name, entry)| entry.phase == Phase::Unloading || site.evicted.contains(*name))
            .map(|(_, entry)| entry.memory_bytes)
            .sum();
        let mut missing = site.needed_bytes(row).saturating_sub(site.free_bytes);
        missing = missing.saturating_sub(leaving_bytes);
        let mut surplus: Vec<&'a ModelName> = site
            .input
            .ledger
            .entries
            .iter()
            .filter(|(name, entry)| {
                entry.phase == Phase::Resident
                    && Some(*name) != row.base()
                    && !site.evicted.contains(*name)
                    && self.is_surplus(name, yielding)
            })
            .map(|(name, _)| name)
            .collect();
        surplus.sort_by(|a, b| {
            let demand = |name: &ModelName| self.demand(name).in_flight;
            demand(a).total_cmp(&demand(b)).then_with(|| a.cmp(b))
        });
        let mut victims = Vec::new();
        for name in surplus {
            if missing == 0 {
                break;
            }
            if self.supports_others(idx, name, &victims) {
                continue;
            }
            missing = missing.saturating_sub(site.input.ledger.entries[name].memory_bytes);
            victims.push(name);
        }
        (missing == 0).then_some(victims)
    }

    /// True if the row has another residence, and its others would have to carry less than `yielding`
    /// requests each.
    fn is_surplus(&self, name: &ModelName, yielding: f64) -> bool {
        let count = self.residences.get(name).copied().unwrap_or_default();
        let demand = self.base_demand.get(name).copied().unwrap_or(self.demand(name).in_flight);
        count > 1 && demand / f64::from(count - 1) < yielding
    }

    /// True if an adapter on the engine at `idx`, other than `victims`, needs `name` as its base.
    fn supports_others(&self, idx: usize, name: &ModelName, victims: &[&ModelName]) -> bool {
        self.sites[idx]
            .input
            .ledger
            .entries
            .iter()
            .any(|(other, entry)| entry.base.as_ref() == Some(name) && !victims.contains(&other))
    }

    fn load(&mut self, idx: usize, row: &'a Row) {
        let site = &mut self.sites[idx];
        site.free_bytes -= site.needed_bytes(row);
        site.held.insert(&row.name);
        let engine = site.input.ledger.engine.clone();
        *self.residences.entry(&row.name).or_default() += 1;
        self.moves.push(Move::Load { engine, model: row.name.clone() });
    }

    fn unload(&mut self, idx: usize, name: &'a ModelName) {
        let site = &mut self.sites[idx];
        site.held.remove(name);
        site.evicted.insert(name);
        let engine = site.input.ledger.engine.clone();
        if site.input.usable
            && let Some(count) = self.residences.get_mut(name)
        {
            *count = count.saturating_sub(1);
        }
        self.moves.push(Move::Unload { engine, model: name.clone() });
    }
}

/// The engine's share of the demand for the rows it serves, for each place in its batch.
fn demand_pressure(
    site: &Site<'_>,
    input: &PlacementInput<'_>,
    residences: &HashMap<&ModelName, u32>,
) -> f64 {
    let share = |name: &&ModelName| {
        let in_flight = input.demand.get(*name).map_or(0.0, |demand| demand.in_flight);
        in_flight / f64::from(residences.get(*name).copied().unwrap_or(1).max(1))
    };
    let served = site.held.iter().filter(|name| site.serves(name));
    let mut shares: Vec<f64> = served.map(share).collect();
    // A fixed order of addition keeps the sum the same on every run.
    shares.sort_by(f64::total_cmp);
    shares.iter().sum::<f64>() / f64::from(site.input.slots.max(1))
}

impl<'a> Site<'a> {
    fn new(input: EngineInput<'a>) -> Self {
        let wanted = input.ledger.entries.iter().filter(|(_, entry)| entry.is_wanted());
        let held = wanted.map(|(name, _)| name).collect();
        let (free_bytes, pressure) = (input.ledger.free_bytes(), input.utilization);
        Self { input, free_bytes, pressure, held, evicted: HashSet::new() }
    }

    /// True if the engine holds the row and is expected to keep it.
    fn serves(&self, name: &ModelName) -> bool {
        let entry = self.input.ledger.entries.get(name);
        entry.is_some_and(|entry| entry.phase == Phase::Resident)
            && !self.evicted.contains(name)
            && self.input.usable
    }

    /// True if an adapter on this engine has `name` as its base.
    fn is_base(&self, name: &ModelName) -> bool {
        self.input.ledger.entries.values().any(|entry| entry.base.as_ref() == Some(name))
    }

    /// Memory that `row` needs beyond what is reserved for it already.
    fn needed_bytes(&self, row: &Row) -> Bytes {
        let entry = self.input.ledger.entries.get(&row.name);
        row.memory_bytes.saturating_sub(entry.map_or(0, |entry| entry.memory_bytes))
    }
}
