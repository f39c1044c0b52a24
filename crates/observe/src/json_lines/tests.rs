//! What is left out under load, and that it is said.

use super::*;

fn fill(buffer: &mut Buffer, lines: u32) {
    for _ in 0..lines {
        buffer.take(b"{}\n", 1, Topic::Ordinary);
    }
}

#[test]
fn lines_beyond_a_seconds_budget_are_counted_under_the_vms_name() {
    let mut buffer = Buffer::default();
    fill(&mut buffer, LINES_PER_S + 7);
    let bytes = buffer.drain("vm-1");
    let text = String::from_utf8(bytes).expect("lines are text");
    let last = text.lines().last().expect("a line");
    let line: serde_json::Value = serde_json::from_str(last).expect("a JSON line");
    assert_eq!(line["vm"], "vm-1");
    assert_eq!(line["event"], "lines_left_out");
    assert_eq!(line["lines"], 7);
}

#[test]
fn failures_have_room_after_ordinary_lines_have_none() {
    let mut buffer = Buffer::default();
    fill(&mut buffer, LINES_PER_S + 1);
    assert!(buffer.take(b"{}\n", 1, Topic::Failure));
    assert!(!buffer.take(b"{}\n", 1, Topic::Ordinary));
    assert!(buffer.take(b"{}\n", 2, Topic::Ordinary), "a new second");
}

#[test]
fn lines_about_the_life_of_the_process_have_room_after_failures_have_none() {
    let mut buffer = Buffer::default();
    let failure = vec![b'x'; 1 << 10];
    while buffer.take(&failure, 1, Topic::Failure) {}
    assert!(buffer.take(b"{}\n", 1, Topic::Lifecycle));
    for _ in 0..10_000 {
        buffer.take(b"{}\n", 1, Topic::Lifecycle);
    }
    assert!(!buffer.take(b"{}\n", 1, Topic::Lifecycle), "bounded too");
    assert!(buffer.take(b"{}\n", 2, Topic::Lifecycle), "a new second");
}
