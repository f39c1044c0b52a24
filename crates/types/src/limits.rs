//! Units and limits that more than one crate uses.

/// A size in bytes of accelerator memory.
pub type Bytes = u64;

/// Longest accepted name of a row of the operators' table, in bytes.
pub const MAX_NAME_LEN: usize = 128;
