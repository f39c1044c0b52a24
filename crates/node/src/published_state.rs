//! State and messages that the control thread publishes to the traffic thread.

use {
    arc_swap::ArcSwap,
    glade_dispatch::{ClusterView, PromptSent, StartReply},
    glade_limit::{PermitGrant, QuotaGrant},
    glade_relay::ViewCheck,
    glade_streams::OriginReply,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Instant},
    tokio::sync::{
        Notify,
        mpsc::{Receiver, Sender, channel},
    },
};

/// Capacity of the channel for prompts: the messages of one second in a large mesh.
const PROMPTS_CAPACITY: usize = 64;

/// Capacity of the channel for replies of coordinators.
const START_REPLIES_CAPACITY: usize = 256;

/// Capacity of the channel for permits of limited servers.
const PERMITS_CAPACITY: usize = 256;

/// Capacity of the channel for replies of the issuers of quotas.
const QUOTA_GRANTS_CAPACITY: usize = 256;

/// Capacity of the channel for answers to questions about streams.
const ORIGINS_CAPACITY: usize = 256;

/// Capacity of the channel for permitted trials, of which there are few.
const TRIALS_CAPACITY: usize = 16;

/// Addresses at which nodes accept callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct CallerEndpoints {
    /// Addresses of nodes in the data centre of the node that made the list, which includes its own
    /// address while it serves.
    #[serde(rename = "near")]
    pub(crate) same_data_centre: Vec<SocketAddr>,
    /// Addresses of nodes in the other data centres.
    #[serde(rename = "far")]
    pub(crate) other_data_centres: Vec<SocketAddr>,
}

/// Messages of other nodes that the traffic thread receives.
#[derive(Debug)]
pub(crate) struct PeerUpdates {
    /// Prompts that other nodes have sent to engines.
    pub(crate) prompts: Receiver<Vec<PromptSent>>,
    /// Replies of coordinators, each with the coordinator's address for events.
    pub(crate) start_replies: Receiver<(SocketAddr, Vec<StartReply>)>,
    /// Keys of quarantined combinations of which this node may try one request.
    pub(crate) trials: Receiver<u64>,
    /// Permits to send requests to servers that name a limit.
    pub(crate) permits: Receiver<Vec<PermitGrant>>,
    /// Replies of the issuers of quotas.
    pub(crate) quota_grants: Receiver<Vec<QuotaGrant>>,
    /// Which software versions began streams, by the numbers of the requests that asked.
    pub(crate) origins: Receiver<Vec<OriginReply>>,
}

/// State and channels by which the control thread publishes to the traffic thread.
#[derive(Clone, Debug)]
pub(crate) struct PublishedState {
    pub(crate) view: Arc<ArcSwap<ClusterView>>,
    pub(crate) endpoints: Arc<ArcSwap<CallerEndpoints>>,
    /// Prompts that other nodes have sent to engines.
    pub(crate) prompts: Sender<Vec<PromptSent>>,
    /// Replies of coordinators, each with the coordinator's address for events.
    pub(crate) start_replies: Sender<(SocketAddr, Vec<StartReply>)>,
    /// Keys of quarantined combinations of which this node may try one request.
    pub(crate) trials: Sender<u64>,
    /// Permits to send requests to servers that name a limit.
    pub(crate) permits: Sender<Vec<PermitGrant>>,
    /// Replies of the issuers of quotas.
    pub(crate) quota_grants: Sender<Vec<QuotaGrant>>,
    /// Which software versions began streams, by the numbers of the requests that asked.
    pub(crate) origins: Sender<Vec<OriginReply>>,
    /// Notified after each change of the view.
    pub(crate) view_changed: Arc<Notify>,
    /// When the view was last known to be up to date.
    pub(crate) view_check: Arc<ViewCheck>,
}

impl PublishedState {
    /// Returns an empty state and the receivers for the traffic thread.
    pub(crate) fn new(now: Instant) -> (Self, PeerUpdates) {
        let (prompts, prompts_receiver) = channel(PROMPTS_CAPACITY);
        let (start_replies, start_replies_receiver) = channel(START_REPLIES_CAPACITY);
        let (trials, trials_receiver) = channel(TRIALS_CAPACITY);
        let (permits, permits_receiver) = channel(PERMITS_CAPACITY);
        let (quota_grants, quota_grants_receiver) = channel(QUOTA_GRANTS_CAPACITY);
        let (origins, origins_receiver) = channel(ORIGINS_CAPACITY);
        let receivers = PeerUpdates {
            prompts: prompts_receiver,
            start_replies: start_replies_receiver,
            trials: trials_receiver,
            permits: permits_receiver,
            quota_grants: quota_grants_receiver,
            origins: origins_receiver,
        };
        let published = Self {
            view: Arc::new(ArcSwap::from_pointee(ClusterView::default())),
            endpoints: Arc::new(ArcSwap::from_pointee(CallerEndpoints::default())),
            prompts,
            start_replies,
            trials,
            permits,
            quota_grants,
            origins,
            view_changed: Arc::default(),
            view_check: Arc::new(ViewCheck::new(now)),
        };
        (published, receivers)
    }
}
