//! What happens after a panic on the control thread.

use {super::*, std::sync::mpsc, tokio::sync::mpsc::error::TryRecvError};

/// Generations that end, each in a way of its own.
const ENDED: u32 = 3;

#[test]
fn the_control_goes_on_after_a_panic_without_events_of_before() {
    let (events, inbox) = channel(8);
    let (report, reported) = mpsc::channel();
    let mut generation = 0;
    let run = move || {
        run_generations(inbox, move |inbox| {
            generation += 1;
            let left_over = inbox.try_recv().err();
            events.try_send(Event::TaskPanicked).expect("the queue has room");
            report.send((generation, left_over)).expect("the test waits");
            match generation {
                1 => panic!("a broken invariant"),
                2 => Err("no descriptors"),
                ENDED => Ok(()),
                _ => loop {
                    thread::park();
                },
            }
        });
    };
    // Runs until the test program ends.
    thread::spawn(run);
    for generation in 1..=ENDED + 1 {
        assert_eq!(reported.recv(), Ok((generation, Some(TryRecvError::Empty))));
    }
}
