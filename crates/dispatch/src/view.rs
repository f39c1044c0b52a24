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
    pub near: bool,
    /// Models and adapters that it holds.
    pub holds: Arc<HashSet<ModelName>>,
    /// What other VMs have under way there.
    pub others: Load,
}

/// One consistent state of what the control thread believes.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The operators' configuration; `None` until the first is known.
    pub catalog: Option<Arc<Catalog>>,
    /// A later configuration is known to be in force elsewhere and isn't here yet.
    pub is_outdated: bool,
    /// All known backend servers.
    pub servers: Vec<ServerView>,
    /// When models that are being loaded are likely to be ready.
    pub arriving: HashMap<ModelName, Instant>,
    /// A coordinator decides on the starts of this VM's requests, as far as it answers.
    pub coordinated: bool,
    /// VMs that take requests, this one included; at least 1.
    pub live_vms: u32,
}
