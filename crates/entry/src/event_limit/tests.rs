//! The limit on the length of an event.

use super::*;

#[test]
fn an_event_without_end_is_an_error_and_many_events_are_not() {
    let mut limit = EventLimit::default();
    let event = b"id: 1\r\ndata: x\r\n\r\n";
    assert!((0..EVENT_BYTES_MAX).all(|_| limit.record(event).is_ok()));
    let line = b"data: x\n";
    assert!((0..EVENT_BYTES_MAX).any(|_| limit.record(line).is_err()));
}
