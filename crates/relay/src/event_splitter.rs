//! Splits a byte stream of server-sent events into complete events.

use bytes::{Bytes, BytesMut};

/// Largest event that is forwarded. A longer event is an error.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Length of a status line up to the status, as in `HTTP/1.1 200`.
const STATUS_LINE_START_BYTES: usize = 12;
/// Names of the fields of an event that may follow another field.
const EVENT_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

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

/// Why received bytes aren't an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MalformedEvent {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
    /// An event contains the head of an HTTP response.
    HttpHead,
}

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
    /// The bytes that are being received aren't an event.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, MalformedEvent> {
        match end_of_event(&self.buf) {
            Some(end) if contains_http_head(&self.buf[..end]) => Err(MalformedEvent::HttpHead),
            Some(end) => {
                let bytes = self.buf.split_to(end).freeze();
                Ok(Some(Event { id: event_id(&bytes), bytes }))
            }
            None if self.buf.len() > MAX_EVENT_BYTES => Err(MalformedEvent::TooLong),
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

/// True if an HTTP response has begun inside the event, as in a body without framing whose server has
/// answered again: a line ends with a status line, and the next one is a header.
fn contains_http_head(event: &[u8]) -> bool {
    let lines = || event.split(|byte| *byte == b'\n');
    lines().zip(lines().skip(1)).any(|(line, next)| contains_status_line(line) && is_header(next))
}

fn contains_status_line(line: &[u8]) -> bool {
    line.windows(STATUS_LINE_START_BYTES).any(|start| match start {
        [b'H', b'T', b'T', b'P', b'/', b'1', b'.', b'0' | b'1', b' ', status @ ..] => {
            status.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    })
}

/// True if `line` has a name before a colon that no field of an event has.
fn is_header(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    let name = &line[..colon];
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    !name.is_empty() && name.iter().all(is_name) && !EVENT_FIELDS.contains(&name)
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
