//! Grants the quotas of teams to all nodes.
//!
//! The bucket of a team fills with the rate times the share of the deployment's nodes that count on
//! this issuer. Where nodes have lost each other and several nodes issue for a team, each node counts
//! on one of them, so that the shares add up to one at most.

use {
    crate::{
        quota_bucket::QuotaBucket,
        quota_message::{QuotaAsk, QuotaGrant, QuotaReport},
        quota_rate::QuotaRate,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which a bucket stays empty after a takeover: the issuer before may still grant until
/// all nodes have turned away from it, and its leases hold for another half second.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(1);
/// Time after which waiting requests of an ask have ended: they wait for 150 ms at most.
const WAITING_TTL: Duration = Duration::from_millis(250);
/// Time for which a node's ask is kept.
const ASK_TTL: Duration = Duration::from_secs(1);
/// Time for which a node that falls silent counts on the issuer. Not longer than the 1.4 s after which
/// other nodes choose another issuer.
const COUNT_TTL: Duration = Duration::from_millis(1400);
/// Time after which a grant that the node hasn't confirmed is lost.
const UNDER_WAY_MAX: Duration = Duration::from_millis(500);
/// Time of a node's recent use that it is granted in advance.
const ADVANCE_S: f64 = 0.25;
/// Shortest time between two replies without a grant to one node.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of nodes that are kept for one team.
const NODES_MAX: usize = 4096;

#[derive(Clone, Debug)]
struct NodeAsk {
    ask: QuotaAsk,
    at: Instant,
    /// Sum of the grants, counted as the node counts those it has received.
    granted: u32,
    granted_at: Option<Instant>,
    /// The node waits for a reply.
    wants_reply: bool,
    told_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct TeamBucket {
    bucket: QuotaBucket,
    nodes: BTreeMap<SocketAddr, NodeAsk>,
    /// Nodes that count on this issuer, by the node that counts them.
    counts: BTreeMap<SocketAddr, (u32, Instant)>,
}

/// Buckets of the teams whose quotas one node issues.
#[derive(Clone, Debug, Default)]
pub struct QuotaIssuer {
    teams: HashMap<u32, TeamBucket>,
    /// Teams with new asks or counts, or with waiting requests. Other buckets need no work.
    active: BTreeSet<u32>,
}

impl QuotaIssuer {
    /// Begins to issue the quota of `team`, with an empty bucket. Unless the quota `is_new`, another
    /// node may have issued it before.
    pub fn open(&mut self, now: Instant, team: u32, is_new: bool) {
        let fills_from = if is_new { now } else { now + TAKEOVER_PAUSE };
        self.teams.entry(team).or_insert_with(|| TeamBucket {
            bucket: QuotaBucket::new(now, fills_from),
            nodes: BTreeMap::new(),
            counts: BTreeMap::new(),
        });
    }

    /// Ceases to issue the quotas of the teams for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(u32) -> bool) {
        self.teams.retain(|team, _| is_kept(*team));
        self.active.retain(|team| is_kept(*team));
    }

    /// True if buckets are to be looked at again.
    pub fn is_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Handles the report of the node that receives grants at `node`.
    pub fn on_report(&mut self, now: Instant, node: SocketAddr, report: QuotaReport) {
        for team in &report.counted {
            if let Some(issued) = self.teams.get_mut(team) {
                issued.counts.insert(node, (report.nodes, now));
                // A bucket fills by the share that held meanwhile, so it learns of changes at once.
                self.active.insert(*team);
            }
        }
        for team in &report.released {
            if let Some(issued) = self.teams.get_mut(team) {
                issued.counts.remove(&node);
                issued.nodes.remove(&node);
            }
        }
        for ask in report.asks {
            let team = ask.team;
            if let Some(issued) = self.teams.get_mut(&team) {
                issued.on_ask(now, node, ask);
                self.active.insert(team);
            }
        }
    }

    /// Grants what the buckets hold, for a deployment of `known_nodes` nodes. Returns the replies.
    pub fn issue(
        &mut self,
        now: Instant,
        known_nodes: u32,
        rate_of: impl Fn(u32) -> Option<QuotaRate>,
    ) -> Vec<(SocketAddr, QuotaGrant)> {
        let mut replies = Vec::new();
        let teams = &mut self.teams;
        self.active.retain(|team| {
            let (Some(issued), Some(rate)) = (teams.get_mut(team), rate_of(*team)) else {
                return false;
            };
            issued.issue(now, *team, rate, known_nodes, &mut replies);
            issued.has_waiting(now)
        });
        replies
    }
}

impl TeamBucket {
    fn on_ask(&mut self, now: Instant, node: SocketAddr, ask: QuotaAsk) {
        for returned in &ask.returned {
            let age = Duration::from_millis(u64::from(returned.age_ms));
            self.bucket.give_back(now, age, returned.tokens);
        }
        if ask.taken > 0 {
            self.bucket.take_spent(now, ask.taken);
        }
        let wants_reply = !ask.waiting.is_empty() || ask.is_alone;
        let is_full = self.nodes.len() >= NODES_MAX;
        if let Some(known) = self.nodes.get_mut(&node) {
            let is_under_way = |at: Instant| now.saturating_duration_since(at) < UNDER_WAY_MAX;
            if !known.granted_at.is_some_and(is_under_way) {
                known.granted = ask.received;
            }
            (known.ask, known.at) = (ask, now);
            known.wants_reply |= wants_reply;
        } else if !is_full {
            let granted = ask.received;
            let known =
                NodeAsk { ask, at: now, granted, granted_at: None, wants_reply, told_at: None };
            self.nodes.insert(node, known);
        }
    }

    fn issue(
        &mut self,
        now: Instant,
        team: u32,
        rate: QuotaRate,
        known_nodes: u32,
        replies: &mut Vec<(SocketAddr, QuotaGrant)>,
    ) {
        self.nodes.retain(|_, node| now.saturating_duration_since(node.at) < ASK_TTL);
        let share = self.share(now, known_nodes);
        self.bucket.fill(now, rate, share);
        let mut granted: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        while let Some((addr, tokens)) = self.next_waiting(now) {
            if !self.bucket.try_take(now, tokens) {
                break;
            }
            self.note_grant(now, addr, tokens, &mut granted);
        }
        self.grant_advances(now, &mut granted);
        // What never fits takes nothing from others.
        let fits = |tokens: &&u32| self.bucket.may_ever_take(**tokens);
        let waiting: u32 =
            self.nodes.values().fold(0, |sum, node| sum.saturating_add(node.missing(now, fits)));
        let level = (self.bucket.level() - f64::from(waiting)) as i32;
        let fill_per_s = self.bucket.fill_per_s() as f32;
        for (addr, node) in &mut self.nodes {
            let tokens = granted.get(addr).copied().unwrap_or(0);
            let is_told = |at: Instant| now.saturating_duration_since(at) < STATUS_INTERVAL;
            if tokens == 0 && (!node.wants_reply || node.told_at.is_some_and(is_told)) {
                continue;
            }
            (node.wants_reply, node.told_at) = (false, Some(now));
            let stamp_ms = node.ask.stamp_ms;
            replies.push((*addr, QuotaGrant { team, tokens, stamp_ms, level, fill_per_s }));
        }
    }

    /// True if requests wait for credit, or nodes for a reply.
    fn has_waiting(&self, now: Instant) -> bool {
        self.nodes.values().any(|node| node.wants_reply || node.next_missing(now).is_some())
    }

    /// Share of the deployment's nodes that count on this issuer.
    fn share(&mut self, now: Instant, known_nodes: u32) -> f64 {
        self.counts.retain(|_, (_, at)| now.saturating_duration_since(*at) < COUNT_TTL);
        let counted: u32 = self.counts.values().map(|(nodes, _)| nodes).sum();
        let alone = self.nodes.values().filter(|node| node.ask.is_alone).count();
        let counted = counted.saturating_sub(u32::try_from(alone).unwrap_or(u32::MAX));
        (f64::from(counted) / f64::from(known_nodes.max(1))).min(1.0)
    }

    /// The node whose waiting request is next, and what it lacks: of several nodes, the one that has
    /// been without a grant for longest.
    fn next_waiting(&self, now: Instant) -> Option<(SocketAddr, u32)> {
        let lacking = |(addr, node): (&SocketAddr, &NodeAsk)| {
            let tokens =
                node.next_missing(now).filter(|tokens| self.bucket.may_ever_take(*tokens))?;
            Some((node.granted_at, *addr, tokens))
        };
        let next = self.nodes.iter().filter_map(lacking).min();
        next.map(|(_, addr, tokens)| (addr, tokens))
    }

    /// Grants nodes in advance what they will use, as long as the bucket is more than half full.
    fn grant_advances(&mut self, now: Instant, granted: &mut BTreeMap<SocketAddr, u32>) {
        let advances: Vec<(SocketAddr, u32)> =
            self.nodes.iter().map(|(addr, node)| (*addr, node.advance(now))).collect();
        for (addr, tokens) in advances {
            let tokens = tokens.min(self.bucket.beyond_half().max(0.0) as u32);
            if tokens > 0 && self.bucket.try_take(now, tokens) {
                self.note_grant(now, addr, tokens, granted);
            }
        }
    }

    fn note_grant(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        tokens: u32,
        granted: &mut BTreeMap<SocketAddr, u32>,
    ) {
        if let Some(node) = self.nodes.get_mut(&addr) {
            node.granted = node.granted.wrapping_add(tokens);
            node.granted_at = Some(now);
        }
        *granted.entry(addr).or_default() += tokens;
    }
}

impl NodeAsk {
    /// What the node holds or will receive.
    fn credit(&self) -> u32 {
        let under_way = self.granted.wrapping_sub(self.ask.received);
        // The node has received more than this issuer has granted: from another issuer.
        let under_way = if under_way > u32::MAX / 2 { 0 } else { under_way };
        self.ask.held.saturating_add(under_way)
    }

    fn waiting(&self, now: Instant) -> &[u32] {
        let has_lapsed = now.saturating_duration_since(self.at) >= WAITING_TTL;
        if has_lapsed || self.ask.is_alone { &[] } else { &self.ask.waiting }
    }

    /// What the first waiting request lacks that the node has no credit for.
    fn next_missing(&self, now: Instant) -> Option<u32> {
        let mut credit = self.credit();
        for tokens in self.waiting(now) {
            match credit.checked_sub(*tokens) {
                Some(rest) => credit = rest,
                None => return Some(tokens - credit),
            }
        }
        None
    }

    /// What the waiting requests lack that are counted.
    fn missing(&self, now: Instant, is_counted: impl Fn(&&u32) -> bool) -> u32 {
        let waiting = self.waiting(now).iter().filter(is_counted);
        let waiting = waiting.fold(0_u32, |sum, size| sum.saturating_add(*size));
        if waiting == 0 { 0 } else { waiting.saturating_sub(self.credit()) }
    }

    /// What the node lacks of its advance.
    fn advance(&self, now: Instant) -> u32 {
        let has_lapsed = now.saturating_duration_since(self.at) >= WAITING_TTL;
        if has_lapsed || self.ask.is_alone || self.next_missing(now).is_some() {
            return 0;
        }
        let waiting: u32 = self.ask.waiting.iter().fold(0, |sum, size| sum.saturating_add(*size));
        let wanted = f64::from(self.ask.use_per_s) * ADVANCE_S;
        (wanted as u32).saturating_add(waiting).saturating_sub(self.credit())
    }
}
