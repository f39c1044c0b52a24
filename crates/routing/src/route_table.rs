//! The immutable snapshot of engines and servers that traffic threads route by.

use {
    crate::{limiter::Limiter, server_counters::ServerCounters},
    glade_table::Table,
    glade_types::{BackendId, Incarnation, ModelName},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// A model engine in the route table.
#[derive(Clone, Debug)]
pub struct EngineEntry {
    /// Name of the engine.
    pub id: BackendId,
    /// Address at which the engine listens.
    pub addr: SocketAddr,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Key for [`crate::PrefixAffinity`], constant for the engine.
    pub key: u16,
    /// One-way network latency to the engine's data centre.
    pub one_way_latency: Duration,
    /// Slots in the engine's batch.
    pub slots: u32,
    /// Requests running and waiting in the last report.
    pub reported_requests: u32,
    /// Requests of this VM in flight at the engine when the report arrived.
    pub in_flight_at_report: u32,
    /// Mean duration of a request at the engine.
    pub mean_request: Duration,
    /// Whether the engine may get new requests.
    pub usable: bool,
    /// Counters that outlive this table.
    pub counters: Arc<ServerCounters>,
}

/// A server of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Name of the server.
    pub id: BackendId,
    /// Address at which the server listens.
    pub addr: SocketAddr,
    /// One-way network latency to the server's data centre.
    pub one_way_latency: Duration,
    /// Whether the server may get new requests.
    pub usable: bool,
    /// Counters that outlive this table.
    pub counters: Arc<ServerCounters>,
}

/// A snapshot of the state that requests are routed by.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The operators' table in force.
    pub table: Arc<Table>,
    /// All engines.
    pub engines: Vec<EngineEntry>,
    /// Positions in `engines` of the engines that hold each model or adapter.
    pub holders: Arc<HashMap<ModelName, Vec<u32>>>,
    /// Servers of each plain service.
    pub services: Arc<HashMap<ModelName, Vec<ServiceEntry>>>,
    /// This VM's limits of each row.
    pub limiters: Arc<HashMap<ModelName, Arc<Limiter>>>,
    /// Entry VMs that send to the same engines, including this one.
    pub entry_count: u32,
    /// Whether this VM accepts new requests.
    pub accepts_work: bool,
}
