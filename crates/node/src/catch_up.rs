//! Tells whether this node has caught up with the others after it stood still.
//!
//! What it hears right afterwards may have been sent long before. So it sends a heartbeat, and has caught up when
//! another node that has received it reports no later changes of the registry than this node has.

use {
    crate::peer_network::PeerNetwork,
    glade_platform::Revision,
    std::time::{Duration, Instant},
};

/// Time between two checks from which on this node has stood still.
const CHECK_GAP_MAX: Duration = Duration::from_secs(1);

/// Whether this node has caught up.
#[derive(Debug)]
pub(crate) struct CatchUp {
    checked_at: Instant,
    /// Last sequence number of this node's heartbeats from before it noticed that it stood still.
    stale_seq: Option<u64>,
}

impl CatchUp {
    pub(crate) fn new(now: Instant) -> Self {
        Self { checked_at: now, stale_seq: None }
    }

    /// Notices if this node has stood still. A heartbeat is due then.
    pub(crate) fn notice_standstill(&mut self, now: Instant, network: &PeerNetwork) -> bool {
        let gap = now.saturating_duration_since(self.checked_at);
        self.checked_at = now;
        let has_stood_still = gap > CHECK_GAP_MAX;
        if has_stood_still {
            self.stale_seq = Some(network.peers.sent_seq());
        }
        has_stood_still
    }

    /// True if this node, which has all changes of the registry up to `revision`, has caught up.
    pub(crate) fn is_done(
        &mut self,
        now: Instant,
        network: &PeerNetwork,
        revision: Revision,
    ) -> bool {
        self.stale_seq.take_if(|seq| network.confirms_registry(now, *seq, revision));
        self.stale_seq.is_none()
    }
}

#[cfg(test)]
mod tests;
