//! Splitting of events whose bytes arrive in arbitrary chunks.

use super::*;

fn split_events(chunks: &[&str]) -> (Vec<(String, Option<u64>)>, bool) {
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
fn events_are_split_regardless_of_chunk_boundaries() {
    let stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    let expected = split_events(&[stream]);
    assert_eq!(expected.0.len(), 3);
    assert_eq!(expected.0.iter().map(|(_, id)| *id).collect::<Vec<_>>(), [Some(1), Some(2), None]);
    for cut in 1..stream.len() {
        assert_eq!(split_events(&[&stream[..cut], &stream[cut..]]), expected, "cut at {cut}");
    }
    assert_eq!(expected.0.iter().map(|(text, _)| text.as_str()).collect::<String>(), stream);
}

#[test]
fn incomplete_event_is_not_returned() {
    let (events, is_empty) = split_events(&["id: 1\ndata: a\n\nid: 2\ndata: b\n"]);
    assert_eq!(events.len(), 1);
    assert!(!is_empty);
}

#[test]
fn too_long_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(splitter.next_event().is_err());
}

#[test]
fn an_http_head_inside_an_event_is_an_error() {
    for half in ["id: 2\nda", "id: 2\ndata: b", "id: 2\n", ""] {
        let mut splitter = EventSplitter::default();
        splitter.push(b"id: 1\ndata: a\n\n");
        splitter.push(half.as_bytes());
        splitter.push(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror");
        assert!(matches!(splitter.next_event(), Ok(Some(_))), "{half:?}");
        assert_eq!(splitter.next_event(), Err(MalformedEvent::HttpHead), "{half:?}");
    }
}

#[test]
fn events_about_http_are_returned() {
    let stream = "weight-versions: 3\nid: 1\ndata: HTTP/1.1 200 OK\n\n\
                  id: 2\nevent: text\ndata: HTTP/1.1 404 Not Found\ndata: Content-Length: 0\n\n\
                  data: HTTP/1.1 200 OK\r\nid: 3\r\n\r\n";
    let (events, is_empty) = split_events(&[stream]);
    assert_eq!(events.iter().map(|(_, id)| *id).collect::<Vec<_>>(), [Some(1), Some(2), Some(3)]);
    assert!(is_empty);
}
