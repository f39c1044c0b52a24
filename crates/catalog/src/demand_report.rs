//! Per-model demand that one VM measures and reports, as input to the placement of models.

use {
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Demand for one model or adapter on one VM since that VM's previous report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ModelDemand {
    /// The model or adapter.
    pub model: ModelName,
    /// Requests received for the model or adapter.
    pub requests: u32,
    /// Total prompt tokens of the requests received.
    pub prompt_tokens: u64,
    /// Requests that are in flight or queued at the time of the report.
    pub in_flight: u32,
}

/// Demand for all models on one VM since that VM's previous report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct DemandReport {
    /// Length of the time that the report covers.
    #[serde(rename = "over")]
    pub interval: Duration,
    /// Every model or adapter that was requested in the interval or has requests in flight.
    pub models: Vec<ModelDemand>,
}
