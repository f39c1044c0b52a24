//! What nodes tell each other of where callers can connect.
//!
//! Where all talk to all, each node knows from signs of life. In a larger mesh the first core of a data
//! centre, which hears all its nodes, tells them and the other data centres.

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

/// Period at which a list that hasn't changed is told again, in case a message was lost.
const REPEAT_EVERY: Duration = Duration::from_secs(1);
/// Age of the last list from which a leaf asks for another: one that was lost.
const ASK_AGE: Duration = Duration::from_secs(2);
/// Age after which a list no longer counts: three that were lost.
const LIST_MAX_AGE: Duration = Duration::from_millis(3500);

/// Lists that other nodes have told, and what this one last told.
#[derive(Debug)]
pub(crate) struct EndpointExchange {
    heard: BTreeMap<VmId, (PeerInfo, CallerEndpoints, Instant)>,
    told: CallerEndpoints,
    told_at: Instant,
    asked_at: Option<Instant>,
}

impl EndpointExchange {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            heard: BTreeMap::new(),
            told: CallerEndpoints::default(),
            told_at: now,
            asked_at: None,
        }
    }

    /// Takes a list. Returns true if it says something new.
    pub(crate) fn on_endpoints(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        list: CallerEndpoints,
    ) -> bool {
        let is_old = |known: &(PeerInfo, CallerEndpoints, Instant)| known.1 == list;
        let is_new = !self.heard.get(&from.vm).is_some_and(is_old);
        self.heard.insert(from.vm.clone(), (from.clone(), list, now));
        is_new
    }

    /// Tells others what has changed, and now and then what hasn't. A leaf that isn't told asks.
    pub(crate) fn send_due(
        &mut self,
        now: Instant,
        own: Option<SocketAddr>,
        network: &mut PeerNetwork,
    ) {
        self.heard.retain(|_, (_, _, at)| is_fresh(now, *at));
        if !network.mesh.is_core {
            self.ask_if_untold(now, network);
        }
        if network.mesh.is_full_mesh || !network.mesh.is_primary_core {
            return;
        }
        let list = self.current(now, own, network);
        if list == self.told && now.saturating_duration_since(self.told_at) < REPEAT_EVERY {
            return;
        }
        self.told.clone_from(&list);
        self.told_at = now;
        let to_far = CallerEndpoints {
            same_data_centre: list.same_data_centre.clone(),
            other_data_centres: Vec::new(),
        };
        network.send_to_remote_primaries(now, &PeerMessage::CallerEndpoints(to_far));
        network.send_to_local_cores(now, &PeerMessage::CallerEndpoints(list.clone()));
        network.send_to_leaves(now, &PeerMessage::CallerEndpoints(list));
    }

    /// Asks a core that this leaf hears: the first one may be silent for this node alone.
    fn ask_if_untold(&mut self, now: Instant, network: &mut PeerNetwork) {
        let since = |at| now.saturating_duration_since(at);
        let told_at = self.fresh(now).map(|(info, at, _)| (info, at, at));
        let told_at = latest_in_data_centre(told_at, &network.me.data_centre);
        let is_told = told_at.is_some_and(|at| since(at) < ASK_AGE);
        let is_asked = self.asked_at.is_some_and(|at| since(at) < REPEAT_EVERY);
        if !is_told && !is_asked {
            self.asked_at = Some(now);
            network.send_upstream(now, &PeerMessage::CallerEndpointsWanted);
        }
    }

    /// Where callers can connect; `own` is this node's port while it takes callers.
    pub(crate) fn current(
        &self,
        now: Instant,
        own: Option<SocketAddr>,
        network: &PeerNetwork,
    ) -> CallerEndpoints {
        let here = &network.me.data_centre;
        if !network.mesh.is_core
            && let Some(list) = latest_in_data_centre(self.fresh(now), here)
        {
            return with_own(list, network.me.callers, own);
        }
        let is_same_data_centre = |info: &&PeerInfo| info.data_centre == *here;
        let serving = || network.peers.serving(now);
        let same_data_centre =
            own.into_iter().chain(serving().filter(is_same_data_centre).map(|info| info.callers));
        let mut other_data_centres: Vec<SocketAddr> =
            serving().filter(|info| !is_same_data_centre(info)).map(|info| info.callers).collect();
        if !network.mesh.is_full_mesh {
            other_data_centres.extend(
                latest_per_other_data_centre(self.fresh(now), here)
                    .flat_map(|list| &list.same_data_centre),
            );
            if !network.mesh.is_primary_core {
                // Other data centres tell the first core alone.
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

    /// Lists that still count, with their tellers.
    fn fresh(&self, now: Instant) -> impl Iterator<Item = (&PeerInfo, Instant, &CallerEndpoints)> {
        let heard = self.heard.values().filter(move |(_, _, at)| is_fresh(now, *at));
        heard.map(|(info, list, at)| (info, *at, list))
    }
}

fn is_fresh(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < LIST_MAX_AGE
}

/// `list` as its owner's neighbour at `addr` sees it, who knows better whether it takes callers.
fn with_own(list: &CallerEndpoints, addr: SocketAddr, own: Option<SocketAddr>) -> CallerEndpoints {
    let mut list = list.clone();
    list.same_data_centre.retain(|known| *known != addr);
    list.same_data_centre.extend(own);
    list
}

#[cfg(test)]
mod tests;
