//! Issues the permits of servers for all nodes, at the rates that the servers name.
//!
//! A token bucket for each server fills with the rate times the share of the deployment's nodes that
//! count on this issuer. Where nodes have lost each other and several issue permits for a server,
//! each node counts on one of them, so that the shares add up to one at most.

use {
    crate::permit::{PermitDemand, PermitGrant, RankCount},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which a bucket fills beyond one permit: longer than an issuer takes between two looks.
const BURST_TIME: Duration = Duration::from_millis(100);
/// Time for which a new issuer grants nothing. Permits of the one before may still be used.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a node's demand no longer holds.
const DEMAND_TTL: Duration = Duration::from_secs(1);
/// Time after which a node no longer counts on this issuer.
const NODE_TTL: Duration = Duration::from_millis(1600);
/// Time without a permit after which a node may probe whether a server still names its limit.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The same for servers that take no requests at all.
const ZERO_PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// Time after which a permit that a node hasn't confirmed is lost.
const GRANT_UNDER_WAY_MAX: Duration = Duration::from_secs(1);
/// Shortest time between two messages to a node that carry no permits.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of nodes whose demand for a server is kept.
const NODES_MAX: usize = 4096;

#[derive(Clone, Debug)]
struct NodeDemand {
    demand: PermitDemand,
    at: Instant,
    /// Permits granted to the node, counted as the node counts those it has received.
    granted: u32,
    granted_at: Option<Instant>,
    /// What the node was last told, and when.
    told: Option<(Vec<RankCount>, Instant)>,
}

#[derive(Clone, Debug)]
struct Bucket {
    permits: f64,
    filled_at: Instant,
    /// When the last permit was granted, or the bucket was opened.
    granted_at: Instant,
    nodes: BTreeMap<SocketAddr, NodeDemand>,
}

/// Buckets and demands of the servers whose permits one node issues.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<u32, Bucket>,
}

impl PermitIssuer {
    /// Begins to issue permits of `server`. Unless the limit `is_new`, another node may have issued
    /// some before.
    pub fn open(&mut self, now: Instant, server: u32, is_new: bool) {
        let filled_at = if is_new { now } else { now + TAKEOVER_PAUSE };
        let nodes = BTreeMap::new();
        let bucket = Bucket { permits: 0.0, filled_at, granted_at: now, nodes };
        self.buckets.entry(server).or_insert(bucket);
    }

    /// Ceases to issue permits of the servers for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(u32) -> bool) {
        self.buckets.retain(|server, _| is_kept(*server));
    }

    /// Handles the demand of the node that receives permits at `node`.
    pub fn on_demand(&mut self, now: Instant, node: SocketAddr, demand: PermitDemand) {
        let Some(bucket) = self.buckets.get_mut(&demand.server) else { return };
        let is_full = bucket.nodes.len() >= NODES_MAX;
        if let Some(known) = bucket.nodes.get_mut(&node) {
            known.update(now, demand);
        } else if !is_full {
            let granted = demand.received;
            let known = NodeDemand { demand, at: now, granted, granted_at: None, told: None };
            bucket.nodes.insert(node, known);
        }
    }

    /// Issues permits of `server`, which takes `per_second` requests from the `nodes` nodes of the
    /// deployment. Returns what to send to which node.
    pub fn issue(
        &mut self,
        now: Instant,
        server: u32,
        per_second: f64,
        nodes: u32,
    ) -> Vec<(SocketAddr, PermitGrant)> {
        let Some(bucket) = self.buckets.get_mut(&server) else { return Vec::new() };
        let age = |at: Instant| now.saturating_duration_since(at);
        bucket.nodes.retain(|_, node| age(node.at) < NODE_TTL);
        let counted: u32 = bucket.nodes.values().map(|node| node.demand.nodes).sum();
        let share = (f64::from(counted) / f64::from(nodes.max(1))).min(1.0);
        bucket.fill(now, per_second * share, per_second);
        let mut granted: BTreeMap<SocketAddr, (u32, bool)> = BTreeMap::new();
        while bucket.permits >= 1.0 {
            let Some(addr) = bucket.most_urgent(now) else { break };
            bucket.grant(now, addr);
            granted.entry(addr).or_default().0 += 1;
        }
        if let Some(addr) = bucket.due_probe(now, per_second) {
            bucket.grant(now, addr);
            granted.insert(addr, (1, true));
        }
        bucket.messages(now, server, &granted)
    }
}

impl Bucket {
    fn fill(&mut self, now: Instant, rate: f64, full_rate: f64) {
        let time = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let most = 1.0 + full_rate * BURST_TIME.as_secs_f64();
        self.permits = (self.permits + rate * time.as_secs_f64()).min(most);
    }

    /// The node with the most urgent waiting request; of several, the one that has waited longest for
    /// a permit.
    fn most_urgent(&self, now: Instant) -> Option<SocketAddr> {
        let urgency = |(addr, node): (&SocketAddr, &NodeDemand)| {
            let rank = node.pending(now).first().map(|ranked| ranked.rank)?;
            Some((rank, node.granted_at, *addr))
        };
        self.nodes.iter().filter_map(urgency).min().map(|(_, _, addr)| addr)
    }

    /// The node that is to send a probe now, if one is due.
    fn due_probe(&self, now: Instant, per_second: f64) -> Option<SocketAddr> {
        let interval = if per_second == 0.0 { ZERO_PROBE_INTERVAL } else { PROBE_INTERVAL };
        let has_permit = self.permits >= 1.0 || per_second == 0.0;
        if !has_permit || now.saturating_duration_since(self.granted_at) < interval {
            return None;
        }
        let wants_probe = |node: &&NodeDemand| {
            node.is_current(now) && (node.demand.wants_probe || !node.demand.waiting.is_empty())
        };
        let nodes = self.nodes.iter().filter(|(_, node)| wants_probe(node));
        nodes.min_by_key(|(addr, node)| (node.granted_at, **addr)).map(|(addr, _)| *addr)
    }

    fn grant(&mut self, now: Instant, addr: SocketAddr) {
        self.permits = (self.permits - 1.0).max(0.0);
        self.granted_at = now;
        if let Some(node) = self.nodes.get_mut(&addr) {
            node.granted = node.granted.wrapping_add(1);
            node.granted_at = Some(now);
        }
    }

    /// Messages to the nodes that were `granted` permits, as a number and whether they are for
    /// probes, and to those whose requests wait among other ones than before.
    fn messages(
        &mut self,
        now: Instant,
        server: u32,
        granted: &BTreeMap<SocketAddr, (u32, bool)>,
    ) -> Vec<(SocketAddr, PermitGrant)> {
        let waiting = sum(self.nodes.values().map(|node| node.pending(now)));
        let mut messages = Vec::new();
        for (addr, node) in &mut self.nodes {
            let (permits, is_probe) = granted.get(addr).copied().unwrap_or_default();
            let is_told = node.told.as_ref().is_some_and(|(told, at)| {
                *told == waiting || now.saturating_duration_since(*at) < STATUS_INTERVAL
            });
            if permits == 0 && (is_told || node.demand.waiting.is_empty()) {
                continue;
            }
            node.told = Some((waiting.clone(), now));
            let (stamp_ms, waiting) = (node.demand.stamp_ms, waiting.clone());
            messages.push((*addr, PermitGrant { server, permits, stamp_ms, is_probe, waiting }));
        }
        messages
    }
}

impl NodeDemand {
    fn update(&mut self, now: Instant, demand: PermitDemand) {
        let is_under_way = |at: Instant| now.saturating_duration_since(at) < GRANT_UNDER_WAY_MAX;
        if !self.granted_at.is_some_and(is_under_way) {
            self.granted = demand.received;
        }
        (self.demand, self.at) = (demand, now);
    }

    fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < DEMAND_TTL
    }

    /// Waiting requests without the most urgent ones, for which permits are on their way.
    fn pending(&self, now: Instant) -> Vec<RankCount> {
        if !self.is_current(now) {
            return Vec::new();
        }
        let mut under_way = self.granted.wrapping_sub(self.demand.received);
        let mut pending = self.demand.waiting.clone();
        for ranked in &mut pending {
            let met = ranked.count.min(under_way);
            ranked.count -= met;
            under_way -= met;
        }
        pending.retain(|ranked| ranked.count > 0);
        pending
    }
}

fn sum(counts: impl Iterator<Item = Vec<RankCount>>) -> Vec<RankCount> {
    let mut by_rank: BTreeMap<u8, u32> = BTreeMap::new();
    for ranked in counts.flatten() {
        let count = by_rank.entry(ranked.rank).or_default();
        *count = count.saturating_add(ranked.count);
    }
    by_rank.into_iter().map(|(rank, count)| RankCount { rank, count }).collect()
}
