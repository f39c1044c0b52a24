//! Orders to load or unload a model at an engine, and their outcomes.

use {
    glade_types::{BackendId, Bytes, Incarnation, ModelName},
    serde::{Deserialize, Serialize},
};

/// Number that increases with every order to an engine. An engine that enforces fencing refuses an
/// order whose token isn't higher than the highest token that the engine has accepted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Operation that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the model into accelerator memory.
    Load {
        /// Memory that the model occupies.
        memory_bytes: Bytes,
        /// Base model, for an adapter.
        base: Option<ModelName>,
    },
    /// Unload the model and free its memory.
    Unload,
}

/// One order to one incarnation of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Order {
    /// The engine.
    pub engine: BackendId,
    /// Incarnation of the engine to which the order is addressed.
    pub incarnation: Incarnation,
    /// Fencing token, which identifies the order among all orders to this engine.
    pub token: FencingToken,
    /// The model to load or unload.
    pub model: ModelName,
    /// The requested operation.
    pub kind: OrderKind,
}

/// Reason for which an engine refused an order. A refused order has had no effect and will have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The fencing token isn't higher than the highest token that the engine has accepted.
    StaleToken,
    /// The model doesn't fit into the free memory.
    NoMemory,
    /// The base model isn't resident.
    BaseMissing,
    /// Any other reason.
    Other,
}

/// Outcome of an order, as far as the sender can determine it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine has carried out the order.
    Done,
    /// The engine has refused the order and won't carry it out later.
    Refused(Refusal),
    /// The order was certainly not delivered: no connection to its incarnation was established.
    NotSent,
    /// The engine didn't answer; the order may have been carried out, or may still be.
    Unknown,
}
