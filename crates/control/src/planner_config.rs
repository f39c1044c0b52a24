//! Identity and settings of one planner process.

use {
    glade_placement::PlacementPolicy,
    glade_types::{BackendId, DataCentre, GroupId, Incarnation, VmId, stable_hash},
    std::time::Duration,
};

/// Settings of a [`PlannerCore`](crate::PlannerCore).
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    /// VM on which the planner runs.
    pub vm: VmId,
    /// Incarnation of the planner's process.
    pub incarnation: Incarnation,
    /// Data centre of the planner.
    pub data_centre: DataCentre,
    /// Duration of a lease.
    pub lease_duration: Duration,
    /// Interval between lease renewals.
    pub lease_renew_interval: Duration,
    /// Age after which an engine's report is ignored.
    pub max_report_age: Duration,
    /// Longest delay until a change of an engine's resident models shows in its reports.
    pub max_report_lag: Duration,
    /// Loads of base models started per second over the whole deployment.
    pub loads_per_s: f64,
    /// Loads of base models in progress at the same time over the whole deployment.
    pub max_concurrent_loads: u32,
    /// Groups into which the engines of each data centre are divided.
    pub groups_per_data_centre: u32,
    /// Weights of the placement objective.
    pub policy: PlacementPolicy,
    /// Seed of the planner's random number generator.
    pub seed: u64,
}

impl PlannerConfig {
    /// Returns the group that an engine belongs to, which its name and data centre determine.
    pub fn group_of(&self, engine: &BackendId, data_centre: &DataCentre) -> GroupId {
        let idx = stable_hash(engine.as_str().as_bytes()) % u64::from(self.groups_per_data_centre);
        GroupId::new(&format!("{data_centre}.{idx}"))
    }
}
