//! Messages between nodes and their encoding in batches.

use {
    crate::{
        control_metrics::ControlMetrics,
        leaf_digest::LeafDigest,
        mesh::MeshTopology,
        peer_prompt::PeerPrompt,
        published_state::CallerEndpoints,
        registry_update::{RegistryUpdate, ServerVersion},
        store_access::StoreReport,
        store_health::StoreStatus,
    },
    glade_catalog::{Catalog, DemandReport, ServerKey, TeamCatalog, WantedModel},
    glade_dispatch::{
        ContinuationRequest, ServerLoad, StartEvent, StartReply, StartRequest, TeamStartRequest,
    },
    glade_limit::{LimitUpdate, PermitDemand, PermitGrant, QuotaGrant, QuotaReport},
    glade_platform::Revision,
    glade_quarantine::{EntryUpdate, LostAttempt},
    glade_residency::EngineDigest,
    glade_streams::{StreamAnswer, StreamQuestion, VersionStreams},
    glade_types::{DataCentre, Incarnation, ModelName, VmId, stable_hash},
    glade_wire::{WireError, frame},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// A node process and its addresses. Also the value of the node's row in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PeerInfo {
    /// VM on which the node runs.
    pub(crate) vm: VmId,
    /// Identifies the process; every start of a node has another incarnation.
    pub(crate) incarnation: Incarnation,
    /// Address at which the node receives messages of other nodes.
    #[serde(rename = "peers")]
    pub(crate) peer_addr: SocketAddr,
    /// Address at which the node serves callers.
    #[serde(rename = "callers")]
    pub(crate) caller_addr: SocketAddr,
    /// Data centre of the node.
    pub(crate) data_centre: DataCentre,
    /// The node's share of a processor core, in thousandths.
    pub(crate) cpu_millis: u32,
}

impl PeerInfo {
    /// Hash that identifies the process as the sender of a batch. Two processes have the same hash
    /// with a probability of 1 in 2^64.
    pub(crate) fn process_hash(&self) -> u64 {
        let name = format!("{} {}", self.vm, self.incarnation.0);
        stable_hash(name.as_bytes())
    }
}

/// A node's statement that it holds the lease under which engines are given orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct HolderClaim {
    /// Epoch of the lease: the number of its acquisition.
    pub(crate) epoch: u64,
    /// Revision of the lease's row in the store after the latest renewal.
    pub(crate) revision: Revision,
}

/// The nodes whose loads a message adds up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum LoadScope {
    /// The sender alone.
    Own,
    /// All nodes of the sender's data centre.
    DataCentre,
    /// All nodes of the deployment.
    All,
}

/// A heartbeat with the sender's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Heartbeat {
    /// Sequence number, which grows with every heartbeat of a process.
    pub(crate) seq: u64,
    /// Highest sequence number that the sender has received from the receiver.
    #[serde(rename = "heard_seq")]
    pub(crate) acked_seq: u64,
    /// True if the sender is a core of its data centre.
    pub(crate) core: bool,
    /// Topology of the mesh according to the sender.
    #[serde(rename = "mesh_size")]
    pub(crate) mesh_topology: MeshTopology,
    /// True if the sender accepts new callers.
    pub(crate) serving: bool,
    /// Version of the configuration that is in force at the sender; 0 if there is none.
    pub(crate) catalog_version: u64,
    /// Set if the sender holds the lease.
    pub(crate) holder: Option<HolderClaim>,
    /// Latest epoch whose lease the sender has resigned without recording that in the store; 0 if
    /// none.
    pub(crate) resigned_epoch: u64,
    /// Outcomes of the sender's calls to the store.
    pub(crate) store: StoreStatus,
    /// True if the sender holds the lease and the store doesn't answer it: other nodes are to check
    /// whether the store answers them.
    #[serde(rename = "doubts_store")]
    pub(crate) requests_store_probe: bool,
    /// True if the sender reads the registry and the configuration from the store and forwards
    /// them.
    #[serde(rename = "reads")]
    pub(crate) reads_tables: bool,
    /// Revision of the registry up to which the sender has all changes.
    pub(crate) registry_revision: Revision,
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum PeerMessage {
    /// Sender of the batch. Accompanies heartbeats, and other messages to nodes that may not know
    /// the sender.
    Introduction(PeerInfo),
    /// A heartbeat.
    #[serde(rename = "beat")]
    Heartbeat(Heartbeat),
    /// Requests that nodes have in flight.
    Loads {
        /// Nodes whose loads are added up.
        scope: LoadScope,
        /// Load on each server.
        loads: Vec<ServerLoad>,
    },
    /// Prompts that nodes have just sent to engines.
    Prompts(Vec<PeerPrompt>),
    /// Addresses at which nodes accept callers, as seen from the sender's data centre.
    #[serde(rename = "entrances")]
    CallerEndpoints(CallerEndpoints),
    /// Nodes known to the sender.
    Nodes(Vec<PeerInfo>),
    /// Changes of the registry, or the complete registry.
    Registry(RegistryUpdate),
    /// Requests the complete registry.
    RegistryWanted,
    /// Requests the configuration that is in force at the receiver.
    CatalogWanted,
    /// The configuration that is in force at the sender, which has no teams.
    #[serde(rename = "catalog_is")]
    Catalog(Box<Catalog>),
    /// Demand seen by the sender and by the nodes whose messages it forwards, for the holder of the
    /// lease.
    Demand(DemandReport),
    /// A request waits for a model that no engine holds. For the holder of the lease.
    #[serde(rename = "wish")]
    ModelWanted(ModelName),
    /// A backend server's process has ended.
    ServerGone(ServerKey),
    /// Requests for which the receiver, a coordinator, is to choose a server and a start.
    #[serde(rename = "start_wanted")]
    StartRequests(Vec<StartRequest>),
    /// A coordinator's decisions on requests of the receiver.
    #[serde(rename = "starts")]
    StartReplies(Vec<StartReply>),
    /// Outcomes of requests whose starts the receiver has decided on.
    StartEvents(Vec<StartEvent>),
    /// A backend server has announced to the sender that it is about to end.
    ServerLeaving(ServerKey),
    /// Models and adapters that engines hold, from the holder of the lease.
    Residents {
        /// Epoch of the holder's lease.
        epoch: u64,
        /// Engines that have changed, or all engines.
        engines: Vec<EngineDigest>,
    },
    /// Models and adapters that engines hold, in the shorter form for leaves.
    LeafResidents {
        /// Epoch of the holder's lease.
        epoch: u64,
        /// Engines that have changed, or all engines.
        engines: Vec<LeafDigest>,
    },
    /// Requests from a core the addresses at which nodes accept callers.
    #[serde(rename = "entrances_wanted")]
    CallerEndpointsWanted,
    /// Attempts that broke before their answers had begun, or just after.
    AttemptsLost(Vec<LostAttempt>),
    /// Requests with these suspected parts of prompts were answered.
    PartsServed(Vec<u64>),
    /// Parts of prompts that crash engines.
    Quarantine {
        /// All entries that the sender has.
        entries: Vec<EntryUpdate>,
        /// Parts of which it must be known whether requests with them are answered.
        suspects: Vec<u64>,
    },
    /// Rate limits that servers name.
    ServerLimits(Vec<LimitUpdate>),
    /// Demand for permits to send to limited servers, with the addresses at which nodes receive these.
    PermitDemand(Vec<(SocketAddr, PermitDemand)>),
    /// Permits for the receiver.
    PermitGrants(Vec<PermitGrant>),
    /// The configuration that is in force at the sender, which has teams.
    TeamCatalog(Box<TeamCatalog>),
    /// Which nodes have what roles towards the store, while no core reads it.
    StoreReport(StoreReport),
    /// Needs for the quotas of teams, with the addresses at which nodes receive grants.
    QuotaReports(Vec<(SocketAddr, QuotaReport)>),
    /// Replies to the receiver's needs for the quotas of teams.
    QuotaGrants(Vec<QuotaGrant>),
    /// Like `StartRequests`, for requests of teams.
    TeamStartRequests(Vec<TeamStartRequest>),
    /// Requests the configuration that is in force at the receiver if it is later than this version.
    LaterCatalogWanted(u64),
    /// Software versions of servers, which nodes of earlier versions don't know as a part of `Registry`.
    ServerVersions(Vec<ServerVersion>),
    /// Streams that have begun, or go on, at the sender or at its leaves.
    StreamRecords(Vec<VersionStreams>),
    /// Asks which software versions began streams.
    StreamQuestions(Vec<StreamQuestion>),
    /// Replies to the receiver's questions.
    StreamAnswers(Vec<StreamAnswer>),
    /// Like `StartRequests`, for streams that their callers have a part of.
    ContinuationRequests(Vec<ContinuationRequest>),
    /// Like `ModelWanted`, for requests that engines of one software version may run.
    VersionWanted(WantedModel),
}

impl PeerMessage {
    /// The message that carries `catalog`. Nodes of earlier versions can decode it unless the
    /// configuration has teams, which they wouldn't authenticate.
    pub(crate) fn with_catalog(catalog: &Arc<Catalog>) -> Self {
        if catalog.has_teams() {
            Self::TeamCatalog(Box::new(TeamCatalog(Arc::clone(catalog))))
        } else {
            Self::Catalog(Box::new(Catalog::clone(catalog)))
        }
    }

    /// The messages that carry `update` and the `versions` of the servers in it.
    pub(crate) fn with_registry(update: RegistryUpdate, versions: Vec<ServerVersion>) -> Vec<Self> {
        let versions = (!versions.is_empty()).then_some(Self::ServerVersions(versions));
        versions.into_iter().chain([Self::Registry(update)]).collect()
    }

    /// The message that reports a wanted model to the holder of the lease.
    pub(crate) fn model_wanted(wanted: WantedModel) -> Self {
        match wanted.software_version {
            Some(_) => Self::VersionWanted(wanted),
            None => Self::ModelWanted(wanted.name),
        }
    }

    /// The message that asks a coordinator for a start.
    pub(crate) fn start_request(request: StartRequest) -> Self {
        match request.team {
            team if request.is_continuation => {
                let software_version = request.software_version;
                Self::ContinuationRequests(vec![ContinuationRequest {
                    team,
                    software_version,
                    request,
                }])
            }
            Some(team) => Self::TeamStartRequests(vec![TeamStartRequest { team, request }]),
            None => Self::StartRequests(vec![request]),
        }
    }

    /// True if handling the message requires no decision before the next tick.
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
                | Self::AttemptsLost(_)
                | Self::PartsServed(_)
                | Self::Quarantine { .. }
                | Self::PermitDemand(_)
                | Self::PermitGrants(_)
                | Self::StoreReport(_)
                | Self::QuotaReports(_)
                | Self::QuotaGrants(_)
                | Self::TeamStartRequests(_)
                | Self::LaterCatalogWanted(_)
                | Self::StreamRecords(_)
                | Self::StreamQuestions(_)
                | Self::StreamAnswers(_)
                | Self::ContinuationRequests(_)
                | Self::VersionWanted(_)
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
            Self::AttemptsLost(_) => 20,
            Self::PartsServed(_) => 21,
            Self::Quarantine { .. } => 22,
            Self::ServerLimits(_) => 23,
            Self::PermitDemand(_) => 24,
            Self::PermitGrants(_) => 25,
            Self::TeamCatalog(_) => 26,
            Self::StoreReport(_) => 27,
            Self::QuotaReports(_) => 28,
            Self::QuotaGrants(_) => 29,
            Self::TeamStartRequests(_) => 30,
            Self::LaterCatalogWanted(_) => 31,
            Self::ServerVersions(_) => 32,
            Self::StreamRecords(_) => 33,
            Self::StreamQuestions(_) => 34,
            Self::StreamAnswers(_) => 35,
            Self::ContinuationRequests(_) => 36,
            Self::VersionWanted(_) => 37,
        }
    }

    /// True if nodes of earlier versions can't decode the message. It goes in batches of its own, so
    /// that they lose nothing else.
    pub(crate) fn is_extension(&self) -> bool {
        matches!(
            self,
            Self::ServerLimits(_)
                | Self::PermitDemand(_)
                | Self::PermitGrants(_)
                | Self::TeamCatalog(_)
                | Self::StoreReport(_)
                | Self::QuotaReports(_)
                | Self::QuotaGrants(_)
                | Self::TeamStartRequests(_)
                | Self::LaterCatalogWanted(_)
                | Self::ServerVersions(_)
                | Self::StreamRecords(_)
                | Self::StreamQuestions(_)
                | Self::StreamAnswers(_)
                | Self::ContinuationRequests(_)
                | Self::VersionWanted(_)
        )
    }
}

/// Messages of one sender that arrived in one frame.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerBatch {
    /// The sender's [`PeerInfo::process_hash`].
    pub(crate) sender_hash: u64,
    pub(crate) messages: Vec<PeerMessage>,
}

impl PeerBatch {
    /// Decodes a batch and counts its messages.
    ///
    /// # Errors
    ///
    /// The bytes have another version or aren't a batch.
    pub(crate) fn decode(bytes: &[u8], metrics: &ControlMetrics) -> Result<Self, WireError> {
        let (sender_hash, parts) = frame::decode_batch::<u64, PeerMessage>(bytes)?;
        metrics.on_batch_received(bytes.len());
        let count = |(message, length): (PeerMessage, usize)| {
            metrics.on_received(message.kind(), length);
            message
        };
        Ok(Self { sender_hash, messages: parts.into_iter().map(count).collect() })
    }

    /// The sender, if the batch contains its introduction.
    pub(crate) fn introduction(&self) -> Option<&PeerInfo> {
        self.messages.iter().find_map(|message| match message {
            PeerMessage::Introduction(info) => Some(info),
            _ => None,
        })
    }

    /// True if no message of the batch requires a decision before the next tick.
    pub(crate) fn is_routine(&self) -> bool {
        self.messages.iter().all(PeerMessage::is_routine)
    }
}
