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
pub struct ControlHandle {
    thread: JoinHandle<()>,
}

impl ControlHandle {
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
pub fn spawn_control<E: Send + 'static>(
    events: Receiver<E>,
    mut step: impl FnMut(Option<E>) -> bool + Send + 'static,
) -> io::Result<ControlHandle> {
    let run = move || {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let go_on = match events.recv_timeout(wait) {
                Ok(event) => step(Some(event)),
                Err(RecvTimeoutError::Timeout) => {
                    next_tick = Instant::now() + TICK;
                    step(None)
                }
                Err(RecvTimeoutError::Disconnected) => false,
            };
            if !go_on {
                return;
            }
        }
    };
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok(ControlHandle { thread })
}
