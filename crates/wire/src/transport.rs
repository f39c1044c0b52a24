//! Limits that both ends of a connection between processes share.

use std::time::Duration;

/// Bytes of a frame's header, which is its length.
pub(crate) const FRAME_HEADER_BYTES: usize = 8;
/// Most bytes of a frame, without its header.
pub(crate) const FRAME_BYTES_MAX: usize = 4 << 20;
/// Time without a message after which a sender closes its connection.
pub(crate) const IDLE_TIMEOUT_SENDER: Duration = Duration::from_secs(60);
/// Time without a message after which a receiver closes the connection, because the sender would have
/// closed it if it were still there.
pub(crate) const IDLE_TIMEOUT_RECEIVER: Duration = Duration::from_secs(120);
