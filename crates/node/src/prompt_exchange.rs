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
        post::Post,
        told_prompt::{ToldPrompt, mark},
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
    prompts: Vec<ToldPrompt>,
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
        Self { me: mark(&me.vm), near: Gathered::default(), far: Gathered::default() }
    }

    /// This node's traffic has sent `prompts`.
    pub(crate) fn on_own(&mut self, now: Instant, prompts: Vec<PromptSent>, post: &mut Post) {
        let told = prompts.into_iter().map(|prompt| ToldPrompt { by: self.me, prompt });
        if post.mesh.is_full_mesh {
            post.spread(now, &PeerMessage::Prompts(told.collect()));
        } else if post.mesh.is_primary_core {
            let told: Vec<ToldPrompt> = told.collect();
            self.near.add(now + post.leaf_gather_time(), &told);
            self.far.add(now + GATHER_FAR, &told);
        } else {
            post.hurry_speaker(now, &PeerMessage::Prompts(told.collect()));
        }
    }

    /// Another node has told of prompts. Returns those that are news to this node's traffic.
    pub(crate) fn on_told(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        told: &[ToldPrompt],
        post: &Post,
    ) -> Vec<PromptSent> {
        if post.mesh.is_primary_core && !post.mesh.is_full_mesh {
            self.near.add(now + post.leaf_gather_time(), told);
            if from.data_centre == post.me.data_centre {
                self.far.add(now + GATHER_FAR, told);
            }
        }
        told.iter().filter(|told| told.by != self.me).map(|told| told.prompt).collect()
    }

    /// When something is to be passed on next.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.near.due.into_iter().chain(self.far.due).min()
    }

    /// Passes on what has been gathered for long enough.
    pub(crate) fn pass_on(&mut self, now: Instant, post: &mut Post) {
        if let Some(prompts) = self.far.take_due(now) {
            post.tell_far_firsts(now, &PeerMessage::Prompts(prompts));
        }
        if let Some(prompts) = self.near.take_due(now) {
            let message = PeerMessage::Prompts(prompts);
            post.tell_near_cores(now, &message);
            post.hurry_leaves(now, &message);
        }
    }
}

impl Gathered {
    /// Adds `prompts`, to be passed on by `due` if they are the first.
    fn add(&mut self, due: Instant, prompts: &[ToldPrompt]) {
        self.prompts.extend_from_slice(prompts);
        self.due.get_or_insert(due);
    }

    /// The longest of the prompts, if it is time to pass them on.
    fn take_due(&mut self, now: Instant) -> Option<Vec<ToldPrompt>> {
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
