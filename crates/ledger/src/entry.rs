//! Ledger entries: the memory that is reserved for one model at an engine, and the state of its load.

use {
    glade_engine::FencingToken,
    glade_types::{Bytes, ModelName},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Phase of an entry, set by the last load or unload decision and its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A load was decided, and the engine hasn't confirmed it.
    Loading,
    /// The engine confirmed a load.
    Resident,
    /// An unload was decided, and the memory isn't free yet.
    Unloading,
}

/// Entry of a model in the ledger. Its memory is reserved in every phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Reserved memory.
    pub memory_bytes: Bytes,
    /// Base model, for an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
    /// Current phase.
    pub phase: Phase,
    /// Whether the engine has had the model resident at some time in this incarnation.
    pub was_resident: bool,
    /// Tokens of loads that were committed and not answered. Each of these loads may still be carried
    /// out.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub open_loads: BTreeSet<FencingToken>,
}

impl Entry {
    /// True if the engine can be expected to serve the model, now or after the load in progress.
    pub fn is_resident_or_loading(&self) -> bool {
        self.phase != Phase::Unloading
    }
}
