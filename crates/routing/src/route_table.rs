//! The immutable view that traffic threads route by.

use {
    crate::{limiter::Limiter, server_counters::ServerCounters},
    glade_table::Table,
    glade_types::{BackendId, Incarnation, ModelName},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// A model engine as routing sees it.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Its name.
    pub id: BackendId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Key for [`crate::PrefixAffinity`], stable for the engine.
    pub key: u16,
    /// One-way time to its data centre.
    pub one_way_latency: Duration,
    /// Places in its batch.
    pub slots: u32,
    /// Requests running and waiting when last reported.
    pub reported_requests: u32,
    /// Requests of this VM under way there when the report was read.
    pub in_flight_at_report: u32,
    /// Mean time of a request there.
    pub mean_request: Duration,
    /// Whether it may get new work.
    pub usable: bool,
    /// Counters that outlive this view.
    pub counters: Arc<ServerCounters>,
}

/// A server of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Its name.
    pub id: BackendId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// One-way time to its data centre.
    pub one_way_latency: Duration,
    /// Whether it may get new work.
    pub usable: bool,
    /// Counters that outlive this view.
    pub counters: Arc<ServerCounters>,
}

/// The view of one moment.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The operators' table in force.
    pub table: Arc<Table>,
    /// All engines.
    pub engines: Vec<EngineEntry>,
    /// Positions in `engines` of those that hold each model or adapter.
    pub holders: Arc<HashMap<ModelName, Vec<u32>>>,
    /// Servers of each plain service.
    pub services: Arc<HashMap<ModelName, Vec<ServiceEntry>>>,
    /// Limits of each row on this VM.
    pub limiters: Arc<HashMap<ModelName, Arc<Limiter>>>,
    /// Entry VMs that send to the same engines, this one included.
    pub entry_count: u32,
    /// Whether this VM takes new work.
    pub accepts_work: bool,
}
