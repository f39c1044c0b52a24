//! Run-time switch that disables the read-back of an insert with an unknown outcome.
//!
//! With the guard disabled, [`KeyedCall`](crate::KeyedCall) dispatches a call although its insert
//! may not have been applied. The fuzzer uses the switch to show that its oracles detect the
//! missing guard. The module is compiled only with the `sabotage` feature, which no shipped program
//! enables.

use std::sync::atomic::{AtomicBool, Ordering};

static GUARD_REMOVED: AtomicBool = AtomicBool::new(false);

/// Disables the guard for the whole process if `remove` is true, and enables it otherwise.
pub fn remove_guard(remove: bool) {
    GUARD_REMOVED.store(remove, Ordering::Relaxed);
}

pub(crate) fn is_guard_removed() -> bool {
    GUARD_REMOVED.load(Ordering::Relaxed)
}
