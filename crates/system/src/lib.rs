//! Runs the real programs on loopback for tests: the stand-ins, and the daemons of several VMs.
//!
//! Needs the workspace's programs to be built; `make test` sees to that.

mod changed_catalog;
mod cluster;
mod programs;
pub mod site;

pub use crate::{
    changed_catalog::changed_catalog,
    cluster::{CREDENTIAL, Cluster, Reply},
    programs::{Output, program, run_program},
};
