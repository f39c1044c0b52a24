//! What answers and failures say of the store.

use super::*;

#[test]
fn a_failure_of_an_earlier_call_says_nothing_of_the_present() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut health = StoreHealth::default();
    health.on_failure(at(100), at(0), "refused");
    assert!(health.is_unreachable());
    health.on_answer(at(200));
    health.on_failure(at(300), at(150), "timed out");
    assert!(!health.is_unreachable(), "a later call was answered");
    health.on_failure(at(400), at(250), "refused");
    assert!(health.is_unreachable());
}

#[test]
fn only_a_fresh_failure_speaks_for_the_store_being_away() {
    let view = |answered: Option<u64>, failed: Option<u64>| StoreStatus {
        answered: answered.map(Duration::from_millis),
        failed: failed.map(Duration::from_millis),
    };
    assert!(view(Some(5000), Some(100)).is_unreachable());
    assert!(view(None, Some(100)).is_unreachable());
    assert!(!view(Some(50), Some(100)).is_unreachable(), "it has answered since");
    assert!(!view(Some(9000), Some(5000)).is_unreachable(), "nobody has tried lately");
    assert!(!view(Some(9000), None).is_unreachable());
}
