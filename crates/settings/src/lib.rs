//! Settings of the daemons, parsed from YAML and validated as a whole.
//!
//! Parsing has two steps. First, serde deserializes the text into raw structures that reject unknown
//! keys. Then every value is validated, and every pair of values that can contradict each other. Other
//! crates only get validated values.

mod error;
mod node_settings;
mod raw_node_settings;
mod raw_settings;
mod read_file;
mod settings;
mod vm_limits;

pub use crate::{
    error::SettingsError,
    node_settings::{NodeListen, NodeSettings, NodeTiming, RetryLimits},
    settings::{DeploymentWeights, PacingLimits, PlatformAddrs, Settings, Timing, VmAddrs},
    vm_limits::VmLimits,
};
