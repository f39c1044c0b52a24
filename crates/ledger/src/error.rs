//! Errors of the ledger: the reasons for which it rejects a load or unload.

use {
    glade_types::{Bytes, ModelName},
    std::fmt,
};

/// Reason for which a load or unload was rejected. The ledger was not changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerError {
    /// The model doesn't fit into the free memory.
    NoMemory {
        /// Memory that the model needs in addition to what is reserved for it.
        needed_bytes: Bytes,
        /// Memory that isn't reserved.
        free_bytes: Bytes,
    },
    /// The base model of the adapter, named here, isn't resident.
    BaseMissing(ModelName),
    /// An adapter still needs this base model.
    BaseInUse(ModelName),
    /// The ledger has no entry for this model.
    NoEntry(ModelName),
    /// This model is already resident.
    AlreadyResident(ModelName),
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoMemory { needed_bytes, free_bytes } => {
                write!(f, "needs {needed_bytes} bytes but only {free_bytes} are free")
            }
            Self::BaseMissing(base) => write!(f, "base model {base} isn't resident"),
            Self::BaseInUse(model) => write!(f, "an adapter still needs base model {model}"),
            Self::NoEntry(model) => write!(f, "model {model} has no entry"),
            Self::AlreadyResident(model) => write!(f, "model {model} is resident already"),
        }
    }
}

impl std::error::Error for LedgerError {}
