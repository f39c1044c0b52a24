//! Logs panics, so that the log of a process tells where it or one of its threads ended.

use {
    crate::{LIFECYCLE, last_words::print_error},
    std::{
        backtrace::{Backtrace, BacktraceStatus},
        panic, thread,
    },
};

/// Has every panic logged as `panicked` with the thread, the place in the source and the reason, and
/// written out at once, because the process may end next. Standard error has the same, and a backtrace
/// if `RUST_BACKTRACE` asks for one. Neither is waited for if nobody reads it.
pub(crate) fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let thread = thread::current();
        let thread = thread.name().unwrap_or("unnamed");
        let location = info.location().map_or_else(String::new, ToString::to_string);
        let text = info.payload().downcast_ref::<&str>().copied();
        let formatted = || info.payload().downcast_ref::<String>().map(String::as_str);
        let reason = text.or_else(formatted).unwrap_or("unknown");
        log::error!( target: LIFECYCLE, thread = thread, location = location.as_str(), reason = reason; "panicked");
        log::logger().flush();
        let backtrace = Backtrace::capture();
        let has_backtrace = backtrace.status() == BacktraceStatus::Captured;
        let backtrace = if has_backtrace { format!("\n{backtrace}") } else { String::new() };
        print_error(&format!("thread '{thread}' panicked at {location}:\n{reason}{backtrace}"));
    }));
}
