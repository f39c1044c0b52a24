//! Why the ledger refuses a decision.

use {
    glade_types::{Bytes, ModelName},
    std::fmt,
};

/// A decision that would break a rule of the ledger. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerError {
    /// The model doesn't fit.
    NoMemory {
        /// Memory needed.
        needed_bytes: Bytes,
        /// Memory not reserved.
        free_bytes: Bytes,
    },
    /// The base model of the adapter isn't resident.
    BaseMissing(ModelName),
    /// Adapters still need this base model.
    BaseInUse(ModelName),
    /// The ledger has no such entry.
    NoEntry(ModelName),
    /// The model is resident already.
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
