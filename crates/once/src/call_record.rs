//! The table service row that stores the state of a call made under a caller's idempotency key.

use {
    crate::keyed_call::Owner,
    glade_platform::Key,
    glade_types::{IdempotencyKey, ModelName},
    serde::{Deserialize, Serialize},
};

/// An answer that is stored so that it can be replayed to retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body, if the answer had one.
    pub content_type: Option<String>,
    /// Body of the answer. Bytes that aren't valid UTF-8 are stored unchanged.
    pub body: Vec<u8>,
}

/// The recorded state of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// The owner may dispatch the call, or has already dispatched it.
    Claimed,
    /// The owner proved that the call did not run; any other attempt may take the call over.
    NotRun,
    /// The call ran and returned this answer.
    Answered(StoredAnswer),
    /// The first byte of the request was sent and no answer arrived; the call is never dispatched
    /// again.
    Unknown,
}

/// Contents of a call's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallRecord {
    /// The attempt that may dispatch the call.
    pub owner: Owner,
    /// Hash of method, path and body. A request that reuses the key with another hash is refused.
    pub request_hash: u64,
    /// Recorded state of the call.
    pub state: CallState,
}

/// Returns the key of the row that stores a call to `service` under the caller's idempotency key.
pub fn call_row_key(service: &ModelName, key: &IdempotencyKey) -> Key {
    Key::new(&format!("call/{service}/{key}"))
}
