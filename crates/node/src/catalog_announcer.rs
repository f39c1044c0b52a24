//! Decides when a core reports its version of the configuration again, ahead of its next heartbeat,
//! to nodes that haven't reported the version themselves.

use std::time::{Duration, Instant};

/// Time after which a node whose links are sound has reported the version.
const CONFIRM_TIME: Duration = Duration::from_millis(350);
/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which the version is reported. Later, heartbeats suffice.
const REPORT_TIME: Duration = Duration::from_secs(4);

/// When the version in force was applied and last reported again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CatalogAnnouncer {
    in_force_at: Option<Instant>,
    reported_at: Option<Instant>,
}

impl CatalogAnnouncer {
    /// Records that another version has come into force.
    pub(crate) fn on_in_force(&mut self, now: Instant) {
        *self = Self { in_force_at: Some(now), reported_at: None };
    }

    /// True if the version is to be reported now, which is then recorded.
    pub(crate) fn take_due(&mut self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_unconfirmed =
            self.in_force_at.is_some_and(|at| (CONFIRM_TIME..REPORT_TIME).contains(&age(at)));
        let is_due = is_unconfirmed && self.reported_at.is_none_or(|at| age(at) >= REPORT_INTERVAL);
        if is_due {
            self.reported_at = Some(now);
        }
        is_due
    }
}
