//! Limit on the length of a single server-sent event.

use std::io;

/// Largest event that is passed on. A longer one is an error.
const EVENT_BYTES_MAX: usize = 256 << 10;

/// Counts the bytes of the event that is being received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventLimit {
    event_bytes: usize,
    line_bytes: usize,
}

impl EventLimit {
    /// Records bytes of the stream.
    ///
    /// # Errors
    ///
    /// The event is longer than [`EVENT_BYTES_MAX`].
    pub(crate) fn record(&mut self, bytes: &[u8]) -> io::Result<()> {
        for byte in bytes {
            match byte {
                b'\n' if self.line_bytes == 0 => self.event_bytes = 0,
                b'\n' => self.line_bytes = 0,
                b'\r' => {}
                _ => self.line_bytes += 1,
            }
            self.event_bytes += 1;
        }
        if self.event_bytes > EVENT_BYTES_MAX {
            return Err(io::Error::other("an event is too long"));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
