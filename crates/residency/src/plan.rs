//! Placement decision: which base models to load on which engines.
//!
//! The decision is made for this workload: a few models receive most requests, and which models
//! these are changes within seconds; every other model is requested now and then; and the engines
//! have less memory than all of these need.
//!
//! Each model has a *placement cost* that depends on its load and on the number of its copies:
//! requests of a model without a copy are lost, those of a model with overloaded copies are late. A
//! move is made if it reduces the placement cost of the loaded model by more than the evictions
//! add. So an overloaded model may replace one that is rarely requested. The placement cost of the
//! evicted model then grows with the time that it waits, until it gets a copy again.

use {glade_types::ModelName, std::time::Duration};

/// Load per copy, in engines, above which the model's requests are late.
const OVERLOADED_COPY_LOAD: f64 = 0.5;
/// Placement cost of each engine of load, for each unit of load per copy, also on copies that are
/// not overloaded: the pauses in a stream are longer when other requests run beside it.
const BUSY_COST: f64 = 0.2;
/// Load per copy beyond which the placement cost does not grow.
const COPY_LOAD_MAX: f64 = 4.0;
/// Placement cost of a model that is requested and has no copy.
const NO_COPY_COST: f64 = 1.0;
/// Further placement cost of such a model for each engine that its requests would keep busy.
const NO_COPY_COST_PER_LOAD: f64 = 4.0;
/// Further placement cost of such a model for each second without a copy.
const NO_COPY_COST_PER_S: f64 = 0.25;
/// Placement cost of a model that has not been requested and has no copy.
const UNREQUESTED_COST: f64 = 0.3;
/// Gain that a move with evictions needs beyond their cost, because such moves are undone sooner
/// than others.
const EVICTION_MARGIN: f64 = 0.05;
/// Gain of filling free memory with a second copy of a model, so that an engine can be lost.
const SECOND_COPY_GAIN: f64 = 0.001;
/// Cost of an eviction for each running request of the evicted model: the unload has to wait until
/// these end.
const RUNNING_REQUEST_COST: f64 = 0.05;
/// Upper limit of this cost: an unload takes no longer than the longest stream.
const RUNNING_REQUEST_COST_MAX: f64 = 0.5;
/// Cost of loading from the weight store instead of from a local copy when an engine is chosen, in
/// terms of engine load.
const STORE_LOAD_COST: f64 = 0.5;
/// Cost of each other copy of the model in the same data centre when an engine is chosen, in terms
/// of engine load: requests from other data centres have a long way to such a copy.
const SAME_DATA_CENTRE_COST: f64 = 0.1;
/// Gain below which a move must not use the last available load from the weight store.
const LAST_STORE_LOAD_MIN_GAIN: f64 = 0.5;
/// Moves decided in one pass.
const MOVES_MAX: usize = 12;

/// State of one base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelInput {
    /// The model.
    pub model: ModelName,
    /// Size of its weights.
    pub size_mb: f64,
    /// Load by the end of a load order that begins now, in engines that its requests would keep
    /// busy.
    pub load: f64,
    /// Number of running and waiting requests.
    pub in_flight: f64,
    /// Time for which it has had no copy; zero if it has one.
    pub time_without_copy: Duration,
    /// Whether it has been requested.
    pub requested: bool,
    /// Rank among models without known demand. The lower it is, the likelier are requests.
    pub rank: u32,
}

/// State of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineInput {
    /// Index of its data centre.
    pub data_centre: usize,
    /// Memory for weights.
    pub capacity_mb: f64,
    /// Whether it can be given an order now.
    pub accepts_orders: bool,
    /// Indices of the models that it holds, is loading or is about to load.
    pub models: Vec<usize>,
    /// Indices of the models that were loaded recently and must not be evicted yet.
    pub recently_loaded: Vec<usize>,
    /// Indices of the models whose weights have a copy in its main memory or on its disk.
    pub local_weights: Vec<usize>,
}

/// Complete input of a placement decision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanInput {
    /// All models.
    pub models: Vec<ModelInput>,
    /// Engines that accept work.
    pub engines: Vec<EngineInput>,
    /// Number of loads from the weight store that may begin now.
    pub store_loads_available: usize,
    /// Time without a copy after which a model that has not been requested is loaded.
    pub settle_time: Duration,
}

/// A load order and the evictions that make room for it. Engines and models are given as indices
/// into the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Engine that loads the model.
    pub engine: usize,
    /// Model to load.
    pub load: usize,
    /// Models to evict first.
    pub evict: Vec<usize>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
}

/// Returns the moves to make now, the most urgent first. There is at most one for each engine.
pub fn plan(input: &PlanInput) -> Vec<Move> {
    let mut pass = Pass::new(input);
    let mut moves = Vec::new();
    while moves.len() < MOVES_MAX {
        let Some(next) = pass.next_move() else { break };
        pass.apply(&next);
        moves.push(next);
    }
    moves
}

struct Pass<'a> {
    input: &'a PlanInput,
    models_by_engine: Vec<Vec<usize>>,
    accepts_orders: Vec<bool>,
    /// Free memory for weights on each engine.
    free_mb: Vec<f64>,
    copies: Vec<u32>,
    store_loads: usize,
    /// Reduction of placement cost by another copy of each model; zero for models for which no move
    /// was found.
    gains: Vec<f64>,
}

impl<'a> Pass<'a> {
    fn new(input: &'a PlanInput) -> Self {
        let mut copies = vec![0; input.models.len()];
        for model in input.engines.iter().flat_map(|engine| &engine.models) {
            copies[*model] += 1;
        }
        let free_mb = |engine: &EngineInput| {
            let sizes = engine.models.iter().map(|model| input.models[*model].size_mb);
            engine.capacity_mb - sizes.sum::<f64>()
        };
        let mut pass = Self {
            input,
            free_mb: input.engines.iter().map(free_mb).collect(),
            models_by_engine: input.engines.iter().map(|engine| engine.models.clone()).collect(),
            accepts_orders: input.engines.iter().map(|engine| engine.accepts_orders).collect(),
            copies,
            store_loads: input.store_loads_available,
            gains: Vec::new(),
        };
        pass.gains = (0..input.models.len()).map(|model| pass.gain(model)).collect();
        pass
    }

    fn next_move(&mut self) -> Option<Move> {
        loop {
            let model = self.model_with_highest_gain()?;
            match self.cheapest_move(model) {
                Some(chosen) => return Some(chosen),
                None => self.gains[model] = 0.0,
            }
        }
    }

    /// The model for which another copy has the highest gain.
    fn model_with_highest_gain(&self) -> Option<usize> {
        let gains = self.gains.iter().copied().zip(0..);
        gains
            .filter(|(gain, _)| *gain > 0.0)
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, model)| model)
    }

    /// Placement cost of `model` with `copies` copies. It never rises with the number of copies.
    fn placement_cost(&self, model: usize, copies: u32) -> f64 {
        if copies == 0 {
            self.no_copy_cost(model) + self.overload_cost(model, 1)
        } else {
            self.overload_cost(model, copies)
        }
    }

    /// Placement cost of a model without a copy in addition to that of one with a single copy.
    fn no_copy_cost(&self, model: usize) -> f64 {
        let needs = &self.input.models[model];
        let without_copy_s = needs.time_without_copy.as_secs_f64();
        if needs.requested {
            NO_COPY_COST + NO_COPY_COST_PER_LOAD * needs.load + NO_COPY_COST_PER_S * without_copy_s
        } else if self.copies[model] == 0 && needs.time_without_copy < self.input.settle_time {
            0.0
        } else {
            UNREQUESTED_COST - 0.0001 * f64::from(needs.rank)
        }
    }

    /// Placement cost of a model whose requests share `copies` copies.
    fn overload_cost(&self, model: usize, copies: u32) -> f64 {
        let load = self.input.models[model].load;
        let load_per_copy = (load / f64::from(copies)).min(COPY_LOAD_MAX);
        let overload = ((load_per_copy - OVERLOADED_COPY_LOAD) / OVERLOADED_COPY_LOAD).max(0.0);
        load * (overload + BUSY_COST * load_per_copy)
    }

    /// Reduction of placement cost by another copy of `model`.
    fn gain(&self, model: usize) -> f64 {
        let copies = self.copies[model];
        let reduction = self.placement_cost(model, copies) - self.placement_cost(model, copies + 1);
        if copies == 0 {
            return reduction;
        }
        let likelihood = 1.0 / f64::from(self.input.models[model].rank + 1);
        let second_copy_gain = SECOND_COPY_GAIN * likelihood / f64::from(copies * copies);
        reduction.max(second_copy_gain)
    }

    /// The move that adds a copy of `model` at the lowest cost.
    fn cheapest_move(&self, model: usize) -> Option<Move> {
        let size_mb = self.input.models[model].size_mb;
        // Such a small gain justifies no eviction.
        let needs_free_memory = self.gains[model] <= EVICTION_MARGIN;
        let copies_by_data_centre = self.copies_by_data_centre(model);
        (0..self.models_by_engine.len())
            .filter(|engine| self.accepts_orders[*engine])
            .filter(|engine| !needs_free_memory || self.free_mb[*engine] >= size_mb)
            .filter(|engine| !self.models_by_engine[*engine].contains(&model))
            .filter_map(|engine| self.evaluate_move(engine, model, &copies_by_data_centre))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, chosen)| chosen)
    }

    /// The move that loads `model` on `engine`, with its cost; `None` if it is impossible or not
    /// worthwhile.
    fn evaluate_move(
        &self,
        engine: usize,
        model: usize,
        copies_by_data_centre: &[u32],
    ) -> Option<(f64, Move)> {
        let gain = self.gains[model];
        let state = &self.input.engines[engine];
        let from_store = !state.local_weights.contains(&model);
        let held_back = usize::from(gain < LAST_STORE_LOAD_MIN_GAIN);
        if from_store && self.store_loads <= held_back {
            return None;
        }
        let size = |model: usize| self.input.models[model].size_mb;
        let mut free_mb = self.free_mb[engine];
        let mut evict = Vec::new();
        let mut eviction_cost = 0.0;
        while free_mb < size(model) {
            let (cost, cheapest_eviction) = self.cheapest_eviction(engine, &evict)?;
            free_mb += size(cheapest_eviction);
            eviction_cost += cost;
            evict.push(cheapest_eviction);
        }
        let is_worthwhile = evict.is_empty() || gain > eviction_cost + EVICTION_MARGIN;
        let store_cost = if from_store { STORE_LOAD_COST } else { 0.0 };
        let data_centre_cost =
            SAME_DATA_CENTRE_COST * f64::from(copies_by_data_centre[state.data_centre]);
        let cost = self.engine_load(engine) + store_cost + data_centre_cost + eviction_cost;
        let chosen = Move { engine, load: model, evict, from_store };
        is_worthwhile.then_some((cost, chosen))
    }

    /// Number of copies of `model` in each data centre.
    fn copies_by_data_centre(&self, model: usize) -> Vec<u32> {
        let engines = self.input.engines.iter().zip(&self.models_by_engine);
        let mut copies = Vec::new();
        for (state, models) in engines {
            if copies.len() <= state.data_centre {
                copies.resize(state.data_centre + 1, 0);
            }
            copies[state.data_centre] += u32::from(models.contains(&model));
        }
        copies
    }

    /// The model on `engine` whose eviction costs least, with that cost.
    fn cheapest_eviction(&self, engine: usize, evicted: &[usize]) -> Option<(f64, usize)> {
        let recently_loaded = &self.input.engines[engine].recently_loaded;
        self.models_by_engine[engine]
            .iter()
            .filter(|model| !evicted.contains(model) && !recently_loaded.contains(model))
            .map(|model| (self.eviction_cost(*model), *model))
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Increase of placement cost by the loss of one copy of `model`, with the cost of waiting for
    /// its running requests.
    fn eviction_cost(&self, model: usize) -> f64 {
        let copies = self.copies[model];
        let cost = self.placement_cost(model, copies - 1) - self.placement_cost(model, copies);
        let running = self.input.models[model].in_flight / f64::from(copies);
        cost + (RUNNING_REQUEST_COST * running).min(RUNNING_REQUEST_COST_MAX)
    }

    /// Load of an engine from the models that it holds.
    fn engine_load(&self, engine: usize) -> f64 {
        self.models_by_engine[engine]
            .iter()
            .map(|model| self.input.models[*model].load / f64::from(self.copies[*model].max(1)))
            .sum()
    }

    fn apply(&mut self, chosen: &Move) {
        let size_mb = |model: usize| self.input.models[model].size_mb;
        for evicted in &chosen.evict {
            self.copies[*evicted] -= 1;
            self.models_by_engine[chosen.engine].retain(|model| model != evicted);
            self.free_mb[chosen.engine] += size_mb(*evicted);
        }
        self.models_by_engine[chosen.engine].push(chosen.load);
        self.copies[chosen.load] += 1;
        self.free_mb[chosen.engine] -= size_mb(chosen.load);
        for model in chosen.evict.iter().chain([&chosen.load]) {
            // A model for which no move was found keeps a gain of zero unless it has just lost a
            // copy.
            self.gains[*model] = self.gain(*model);
        }
        self.accepts_orders[chosen.engine] = false;
        if chosen.from_store {
            self.store_loads -= 1;
        }
    }
}
