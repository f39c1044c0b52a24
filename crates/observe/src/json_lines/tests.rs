//! What is left out under load, and that it is said.

use super::*;

fn fill(buffer: &mut Buffer, lines: u32) {
    for _ in 0..lines {
        buffer.take(b"{}\n", 1, false);
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
    assert!(buffer.take(b"{}\n", 1, true));
    assert!(!buffer.take(b"{}\n", 1, false));
    assert!(buffer.take(b"{}\n", 2, false), "a new second");
}
