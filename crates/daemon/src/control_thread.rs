//! The control thread: the thread of a daemon that owns the control state, and its event loop.
//!
//! Everything that changes the control state arrives as an event on one bounded channel, so the
//! state needs no lock. When the channel is full, a sender drops its event, because request traffic
//! must never wait for the control thread.

use {
    std::{
        io,
        panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
        sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// Capacity of the control thread's event queue; events beyond it are dropped.
const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A running control thread.
#[derive(Debug)]
pub struct ControlThreadHandle {
    thread: JoinHandle<()>,
    panicked: watch::Receiver<bool>,
}

impl ControlThreadHandle {
    /// Waits until the thread has panicked. Its state can't be trusted any more, so the process has to
    /// end in order.
    pub async fn panicked(&self) {
        if self.panicked.clone().wait_for(|panicked| *panicked).await.is_err() {
            // The thread has ended without a panic.
            std::future::pending().await
        }
    }

    /// Waits until the thread has ended, and logs an error if it panicked.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("the control thread panicked");
        }
    }
}

/// Returns both ends of a bounded channel for the control thread's events.
pub fn channel<E>() -> (SyncSender<E>, Receiver<E>) {
    sync_channel(EVENT_QUEUE_CAPACITY)
}

/// Starts a thread that calls `step` with every event and, at every tick, with `None`. The thread
/// ends when `step` returns false or all senders have been dropped.
///
/// # Errors
///
/// Fails if the operating system can't start the thread.
pub fn spawn_control_thread<E: Send + 'static>(
    events: Receiver<E>,
    mut step: impl FnMut(Option<E>) -> bool + Send + 'static,
) -> io::Result<ControlThreadHandle> {
    let run = move || {
        let mut next_tick = Instant::now();
        loop {
            // A due tick precedes queued events, so that a queue that never empties can't starve
            // ticks.
            let now = Instant::now();
            let keep_running = if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                step(None)
            } else {
                match events.recv_timeout(next_tick - now) {
                    Ok(event) => step(Some(event)),
                    Err(RecvTimeoutError::Timeout) => true,
                    Err(RecvTimeoutError::Disconnected) => false,
                }
            };
            if !keep_running {
                return;
            }
        }
    };
    let (sender, panicked) = watch::channel(false);
    let run_watched = move || {
        if let Err(reason) = catch_unwind(AssertUnwindSafe(run)) {
            sender.send_replace(true);
            resume_unwind(reason);
        }
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run_watched)?;
    Ok(ControlThreadHandle { thread, panicked })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_panic_of_the_thread_reaches_its_daemon() {
        let (sender, receiver) = channel::<()>();
        let step = |event: Option<()>| event.is_none_or(|()| panic!("a broken invariant"));
        let handle = spawn_control_thread(receiver, step).expect("a thread can be started");
        sender.send(()).expect("the channel is open");
        handle.panicked().await;
        handle.join();
    }

    /// Guards against a loop that ticks only when the queue is empty: the thread's step queues a
    /// new event for each one that it processes, so the queue never empties.
    #[test]
    fn a_queue_that_never_empties_does_not_starve_ticks() {
        const MAX_EVENTS: u32 = 100_000_000;
        let (sender, receiver) = channel::<()>();
        let (report, outcome) = sync_channel(1);
        for _ in 0..8 {
            sender.send(()).expect("the channel is open");
        }
        let (mut events, mut ticks) = (0_u32, 0_u32);
        let handle = spawn_control_thread(receiver, move |event| {
            match event {
                Some(()) => {
                    events += 1;
                    let _ = sender.try_send(());
                }
                None => ticks += 1,
            }
            let keep_running = ticks < 3 && events < MAX_EVENTS;
            if !keep_running {
                let _ = report.send(ticks);
            }
            keep_running
        })
        .expect("a thread can be started");
        assert_eq!(outcome.recv(), Ok(3), "the queue kept ticks from running");
        handle.join();
    }
}
