//! A team's key, which is kept only as a digest: neither a log line nor a message to another node can
//! disclose the key.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        fmt,
        hash::{Hash, Hasher},
    },
    subtle::ConstantTimeEq,
};

/// SHA-256 digest of a key with which the callers of a team authenticate.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamKey([u8; 32]);

impl TeamKey {
    /// Longest key, in bytes. Longer keys belong to no team.
    pub const BYTES_MAX: usize = 1024;

    /// Returns the digest of `key`.
    pub fn new(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// Compares in constant time.
impl PartialEq for TeamKey {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for TeamKey {}

impl Hash for TeamKey {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

/// Omits the digest, from which a short key could be guessed.
impl fmt::Debug for TeamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TeamKey(redacted)")
    }
}
