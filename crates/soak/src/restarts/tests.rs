//! Which ends of nodes are told from those that the soak asked for.

use super::*;

const TICK: Duration = Duration::from_secs(10);

fn told() -> (Restarts, Told) {
    let mut restarts = Restarts::new(2);
    let told = Told { tick: TICK, at: Instant::now() };
    restarts.tell(1, told);
    (restarts, told)
}

#[test]
fn a_node_is_overdue_after_its_grace_period_unless_it_has_ended() {
    let (mut restarts, told) = told();
    assert_eq!(restarts.overdue(1, TICK + GRACE_PERIOD), None);
    let late = TICK + GRACE_PERIOD + Duration::from_millis(1);
    assert_eq!(restarts.overdue(1, late), Some(told));
    assert_eq!(restarts.overdue(0, late), None);
    assert_eq!(restarts.end(1), Some(told));
    assert_eq!(restarts.overdue(1, late), None);
    assert!(!restarts.are_under_way());
}

#[test]
fn only_the_end_of_the_grace_period_may_cut_answers_and_only_to_early_requests() {
    let (mut restarts, told) = told();
    restarts.end(1);
    let at = |s: f64| told.at + Duration::from_secs_f64(s);
    assert!(restarts.may_cut(1, told.at, at(7.0)) && restarts.may_cut(1, at(3.0), at(8.0)));
    assert!(!restarts.may_cut(1, at(3.1), at(7.0)), "it had to refuse this one");
    assert!(!restarts.may_cut(1, told.at, at(6.0)), "there was time left");
    assert!(!restarts.may_cut(1, told.at, at(9.5)));
    assert!(!restarts.may_cut(0, told.at, at(7.0)));
}
