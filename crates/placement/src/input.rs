//! What a placement pass sees and what it returns.

use {
    glade_ledger::Ledger,
    glade_table::Table,
    glade_types::{BackendId, ModelName},
    std::collections::{HashMap, HashSet},
};

/// An engine of the group.
#[derive(Clone, Copy, Debug)]
pub struct EngineInput<'a> {
    /// Its ledger.
    pub ledger: &'a Ledger,
    /// Whether it may get new work: reported lately and not leaving.
    pub usable: bool,
    /// Requests in the batch and waiting, for each place in the batch.
    pub utilization: f64,
    /// Places in the batch.
    pub slots: u32,
}

/// Demand for one row, over the entries of the group's data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Mean number of requests under way.
    pub in_flight: f64,
    /// Requests per second that miss their need or are refused.
    pub missed_per_s: f64,
}

/// Residences of a row outside the group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExternalResidences {
    /// How many there are.
    pub count: u32,
    /// Utilization of the least loaded of their engines.
    pub least_utilization: f64,
}

/// What the deployment values, and when a copy is worth making.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Worth of one request that meets its need.
    pub attainment_weight: f64,
    /// Cost of one move of an adapter, in the same unit.
    pub move_weight: f64,
    /// Moves of an adapter that one move of a base model counts for.
    pub base_move_factor: f64,
    /// Utilization of the least loaded residence above which a copy is considered.
    pub overload_utilization: f64,
    /// Utilization below which an engine is a target for a copy.
    pub spare_utilization: f64,
    /// Seconds for which the demand of now is expected to last.
    pub horizon_s: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            attainment_weight: 1.0,
            move_weight: 0.1,
            base_move_factor: 10.0,
            overload_utilization: 0.75,
            spare_utilization: 0.6,
            horizon_s: 3.0,
        }
    }
}

/// The view of one group.
#[derive(Debug)]
pub struct PlacementInput<'a> {
    /// The table in force.
    pub table: &'a Table,
    /// Engines of the group.
    pub engines: Vec<EngineInput<'a>>,
    /// Rows of which this group owes a residence.
    pub required: HashSet<&'a ModelName>,
    /// Usable residences outside the group, by row.
    pub external: HashMap<&'a ModelName, ExternalResidences>,
    /// Demand by row.
    pub demand: HashMap<ModelName, ModelDemand>,
    /// What the deployment values.
    pub policy: PlacementPolicy,
}

/// One step towards the wanted placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// Load the model to the engine.
    Load {
        /// The engine.
        engine: BackendId,
        /// The model or adapter.
        model: ModelName,
    },
    /// Unload the model from the engine.
    Unload {
        /// The engine.
        engine: BackendId,
        /// The model or adapter.
        model: ModelName,
    },
}

impl Move {
    /// The engine concerned.
    pub fn engine(&self) -> &BackendId {
        match self {
            Self::Load { engine, .. } | Self::Unload { engine, .. } => engine,
        }
    }
}
