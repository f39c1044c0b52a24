//! What nodes tell each other of the requests they have under way.
//!
//! Where all talk to all, each node tells all of its own as it changes. In a larger mesh the first core
//! of a data centre adds up what its nodes tell it, tells the other data centres the sum, and tells its
//! own nodes the sum over all.

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

/// Shortest period of sums in a mesh with leaves: engines read a prompt in a few tens of milliseconds,
/// and a node decides on what is at most twice as old, plus the way.
const SUM_EVERY_MIN: Duration = Duration::from_millis(100);
/// Longest period of sums.
const SUM_EVERY_MAX: Duration = Duration::from_secs(1);
/// Time that the period lasts for each server with a load. A load takes about 13 bytes, so a node hears
/// 8 KB a second of sums, a third of what its control may use.
const SUM_EVERY_PER_SERVER: Duration = Duration::from_micros(1600);
/// Sums for each one to the other data centres, where every byte costs.
const SUMS_PER_FAR_SUM: u32 = 2;
/// Period at which a node repeats what hasn't changed, in case a message was lost.
const REPEAT_EVERY: Duration = Duration::from_secs(1);

/// Loads by the tag of their server.
pub(crate) type Loads = HashMap<u32, Load>;

/// This node's loads, and what it has told of them.
#[derive(Debug)]
pub(crate) struct LoadExchange {
    own: Vec<ServerLoad>,
    /// What this node last told, and when.
    told: Vec<ServerLoad>,
    told_at: Instant,
    sum_at: Instant,
    sums: u32,
}

impl LoadExchange {
    pub(crate) fn new(now: Instant) -> Self {
        Self { own: Vec::new(), told: Vec::new(), told_at: now, sum_at: now, sums: 0 }
    }

    /// Takes what this node has under way.
    pub(crate) fn set_own(&mut self, own: Vec<ServerLoad>) {
        self.own = own;
    }

    /// Tells others what is due.
    pub(crate) fn send_due(&mut self, now: Instant, network: &mut PeerNetwork) {
        if network.mesh.is_full_mesh {
            if self.is_news(now) {
                let message = self.own_message(now);
                network.broadcast(now, &message);
            }
            return;
        }
        if now < self.sum_at {
            return;
        }
        if !network.mesh.is_primary_core {
            self.sum_at = now + SUM_EVERY_MIN;
            if self.is_news(now) {
                let message = self.own_message(now);
                network.send_to_local_cores(now, &message);
            }
            return;
        }
        self.sums += 1;
        if self.sums.is_multiple_of(SUMS_PER_FAR_SUM) {
            let loads = as_list(self.near_sum(now, network));
            let message = PeerMessage::Loads { scope: LoadScope::DataCentre, loads };
            network.send_to_remote_primaries(now, &message);
        }
        let loads = as_list(self.full_sum(now, network));
        self.sum_at = now + sum_every(loads.len());
        let message = PeerMessage::Loads { scope: LoadScope::All, loads };
        network.send_to_local_cores(now, &message);
        network.send_to_leaves(now, &message);
    }

    /// What all other nodes have under way.
    pub(crate) fn others(&self, now: Instant, network: &PeerNetwork) -> Loads {
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
                // The sum counts what this node told last.
                subtract(&mut others, &self.told);
                others
            }
            None => sum(network.peers.per_node_loads(now)),
        }
    }

    fn is_news(&self, now: Instant) -> bool {
        self.own != self.told || now.saturating_duration_since(self.told_at) >= REPEAT_EVERY
    }

    fn own_message(&mut self, now: Instant) -> PeerMessage {
        self.told.clone_from(&self.own);
        self.told_at = now;
        PeerMessage::Loads { scope: LoadScope::Own, loads: self.own.clone() }
    }

    /// What the nodes of this data centre have under way.
    fn near_sum(&self, now: Instant, network: &PeerNetwork) -> Loads {
        sum(network.peers.per_node_loads(now).chain(&self.own))
    }

    /// What all nodes have under way.
    fn full_sum(&self, now: Instant, network: &PeerNetwork) -> Loads {
        let far = latest_per_other_data_centre(
            network.peers.aggregate_loads(now),
            &network.me.data_centre,
        )
        .flatten();
        sum(network.peers.per_node_loads(now).chain(&self.own).chain(far))
    }
}

/// Period of sums over `servers` servers.
fn sum_every(servers: usize) -> Duration {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    SUM_EVERY_PER_SERVER.saturating_mul(servers).clamp(SUM_EVERY_MIN, SUM_EVERY_MAX)
}

fn sum<'a>(loads: impl IntoIterator<Item = &'a ServerLoad>) -> Loads {
    let mut sum = Loads::new();
    for load in loads {
        sum.entry(load.server).or_default().add(&load.load);
    }
    sum
}

fn subtract(from: &mut Loads, loads: &[ServerLoad]) {
    for load in loads {
        if let Some(sum) = from.get_mut(&load.server) {
            sum.subtract(&load.load);
        }
    }
}

fn as_list(loads: Loads) -> Vec<ServerLoad> {
    loads.into_iter().map(|(server, load)| ServerLoad { server, load }).collect()
}

#[cfg(test)]
mod tests;
