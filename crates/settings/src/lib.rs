//! Settings of the daemons, read from YAML and checked as a whole.
//!
//! Two steps: serde reads the text into raw structures that refuse unknown keys; then every value
//! and every pair of values that can contradict each other is checked. Nothing past this crate sees
//! an unchecked value.

mod error;
mod node_settings;
mod raw_node_settings;
mod raw_settings;
mod read_file;
mod settings;

pub use crate::{
    error::SettingsError,
    node_settings::{NodeListen, NodeSettings, NodeTiming, RetryLimits},
    settings::{DeploymentWeights, PacingLimits, PlatformAddrs, Settings, Timing, VmAddrs},
};
