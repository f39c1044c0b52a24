//! Metadata that a caller sends with one request besides the body, such as its deadline, model and
//! prompt length.

use {
    glade_types::{ModelName, RequestId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A part of a prompt. Requests whose prompts begin with the same parts can share an engine's cached
/// prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PromptPart {
    /// Hash of the part's text.
    pub hash: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// Metadata that a caller sends with one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestMetadata {
    /// Identifier of the request. A retry by the caller has a new identifier.
    pub request_id: Option<RequestId>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Requested model or adapter.
    pub model: Option<ModelName>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that may be generated.
    pub output_tokens_max: u32,
    /// The caller's estimate of the number of tokens that will be generated.
    pub output_tokens_hint: Option<u32>,
    /// The prompt's parts, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Last event that the caller received of an interrupted stream that it resumes.
    pub last_event_id: Option<u64>,
    /// The caller's request that brought the first event of that stream.
    pub resumes: Option<RequestId>,
}

impl RequestMetadata {
    /// Returns the expected number of generated tokens: the caller's estimate, capped at the maximum, or
    /// the maximum if there is no estimate.
    pub fn expected_output_tokens(&self) -> u32 {
        self.output_tokens_hint
            .map_or(self.output_tokens_max, |hint| hint.min(self.output_tokens_max))
    }
}
