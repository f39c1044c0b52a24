//! Gets changes of the registry that this node lacks, once another node has reported that there are
//! some. As with the configuration, the node asks until it has them, see [`crate::catalog_fetch`].

use {
    glade_platform::Revision,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Time after the last report for which the node asks.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);

/// Where a node asks for the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RegistrySource {
    /// The node that has reported changes.
    Informer(SocketAddr),
    /// Any core.
    Core,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    revision: Revision,
    informer: SocketAddr,
    reported_at: Instant,
}

/// Requests of a node for the registry.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegistryFetch {
    wanted: Option<Wanted>,
    asked_at: Option<Instant>,
    informer_was_last: bool,
}

impl RegistryFetch {
    /// Records that the node at `informer` has all changes up to `revision`, which this node hasn't.
    pub(crate) fn on_report(&mut self, now: Instant, revision: Revision, informer: SocketAddr) {
        if self.wanted.is_none() {
            self.informer_was_last = false;
        }
        self.wanted = Some(Wanted { revision, informer, reported_at: now });
    }

    /// Where the node, which has all changes up to `known`, is to ask now, if a request is due.
    pub(crate) fn next_source(&mut self, now: Instant, known: Revision) -> Option<RegistrySource> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.wanted.take_if(|wanted| {
            wanted.revision <= known || age(wanted.reported_at) >= REPORT_AGE_MAX
        });
        let wanted = self.wanted?;
        if self.asked_at.is_some_and(|at| age(at) < REQUEST_INTERVAL) {
            return None;
        }
        self.asked_at = Some(now);
        self.informer_was_last = !self.informer_was_last;
        Some(if self.informer_was_last {
            RegistrySource::Informer(wanted.informer)
        } else {
            RegistrySource::Core
        })
    }
}
