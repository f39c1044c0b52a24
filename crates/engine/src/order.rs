//! Orders to engines and their outcomes.

use {
    glade_types::{BackendId, Bytes, Incarnation, ModelName},
    serde::{Deserialize, Serialize},
};

/// Number that grows with every order to an engine; an engine that enforces fencing refuses an
/// order whose token isn't higher than the highest one it has accepted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Make the model resident.
    Load {
        /// Memory it takes.
        memory_bytes: Bytes,
        /// Base model, for an adapter.
        base: Option<ModelName>,
    },
    /// Give up the model's memory.
    Unload,
}

/// One order to one incarnation of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The engine.
    pub engine: BackendId,
    /// The incarnation it is meant for.
    pub incarnation: Incarnation,
    /// The order's fencing token, which identifies it among the orders to this engine.
    pub token: FencingToken,
    /// The model concerned.
    pub model: ModelName,
    /// What is asked for.
    pub kind: OrderKind,
}

/// Why an engine didn't carry out an order. It has had no effect and will have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The fencing token is old.
    StaleToken,
    /// The model doesn't fit into the memory that is left.
    NoMemory,
    /// The base model isn't resident.
    BaseMissing,
    /// Any other reason.
    Other,
}

/// What is known about an order after it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine has carried it out.
    Done,
    /// The engine has refused it for good.
    Refused(Refusal),
    /// Proved not delivered: no connection to that incarnation came about.
    NotSent,
    /// No answer came; it may still be carried out.
    Unknown,
}
