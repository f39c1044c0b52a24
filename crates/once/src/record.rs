//! The row that remembers a call.

use {
    crate::keyed::Owner,
    glade_platform::Key,
    glade_types::{IdempotencyKey, ModelName},
    serde::{Deserialize, Serialize},
};

/// An answer as kept for repetitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StoredAnswer {
    /// Status code.
    pub status: u16,
    /// Media type, if the answer had one.
    pub content_type: Option<String>,
    /// The body. Bytes that aren't UTF-8 are kept as they are.
    pub body: Vec<u8>,
}

/// What is known of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallState {
    /// The owner may dispatch it or has done so.
    Claimed,
    /// The owner proved that it wasn't run; anyone may take it over.
    NotRun,
    /// It ran, with this answer.
    Answered(StoredAnswer),
    /// Its first byte left and no answer came; it is never dispatched again.
    Unknown,
}

/// Content of a call's row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct CallRecord {
    /// Who may dispatch the call.
    pub owner: Owner,
    /// Hash of method, path and body: a key reused for another request is refused.
    pub request_hash: u64,
    /// What is known.
    pub state: CallState,
}

/// Key of the row for a call to `service` under the caller's `key`.
pub fn call_key(service: &ModelName, key: &IdempotencyKey) -> Key {
    Key::new(&format!("call/{service}/{key}"))
}
