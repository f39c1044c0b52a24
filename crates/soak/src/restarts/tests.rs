use super::*;

const TOLD_AT: Duration = Duration::from_secs(10);

fn told() -> Restarts {
    let mut restarts = Restarts::new(2);
    restarts.tell(1, TOLD_AT);
    restarts
}

#[test]
fn a_node_is_overdue_after_its_grace_period_unless_it_has_ended() {
    let mut restarts = told();
    assert_eq!(restarts.overdue(1, TOLD_AT + GRACE_PERIOD), None);
    let late = TOLD_AT + GRACE_PERIOD + Duration::from_millis(1);
    assert_eq!(restarts.overdue(1, late), Some(TOLD_AT));
    assert_eq!(restarts.overdue(0, late), None);
    assert_eq!(restarts.end(1), Some(TOLD_AT));
    assert_eq!(restarts.overdue(1, late), None);
    assert!(!restarts.are_under_way());
}

#[test]
fn only_the_end_of_the_grace_period_may_cut_answers_and_only_to_early_requests() {
    let mut restarts = told();
    restarts.end(1);
    let at = |s: f64| Duration::from_secs_f64(TOLD_AT.as_secs_f64() + s);
    assert!(restarts.may_cut(1, at(-1.0), at(7.0)) && restarts.may_cut(1, at(3.0), at(8.0)));
    assert!(!restarts.may_cut(1, at(3.1), at(7.0)), "it had to refuse this one");
    assert!(!restarts.may_cut(1, at(-1.0), at(6.0)), "there was time left");
    assert!(!restarts.may_cut(1, at(-1.0), at(9.5)));
    assert!(!restarts.may_cut(0, at(-1.0), at(7.0)));
}
