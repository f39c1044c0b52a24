//! Word of a prompt, between nodes.

use {
    glade_dispatch::PromptSent,
    glade_types::{VmId, stable_hash},
    serde::{Deserialize, Serialize},
};

/// A prompt with the node that has sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PeerPrompt {
    /// Mark of the node. Among a hundred nodes, two have the same one with a chance of one in thirteen;
    /// such two don't hear of each other's prompts.
    #[serde(rename = "by")]
    pub(crate) sender_hash: u16,
    /// The prompt.
    pub(crate) prompt: PromptSent,
}

/// The mark of the node on `vm`.
pub(crate) fn node_hash(vm: &VmId) -> u16 {
    stable_hash(vm.as_str().as_bytes()) as u16
}
