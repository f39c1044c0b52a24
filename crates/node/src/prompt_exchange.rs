//! What nodes tell each other of single prompts, so that they don't all choose the engine that each of
//! them thinks idle.
//!
//! Loads are told by period, which is longer than an engine takes to read a few prompts. Prompts are told
//! at once where all talk to all. In a larger mesh a node tells the first core of its data centre, which
//! gathers them for as long as it gathers all messages to leaves, and tells its own nodes and the first
//! cores elsewhere; these tell their nodes. Word that gets lost, or is too much for a message, is missed
//! until the next loads are told.

use {
    crate::{
        peer_message::{PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
        peer_prompt::{PeerPrompt, node_hash},
    },
    glade_dispatch::PromptSent,
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Time for which a core gathers prompts for other data centres, where more ways are still to come.
const GATHER_FAR: Duration = Duration::from_millis(10);
/// Most prompts of a message, the longest: 10 bytes each, and at most ten messages a second where nodes
/// are so many that there are more.
const PROMPTS_MAX: usize = 100;

/// Prompts that a core has yet to pass on.
#[derive(Debug, Default)]
struct Gathered {
    prompts: Vec<PeerPrompt>,
    due: Option<Instant>,
}

/// Prompts on their way between nodes.
#[derive(Debug)]
pub(crate) struct PromptExchange {
    /// Mark of this node.
    me: u16,
    near: Gathered,
    far: Gathered,
}

impl PromptExchange {
    pub(crate) fn new(me: &PeerInfo) -> Self {
        Self { me: node_hash(&me.vm), near: Gathered::default(), far: Gathered::default() }
    }

    /// This node's traffic has sent `prompts`.
    pub(crate) fn on_local(
        &mut self,
        now: Instant,
        prompts: Vec<PromptSent>,
        network: &mut PeerNetwork,
    ) {
        let told = prompts.into_iter().map(|prompt| PeerPrompt { sender_hash: self.me, prompt });
        if network.mesh.is_full_mesh {
            network.broadcast(now, &PeerMessage::Prompts(told.collect()));
        } else if network.mesh.is_primary_core {
            let told: Vec<PeerPrompt> = told.collect();
            self.near.add(now + network.leaf_batch_delay(), &told);
            self.far.add(now + GATHER_FAR, &told);
        } else {
            network.send_upstream_now(now, &PeerMessage::Prompts(told.collect()));
        }
    }

    /// Another node has told of prompts. Returns those that are news to this node's traffic.
    pub(crate) fn on_remote(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        told: &[PeerPrompt],
        network: &PeerNetwork,
    ) -> Vec<PromptSent> {
        if network.mesh.is_primary_core && !network.mesh.is_full_mesh {
            self.near.add(now + network.leaf_batch_delay(), told);
            if from.data_centre == network.me.data_centre {
                self.far.add(now + GATHER_FAR, told);
            }
        }
        told.iter().filter(|told| told.sender_hash != self.me).map(|told| told.prompt).collect()
    }

    /// When something is to be passed on next.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.near.due.into_iter().chain(self.far.due).min()
    }

    /// Passes on what has been gathered for long enough.
    pub(crate) fn forward(&mut self, now: Instant, network: &mut PeerNetwork) {
        if let Some(prompts) = self.far.take_due(now) {
            network.send_to_remote_primaries(now, &PeerMessage::Prompts(prompts));
        }
        if let Some(prompts) = self.near.take_due(now) {
            let message = PeerMessage::Prompts(prompts);
            network.send_to_local_cores(now, &message);
            network.send_to_leaves_now(now, &message);
        }
    }
}

impl Gathered {
    /// Adds `prompts`, to be passed on by `due` if they are the first.
    fn add(&mut self, due: Instant, prompts: &[PeerPrompt]) {
        self.prompts.extend_from_slice(prompts);
        self.due.get_or_insert(due);
    }

    /// The longest of the prompts, if it is time to pass them on.
    fn take_due(&mut self, now: Instant) -> Option<Vec<PeerPrompt>> {
        self.due.take_if(|due| *due <= now)?;
        let mut prompts = std::mem::take(&mut self.prompts);
        if prompts.len() > PROMPTS_MAX {
            prompts.sort_by_key(|told| Reverse(told.prompt.reading_us));
            prompts.truncate(PROMPTS_MAX);
        }
        Some(prompts)
    }
}

#[cfg(test)]
mod tests;
