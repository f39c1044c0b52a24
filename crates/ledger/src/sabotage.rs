//! Removes a guard at run time. Compiled only with the `sabotage` feature, which no shipped program
//! enables; it exists to show that the fuzzing oracles notice when the guard is missing.

use std::sync::atomic::{AtomicBool, Ordering};

static GUARD_REMOVED: AtomicBool = AtomicBool::new(false);

/// Removes the guard for the rest of the process, or puts it back.
pub fn remove_guard(remove: bool) {
    GUARD_REMOVED.store(remove, Ordering::Relaxed);
}

pub(crate) fn is_guard_removed() -> bool {
    GUARD_REMOVED.load(Ordering::Relaxed)
}
