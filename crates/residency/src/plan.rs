//! Which base models to load where.
//!
//! The load that this answers: a few models take most requests, which ones changes within seconds,
//! and every other model is asked for now and then, with less room than all of that wants.
//!
//! Each model has a *distress* that depends on its load and on the number of its copies: requests of
//! a model without a copy are lost, those of crowded copies come late. A move is made if it takes
//! away more distress than dropping its victims adds. So a crowded model may take the place of one
//! that is rarely asked for, whose distress then grows with the time that it waits, until it gets a
//! copy in its turn.

use {glade_types::ModelName, std::time::Duration};

/// Load for each copy, in engines, above which its requests come late.
const CROWDED_COPY: f64 = 0.5;
/// Distress for each engine of load on copies that aren't crowded, for their load: streams pause
/// longer beside others.
const BUSY_DISTRESS: f64 = 0.2;
/// Load for each copy beyond which distress doesn't grow.
const HOPELESS_COPY: f64 = 4.0;
/// Distress of a model that is asked for and has no copy.
const UNCOVERED_DISTRESS: f64 = 1.0;
/// Distress of such a model for each engine that its requests would keep busy.
const UNCOVERED_FACTOR: f64 = 4.0;
/// Distress that such a model gains for each second without a copy.
const WAITING_DISTRESS_PER_S: f64 = 0.25;
/// Distress of a model that nobody has asked for and that has no copy.
const UNASKED_DISTRESS: f64 = 0.3;
/// Such a margin for moves that drop something: they are undone sooner than others.
const DROP_MARGIN: f64 = 0.05;
/// Distress by which a spare place is filled with a second copy, so that an engine can be lost.
const SECOND_COPY_DISTRESS: f64 = 0.001;
/// Distress that a victim's requests add, each, by the time that they take to end before it can go.
const RUNNING_DISTRESS: f64 = 0.05;
/// Highest such distress: an unload takes no longer than the longest stream.
const RUNNING_DISTRESS_MAX: f64 = 0.5;
/// Load of an engine that a load from the weight store instead of one from a copy at hand weighs as
/// much as, when an engine is chosen.
const STORE_LOAD_COST: f64 = 0.5;
/// Load of an engine that another copy of the model in the same data centre weighs as much as, when an
/// engine is chosen: requests from elsewhere go a long way to it.
const SAME_PLACE_COST: f64 = 0.1;
/// Distress below which a move leaves the last load from the weight store to others.
const RESERVED_DISTRESS: f64 = 0.5;
/// Moves decided at once.
const MOVES_MAX: usize = 12;

/// What is known of one base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelInput {
    /// The model.
    pub model: ModelName,
    /// Size of its weights.
    pub size_mb: f64,
    /// Engines that its requests would keep busy by the time that a load has ended.
    pub load: f64,
    /// Requests under way or waiting.
    pub in_flight: f64,
    /// How long it has had no copy; zero if it has one.
    pub uncovered: Duration,
    /// Whether it has been asked for.
    pub asked_for: bool,
    /// Rank among models that nothing is known of; lower is more likely to be asked for.
    pub prior: u32,
}

/// What is known of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInput {
    /// Position of its data centre.
    pub data_centre: usize,
    /// Room for weights.
    pub capacity_mb: f64,
    /// Whether it can take an order now.
    pub free_for_order: bool,
    /// Positions of the models that it holds or loads.
    pub holds: Vec<usize>,
    /// Positions of the models that it got lately and that aren't dropped yet.
    pub fresh: Vec<usize>,
    /// Positions of the models with a copy of the weights in its memory or on its disk.
    pub at_hand: Vec<usize>,
}

/// Everything that the decision rests on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanInput {
    /// All models.
    pub models: Vec<ModelInput>,
    /// Engines that take work.
    pub engines: Vec<EngineInput>,
    /// Loads from the weight store that may begin now.
    pub store_loads: usize,
    /// Time without a copy before a model that nobody has asked for is loaded.
    pub settle_time: Duration,
}

/// A load, with the models that make room for it. All are positions in the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Where.
    pub engine: usize,
    /// What to load.
    pub load: usize,
    /// What to drop before.
    pub drop: Vec<usize>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}

/// Returns the moves to make now, the most urgent first. Each engine has at most one.
pub fn plan(input: &PlanInput) -> Vec<Move> {
    let mut pass = Pass::new(input);
    let mut moves = Vec::new();
    while moves.len() < MOVES_MAX {
        let Some(next) = pass.most_urgent_move() else { break };
        pass.apply(&next);
        moves.push(next);
    }
    moves
}

struct Pass<'a> {
    input: &'a PlanInput,
    holds: Vec<Vec<usize>>,
    free: Vec<bool>,
    /// Room for weights at each engine.
    room_mb: Vec<f64>,
    copies: Vec<u32>,
    store_loads: usize,
    /// Distress that another copy of each model takes away; nothing of models for which no move was
    /// found.
    gains: Vec<f64>,
}

impl<'a> Pass<'a> {
    fn new(input: &'a PlanInput) -> Self {
        let mut copies = vec![0; input.models.len()];
        for model in input.engines.iter().flat_map(|engine| &engine.holds) {
            copies[*model] += 1;
        }
        let room = |engine: &EngineInput| {
            let held = engine.holds.iter().map(|model| input.models[*model].size_mb);
            engine.capacity_mb - held.sum::<f64>()
        };
        let mut pass = Self {
            input,
            room_mb: input.engines.iter().map(room).collect(),
            holds: input.engines.iter().map(|engine| engine.holds.clone()).collect(),
            free: input.engines.iter().map(|engine| engine.free_for_order).collect(),
            copies,
            store_loads: input.store_loads,
            gains: Vec::new(),
        };
        pass.gains = (0..input.models.len()).map(|model| pass.gain(model)).collect();
        pass
    }

    fn most_urgent_move(&mut self) -> Option<Move> {
        loop {
            let model = self.neediest()?;
            match self.best_place(model) {
                Some(found) => return Some(found),
                None => self.gains[model] = 0.0,
            }
        }
    }

    /// The model that gains most from another copy.
    fn neediest(&self) -> Option<usize> {
        let gains = self.gains.iter().copied().zip(0..);
        gains
            .filter(|(gain, _)| *gain > 0.0)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, model)| model)
    }

    /// Distress of `model` with `copies` copies; more copies never mean more of it.
    fn distress(&self, model: usize, copies: u32) -> f64 {
        if copies == 0 {
            self.distress_without(model) + self.crowding_distress(model, 1)
        } else {
            self.crowding_distress(model, copies)
        }
    }

    /// Distress that a model without a copy has beyond one with a single copy.
    fn distress_without(&self, model: usize) -> f64 {
        let need = &self.input.models[model];
        let waited_s = need.uncovered.as_secs_f64();
        if need.asked_for {
            UNCOVERED_DISTRESS + UNCOVERED_FACTOR * need.load + WAITING_DISTRESS_PER_S * waited_s
        } else if self.copies[model] == 0 && need.uncovered < self.input.settle_time {
            0.0
        } else {
            UNASKED_DISTRESS - 0.0001 * f64::from(need.prior)
        }
    }

    /// Distress of a model whose requests share `copies` copies.
    fn crowding_distress(&self, model: usize, copies: u32) -> f64 {
        let load = self.input.models[model].load;
        let each = (load / f64::from(copies)).min(HOPELESS_COPY);
        let crowding = ((each - CROWDED_COPY) / CROWDED_COPY).max(0.0);
        load * (crowding + BUSY_DISTRESS * each)
    }

    /// Distress that another copy of `model` takes away.
    fn gain(&self, model: usize) -> f64 {
        let copies = self.copies[model];
        let relief = self.distress(model, copies) - self.distress(model, copies + 1);
        if copies == 0 {
            return relief;
        }
        let likely = 1.0 / f64::from(self.input.models[model].prior + 1);
        let spare = SECOND_COPY_DISTRESS * likely / f64::from(copies * copies);
        relief.max(spare)
    }

    /// The engine where another copy of `model` costs least.
    fn best_place(&self, model: usize) -> Option<Move> {
        let size_mb = self.input.models[model].size_mb;
        // Nothing is dropped for so small a gain.
        let needs_room = self.gains[model] <= DROP_MARGIN;
        let beside = self.copies_by_place(model);
        (0..self.holds.len())
            .filter(|engine| self.free[*engine])
            .filter(|engine| !needs_room || self.room_mb[*engine] >= size_mb)
            .filter(|engine| !self.holds[*engine].contains(&model))
            .filter_map(|engine| self.place(engine, model, &beside))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, found)| found)
    }

    /// A copy of `model` on `engine`, with its cost, if it is worth it; `beside` are the copies of each
    /// data centre.
    fn place(&self, engine: usize, model: usize, beside: &[u32]) -> Option<(f64, Move)> {
        let gain = self.gains[model];
        let site = &self.input.engines[engine];
        let from_store = !site.at_hand.contains(&model);
        let kept_back = usize::from(gain < RESERVED_DISTRESS);
        if from_store && self.store_loads <= kept_back {
            return None;
        }
        let size = |model: usize| self.input.models[model].size_mb;
        let mut room = self.room_mb[engine];
        let mut drop = Vec::new();
        let mut harm = 0.0;
        while room < size(model) {
            let (added, victim) = self.victim(engine, &drop)?;
            room += size(victim);
            harm += added;
            drop.push(victim);
        }
        let is_worth_it = drop.is_empty() || gain > harm + DROP_MARGIN;
        let store_cost = if from_store { STORE_LOAD_COST } else { 0.0 };
        let place_cost = SAME_PLACE_COST * f64::from(beside[site.data_centre]);
        let cost = self.engine_load(engine) + store_cost + place_cost + harm;
        let found = Move { engine, load: model, drop, from_store };
        is_worth_it.then_some((cost, found))
    }

    /// Copies of `model` in each data centre.
    fn copies_by_place(&self, model: usize) -> Vec<u32> {
        let sites = self.input.engines.iter().zip(&self.holds);
        let mut copies = Vec::new();
        for (site, holds) in sites {
            if copies.len() <= site.data_centre {
                copies.resize(site.data_centre + 1, 0);
            }
            copies[site.data_centre] += u32::from(holds.contains(&model));
        }
        copies
    }

    /// The model on `engine` whose copy is missed least, with the distress that its loss adds.
    fn victim(&self, engine: usize, dropped: &[usize]) -> Option<(f64, usize)> {
        let fresh = &self.input.engines[engine].fresh;
        self.holds[engine]
            .iter()
            .filter(|held| !dropped.contains(held) && !fresh.contains(held))
            .map(|held| (self.loss(*held), *held))
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Distress that the loss of one copy of `model` adds.
    fn loss(&self, model: usize) -> f64 {
        let copies = self.copies[model];
        let added = self.distress(model, copies - 1) - self.distress(model, copies);
        let running = self.input.models[model].in_flight / f64::from(copies);
        added + (RUNNING_DISTRESS * running).min(RUNNING_DISTRESS_MAX)
    }

    /// Load that the engine's models bring it.
    fn engine_load(&self, engine: usize) -> f64 {
        self.holds[engine]
            .iter()
            .map(|model| self.input.models[*model].load / f64::from(self.copies[*model].max(1)))
            .sum()
    }

    fn apply(&mut self, found: &Move) {
        let size_mb = |model: usize| self.input.models[model].size_mb;
        for dropped in &found.drop {
            self.copies[*dropped] -= 1;
            self.holds[found.engine].retain(|held| held != dropped);
            self.room_mb[found.engine] += size_mb(*dropped);
        }
        self.holds[found.engine].push(found.load);
        self.copies[found.load] += 1;
        self.room_mb[found.engine] -= size_mb(found.load);
        for model in found.drop.iter().chain([&found.load]) {
            // A model that was stuck stays so, unless it has just lost a copy.
            self.gains[*model] = self.gain(*model);
        }
        self.free[found.engine] = false;
        if found.from_store {
            self.store_loads -= 1;
        }
    }
}
