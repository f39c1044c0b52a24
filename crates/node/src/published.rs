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
pub(crate) struct Entrances {
    /// In this node's data centre, itself included while it serves.
    pub(crate) near: Vec<SocketAddr>,
    /// In the other data centres.
    pub(crate) far: Vec<SocketAddr>,
}

/// What traffic hears of other nodes.
#[derive(Debug)]
pub(crate) struct Heard {
    /// Prompts that they have sent.
    pub(crate) prompts: Receiver<Vec<PromptSent>>,
    /// Answers of coordinators, with where each hears events.
    pub(crate) starts: Receiver<(SocketAddr, Vec<StartReply>)>,
}

/// What the control thread shares with traffic.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) view: Arc<ArcSwap<ClusterView>>,
    pub(crate) entrances: Arc<ArcSwap<Entrances>>,
    /// Prompts that other nodes have sent.
    pub(crate) prompts: Sender<Vec<PromptSent>>,
    /// Answers of coordinators, with where each hears events.
    pub(crate) starts: Sender<(SocketAddr, Vec<StartReply>)>,
    /// Told after each change of the view.
    pub(crate) changed: Arc<Notify>,
}

impl Published {
    /// Returns nothing known, and the end at which traffic hears of prompts.
    pub(crate) fn new() -> (Self, Heard) {
        let (prompts, heard_prompts) = channel(PROMPTS_WAITING);
        let (starts, heard_starts) = channel(STARTS_WAITING);
        let heard = Heard { prompts: heard_prompts, starts: heard_starts };
        let published = Self {
            view: Arc::new(ArcSwap::from_pointee(ClusterView::default())),
            entrances: Arc::new(ArcSwap::from_pointee(Entrances::default())),
            prompts,
            starts,
            changed: Arc::default(),
        };
        (published, heard)
    }
}
