//! Splitting of events whose bytes arrive in arbitrary chunks.

use super::*;

fn events(chunks: &[&str]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes());
        while let Some(event) = splitter.next_event().expect("short events") {
            let text = String::from_utf8(event.bytes.to_vec()).expect("text");
            events.push((text, event.id));
        }
    }
    (events, splitter.is_empty())
}

#[test]
fn events_are_whole_however_their_bytes_arrive() {
    let whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    let expected = events(&[whole]);
    assert_eq!(expected.0.len(), 3);
    assert_eq!(expected.0.iter().map(|(_, id)| *id).collect::<Vec<_>>(), [Some(1), Some(2), None]);
    for cut in 1..whole.len() {
        assert_eq!(events(&[&whole[..cut], &whole[cut..]]), expected, "cut at {cut}");
    }
    assert_eq!(expected.0.iter().map(|(text, _)| text.as_str()).collect::<String>(), whole);
}

#[test]
fn half_an_event_is_not_forwarded() {
    let (events, is_empty) = events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n"]);
    assert_eq!(events.len(), 1);
    assert!(!is_empty);
}

#[test]
fn an_endless_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(splitter.next_event().is_err());
}
