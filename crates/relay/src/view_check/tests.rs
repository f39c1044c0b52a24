//! For how long requests are held back.

use super::*;

const TICK: Duration = Duration::from_millis(50);

#[test]
fn requests_are_held_back_until_the_control_thread_has_caught_up() {
    let mut now = Instant::now();
    let (check, standstill) = (ViewCheck::new(now), Standstill::new(now));
    for _ in 0..100 {
        now += TICK;
        standstill.note_running(now);
        assert!(!standstill.holds(now, &check), "a control thread that is slow holds nothing up");
    }
    now += Duration::from_secs(3);
    assert!(standstill.holds(now, &check));
    check.record(now - TICK);
    now += TICK;
    assert!(standstill.holds(now, &check), "that was before");
    check.record(now);
    assert!(!standstill.holds(now, &check));
}

#[test]
fn requests_arent_held_back_for_long_if_no_other_node_is_heard() {
    let start = Instant::now();
    let (check, standstill) = (ViewCheck::new(start), Standstill::new(start));
    let woke_at = start + Duration::from_secs(3);
    assert!(standstill.holds(woke_at, &check));
    assert!(standstill.holds(woke_at + HOLD_MAX - TICK, &check));
    assert!(!standstill.holds(woke_at + HOLD_MAX, &check));
}
