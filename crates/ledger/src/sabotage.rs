//! Fault injection for fuzzing: disables the rule that an unanswered load keeps its memory reserved.
//!
//! The module is compiled only with the `sabotage` feature, which no shipped program enables. It serves
//! to show that the fuzzing oracles detect that the rule is missing.

use std::sync::atomic::{AtomicBool, Ordering};

static GUARD_REMOVED: AtomicBool = AtomicBool::new(false);

/// Disables the rule in this process if `remove` is true, and enables it again otherwise.
pub fn remove_guard(remove: bool) {
    GUARD_REMOVED.store(remove, Ordering::Relaxed);
}

/// True if the rule is disabled.
pub(crate) fn is_guard_removed() -> bool {
    GUARD_REMOVED.load(Ordering::Relaxed)
}
