//! Logs as JSON lines, the last words of what panics among them, and metrics by opentelemetry in
//! Prometheus' text form.

mod json_lines;
mod last_words;
mod metrics;
mod panic_log;

pub use crate::{last_words::print_error, metrics::Metrics};

/// Target of the lines that tell how a process starts, stops, reloads and fares with what it depends on. They have room
/// that no other lines take.
pub const LIFECYCLE: &str = "lifecycle";

use {
    crate::{json_lines::JsonLines, panic_log::log_panics},
    logforth::filter::rustlog::RustLogFilterBuilder,
};

/// Sends logs to standard output as JSON lines that name `vm`, and logs panics. The level is taken
/// from `RUST_LOG`, `info` if unset. Has no effect if logging was started already.
pub fn start_logging(vm: &str) {
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(JsonLines::open(vm))
        })
        .try_apply();
    match started {
        Ok(()) => log_panics(),
        Err(err) => log::debug!("logging: {err}"),
    }
}

/// Waits until what was logged so far is written, for a fraction of a second at most.
pub fn flush_logs() {
    log::logger().flush();
}
