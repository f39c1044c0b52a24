//! Logs panics, so that the log of a process tells where it or one of its threads ended.

use std::{panic, thread};

/// Has every panic logged as `panicked` with the thread, the place in the source and the reason, and
/// written out at once, because the process may end next. The previous hook still runs.
pub(crate) fn log_panics() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let thread = thread::current();
        let location = info.location().map_or_else(String::new, ToString::to_string);
        let reason = info.payload_as_str().unwrap_or("unknown");
        log::error!(
            thread = thread.name().unwrap_or("unnamed"),
            location = location.as_str(),
            reason = reason;
            "panicked"
        );
        log::logger().flush();
        previous(info);
    }));
}
