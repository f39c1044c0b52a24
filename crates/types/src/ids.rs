//! Identifier types. Each is a newtype, so that the compiler distinguishes one kind of name from another.

use {
    crate::limits::MAX_NAME_LEN,
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, sync::Arc},
};

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `name` without checking it; see [`is_valid_name`] for the accepted alphabet.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type! {
    /// Name of a model, an adapter or a service without models, which is the key of a row of the operators'
    /// table.
    ModelName
}
name_type! {
    /// Name of a backend server: a model engine or a server of a service without models.
    BackendId
}
name_type! {
    /// Name of a service: a set of backend servers that answer the same requests.
    ServiceName
}
name_type! {
    /// Name of a route from callers to a service.
    RouteName
}
name_type! {
    /// Name of a team: a set of callers that share keys and a quota.
    TeamName
}
name_type! {
    /// Name of a VM that runs the system's daemons.
    VmId
}
name_type! {
    /// Name of a data centre.
    DataCentre
}
name_type! {
    /// Name of a group of engines that are managed by one lease holder.
    GroupId
}
name_type! {
    /// Version of a backend server's software.
    SoftwareVersion
}
name_type! {
    /// Identifier of one request, propagated end to end.
    RequestId
}
name_type! {
    /// Idempotency key of a call that may run at most once.
    IdempotencyKey
}

/// Returns true if `name` consists of 1 to [`MAX_NAME_LEN`] letters, digits, `.`, `_`, `-`, `:` or `/`.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':' | '/');
    !name.is_empty() && name.len() <= MAX_NAME_LEN && name.chars().all(allowed)
}

impl ModelName {
    /// Returns `name` as a `ModelName`, or `None` if [`is_valid_name`] rejects it.
    pub fn parse(name: &str) -> Option<Self> {
        is_valid_name(name).then(|| Self::new(name))
    }
}

impl Default for SoftwareVersion {
    /// An unknown version.
    fn default() -> Self {
        Self::new("")
    }
}

/// Number of one run of a process, from start to exit. A later run of the same process has a higher
/// number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
