//! Which requests come too late.

use {super::*, crate::plan::Fault};

const SECOND: Duration = Duration::from_secs(1);

/// What is found if requests reach a server some time after its entry was removed at 10 s.
fn found(arrive_after: Duration, faults: &[(Duration, Fault)]) -> Option<Violation> {
    let (log, mut harm, mut removals) = (RunLog::default(), Harm::default(), Removals::default());
    faults.iter().for_each(|(until, fault)| harm.begin(*fault, *until));
    removals.begin(SECOND * 10, 0, "market-0");
    removals.on_sent("a", 1);
    let start = Instant::now();
    log.arrive_at("a", "market-0", start + arrive_after);
    removals.look(SECOND * 11, start + SECOND);
    removals.look(SECOND * 12, start + SECOND * 2);
    assert!(removals.is_removed(0));
    let found = removals.end(0, &harm, &log);
    assert!(!removals.is_removed(0));
    found
}

#[test]
fn a_request_of_a_node_in_touch_is_too_late_after_two_seconds() {
    assert_eq!(found(SECOND, &[]), None);
    assert!(found(SECOND * 3, &[]).is_some());
}

#[test]
fn requests_of_nodes_out_of_touch_arent_judged() {
    let away = Fault::StoreLink { node: 1, link: crate::proxy::Link::Reset };
    assert_eq!(found(SECOND * 3, &[(SECOND * 9, away)]), None);
    assert_eq!(found(SECOND * 3, &[(SECOND * 9, Fault::Pause { node: 1 })]), None);
    assert_eq!(found(SECOND * 3, &[(SECOND * 9, Fault::Restore)]), None);
    assert!(found(SECOND * 3, &[(SECOND * 5, away)]).is_some(), "long before");
    let other = Fault::StoreLink { node: 0, link: crate::proxy::Link::Reset };
    assert!(found(SECOND * 3, &[(SECOND * 9, other)]).is_some());
}
