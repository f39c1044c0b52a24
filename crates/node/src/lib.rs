//! The node daemon: everything that one VM runs between callers and backend servers.
//!
//! A node has two threads. The traffic thread serves callers, service discovery and readiness
//! checks. The control thread owns the node's state of configuration, backend servers and peers,
//! and publishes a view of it to the traffic thread. Neither thread waits for the other.

mod catalog_announcer;
mod catalog_fetch;
mod catch_up;
mod contact;
mod control;
mod control_metrics;
mod control_task;
mod control_thread;
mod demand_aggregator;
mod directory_handler;
mod endpoint_exchange;
mod engine_client;
mod event;
#[cfg(test)]
mod fixtures;
mod isolation;
mod known_nodes;
mod latest_report;
mod leadership;
mod leaf_digest;
mod leaf_registry;
mod lease;
mod lifecycle;
mod limit_exchange;
mod load_exchange;
mod mesh;
mod node;
mod node_discovery;
mod order_log;
mod order_right;
mod origin_store;
mod peer_message;
mod peer_network;
mod peer_prompt;
mod peers;
mod prompt_exchange;
mod published_state;
mod quarantine_exchange;
mod quarantine_store;
mod quota_exchange;
mod read_role;
mod registry;
mod registry_fetch;
mod registry_update;
mod reload;
mod reloader;
mod signals;
mod start_exchange;
mod status_page;
mod store_access;
mod store_health;
mod store_outage;
mod stream_exchange;
mod stream_store;
mod table_watcher;

pub use crate::{
    node::{Node, NodeError},
    signals::Signals,
};
