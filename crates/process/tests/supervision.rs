//! Tasks that panic.

use {
    glade_process::{Panicked, RestartPause, catch_panic, keep_running},
    std::{
        cell::RefCell,
        time::{Duration, Instant},
    },
};

/// Longest pause between two restarts.
const PAUSE_MAX: Duration = Duration::from_secs(5);

#[tokio::test(start_paused = true)]
async fn a_task_that_panics_runs_again_until_it_returns() {
    let runs = RefCell::new(0);
    let ended = keep_running("test", async || {
        *runs.borrow_mut() += 1;
        tokio::task::yield_now().await;
        // A guard that is held during a panic doesn't block the next run.
        let runs = runs.borrow_mut();
        assert!(*runs > 3, "run {runs} panics");
        *runs
    });
    assert_eq!(ended.await, 4);
}

#[tokio::test]
async fn a_panic_is_told_from_a_result() {
    assert_eq!(catch_panic(async { 7 }).await, Ok(7));
    assert_eq!(catch_panic::<u32>(async { panic!("a broken invariant") }).await, Err(Panicked));
}

#[test]
fn pauses_grow_to_a_bound_and_shrink_after_a_quiet_time() {
    let (mut pauses, mut now) = (RestartPause::default(), Instant::now());
    let first = pauses.after_panic(now);
    let mut last = first;
    for _ in 0..20 {
        now += last;
        let next = pauses.after_panic(now);
        assert!(next > last || next == PAUSE_MAX, "{last:?} {next:?}");
        last = next;
    }
    assert_eq!((last, pauses.restarts()), (PAUSE_MAX, 21));
    assert_eq!(pauses.after_panic(now + Duration::from_secs(60)), first);
}
