//! What the control thread shares with traffic.

use {
    arc_swap::ArcSwap,
    glade_dispatch::{PromptSent, View},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{
        Notify,
        mpsc::{Receiver, Sender, channel},
    },
};

/// Messages about prompts that may wait for traffic: those of a second in a large mesh.
const PROMPTS_WAITING: usize = 64;

/// Callers' ports of the nodes that take callers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Entrances {
    /// In this node's data centre, itself included while it serves.
    pub(crate) near: Vec<SocketAddr>,
    /// In the other data centres.
    pub(crate) far: Vec<SocketAddr>,
}

/// What the control thread shares with traffic.
#[derive(Clone, Debug)]
pub(crate) struct Published {
    pub(crate) view: Arc<ArcSwap<View>>,
    pub(crate) entrances: Arc<ArcSwap<Entrances>>,
    /// Prompts that other nodes have sent.
    pub(crate) prompts: Sender<Vec<PromptSent>>,
    /// Told after each change of the view.
    pub(crate) changed: Arc<Notify>,
}

impl Published {
    /// Returns nothing known, and the end at which traffic hears of prompts.
    pub(crate) fn new() -> (Self, Receiver<Vec<PromptSent>>) {
        let (prompts, heard) = channel(PROMPTS_WAITING);
        let published = Self {
            view: Arc::new(ArcSwap::from_pointee(View::default())),
            entrances: Arc::new(ArcSwap::from_pointee(Entrances::default())),
            prompts,
            changed: Arc::default(),
        };
        (published, heard)
    }
}
