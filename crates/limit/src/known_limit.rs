//! The limit of one server, as the answers that one VM receives tell it.

use {
    crate::stated_limit::StatedLimit,
    std::time::{Duration, Instant},
};

/// Shortest time between two reports of unreadable limits of one server.
const UNREADABLE_REPORT_INTERVAL: Duration = Duration::from_secs(60);

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

/// The limit of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLimit {
    limit: Option<(f64, Instant)>,
    unreadable_at: Option<Instant>,
}

impl KnownLimit {
    /// The limit in requests per second, and when an answer named it last.
    pub fn get(&self) -> Option<(f64, Instant)> {
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
            (StatedLimit::PerSecond(rate), known) => {
                self.limit = Some((rate, now));
                match known {
                    None => Some(LimitChange::Named),
                    Some((before, _)) => {
                        (before != rate).then_some(LimitChange::Changed { before })
                    }
                }
            }
            (StatedLimit::None, Some((before, named_at))) if sent_at > named_at => {
                self.limit = None;
                Some(LimitChange::Ended { before })
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
}
