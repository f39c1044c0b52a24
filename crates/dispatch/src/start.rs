//! Messages between nodes and the coordinator of a data centre about the start of single requests.

use {
    crate::{request_spec::RequestSpec, verdict::Refusal},
    glade_types::stable_hash,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Asks the coordinator for a server for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StartRequest {
    /// The node's number for the request.
    pub ticket: u32,
    /// Hash of the service's name.
    pub service: u32,
    /// Hash of the name of the model or adapter.
    pub model: u32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of generated tokens.
    pub output_tokens: u32,
    /// Maximum number of generated tokens.
    pub output_tokens_max: u32,
    /// Tokens per event of the answer.
    pub tokens_per_event: u32,
    /// Urgency of the route; 0 is the most urgent.
    pub rank: u8,
    /// Latency objective of the route, in milliseconds.
    pub objective_ms: u32,
    /// Longest pause between two events for which the answer is on time, in milliseconds.
    pub pause_limit_ms: Option<u32>,
    /// Time since the request arrived, in milliseconds.
    pub waited_ms: u32,
    /// Time for which the caller still waits for the first byte, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u32,
    /// Servers that have failed the request, by the tags of their keys.
    pub tried: Vec<u32>,
    /// Address at which the requesting node receives replies; set when a coordinator forwards the
    /// request.
    pub reply_to: Option<SocketAddr>,
    /// Hash of the name of the caller's team. Nodes of earlier versions don't know the field, so it
    /// goes in a [`TeamStartRequest`].
    #[serde(skip)]
    pub team: Option<u32>,
    /// The caller has events of the answer already. Goes in a [`ContinuationRequest`].
    #[serde(skip)]
    pub is_continuation: bool,
    /// Hash of the software version that the request must run at. Goes in a [`ContinuationRequest`].
    #[serde(skip)]
    pub software_version: Option<u32>,
}

/// A [`StartRequest`] for a stream that its caller has a part of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ContinuationRequest {
    /// Hash of the name of the caller's team.
    pub team: Option<u32>,
    /// Hash of the software version that began the stream, if the sender knows it.
    pub software_version: Option<u32>,
    /// The request.
    pub request: StartRequest,
}

impl ContinuationRequest {
    /// Returns the request with what it doesn't encode itself.
    pub fn into_request(self) -> StartRequest {
        let Self { team, software_version, request } = self;
        StartRequest { team, is_continuation: true, software_version, ..request }
    }
}

/// A [`StartRequest`] with the caller's team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TeamStartRequest {
    /// Hash of the team's name.
    pub team: u32,
    /// The request.
    pub request: StartRequest,
}

impl TeamStartRequest {
    /// Returns the request with its team.
    pub fn into_request(self) -> StartRequest {
        StartRequest { team: Some(self.team), ..self.request }
    }
}

/// Reply to a [`StartRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StartReply {
    /// The requesting node's number for the request.
    pub ticket: u32,
    /// The decision.
    pub verdict: StartVerdict,
}

/// The coordinator's decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartVerdict {
    /// The node sends the request now to the server with this tag.
    Go {
        /// The server, by the tag of its key.
        server: u32,
    },
    /// The request is queued; another reply follows.
    Queued {
        /// The model or adapter is on no usable server.
        missing: bool,
    },
    /// The request is refused.
    Refused {
        /// The reason.
        reason: Refusal,
        /// Expected time until the request can be taken, in milliseconds.
        retry_after_ms: u32,
    },
}

impl StartVerdict {
    /// Returns a refusal with the expected time until the request can be taken.
    pub(crate) fn refused(reason: Refusal, retry_after: Duration) -> Self {
        // Nodes of earlier versions don't know the reason.
        let reason = if reason == Refusal::Limited { Refusal::Overloaded } else { reason };
        Self::Refused { reason, retry_after_ms: whole_ms(retry_after) }
    }
}

/// Progress of a request, as the node reports it to the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartEvent {
    /// The first byte of the answer has arrived.
    Answered {
        /// The node's number for the request.
        ticket: u32,
        /// Time since the request was sent, in microseconds.
        after_us: u32,
    },
    /// The request has ended, whatever its outcome, or is no longer waiting.
    Ended {
        /// The node's number for the request.
        ticket: u32,
        /// The answer was successful, to the last byte.
        is_good: bool,
        /// Duration of a decode step without prefill at the server, in microseconds, if measured.
        #[serde(rename = "step_us")]
        decode_step_us: Option<u32>,
    },
    /// A server has failed a request.
    Failed {
        /// The server, by the tag of its key.
        server: u32,
        /// Number of failures that it counts as.
        weight: u32,
    },
}

/// Returns `time` in milliseconds, limited to the range of the message field.
fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Hash by which messages identify a name.
pub(crate) fn name_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

impl StartRequest {
    /// Returns the message for the request `spec`, which the servers with the tags `tried` have
    /// failed.
    pub fn new(now: Instant, ticket: u32, spec: &RequestSpec, tried: Vec<u32>) -> Self {
        Self {
            ticket,
            service: name_hash(spec.service.as_str()),
            model: spec.model.as_ref().map_or(0, |model| name_hash(model.as_str())),
            prompt_tokens: spec.prompt_tokens,
            output_tokens: spec.output_tokens,
            output_tokens_max: spec.output_tokens_max,
            tokens_per_event: spec.tokens_per_event,
            rank: spec.rank,
            objective_ms: whole_ms(spec.objective),
            pause_limit_ms: spec.pause_limit.map(whole_ms),
            waited_ms: whole_ms(now.saturating_duration_since(spec.arrived_at)),
            max_wait_ms: whole_ms(spec.first_byte_deadline.saturating_duration_since(now)),
            tried,
            reply_to: None,
            team: spec.team,
            is_continuation: spec.is_continuation,
            software_version: spec.software_version,
        }
    }
}
