//! Exchanges between nodes the addresses at which nodes accept callers, for service discovery.
//!
//! In a full mesh each node learns the addresses from heartbeats. In a mesh with leaves, the
//! primary core of a data centre, which receives the heartbeats of all nodes there, sends the list
//! of addresses to these nodes and to the other data centres.

use {
    crate::{
        latest_report::{latest_in_data_centre, latest_per_other_data_centre},
        peer_message::{PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
        published_state::CallerEndpoints,
    },
    glade_types::VmId,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Period at which a list that hasn't changed is sent again, in case a message was lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of the latest list from which a leaf requests another: one list was lost.
const REQUEST_AGE: Duration = Duration::from_secs(2);
/// Age after which a list no longer counts: three lists were lost.
const LIST_MAX_AGE: Duration = Duration::from_millis(3500);

/// Lists that other nodes have sent, and the list that this node last sent.
#[derive(Debug)]
pub(crate) struct EndpointExchange {
    received: BTreeMap<VmId, (PeerInfo, CallerEndpoints, Instant)>,
    sent: CallerEndpoints,
    sent_at: Instant,
    requested_at: Option<Instant>,
}

impl EndpointExchange {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            received: BTreeMap::new(),
            sent: CallerEndpoints::default(),
            sent_at: now,
            requested_at: None,
        }
    }

    /// Records a list of another node. Returns true if it differs from the node's previous list.
    pub(crate) fn on_endpoints(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        list: CallerEndpoints,
    ) -> bool {
        let is_unchanged = |known: &(PeerInfo, CallerEndpoints, Instant)| known.1 == list;
        let is_new = !self.received.get(&from.vm).is_some_and(is_unchanged);
        self.received.insert(from.vm.clone(), (from.clone(), list, now));
        is_new
    }

    /// Sends the list to other nodes if it has changed or a repetition is due. A leaf without a
    /// recent list requests one. `own_addr` is this node's address while it accepts callers.
    pub(crate) fn send_due(
        &mut self,
        now: Instant,
        own_addr: Option<SocketAddr>,
        network: &mut PeerNetwork,
    ) {
        self.received.retain(|_, (_, _, at)| is_fresh(now, *at));
        if !network.mesh.is_core {
            self.request_if_outdated(now, network);
        }
        if network.mesh.is_full_mesh || !network.mesh.is_primary_core {
            return;
        }
        let list = self.current(now, own_addr, network);
        if list == self.sent && now.saturating_duration_since(self.sent_at) < REPEAT_INTERVAL {
            return;
        }
        self.sent.clone_from(&list);
        self.sent_at = now;
        let for_others = CallerEndpoints {
            same_data_centre: list.same_data_centre.clone(),
            other_data_centres: Vec::new(),
        };
        network.send_to_remote_primaries(now, &PeerMessage::CallerEndpoints(for_others));
        network.send_to_local_cores(now, &PeerMessage::CallerEndpoints(list.clone()));
        network.send_to_leaves(now, &PeerMessage::CallerEndpoints(list));
    }

    /// Requests a list from a live core if the latest one is old: the primary core may be unable to
    /// reach this node while it reaches all others.
    fn request_if_outdated(&mut self, now: Instant, network: &mut PeerNetwork) {
        let age = |at| now.saturating_duration_since(at);
        let arrived_at = self.fresh(now).map(|(info, at, _)| (info, at, at));
        let arrived_at = latest_in_data_centre(arrived_at, &network.me.data_centre);
        let has_recent_list = arrived_at.is_some_and(|at| age(at) < REQUEST_AGE);
        let has_requested = self.requested_at.is_some_and(|at| age(at) < REPEAT_INTERVAL);
        if !has_recent_list && !has_requested {
            self.requested_at = Some(now);
            network.send_upstream(now, &PeerMessage::CallerEndpointsWanted);
        }
    }

    /// Addresses at which nodes accept callers; `own_addr` is this node's address while it accepts
    /// callers.
    pub(crate) fn current(
        &self,
        now: Instant,
        own_addr: Option<SocketAddr>,
        network: &PeerNetwork,
    ) -> CallerEndpoints {
        let here = &network.me.data_centre;
        if !network.mesh.is_core
            && let Some(list) = latest_in_data_centre(self.fresh(now), here)
        {
            return with_own(list, network.me.caller_addr, own_addr);
        }
        let is_same_data_centre = |info: &&PeerInfo| info.data_centre == *here;
        let serving = || network.peers.serving(now);
        let same_data_centre = own_addr
            .into_iter()
            .chain(serving().filter(is_same_data_centre).map(|info| info.caller_addr));
        let mut other_data_centres: Vec<SocketAddr> = serving()
            .filter(|info| !is_same_data_centre(info))
            .map(|info| info.caller_addr)
            .collect();
        if !network.mesh.is_full_mesh {
            other_data_centres.extend(
                latest_per_other_data_centre(self.fresh(now), here)
                    .flat_map(|list| &list.same_data_centre),
            );
            if !network.mesh.is_primary_core {
                // Other data centres send their lists to the primary core alone.
                other_data_centres.extend(
                    latest_in_data_centre(self.fresh(now), here)
                        .into_iter()
                        .flat_map(|list| &list.other_data_centres),
                );
            }
            other_data_centres.sort_unstable();
            other_data_centres.dedup();
        }
        CallerEndpoints { same_data_centre: same_data_centre.collect(), other_data_centres }
    }

    /// Lists that still count, with the nodes that sent them and the times of arrival.
    fn fresh(&self, now: Instant) -> impl Iterator<Item = (&PeerInfo, Instant, &CallerEndpoints)> {
        let received = self.received.values().filter(move |(_, _, at)| is_fresh(now, *at));
        received.map(|(info, list, at)| (info, *at, list))
    }
}

fn is_fresh(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < LIST_MAX_AGE
}

/// `list`, received from another node, with this node's address `addr` corrected to `own_addr`:
/// this node knows better than the sender whether it accepts callers.
fn with_own(
    list: &CallerEndpoints,
    addr: SocketAddr,
    own_addr: Option<SocketAddr>,
) -> CallerEndpoints {
    let mut list = list.clone();
    list.same_data_centre.retain(|known| *known != addr);
    list.same_data_centre.extend(own_addr);
    list
}

#[cfg(test)]
mod tests;
