//! The limit of one server, as one VM's request path knows it: by the answers that the VM receives
//! and by what other VMs report.

use {
    crate::{limit_table::NamedLimit, stated_limit::StatedLimit},
    std::time::{Duration, Instant},
};

/// Shortest time between two reports of unreadable limits of one server.
const UNREADABLE_REPORT_INTERVAL: Duration = Duration::from_secs(60);
/// Shortest time between two reports of the same limit to the control thread.
const NAMED_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time within which the control thread's view has what the request path has reported.
const VIEW_DELAY_MAX: Duration = Duration::from_secs(1);

/// What an answer has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The server has named its first limit.
    Named,
    /// The server has named another limit.
    Changed {
        /// The limit before, in requests per second.
        before: f64,
    },
    /// The server has ceased to name a limit.
    Ended {
        /// The limit before, in requests per second.
        before: f64,
    },
    /// The server states something that is not a rate, which changes nothing.
    Unreadable,
}

/// What the request path reports about a server's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitReport {
    /// An answer has named this limit, in requests per second.
    Named(f64),
    /// An answer without a limit has arrived.
    Ended {
        /// Time since the request for it was sent.
        sent_before: Duration,
    },
}

/// The limit of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLimit {
    limit: Option<NamedLimit>,
    /// When an answer to this VM last named a limit.
    own_named_at: Option<Instant>,
    /// When the request was sent whose answer ended the last limit.
    end_sent_at: Option<Instant>,
    reported_at: Option<Instant>,
    unreadable_at: Option<Instant>,
}

impl KnownLimit {
    /// The limit that the server is known to name.
    pub fn get(&self) -> Option<NamedLimit> {
        self.limit
    }

    /// Records what an answer at `now` to a request sent at `sent_at` has stated.
    ///
    /// Answers overtake each other. An answer without a limit ends the limit only if its request
    /// was sent after the limit was named last.
    pub fn record(
        &mut self,
        now: Instant,
        sent_at: Instant,
        stated: StatedLimit,
    ) -> Option<LimitChange> {
        match (stated, self.limit) {
            (StatedLimit::PerSecond(per_second), known) => {
                let began_at = known.map_or(now, |known| known.began_at);
                self.limit = Some(NamedLimit { per_second, named_at: now, began_at });
                self.own_named_at = Some(now);
                match known {
                    None => Some(LimitChange::Named),
                    Some(known) => (known.per_second != per_second)
                        .then_some(LimitChange::Changed { before: known.per_second }),
                }
            }
            (StatedLimit::None, Some(known)) if sent_at > known.named_at => {
                self.limit = None;
                self.own_named_at = None;
                self.end_sent_at = Some(sent_at);
                Some(LimitChange::Ended { before: known.per_second })
            }
            (StatedLimit::None, _) => None,
            (StatedLimit::Unreadable, _) => {
                let is_recent =
                    |at: Instant| now.saturating_duration_since(at) < UNREADABLE_REPORT_INTERVAL;
                if self.unreadable_at.is_some_and(is_recent) {
                    return None;
                }
                self.unreadable_at = Some(now);
                Some(LimitChange::Unreadable)
            }
        }
    }

    /// What to report after an answer that has caused `change`, if anything.
    pub fn report(&mut self, now: Instant, change: Option<LimitChange>) -> Option<LimitReport> {
        if let Some(LimitChange::Ended { .. }) = change {
            let sent_at = self.end_sent_at?;
            return Some(LimitReport::Ended {
                sent_before: now.saturating_duration_since(sent_at),
            });
        }
        let limit = self.limit.filter(|limit| limit.named_at == now)?;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < NAMED_REPORT_INTERVAL;
        if change.is_none() && self.reported_at.is_some_and(is_recent) {
            return None;
        }
        self.reported_at = Some(now);
        Some(LimitReport::Named(limit.per_second))
    }

    /// Applies the limit that all nodes together know. What this VM has found out itself a moment
    /// ago may be missing there.
    pub fn apply_view(&mut self, now: Instant, view: Option<NamedLimit>) {
        match view {
            Some(view) if self.end_sent_at.is_some_and(|at| at > view.named_at) => {}
            Some(view) => match &mut self.limit {
                Some(known) if known.named_at > view.named_at => known.began_at = view.began_at,
                known => *known = Some(view),
            },
            None => {
                let is_pending = |at: Instant| now.saturating_duration_since(at) < VIEW_DELAY_MAX;
                if !self.own_named_at.is_some_and(is_pending) {
                    self.limit = None;
                }
            }
        }
    }
}
