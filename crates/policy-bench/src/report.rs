//! What a run came to.

use serde::Serialize;

/// One line of the bench.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Deployment.
    pub deployment: String,
    /// Scenario.
    pub scenario: String,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Offered load, in requests per second.
    pub rate_per_s: f64,
    /// Requests in the measured time.
    pub requests: u64,
    /// Share of them that met their need.
    pub attainment: f64,
    /// Accelerators.
    pub accelerators: u32,
    /// Attainment for each accelerator, in thousandths.
    pub attainment_per_accelerator: f64,
    /// Loads of models and adapters.
    pub moves: u64,
    /// 95th percentile of the time to the first token of urgent requests that were served.
    pub urgent_ttft_p95_ms: u64,
    /// Share of urgent requests that met their need.
    pub urgent_attainment: f64,
    /// Patient requests that hadn't ended when the run did.
    pub patient_unfinished: u64,
    /// Refusals of requests that weren't run.
    pub refused_true: u64,
    /// Refusals of requests that were run.
    pub refused_false: u64,
}
