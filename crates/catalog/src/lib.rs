//! Data types for the operators' configuration, the registry of backend servers and engine orders.
//!
//! * [`Catalog`] is one version of the operators' configuration: routes, services, teams
//!   and the models that may be loaded on engines.
//! * [`Team`] is a set of callers that authenticate with the team's keys; [`TeamCatalog`] is the form
//!   in which a configuration with teams is sent to other nodes.
//! * [`ServerRecord`] is the record that a backend server publishes in the platform's registry, which
//!   serves for service discovery.
//! * [`EngineOrder`] tells one engine to load or unload a model; [`EngineReport`] is an engine's status.
//! * [`RequestMetadata`] is what a caller sends with one request besides the body, such as a deadline.
//! * [`DemandReport`] is the demand for models that one VM measured.
//!
//! This crate does no I/O and contains no policy. The platform adapter converts these types to and
//! from the platform's formats.

mod adapter_name;
mod bounds;
mod caller_limits;
mod catalog;
mod demand_report;
mod engine_class;
mod engine_order;
mod record_error;
mod request_metadata;
mod route;
mod server_record;
mod service;
mod team;
mod team_catalog;
mod team_key;
mod wanted_model;

pub use crate::{
    adapter_name::{base_model_of, is_adapter, is_adapter_of},
    bounds::DURATION_MAX,
    caller_limits::CallerLimits,
    catalog::Catalog,
    demand_report::{DemandReport, ModelDemand},
    engine_class::{EngineClass, ModelSpec},
    engine_order::{EngineOrder, EngineReport, OrderAnswer, OrderKind},
    record_error::RecordError,
    request_metadata::{PromptPart, RequestMetadata},
    route::{RetryPolicy, Route, WeightedService},
    server_record::{Residence, ServerKey, ServerRecord, ServerState},
    service::Service,
    team::{Quota, QuotaUnit, Team},
    team_catalog::TeamCatalog,
    team_key::TeamKey,
    wanted_model::WantedModel,
};
