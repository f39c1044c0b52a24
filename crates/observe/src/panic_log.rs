//! Logs panics, so that the log of a process tells where it or one of its threads ended.

use std::{panic, thread};

/// Has every panic logged as `panicked` with the thread, the place in the source and the reason, and
/// written out at once, because the process may end next. The previous hook still runs.
pub(crate) fn log_panics() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let thread = thread::current();
        let location = info.location().map_or_else(String::new, ToString::to_string);
        let payload = info.payload();
        let text = payload.downcast_ref::<&str>().copied();
        let reason = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        log::error!(
            thread = thread.name().unwrap_or("unnamed"),
            location = location.as_str(),
            reason = reason.unwrap_or("unknown");
            "panicked"
        );
        log::logger().flush();
        previous(info);
    }));
}
