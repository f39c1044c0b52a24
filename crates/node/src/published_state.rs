//! What the control thread shares with traffic.

use {
    arc_swap::ArcSwap,
    glade_dispatch::{ClusterView, PromptSent, StartReply},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{
        Notify,
        mpsc::{Receiver, Sender, channel},
    },
};

/// Messages about prompts that may wait for traffic: those of a second in a large mesh.
const PROMPTS_WAITING: usize = 64;

/// Messages with answers of coordinators that may wait for traffic.
const STARTS_WAITING: usize = 256;

/// Callers' ports of the nodes that take callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct CallerEndpoints {
    /// In this node's data centre, itself included while it serves.
    #[serde(rename = "near")]
    pub(crate) same_data_centre: Vec<SocketAddr>,
    /// In the other data centres.
    #[serde(rename = "far")]
    pub(crate) other_data_centres: Vec<SocketAddr>,
}

/// What traffic hears of other nodes.
#[derive(Debug)]
pub(crate) struct PeerUpdates {
    /// Prompts that they have sent.
    pub(crate) prompts: Receiver<Vec<PromptSent>>,
    /// Answers of coordinators, with where each hears events.
    pub(crate) start_replies: Receiver<(SocketAddr, Vec<StartReply>)>,
}

/// What the control thread shares with traffic.
#[derive(Clone, Debug)]
pub(crate) struct PublishedState {
    pub(crate) view: Arc<ArcSwap<ClusterView>>,
    pub(crate) endpoints: Arc<ArcSwap<CallerEndpoints>>,
    /// Prompts that other nodes have sent.
    pub(crate) prompts: Sender<Vec<PromptSent>>,
    /// Answers of coordinators, with where each hears events.
    pub(crate) start_replies: Sender<(SocketAddr, Vec<StartReply>)>,
    /// Told after each change of the view.
    pub(crate) view_changed: Arc<Notify>,
}

impl PublishedState {
    /// Returns nothing known, and the end at which traffic hears of prompts.
    pub(crate) fn new() -> (Self, PeerUpdates) {
        let (prompts, prompts_receiver) = channel(PROMPTS_WAITING);
        let (start_replies, start_replies_receiver) = channel(STARTS_WAITING);
        let receivers =
            PeerUpdates { prompts: prompts_receiver, start_replies: start_replies_receiver };
        let published = Self {
            view: Arc::new(ArcSwap::from_pointee(ClusterView::default())),
            endpoints: Arc::new(ArcSwap::from_pointee(CallerEndpoints::default())),
            prompts,
            start_replies,
            view_changed: Arc::default(),
        };
        (published, receivers)
    }
}
