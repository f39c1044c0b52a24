//! Services: named sets of backend servers that requests are routed to.

use {
    crate::engine_class::EngineClass,
    glade_types::ServiceName,
    serde::{Deserialize, Serialize},
};

/// A set of interchangeable backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one server accepts, summed over all VMs.
    pub connection_limit: u32,
    /// Capacity and models of the servers, if they are model engines.
    pub engine_class: Option<EngineClass>,
}
