//! Admission in the course of a drain.

use super::*;

const GRACE_PERIOD: Duration = Duration::from_secs(8);

#[test]
fn a_request_that_may_outlast_the_grace_period_is_admitted_only_at_its_beginning() {
    let start = Instant::now();
    let drain = Drain::new(start, GRACE_PERIOD);
    let admits = |elapsed_s: f64, time_limit_s: f64| {
        let now = start + Duration::from_secs_f64(elapsed_s);
        drain.admits(now, now + Duration::from_secs_f64(time_limit_s))
    };
    assert!(admits(2.3, 15.0));
    assert!(!admits(2.5, 15.0));
    assert!(admits(2.5, 4.0));
    assert!(!admits(6.0, 1.5));
    assert!(admits(6.0, 1.0));
    assert!(!admits(9.0, 0.1));
}
