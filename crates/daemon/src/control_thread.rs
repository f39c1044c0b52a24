//! The thread that owns control state.
//!
//! Everything that changes control state arrives as an event on one bounded channel, so the state
//! needs no lock. When the channel is full the sender's event is dropped: traffic must never wait
//! for control.

use std::{
    io,
    sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Events queued for the control thread before further ones are dropped.
const QUEUE_LEN: usize = 4096;
/// Period of ticks.
const TICK: Duration = Duration::from_millis(100);

/// A running control thread.
#[derive(Debug)]
pub struct ControlThreadHandle {
    thread: JoinHandle<()>,
}

impl ControlThreadHandle {
    /// Waits until the thread has ended.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("the control thread broke an invariant");
        }
    }
}

/// Returns the control thread's channel.
pub fn channel<E>() -> (SyncSender<E>, Receiver<E>) {
    sync_channel(QUEUE_LEN)
}

/// Runs `step` on a thread of its own for every event and, with `None`, for every tick. The thread
/// ends when `step` returns false or all senders are gone.
///
/// # Errors
///
/// The thread can't be started.
pub fn spawn_control_thread<E: Send + 'static>(
    events: Receiver<E>,
    mut step: impl FnMut(Option<E>) -> bool + Send + 'static,
) -> io::Result<ControlThreadHandle> {
    let run = move || {
        let mut next_tick = Instant::now();
        loop {
            // Ticks come first when due: a queue that never empties must not keep them from coming.
            let now = Instant::now();
            let go_on = if now >= next_tick {
                next_tick = now + TICK;
                step(None)
            } else {
                match events.recv_timeout(next_tick - now) {
                    Ok(event) => step(Some(event)),
                    Err(RecvTimeoutError::Timeout) => true,
                    Err(RecvTimeoutError::Disconnected) => false,
                }
            };
            if !go_on {
                return;
            }
        }
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok(ControlThreadHandle { thread })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Found by reading: ticks came only when the queue was empty.
    #[test]
    fn a_queue_that_never_empties_does_not_keep_ticks_from_coming() {
        const MOST_EVENTS: u32 = 100_000_000;
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
            let go_on = ticks < 3 && events < MOST_EVENTS;
            if !go_on {
                let _ = report.send(ticks);
            }
            go_on
        })
        .expect("a thread can be started");
        assert_eq!(outcome.recv(), Ok(3), "ticks starved");
        handle.join();
    }
}
