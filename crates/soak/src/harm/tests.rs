//! What counts as harmed, and for how long.

use super::*;

const AT: Duration = Duration::from_secs(10);

#[test]
fn a_request_beside_or_soon_after_a_fault_is_harmed() {
    let mut harm = Harm::default();
    harm.begin(Fault::Pause { node: 1 }, AT);
    let since = |after| harm.is_harmed_since(Harmed::Node(1), AT + after);
    assert!(since(Duration::ZERO) && since(AFTERMATH));
    assert!(!since(AFTERMATH + Duration::from_millis(1)));
    assert!(!harm.is_harmed_since(Harmed::Node(0), AT));
    assert!(!harm.is_harmed_since(Harmed::EngineLink(1), AT));
}

#[test]
fn a_shorter_fault_doesnt_shorten_a_longer_one() {
    let mut harm = Harm::default();
    harm.note(Harmed::EngineLink(0), AT);
    harm.note(Harmed::EngineLink(0), AT / 2);
    assert!(harm.is_harmed_since(Harmed::EngineLink(0), AT));
}

#[test]
fn one_that_is_told_to_end_is_harmed_only_when_it_is_killed() {
    let mut harm = Harm::default();
    harm.begin(Fault::Terminate { node: 0 }, AT);
    assert!(!harm.is_harmed_since(Harmed::Node(0), Duration::ZERO));
}
