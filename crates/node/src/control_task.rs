//! Tasks of the control thread.

use {
    crate::event::Event,
    glade_process::catch_panic,
    tokio::{sync::mpsc::Sender, task::spawn_local},
};

/// Runs `task` on the control thread. If it panics, [`Event::TaskPanicked`] is sent to `events`, since
/// the control may wait for the task's outcome for ever.
pub(crate) fn spawn_task(events: &Sender<Event>, task: impl Future<Output = ()> + 'static) {
    let events = events.clone();
    spawn_local(async move {
        if catch_panic(task).await.is_err() {
            // The channel closes only when the process ends, so a failed send needs no handling.
            let _ = events.send(Event::TaskPanicked).await;
        }
    });
}

#[cfg(test)]
mod tests;
