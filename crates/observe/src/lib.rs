//! Logs as JSON lines, and metrics by opentelemetry in Prometheus' text form.

mod metrics;

pub use crate::metrics::Metrics;

use logforth::{append::Stderr, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

/// Sends logs to standard error as JSON lines. The level is taken from `RUST_LOG`, `info` if unset.
/// Has no effect if logging was started already.
pub fn start_logging() {
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .try_apply();
    if let Err(err) = started {
        log::debug!("logging: {err}");
    }
}
