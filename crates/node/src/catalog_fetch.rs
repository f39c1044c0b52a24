//! Gets a later configuration than the node's own, once another node has reported one.
//!
//! A node hears of a version from heartbeats, mostly those of its cores, and each message may be lost
//! or late. So the node doesn't rely on the next heartbeat, or on the nodes whose heartbeats it gets:
//! it asks one node after the other until it has the version.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time that a core gives the store to answer before it asks other nodes.
const STORE_WAIT: Duration = Duration::from_millis(250);
/// Interval between requests to nodes.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between requests to the node that has reported the version last.
const INFORMER_INTERVAL: Duration = Duration::from_millis(350);
/// Time without heartbeats of its cores after which a leaf asks other nodes for a later version: two
/// periods of heartbeats.
const SILENCE_MAX: Duration = Duration::from_millis(700);
/// Interval between these requests.
const SILENCE_REQUEST_INTERVAL: Duration = Duration::from_millis(350);
/// Time after the last report of a later version for which the node asks for it. A version that the
/// store lost in a restore may be on no node any more.
const REPORT_AGE_MAX: Duration = Duration::from_secs(2);

/// Where a node asks for a later configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CatalogSource {
    /// The platform's store.
    Store,
    /// The node that has reported a later version.
    Informer(SocketAddr),
    /// A core, or another node of the data centre. It may not have the later version.
    Any(NodeKind),
}

/// Nodes of which one is picked at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeKind {
    /// The cores of all data centres.
    Core,
    /// The other nodes of this data centre.
    Local,
}

/// A node's own access to the store, by which it decides whom to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StoreUse {
    /// The node may ask the store for the configuration. Leaves don't, because all would ask at once.
    pub(crate) may_ask: bool,
    /// The node follows the store's table of configurations anyway.
    pub(crate) reads_table: bool,
}

/// A later version that other nodes have reported, and the requests for it.
#[derive(Clone, Copy, Debug)]
struct Behind {
    since: Instant,
    informer: SocketAddr,
    reported_at: Instant,
    has_asked_store: bool,
    /// The informer that was asked last, and when.
    informer_asked: Option<(SocketAddr, Instant)>,
}

/// Requests of a node for the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct CatalogFetch {
    /// Latest version that another node has reported.
    latest: u64,
    behind: Option<Behind>,
    /// When a node was last asked.
    asked_at: Option<Instant>,
    /// A core was asked last of the nodes that were picked at random.
    core_was_last: bool,
}

impl CatalogFetch {
    /// Records that the node at `informer` has a later `version` in force than this one. Returns true
    /// if no node has reported such a late version before.
    pub(crate) fn on_report(&mut self, now: Instant, version: u64, informer: SocketAddr) -> bool {
        let is_new = version > self.latest;
        self.latest = version.max(self.latest);
        let behind = self.behind.get_or_insert(Behind {
            since: now,
            informer,
            reported_at: now,
            has_asked_store: false,
            informer_asked: None,
        });
        (behind.informer, behind.reported_at) = (informer, now);
        is_new
    }

    /// Records that `version` is in force. Returns for how long the node has known of a later one than
    /// it had, if it has.
    pub(crate) fn on_in_force(&mut self, now: Instant, version: u64) -> Option<Duration> {
        let behind = self.behind?;
        if version >= self.latest {
            self.behind = None;
        }
        Some(now.saturating_duration_since(behind.since))
    }

    /// Latest version that another node has reported.
    pub(crate) fn latest(&self) -> u64 {
        self.latest
    }

    /// True if the node asks for a later version.
    pub(crate) fn is_behind(&self) -> bool {
        self.behind.is_some()
    }

    /// Where the node is to ask now, if a request is due. `upstream_silence` is the time since the last
    /// heartbeat of one of its cores, if it is a leaf.
    pub(crate) fn next_source(
        &mut self,
        now: Instant,
        store: StoreUse,
        upstream_silence: Option<Duration>,
    ) -> Option<CatalogSource> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let asked_ago = self.asked_at.map_or(Duration::MAX, age);
        self.behind.take_if(|behind| age(behind.reported_at) >= REPORT_AGE_MAX);
        let Some(behind) = &mut self.behind else {
            let is_silent = upstream_silence.is_some_and(|silence| silence >= SILENCE_MAX);
            return (is_silent && asked_ago >= SILENCE_REQUEST_INTERVAL)
                .then(|| self.pick_kind(now));
        };
        if store.may_ask && age(behind.since) < STORE_WAIT {
            let has_asked = std::mem::replace(&mut behind.has_asked_store, true);
            return (!has_asked && !store.reads_table).then_some(CatalogSource::Store);
        }
        if asked_ago < REQUEST_INTERVAL {
            return None;
        }
        let informer = behind.informer;
        let is_recent = |(addr, at)| addr == informer && age(at) < INFORMER_INTERVAL;
        if behind.informer_asked.is_some_and(is_recent) {
            return Some(self.pick_kind(now));
        }
        behind.informer_asked = Some((informer, now));
        self.asked_at = Some(now);
        Some(CatalogSource::Informer(informer))
    }

    /// Asks a core and another node by turns.
    fn pick_kind(&mut self, now: Instant) -> CatalogSource {
        self.asked_at = Some(now);
        self.core_was_last = !self.core_was_last;
        CatalogSource::Any(if self.core_was_last { NodeKind::Core } else { NodeKind::Local })
    }
}

#[cfg(test)]
mod tests;
