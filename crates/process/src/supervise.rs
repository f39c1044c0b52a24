//! Supervision of tasks that panic. The panic itself is logged by the panic hook.

use {
    crate::restart_pause::RestartPause,
    futures_util::FutureExt,
    std::{fmt, panic::AssertUnwindSafe, time::Instant},
    tokio::time::sleep,
};

/// A task has panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Panicked;

impl fmt::Display for Panicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("panicked")
    }
}

impl std::error::Error for Panicked {}

/// Runs `task`, and ends it if it panics.
///
/// # Errors
///
/// The task has panicked. State that it shares with others may be half changed.
pub async fn catch_panic<T>(task: impl Future<Output = T>) -> Result<T, Panicked> {
    AssertUnwindSafe(task).catch_unwind().await.map_err(|_| Panicked)
}

/// Runs `task` until it returns, and again after a pause each time that it panics.
pub async fn keep_running<T>(name: &'static str, mut task: impl AsyncFnMut() -> T) -> T {
    let mut pauses = RestartPause::default();
    loop {
        if let Ok(output) = catch_panic(task()).await {
            return output;
        }
        let pause = pauses.after_panic(Instant::now());
        log::error!(
            task = name,
            restarts = pauses.restarts(),
            pause_ms = pause.as_millis() as u64;
            "task_restarts"
        );
        sleep(pause).await;
    }
}
