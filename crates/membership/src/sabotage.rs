//! Fault injection: disables at run time the check that a new table has a higher version than the
//! active one. Compiled only with the `sabotage` feature, which no shipped program enables. Tests
//! use it to show that the fuzzing oracles detect the missing check.

use std::sync::atomic::{AtomicBool, Ordering};

static CHECK_DISABLED: AtomicBool = AtomicBool::new(false);

/// Disables the version check for the rest of the process, or enables it again.
pub fn remove_guard(remove: bool) {
    CHECK_DISABLED.store(remove, Ordering::Relaxed);
}

pub(crate) fn is_version_check_disabled() -> bool {
    CHECK_DISABLED.load(Ordering::Relaxed)
}
