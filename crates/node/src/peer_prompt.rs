//! A prompt sent to an engine, as nodes report it to each other.

use {
    glade_dispatch::PromptSent,
    glade_types::{VmId, stable_hash},
    serde::{Deserialize, Serialize},
};

/// A prompt with the node that has sent it to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct PeerPrompt {
    /// Hash of the node's VM. Among a hundred nodes, two have the same hash with a probability of 1
    /// in 13; two such nodes ignore each other's prompts.
    #[serde(rename = "by")]
    pub(crate) sender_hash: u16,
    /// The server and the prefill time of the prompt.
    pub(crate) prompt: PromptSent,
}

/// The hash of the node on `vm`.
pub(crate) fn node_hash(vm: &VmId) -> u16 {
    stable_hash(vm.as_str().as_bytes()) as u16
}
