//! Tells whether this node, a core, has been in touch without a gap: with the store, by its own calls or by
//! those of cores that it hears, or with all other cores while the store answers none of them.
//!
//! A node that is out of touch misses changes and can't know which. Heartbeats that it hears afterwards don't
//! tell what it has missed.

use {
    crate::peers::Peers,
    glade_types::VmId,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time since the store last answered any node known of up to which this node is in touch with it. A sound
/// reader's calls end after 0.7 s without changes.
const ANSWER_AGE_MAX: Duration = Duration::from_secs(2);
/// Time between two checks from which on this node has stood still.
const CHECK_GAP_MAX: Duration = Duration::from_secs(1);
/// Time for which another core counts after it was one, while the store answers. Meanwhile it has fallen
/// silent for this node, but may serve others.
const CORE_COUNTS_FOR: Duration = Duration::from_secs(10);

/// This node's contact with the store and with the other cores.
#[derive(Debug)]
pub(crate) struct Contact {
    /// The other cores, and when each was last known as one. None is dropped while the store answers nobody.
    cores: BTreeMap<VmId, Instant>,
    checked_at: Instant,
    since: Option<Instant>,
}

impl Contact {
    pub(crate) fn new(now: Instant) -> Self {
        Self { cores: BTreeMap::new(), checked_at: now, since: None }
    }

    /// Checks whether this node is in touch. `silence` is the time since the store last answered any node
    /// known of.
    pub(crate) fn check<'a>(
        &mut self,
        now: Instant,
        silence: Duration,
        cores: impl Iterator<Item = &'a VmId>,
        peers: &Peers,
    ) {
        let has_stood_still = now.saturating_duration_since(self.checked_at) > CHECK_GAP_MAX;
        self.checked_at = now;
        for vm in cores {
            self.cores.insert(vm.clone(), now);
        }
        let store_answers = silence < ANSWER_AGE_MAX;
        if store_answers {
            self.cores.retain(|_, at| now.saturating_duration_since(*at) < CORE_COUNTS_FOR);
        }
        let hears_others = !self.cores.is_empty() && self.all_cores_are_live(now, peers);
        let is_in_touch = !has_stood_still && (store_answers || hears_others);
        self.since = is_in_touch.then(|| self.since.unwrap_or(now));
    }

    /// Since when this node has been in touch; `None` if it isn't.
    pub(crate) fn since(&self) -> Option<Instant> {
        self.since
    }

    /// True if each core that this node has known lately is live.
    pub(crate) fn all_cores_are_live(&self, now: Instant, peers: &Peers) -> bool {
        self.cores.keys().all(|vm| peers.is_live(now, vm))
    }

    /// Forgets everything, as this node isn't a core any more.
    pub(crate) fn reset(&mut self, now: Instant) {
        *self = Self::new(now);
    }
}

#[cfg(test)]
mod tests;
