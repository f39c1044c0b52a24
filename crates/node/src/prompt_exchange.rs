//! Exchanges between nodes the single prompts that they send to engines, so that they don't all
//! choose the same engine because each of them counts it as idle.
//!
//! Loads are sent periodically, and the period is longer than an engine's prefill of a few prompts.
//! In a full mesh, a node sends its prompts to all others at once. In a mesh with leaves, a node
//! sends them to the primary core of its data centre, which collects them for the batching delay of
//! its leaves and sends them to its own nodes and to the primary cores of the other data centres,
//! which send them to their nodes. Prompts that get lost, or that exceed the limit of a message,
//! are missing from the other nodes' figures until the next loads arrive.

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

/// Time for which a core collects prompts for other data centres. It is short because more hops
/// follow there.
const REMOTE_COLLECT_TIME: Duration = Duration::from_millis(10);
/// Largest number of prompts in a message, which takes the longest ones. A prompt takes 10 bytes,
/// and a mesh that is large enough for more prompts sends at most ten messages a second.
const PROMPTS_PER_MESSAGE_MAX: usize = 100;

/// Prompts that a core has yet to forward.
#[derive(Debug, Default)]
struct PendingPrompts {
    prompts: Vec<PeerPrompt>,
    due: Option<Instant>,
}

/// Collects prompts and sends them to other nodes.
#[derive(Debug)]
pub(crate) struct PromptExchange {
    /// Hash of this node, as in [`PeerPrompt`].
    own_hash: u16,
    local: PendingPrompts,
    remote: PendingPrompts,
}

impl PromptExchange {
    pub(crate) fn new(me: &PeerInfo) -> Self {
        Self {
            own_hash: node_hash(&me.vm),
            local: PendingPrompts::default(),
            remote: PendingPrompts::default(),
        }
    }

    /// Handles `prompts` that this node's traffic thread has sent to engines.
    pub(crate) fn on_local(
        &mut self,
        now: Instant,
        prompts: Vec<PromptSent>,
        network: &mut PeerNetwork,
    ) {
        let prompts =
            prompts.into_iter().map(|prompt| PeerPrompt { sender_hash: self.own_hash, prompt });
        if network.mesh.is_full_mesh {
            network.broadcast(now, &PeerMessage::Prompts(prompts.collect()));
        } else if network.mesh.is_primary_core {
            let prompts: Vec<PeerPrompt> = prompts.collect();
            self.local.add(now + network.leaf_batch_delay(), &prompts);
            self.remote.add(now + REMOTE_COLLECT_TIME, &prompts);
        } else {
            network.send_upstream_now(now, &PeerMessage::Prompts(prompts.collect()));
        }
    }

    /// Handles prompts that another node has reported. Returns those that this node's traffic
    /// thread hasn't sent itself.
    pub(crate) fn on_remote(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        prompts: &[PeerPrompt],
        network: &PeerNetwork,
    ) -> Vec<PromptSent> {
        if network.mesh.is_primary_core && !network.mesh.is_full_mesh {
            self.local.add(now + network.leaf_batch_delay(), prompts);
            if from.data_centre == network.me.data_centre {
                self.remote.add(now + REMOTE_COLLECT_TIME, prompts);
            }
        }
        prompts
            .iter()
            .filter(|prompt| prompt.sender_hash != self.own_hash)
            .map(|prompt| prompt.prompt)
            .collect()
    }

    /// When prompts are to be forwarded next.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.local.due.into_iter().chain(self.remote.due).min()
    }

    /// Forwards the prompts that are due.
    pub(crate) fn forward(&mut self, now: Instant, network: &mut PeerNetwork) {
        if let Some(prompts) = self.remote.take_due(now) {
            network.send_to_remote_primaries(now, &PeerMessage::Prompts(prompts));
        }
        if let Some(prompts) = self.local.take_due(now) {
            let message = PeerMessage::Prompts(prompts);
            network.send_to_local_cores(now, &message);
            network.send_to_leaves_now(now, &message);
        }
    }
}

impl PendingPrompts {
    /// Adds `prompts`. The first prompts added set the time `due` by which all are forwarded.
    fn add(&mut self, due: Instant, prompts: &[PeerPrompt]) {
        self.prompts.extend_from_slice(prompts);
        self.due.get_or_insert(due);
    }

    /// Takes the longest of the prompts if they are due.
    fn take_due(&mut self, now: Instant) -> Option<Vec<PeerPrompt>> {
        self.due.take_if(|due| *due <= now)?;
        let mut prompts = std::mem::take(&mut self.prompts);
        if prompts.len() > PROMPTS_PER_MESSAGE_MAX {
            prompts.sort_by_key(|prompt| Reverse(prompt.prompt.prefill_us));
            prompts.truncate(PROMPTS_PER_MESSAGE_MAX);
        }
        Some(prompts)
    }
}

#[cfg(test)]
mod tests;
