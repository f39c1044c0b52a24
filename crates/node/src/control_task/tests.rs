//! What the control learns of its tasks.

use {
    super::*,
    tokio::{
        runtime::Builder,
        sync::mpsc::{channel, error::TryRecvError},
        task::{LocalSet, yield_now},
    },
};

#[test]
fn the_control_learns_of_a_task_that_panics() {
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    let (events, mut inbox) = channel(1);
    LocalSet::new().block_on(&runtime, async {
        spawn_task(&events, async { yield_now().await });
        yield_now().await;
        yield_now().await;
        assert_eq!(inbox.try_recv().err(), Some(TryRecvError::Empty));
        spawn_task(&events, async {
            yield_now().await;
            panic!("a broken invariant");
        });
        assert!(matches!(inbox.recv().await, Some(Event::TaskPanicked)));
    });
}
