//! What nodes send each other.

use {
    crate::{
        control_metrics::ControlMetrics, leaf_digest::LeafDigest, mesh::MeshTopology,
        peer_prompt::PeerPrompt, published_state::CallerEndpoints, registry_update::RegistryUpdate,
        store_health::StoreStatus,
    },
    glade_catalog::{Catalog, DemandReport, ServerKey},
    glade_dispatch::{ServerLoad, StartEvent, StartReply, StartRequest},
    glade_platform::Revision,
    glade_residency::EngineDigest,
    glade_types::{DataCentre, Incarnation, ModelName, VmId, stable_hash},
    glade_wire::{WireError, frame},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A node and how to reach it. Also its row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PeerInfo {
    /// Its VM.
    pub(crate) vm: VmId,
    /// Its process; differs from one start to the next.
    pub(crate) incarnation: Incarnation,
    /// Where it hears other nodes.
    pub(crate) peers: SocketAddr,
    /// Where it serves callers.
    pub(crate) callers: SocketAddr,
    /// Its data centre.
    pub(crate) data_centre: DataCentre,
    /// Its share of a processor core, in thousandths.
    pub(crate) cpu_millis: u32,
}

impl PeerInfo {
    /// Mark of the process in parcels; two have the same one with a chance of one in 2^64.
    pub(crate) fn process_hash(&self) -> u64 {
        let name = format!("{} {}", self.vm, self.incarnation.0);
        stable_hash(name.as_bytes())
    }
}

/// A node's claim to be the one that gives orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct HolderClaim {
    /// Number of the lease's acquisition.
    pub(crate) epoch: u64,
    /// Revision of the lease's row after the latest renewal.
    pub(crate) revision: Revision,
}

/// Of how many nodes a message tells the loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LoadScope {
    /// The sender's own.
    Own,
    /// The sum over the sender's data centre.
    DataCentre,
    /// The sum over all nodes.
    All,
}

/// A node's sign of life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Heartbeat {
    /// Grows with every beat of a process.
    pub(crate) seq: u64,
    /// Highest number heard from the receiver.
    #[serde(rename = "heard_seq")]
    pub(crate) acked_seq: u64,
    /// It is a core of its data centre.
    pub(crate) core: bool,
    /// Whether all nodes talk to all.
    pub(crate) mesh_size: MeshTopology,
    /// Whether it takes new callers.
    pub(crate) serving: bool,
    /// Version of the configuration in force there; 0 if none.
    pub(crate) catalog_version: u64,
    /// Set if it holds the lease for giving orders.
    pub(crate) holder: Option<HolderClaim>,
    /// Latest epoch of the lease that it has given up without the store's help; 0 if none.
    pub(crate) resigned_epoch: u64,
    /// What it knows of the store.
    pub(crate) store: StoreStatus,
    /// It can't renew the lease and asks whether others reach the store.
    #[serde(rename = "doubts_store")]
    pub(crate) requests_store_probe: bool,
    /// It reads the registry and the configuration from the store and tells others.
    #[serde(rename = "reads")]
    pub(crate) reads_tables: bool,
    /// Revision of the registry up to which it knows everything.
    pub(crate) registry_revision: Revision,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerMessage {
    /// Who sends the parcel. Goes with signs of life and to nodes that may not know the sender.
    Introduction(PeerInfo),
    /// A sign of life.
    #[serde(rename = "beat")]
    Heartbeat(Heartbeat),
    /// What nodes have under way now.
    Loads {
        /// Of which nodes.
        scope: LoadScope,
        /// Server by server.
        loads: Vec<ServerLoad>,
    },
    /// Prompts that nodes have just sent.
    Prompts(Vec<PeerPrompt>),
    /// Callers' ports of the nodes that take callers, as the sender's data centre sees them.
    #[serde(rename = "entrances")]
    CallerEndpoints(CallerEndpoints),
    /// Nodes that the sender knows.
    Nodes(Vec<PeerInfo>),
    /// Changes of the registry, or all of it.
    Registry(RegistryUpdate),
    /// Asks for the whole registry.
    RegistryWanted,
    /// Asks for the configuration that is in force at the receiver.
    CatalogWanted,
    /// The configuration in force at the sender.
    #[serde(rename = "catalog_is")]
    Catalog(Box<Catalog>),
    /// What the sender, and those it speaks for, saw of demand; on its way to the holder of the lease.
    Demand(DemandReport),
    /// Somebody waits for a model that is nowhere; on its way to the holder of the lease.
    #[serde(rename = "wish")]
    ModelWanted(ModelName),
    /// A backend server's process is gone.
    ServerGone(ServerKey),
    /// The receiver is to find servers for requests.
    #[serde(rename = "start_wanted")]
    StartRequests(Vec<StartRequest>),
    /// What is to become of requests that the receiver has asked about.
    #[serde(rename = "starts")]
    StartReplies(Vec<StartReply>),
    /// What has become of requests whose starts the receiver has decided on.
    StartEvents(Vec<StartEvent>),
    /// A backend server has told the sender that it is about to end.
    ServerLeaving(ServerKey),
    /// What engines hold, from the holder of the lease.
    Residents {
        /// Number of the lease's acquisition.
        epoch: u64,
        /// Engines that changed, or all of them.
        engines: Vec<EngineDigest>,
    },
    /// The same, for leaves.
    LeafResidents {
        /// Number of the lease's acquisition.
        epoch: u64,
        /// Engines that changed, or all of them.
        engines: Vec<LeafDigest>,
    },
    /// Asks a core for the nodes that take callers.
    #[serde(rename = "entrances_wanted")]
    CallerEndpointsWanted,
}

impl PeerMessage {
    /// True if it asks for no decision before the next tick.
    fn is_routine(&self) -> bool {
        matches!(
            self,
            Self::Introduction(_)
                | Self::Heartbeat(_)
                | Self::Loads { .. }
                | Self::Prompts(_)
                | Self::Demand(_)
                | Self::Nodes(_)
                | Self::CallerEndpoints(_)
                | Self::CallerEndpointsWanted
                | Self::StartRequests(_)
                | Self::StartReplies(_)
                | Self::StartEvents(_)
        )
    }

    /// Position of the message's kind in [`crate::control_metrics::MESSAGE_KINDS`].
    pub(crate) fn kind(&self) -> usize {
        match self {
            Self::Introduction(_) => 13,
            Self::Heartbeat(_) => 0,
            Self::Loads { .. } => 1,
            Self::Prompts(_) => 2,
            Self::CallerEndpoints(_) => 3,
            Self::Nodes(_) => 4,
            Self::Registry(_) => 5,
            Self::RegistryWanted => 6,
            Self::CatalogWanted => 7,
            Self::Catalog(_) => 8,
            Self::Demand(_) => 9,
            Self::ModelWanted(_) => 10,
            Self::ServerGone(_) => 11,
            Self::Residents { .. } => 12,
            Self::LeafResidents { .. } => 14,
            Self::ServerLeaving(_) => 15,
            Self::StartRequests(_) => 16,
            Self::StartReplies(_) => 17,
            Self::StartEvents(_) => 18,
            Self::CallerEndpointsWanted => 19,
        }
    }
}

/// Messages of one sender that arrived together.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerBatch {
    /// Mark of the sender.
    pub(crate) sender_hash: u64,
    pub(crate) messages: Vec<PeerMessage>,
}

impl PeerBatch {
    /// Decodes a parcel, and counts what it holds.
    ///
    /// # Errors
    ///
    /// The bytes have another version or aren't a parcel.
    pub(crate) fn decode(
        bytes: &[u8],
        control_metrics: &ControlMetrics,
    ) -> Result<Self, WireError> {
        let (sender_hash, parts) = frame::decode_parcel::<u64, PeerMessage>(bytes)?;
        control_metrics.on_batch_received(bytes.len());
        let count = |(message, length): (PeerMessage, usize)| {
            control_metrics.on_received(message.kind(), length);
            message
        };
        Ok(Self { sender_hash, messages: parts.into_iter().map(count).collect() })
    }

    /// The sender, if it says who it is.
    pub(crate) fn introduction(&self) -> Option<&PeerInfo> {
        self.messages.iter().find_map(|message| match message {
            PeerMessage::Introduction(info) => Some(info),
            _ => None,
        })
    }

    /// True if nothing of it asks for a decision before the next tick.
    pub(crate) fn is_routine(&self) -> bool {
        self.messages.iter().all(PeerMessage::is_routine)
    }
}
