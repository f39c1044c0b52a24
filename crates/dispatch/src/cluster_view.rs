//! The cluster state that the control thread publishes to the traffic thread.

use {
    crate::load::Load,
    glade_catalog::{Catalog, ServerRecord},
    glade_limit::NamedLimit,
    glade_quarantine::QuarantineView,
    glade_types::ModelName,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        sync::Arc,
        time::Instant,
    },
};

/// A backend server in a [`ClusterView`].
#[derive(Clone, Debug)]
pub struct ServerView {
    /// The server's own registry record.
    pub record: Arc<ServerRecord>,
    /// Whether the server accepts new requests.
    pub usable: bool,
    /// Whether the server is in this VM's data centre.
    pub same_data_centre: bool,
    /// Models and adapters that are loaded on the server.
    pub resident_models: Arc<HashSet<ModelName>>,
    /// Load that other VMs have reported for the server.
    pub other_vms_load: Load,
    /// Rate limit that the server names, as all VMs together know it.
    pub limit: Option<NamedLimit>,
}

/// A consistent snapshot of the control thread's state.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The operators' configuration; `None` until the first is known.
    pub catalog: Option<Arc<Catalog>>,
    /// True if a later configuration is in force elsewhere and has not reached this VM yet.
    pub catalog_is_outdated: bool,
    /// All known backend servers.
    pub servers: Vec<ServerView>,
    /// When models that are being loaded are expected to be ready, by the hash of the engine's software
    /// version.
    pub models_ready_at: HashMap<ModelName, BTreeMap<u32, Instant>>,
    /// True if a coordinator decides when and where this VM's requests start. Without an answer
    /// from it, this VM decides by itself.
    pub has_coordinator: bool,
    /// Number of VMs that take requests, including this one; at least 1.
    pub live_vms: u32,
    /// Position of this VM among these, from 0: another one on each.
    pub vm_position: u32,
    /// Number of VMs of the deployment, those that have fallen silent included. Bounds that hold over
    /// all VMs are shared out among these.
    pub known_vms: u32,
    /// Parts of prompts that crash engines.
    pub quarantine: Arc<QuarantineView>,
}
