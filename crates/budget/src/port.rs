//! Kinds of ports, each with connections of its own.

/// A kind of port. One whose connections are all taken leaves those of the others alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Callers' requests.
    Callers,
    /// Small answers to operators and the platform, and operators' uploads.
    Pages,
}
