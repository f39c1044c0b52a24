//! Input and output of a placement pass.

use {
    glade_ledger::Ledger,
    glade_table::Table,
    glade_types::{BackendId, ModelName},
    std::collections::{HashMap, HashSet},
};

/// An engine of the group.
#[derive(Clone, Copy, Debug)]
pub struct EngineInput<'a> {
    /// The engine's ledger.
    pub ledger: &'a Ledger,
    /// Whether it may get new work: it has reported recently and is not leaving.
    pub usable: bool,
    /// Running and waiting requests per slot of the batch.
    pub utilization: f64,
    /// Slots of the batch.
    pub slots: u32,
}

/// Demand for one row, summed over the entries of the group's data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Mean number of requests in flight.
    pub in_flight: f64,
    /// Requests per second that miss their latency objective or are refused.
    pub missed_per_s: f64,
}

/// Residences of a row on engines outside the group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExternalResidences {
    /// Number of residences.
    pub count: u32,
    /// Utilization of the least loaded of their engines.
    pub least_utilization: f64,
}

/// Weights of the deployment and thresholds for further copies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Value of one request that meets its latency objective.
    pub attainment_weight: f64,
    /// Cost of one move of an adapter, in the unit of `attainment_weight`.
    pub move_weight: f64,
    /// Cost of one move of a base model, in moves of an adapter.
    pub base_move_factor: f64,
    /// Utilization of the least loaded residence above which a further copy is considered.
    pub overload_utilization: f64,
    /// Utilization below which an engine may receive a further copy.
    pub spare_utilization: f64,
    /// Seconds for which the present demand is expected to last.
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

/// State of one group.
#[derive(Debug)]
pub struct PlacementInput<'a> {
    /// The table in force.
    pub table: &'a Table,
    /// Engines of the group.
    pub engines: Vec<EngineInput<'a>>,
    /// Rows for which this group has to provide a residence.
    pub required: HashSet<&'a ModelName>,
    /// Usable residences outside the group, by row.
    pub external: HashMap<&'a ModelName, ExternalResidences>,
    /// Demand by row.
    pub demand: HashMap<ModelName, ModelDemand>,
    /// Weights and thresholds.
    pub policy: PlacementPolicy,
}

/// One step towards the target placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Move {
    /// Load the model on the engine.
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
    /// The engine that the move concerns.
    pub fn engine(&self) -> &BackendId {
        match self {
            Self::Load { engine, .. } | Self::Unload { engine, .. } => engine,
        }
    }
}
