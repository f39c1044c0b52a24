//! A row of the configuration table, which describes one model, adapter or plain service.

use {
    glade_types::{Bytes, ModelName, Priority},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// What a row describes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RowKind {
    /// A base model that engines load.
    Model,
    /// An adapter, which needs its base model resident on the same engine.
    Adapter {
        /// Name of the base model's row.
        base: ModelName,
    },
    /// A plain service, provided by backend servers that carry the same name.
    Service,
}

impl fmt::Display for RowKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Model => "model",
            Self::Adapter { .. } => "adapter",
            Self::Service => "service",
        })
    }
}

/// Limits on the requests for one row, over the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Maximum number of requests in flight at once; zero means no limit.
    pub concurrency: u32,
    /// Maximum number of requests started per second; zero means no limit.
    pub rate_per_s: u32,
}

/// Service-level targets for the latency of a row's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Targets {
    /// Maximum time to the first token, or to the answer of a plain service.
    pub first_token: Duration,
    /// Maximum time between two consecutive tokens.
    pub between_tokens: Duration,
}

/// One row of the configuration table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Row {
    /// Name of the model, adapter or service; unique within the table.
    pub name: ModelName,
    /// What the row describes.
    pub kind: RowKind,
    /// Accelerator memory that one resident copy takes; zero for a service.
    pub memory_bytes: Bytes,
    /// Priority of requests that don't state their own.
    pub priority: Priority,
    /// Relative importance when capacity doesn't suffice for all requests; at least 1.
    pub weight: u32,
    /// Request limits.
    pub limits: Limits,
    /// Service-level targets for latency.
    pub targets: Targets,
    /// Whether a call with an unknown outcome may be run again.
    pub idempotent: bool,
}

impl Row {
    /// Returns the base model that must be resident on the same engine, if the row is an adapter.
    pub fn base(&self) -> Option<&ModelName> {
        match &self.kind {
            RowKind::Adapter { base } => Some(base),
            RowKind::Model | RowKind::Service => None,
        }
    }

    /// Returns true if the row occupies accelerator memory.
    pub fn is_loadable(&self) -> bool {
        self.kind != RowKind::Service
    }
}
