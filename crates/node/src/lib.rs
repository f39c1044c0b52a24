//! The node daemon: everything that one VM runs between callers and backend servers.
//!
//! Two threads share the work. The traffic thread serves callers, the directory and the readiness
//! question; the control thread owns what the node believes about configuration, backend servers
//! and peers, and tells traffic by publishing a view. Neither waits for the other.

mod control;
mod demand_pool;
mod entrance_exchange;
mod event;
#[cfg(test)]
mod fixtures;
mod front_desk;
mod latest_report;
mod leaf_digest;
mod leaf_registry;
mod lease;
mod load_exchange;
mod mesh;
mod node;
mod node_discovery;
mod order_desk;
mod orders;
mod peer_message;
mod peers;
mod post;
mod prompt_exchange;
mod published;
mod read_role;
mod registry;
mod registry_update;
mod reload;
mod reloader;
mod standing;
mod start_exchange;
mod status_page;
mod store_health;
mod table_watcher;
mod told_prompt;
mod work;

pub use crate::node::{Node, NodeError};
