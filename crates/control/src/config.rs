//! Identity and tuning of one planner.

use {
    glade_placement::PlacementPolicy,
    glade_types::{BackendId, DataCentre, GroupId, Incarnation, VmId, stable_hash},
    std::time::Duration,
};

/// Everything that tells one planner from another.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// VM of the planner.
    pub vm: VmId,
    /// Incarnation of the planner's process.
    pub incarnation: Incarnation,
    /// Data centre of the planner.
    pub data_centre: DataCentre,
    /// Duration of a lease.
    pub lease: Duration,
    /// Period of lease renewals.
    pub lease_renew: Duration,
    /// Age after which an engine's report no longer counts.
    pub report_stale: Duration,
    /// Longest lag of an engine's report about its residents.
    pub report_lag: Duration,
    /// Loads of base models started per second over the whole deployment.
    pub loads_per_s: f64,
    /// Loads of base models under way at once over the whole deployment.
    pub loads_at_once: u32,
    /// Groups into which the engines of each data centre are divided.
    pub groups_per_data_centre: u32,
    /// What the deployment values.
    pub policy: PlacementPolicy,
    /// Seed of the planner's random source.
    pub seed: u64,
}

impl ControlConfig {
    /// The group that an engine belongs to; fixed by its name and data centre.
    pub fn group_of(&self, engine: &BackendId, data_centre: &DataCentre) -> GroupId {
        let idx = stable_hash(engine.as_str().as_bytes()) % u64::from(self.groups_per_data_centre);
        GroupId::new(&format!("{data_centre}.{idx}"))
    }
}
