//! A model that requests wait for.

use {
    glade_types::ModelName,
    serde::{Deserialize, Serialize},
};

/// A model or adapter that a request waits for and that no engine holds which may run the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct WantedModel {
    /// The model or adapter.
    pub name: ModelName,
    /// Hash of the software version of the engines that may run the request; `None` if any may.
    pub software_version: Option<u32>,
}
