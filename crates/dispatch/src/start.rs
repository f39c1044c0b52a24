//! What nodes and the coordinator of a data centre say to each other of single requests.

use {
    crate::{request_spec::RequestSpec, verdict::Refusal},
    glade_types::stable_hash,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Asks for a server for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StartRequest {
    /// Names the request at the node that asks.
    pub ticket: u32,
    /// Mark of the service.
    pub service: u32,
    /// Mark of the model or adapter.
    pub model: u32,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that it is likely to generate.
    pub output_tokens: u32,
    /// Most tokens that it may generate.
    pub output_tokens_max: u32,
    /// Tokens in one event of its answer.
    pub tokens_per_event: u32,
    /// Urgency of its route; 0 is the most urgent.
    pub rank: u8,
    /// Latency objective of its route, in milliseconds.
    pub objective_ms: u32,
    /// Longest pause between two events for which its answer is on time, in milliseconds.
    pub pause_limit_ms: Option<u32>,
    /// Time since it arrived, in milliseconds.
    pub waited_ms: u32,
    /// Time until nobody waits for its first byte any more, in milliseconds.
    pub patience_ms: u32,
    /// Servers that have failed it, by the tags of their keys.
    pub tried: Vec<u32>,
    /// Where the node that asks hears answers, once another has passed the question on.
    pub reply_to: Option<SocketAddr>,
}

/// Answer to a [`StartRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StartReply {
    /// The request at the node that asked.
    pub ticket: u32,
    /// What is to become of it.
    pub verdict: StartVerdict,
}

/// What is to become of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartVerdict {
    /// It is to be sent now to the server with this tag.
    Go {
        /// The server.
        server: u32,
    },
    /// It waits; another answer follows.
    Queued {
        /// Its model or adapter is on no usable server.
        missing: bool,
    },
    /// It is refused.
    Refused {
        /// Why.
        reason: Refusal,
        /// When there is likely to be room, in milliseconds.
        retry_after_ms: u32,
    },
}

impl StartVerdict {
    /// A refusal with the time after which there is likely to be room.
    pub(crate) fn refused(reason: Refusal, retry_after: Duration) -> Self {
        Self::Refused { reason, retry_after_ms: whole_ms(retry_after) }
    }
}

/// What has become of a request since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartEvent {
    /// The first byte of its answer is there.
    Answered {
        /// The request.
        ticket: u32,
        /// Time since it was sent, in microseconds.
        after_us: u32,
    },
    /// It has ended, in whatever way, or is no longer to wait.
    Ended {
        /// The request.
        ticket: u32,
        /// It was answered well, to the last byte.
        is_good: bool,
        /// Time of a step of its server in which nothing was read, in microseconds, if it told.
        step_us: Option<u32>,
    },
    /// A server has failed a request.
    Failed {
        /// The server, by the tag of its key.
        server: u32,
        /// How many failures it counts as.
        weight: u32,
    },
}

/// `time` in milliseconds, as far as messages can tell it.
fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Mark of a name in messages.
pub(crate) fn name_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

impl StartRequest {
    /// Asks for a server for `need`, which servers with the tags `tried` have failed.
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
            patience_ms: whole_ms(spec.first_byte_deadline.saturating_duration_since(now)),
            tried,
            reply_to: None,
        }
    }
}
