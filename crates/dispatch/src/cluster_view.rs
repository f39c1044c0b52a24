//! What the control thread believes, as traffic sees it.

use {
    crate::load::Load,
    glade_catalog::{Catalog, ServerRecord},
    glade_types::ModelName,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Instant,
    },
};

/// A backend server as traffic sees it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// What it says of itself.
    pub record: Arc<ServerRecord>,
    /// Whether it takes new work.
    pub usable: bool,
    /// Whether it is in this VM's data centre.
    pub same_data_centre: bool,
    /// Models and adapters that it holds.
    pub resident_models: Arc<HashSet<ModelName>>,
    /// What other VMs have under way there.
    pub other_vms_load: Load,
}

/// One consistent state of what the control thread believes.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The operators' configuration; `None` until the first is known.
    pub catalog: Option<Arc<Catalog>>,
    /// A later configuration is known to be in force elsewhere and isn't here yet.
    pub catalog_is_outdated: bool,
    /// All known backend servers.
    pub servers: Vec<ServerView>,
    /// When models that are being loaded are likely to be ready.
    pub models_ready_at: HashMap<ModelName, Instant>,
    /// A coordinator decides on the starts of this VM's requests, as far as it answers.
    pub has_coordinator: bool,
    /// VMs that take requests, this one included; at least 1.
    pub live_vms: u32,
}
