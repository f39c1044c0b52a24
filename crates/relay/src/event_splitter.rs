//! Splits a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event that is forwarded. A longer event is an error.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A complete event as it was received, including its final empty line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) bytes: Bytes,
    pub(crate) id: Option<u64>,
}

impl Event {
    /// True if the event may come after the one numbered `last`.
    pub(crate) fn follows(&self, last: Option<u64>) -> bool {
        match (last, self.id) {
            (Some(last), Some(id)) => last.checked_add(1) == Some(id),
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }
}

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    ///
    /// # Errors
    ///
    /// The event that is being received is too long.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        match end_of_event(&self.buf) {
            Some(end) => {
                let bytes = self.buf.split_to(end).freeze();
                Ok(Some(Event { id: event_id(&bytes), bytes }))
            }
            None if self.buf.len() > MAX_EVENT_BYTES => Err(EventTooLong),
            None => Ok(None),
        }
    }

    /// True if no part of an incomplete event is buffered.
    pub(crate) fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Position after the first empty line.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..position];
        let is_empty = matches!(line, [] | [b'\r']);
        if is_empty && line_start > 0 {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

/// The number in the event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}

#[cfg(test)]
mod tests;
