//! Units and bounds that more than one crate relies on.

/// A size in bytes of accelerator memory.
pub type Bytes = u64;

/// Longest accepted name of a row, in bytes.
pub const MAX_NAME_LEN: usize = 128;
