//! Runs the real programs on loopback for tests: the stand-ins, and the daemons of several VMs.
//!
//! Needs the workspace's programs to be built; `make test` sees to that.

mod changed_catalog;
mod cluster;
mod ports;
mod programs;
pub mod site;

pub use crate::{
    changed_catalog::changed_catalog,
    cluster::{CREDENTIAL, Cluster, Reply},
    ports::PortBlock,
    programs::{Output, program, run_program},
};
