//! A row of the table.

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
    /// An adapter that needs its base model on the same engine.
    Adapter {
        /// Name of the base model's row.
        base: ModelName,
    },
    /// A plain service, served by servers of the same name.
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

/// Bounds on the work that one row may take, over the whole deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Limits {
    /// Most requests under way at once; zero is no limit.
    pub concurrency: u32,
    /// Most requests started per second; zero is no limit.
    pub rate_per_s: u32,
}

/// Service-level targets of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Targets {
    /// Longest time to the first token, or to the answer of a plain service.
    pub first_token: Duration,
    /// Longest time between two tokens.
    pub between_tokens: Duration,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Row {
    /// Key of the row.
    pub name: ModelName,
    /// What the row describes.
    pub kind: RowKind,
    /// Accelerator memory that one residence takes; zero for a service.
    pub memory_bytes: Bytes,
    /// Priority of requests that don't state their own.
    pub priority: Priority,
    /// Relative importance when not everything can be served; at least 1.
    pub weight: u32,
    /// Bounds on the row's work.
    pub limits: Limits,
    /// Service-level targets.
    pub targets: Targets,
    /// Whether a call may be run again when its outcome is unknown.
    pub idempotent: bool,
}

impl Row {
    /// The base model that must be resident beside this row, if any.
    pub fn base(&self) -> Option<&ModelName> {
        match &self.kind {
            RowKind::Adapter { base } => Some(base),
            RowKind::Model | RowKind::Service => None,
        }
    }

    /// True for rows that occupy accelerator memory.
    pub fn is_loadable(&self) -> bool {
        self.kind != RowKind::Service
    }
}
