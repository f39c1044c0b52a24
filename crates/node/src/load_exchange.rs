//! Exchanges between nodes how many requests they have in flight at each server.
//!
//! In a full mesh each node sends its own loads to all others as they change. In a mesh with
//! leaves, the primary core of a data centre adds up the loads of the nodes there, sends the sum to
//! the other data centres, and sends the sum over all nodes to the nodes of its data centre.

use {
    crate::{
        latest_report::{latest_in_data_centre, latest_per_other_data_centre},
        peer_message::{LoadScope, PeerMessage},
        peer_network::PeerNetwork,
    },
    glade_dispatch::{Load, ServerLoad},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Shortest period of sums in a mesh with leaves: an engine's prefill of a prompt takes a few tens
/// of milliseconds, and a node decides on sums that are at most two periods old, plus the network
/// delay.
const SUM_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Longest period of sums.
const SUM_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Part of the period for each server with a load. A load takes about 13 bytes, so a node
/// receives 8 KB of sums a second, a third of its control thread's budget.
const SUM_INTERVAL_PER_SERVER: Duration = Duration::from_micros(1600);
/// Number of sums to this data centre for each sum to the others, because every byte between data
/// centres has a cost.
const LOCAL_SUMS_PER_REMOTE_SUM: u32 = 2;
/// Period at which a node repeats loads that haven't changed, in case a message was lost.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Loads by the hash of their server's key.
pub(crate) type LoadMap = HashMap<u32, Load>;

/// This node's loads, and the loads that it last sent.
#[derive(Debug)]
pub(crate) struct LoadExchange {
    own: Vec<ServerLoad>,
    /// Own loads that this node last sent, and when.
    sent: Vec<ServerLoad>,
    sent_at: Instant,
    next_sum_at: Instant,
    sum_count: u32,
}

impl LoadExchange {
    pub(crate) fn new(now: Instant) -> Self {
        Self { own: Vec::new(), sent: Vec::new(), sent_at: now, next_sum_at: now, sum_count: 0 }
    }

    /// Sets the requests that this node has in flight.
    pub(crate) fn set_own(&mut self, own: Vec<ServerLoad>) {
        self.own = own;
    }

    /// Sends the loads and sums that are due.
    pub(crate) fn send_due(&mut self, now: Instant, network: &mut PeerNetwork) {
        if network.mesh.is_full_mesh {
            if self.is_report_due(now) {
                let message = self.take_own_message(now);
                network.broadcast(now, &message);
            }
            return;
        }
        if now < self.next_sum_at {
            return;
        }
        if !network.mesh.is_primary_core {
            self.next_sum_at = now + SUM_INTERVAL_MIN;
            if self.is_report_due(now) {
                let message = self.take_own_message(now);
                network.send_to_local_cores(now, &message);
            }
            return;
        }
        self.sum_count += 1;
        if self.sum_count.is_multiple_of(LOCAL_SUMS_PER_REMOTE_SUM) {
            let loads = to_vec(self.data_centre_sum(now, network));
            let message = PeerMessage::Loads { scope: LoadScope::DataCentre, loads };
            network.send_to_remote_primaries(now, &message);
        }
        let loads = to_vec(self.full_sum(now, network));
        self.next_sum_at = now + sum_interval(loads.len());
        let message = PeerMessage::Loads { scope: LoadScope::All, loads };
        network.send_to_local_cores(now, &message);
        network.send_to_leaves(now, &message);
    }

    /// Requests that all other nodes have in flight.
    pub(crate) fn others(&self, now: Instant, network: &PeerNetwork) -> LoadMap {
        if network.mesh.is_full_mesh {
            return sum(network.peers.per_node_loads(now));
        }
        if network.mesh.is_primary_core {
            let mut others = self.full_sum(now, network);
            subtract(&mut others, &self.own);
            return others;
        }
        match latest_in_data_centre(network.peers.aggregate_loads(now), &network.me.data_centre) {
            Some(loads) => {
                let mut others = sum(loads);
                // The sum includes the loads that this node sent last.
                subtract(&mut others, &self.sent);
                others
            }
            None => sum(network.peers.per_node_loads(now)),
        }
    }

    fn is_report_due(&self, now: Instant) -> bool {
        self.own != self.sent || now.saturating_duration_since(self.sent_at) >= REPEAT_INTERVAL
    }

    fn take_own_message(&mut self, now: Instant) -> PeerMessage {
        self.sent.clone_from(&self.own);
        self.sent_at = now;
        PeerMessage::Loads { scope: LoadScope::Own, loads: self.own.clone() }
    }

    /// Requests that the nodes of this data centre have in flight.
    fn data_centre_sum(&self, now: Instant, network: &PeerNetwork) -> LoadMap {
        sum(network.peers.per_node_loads(now).chain(&self.own))
    }

    /// Requests that all nodes have in flight.
    fn full_sum(&self, now: Instant, network: &PeerNetwork) -> LoadMap {
        let remote_loads = latest_per_other_data_centre(
            network.peers.aggregate_loads(now),
            &network.me.data_centre,
        )
        .flatten();
        sum(network.peers.per_node_loads(now).chain(&self.own).chain(remote_loads))
    }
}

/// Period of sums over `servers` servers.
fn sum_interval(servers: usize) -> Duration {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    SUM_INTERVAL_PER_SERVER.saturating_mul(servers).clamp(SUM_INTERVAL_MIN, SUM_INTERVAL_MAX)
}

fn sum<'a>(loads: impl IntoIterator<Item = &'a ServerLoad>) -> LoadMap {
    let mut sum = LoadMap::new();
    for load in loads {
        sum.entry(load.server).or_default().add(&load.load);
    }
    sum
}

fn subtract(from: &mut LoadMap, loads: &[ServerLoad]) {
    for load in loads {
        if let Some(sum) = from.get_mut(&load.server) {
            sum.subtract(&load.load);
        }
    }
}

fn to_vec(loads: LoadMap) -> Vec<ServerLoad> {
    loads.into_iter().map(|(server, load)| ServerLoad { server, load }).collect()
}

#[cfg(test)]
mod tests;
