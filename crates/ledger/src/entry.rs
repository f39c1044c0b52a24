//! A model's share of an engine's memory.

use {
    glade_engine::FencingToken,
    glade_types::{Bytes, ModelName},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// What the last decision about an entry was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A load was decided and isn't confirmed.
    Loading,
    /// The engine confirmed a load.
    Resident,
    /// An unload was decided; the memory isn't free yet.
    Unloading,
}

/// A model's entry in the ledger. Its memory is reserved in every phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Reserved memory.
    pub memory_bytes: Bytes,
    /// Base model, for an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
    /// What was decided last.
    pub phase: Phase,
    /// Whether the engine has held the model at some time in this incarnation.
    pub was_resident: bool,
    /// Loads that were committed and aren't answered; each may still land.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub open_loads: BTreeSet<FencingToken>,
}

impl Entry {
    /// True if the engine can be expected to serve the model now or after the load under way.
    pub fn is_resident_or_loading(&self) -> bool {
        self.phase != Phase::Unloading
    }
}
