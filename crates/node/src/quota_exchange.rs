//! Exchanges between nodes what the quotas of teams allow.
//!
//! Each team with a quota has one issuer: of the live nodes of a full mesh, or of the live primary
//! cores, the first by rendezvous hash. Nodes send what their requests need to the issuer that they
//! choose, leaves by way of their core, and receive grants from it directly. Cores tell the issuers
//! for how many nodes they count on them, and the issuers fill their buckets by that share of the
//! deployment.

use {
    crate::{
        limit_exchange::{counted_nodes, issuer_candidates},
        peer_message::{PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
    },
    glade_catalog::Catalog,
    glade_limit::{QuotaAsk, QuotaGrant, QuotaIssuer, QuotaRate, QuotaReport},
    glade_types::{VmId, rendezvous_score, stable_hash},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Period at which a node tells the issuers that it counts on them. Two such messages may be lost before
/// the count lapses.
const COUNT_PERIOD: Duration = Duration::from_millis(450);
/// Time without a reply after which a node uses its own share.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a node that asks nothing more no longer expects a reply.
const QUESTION_TTL: Duration = Duration::from_millis(250);
/// Period at which an issuer looks for granted credit while requests wait.
const ISSUE_PERIOD: Duration = Duration::from_millis(15);
/// Time for which reports and grants are collected on their way between nodes.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Questions to one issuer that have had no reply.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    since: Instant,
    latest: Instant,
    /// This node uses its own share until the issuer replies.
    is_silent: bool,
}

/// The quotas of teams, and what this node issues of them.
#[derive(Debug, Default)]
pub(crate) struct QuotaExchange {
    /// The configuration that the quotas are from.
    catalog: Option<Arc<Catalog>>,
    /// Quotas by the hash of the team's name.
    rates: HashMap<u32, QuotaRate>,
    /// This node; `None` before the first configuration.
    me: Option<VmId>,
    /// Possible issuers, by which those of the teams were chosen.
    candidates: Vec<VmId>,
    /// Issuer of each team: the upstream core on a leaf.
    issuers: HashMap<u32, VmId>,
    issuer: QuotaIssuer,
    unanswered: HashMap<VmId, Unanswered>,
    counted_at: Option<Instant>,
    issued_at: Option<Instant>,
    /// Grants for this node's request path.
    grants: Vec<QuotaGrant>,
}

/// Hash by which nodes name a team.
fn team_hash(name: &str) -> u32 {
    stable_hash(name.as_bytes()) as u32
}

impl QuotaExchange {
    /// When the buckets are to be looked at again, if requests wait.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.issued_at.filter(|_| self.issuer.is_active()).map(|at| at + ISSUE_PERIOD)
    }

    /// Does the periodic work. `catalog` is the configuration in force.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        catalog: Option<&Arc<Catalog>>,
        network: &mut PeerNetwork,
    ) {
        let is_known = match (catalog, &self.catalog) {
            (Some(new), Some(known)) => Arc::ptr_eq(new, known),
            (new, known) => new.is_none() && known.is_none(),
        };
        if !is_known {
            self.set_catalog(now, catalog, network);
        }
        if self.rates.is_empty() {
            return;
        }
        self.update_issuers(now, network);
        if self.counted_at.is_none_or(|at| now.saturating_duration_since(at) >= COUNT_PERIOD) {
            self.send_counts(now, Vec::new(), network);
        }
        self.issue(now, network);
    }

    /// Takes over the quotas of a configuration.
    fn set_catalog(&mut self, now: Instant, catalog: Option<&Arc<Catalog>>, network: &PeerNetwork) {
        let had_catalog = self.catalog.is_some();
        self.me = Some(network.me.vm.clone());
        self.catalog = catalog.cloned();
        let mut rates: HashMap<u32, QuotaRate> = HashMap::new();
        for team in catalog.into_iter().flat_map(|catalog| catalog.teams()) {
            let Some(quota) = &team.quota else { continue };
            let rate = QuotaRate { per_s: quota.rate_per_s, burst: quota.burst };
            if rates.insert(team_hash(team.name.as_str()), rate).is_some() {
                log::warn!(team = team.name.as_str(); "quota_hash_taken");
            }
        }
        let known = std::mem::replace(&mut self.rates, rates);
        self.issuer.retain(|team| self.rates.contains_key(&team));
        self.issuers.retain(|team, _| self.rates.contains_key(team));
        let added = self.rates.keys().filter(|team| !known.contains_key(team));
        let added: Vec<u32> = added.copied().collect();
        for team in added {
            let issuer = self.choose_issuer(team, network);
            if issuer == network.me.vm {
                // A node that had a configuration before has joined the others, and none of them can have
                // issued the quota of a new team.
                self.issuer.open(now, team, had_catalog);
            }
            self.issuers.insert(team, issuer);
        }
        self.counted_at = None;
    }

    fn choose_issuer(&self, team: u32, network: &PeerNetwork) -> VmId {
        let key = format!("quota {team:08x}");
        let issuer = self.candidates.iter().max_by_key(|vm| rendezvous_score(&key, vm.as_str()));
        issuer.unwrap_or(&network.me.vm).clone()
    }

    /// Chooses the issuers anew if other nodes are possible issuers than before.
    fn update_issuers(&mut self, now: Instant, network: &mut PeerNetwork) {
        let candidates = issuer_candidates(now, network);
        if candidates.iter().copied().eq(&self.candidates) {
            return;
        }
        self.candidates = candidates.into_iter().cloned().collect();
        self.unanswered.retain(|vm, _| self.candidates.contains(vm));
        let me = network.me.vm.clone();
        let mut released = Vec::new();
        for team in self.rates.keys() {
            let issuer = self.choose_issuer(*team, network);
            if self.issuers.get(team) == Some(&issuer) {
                continue;
            }
            if issuer == me {
                self.issuer.open(now, *team, false);
            }
            if let Some(before) = self.issuers.insert(*team, issuer).filter(|vm| *vm != me) {
                released.push((before, *team));
            }
        }
        self.drop_foreign_buckets();
        self.send_counts(now, released, network);
    }

    /// Tells the issuers for how many nodes this one counts on them, and those before that it no longer
    /// does for `released` teams.
    fn send_counts(&mut self, now: Instant, released: Vec<(VmId, u32)>, network: &mut PeerNetwork) {
        self.counted_at = Some(now);
        let mut reports: BTreeMap<VmId, QuotaReport> = BTreeMap::new();
        let nodes = counted_nodes(now, network);
        if nodes > 0 {
            for (team, issuer) in &self.issuers {
                let report = reports.entry(issuer.clone()).or_default();
                report.nodes = nodes;
                report.counted.push(*team);
            }
        }
        for (issuer, team) in released {
            reports.entry(issuer).or_default().released.push(team);
        }
        self.send_reports(now, network.me.peer_addr, reports, network);
    }

    /// Handles what this node's requests need and haven't used.
    pub(crate) fn on_asks(&mut self, now: Instant, asks: Vec<QuotaAsk>, network: &mut PeerNetwork) {
        let mut reports: BTreeMap<VmId, QuotaReport> = BTreeMap::new();
        let me = network.me.clone();
        for ask in asks {
            let Some(issuer) = self.issuers.get(&ask.team).cloned() else { continue };
            if issuer == me.vm || !self.is_silent(now, &issuer, &ask) {
                reports.entry(issuer).or_default().asks.push(ask);
                continue;
            }
            // The issuer is asked whether it replies again, and this node's own share serves the
            // ask.
            let question =
                QuotaAsk { returned: Vec::new(), taken: 0, is_alone: true, ..ask.clone() };
            reports.entry(issuer).or_default().asks.push(question);
            self.issuer.open(now, ask.team, false);
            let (counted, released) = (vec![ask.team], Vec::new());
            let report = QuotaReport { nodes: 1, counted, released, asks: vec![ask] };
            self.issuer.on_report(now, me.peer_addr, report);
        }
        self.send_reports(now, me.peer_addr, reports, network);
        self.issue(now, network);
    }

    /// True if `issuer`, which is asked now, has left this node's questions without a reply for so long
    /// that this node uses its own share.
    fn is_silent(&mut self, now: Instant, issuer: &VmId, ask: &QuotaAsk) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        if !ask.waiting.is_empty() {
            let new = Unanswered { since: now, latest: now, is_silent: false };
            let questions = self.unanswered.entry(issuer.clone()).or_insert(new);
            if !questions.is_silent && age(questions.latest) >= QUESTION_TTL {
                questions.since = now;
            }
            questions.latest = now;
            if !questions.is_silent && age(questions.since) >= REPLY_TIMEOUT {
                questions.is_silent = true;
                log::info!(issuer = issuer.as_str(); "quota_issuer_silent");
            }
        }
        self.unanswered.get(issuer).is_some_and(|questions| questions.is_silent)
    }

    /// Handles reports that `from` has sent or forwarded.
    pub(crate) fn on_reports(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        reports: Vec<(SocketAddr, QuotaReport)>,
        network: &mut PeerNetwork,
    ) {
        let is_from_leaf = network.mesh.is_core && !network.mesh.cores.contains(&from.vm);
        for (node, report) in reports {
            let QuotaReport { nodes, counted, released, asks } = report;
            let mut own = QuotaReport { nodes, counted, released, asks: Vec::new() };
            let mut forwarded: BTreeMap<VmId, QuotaReport> = BTreeMap::new();
            for ask in asks {
                match self.issuers.get(&ask.team) {
                    Some(vm) if *vm == network.me.vm => own.asks.push(ask),
                    // Only what leaves have sent is forwarded, so that none circulates.
                    Some(vm) if is_from_leaf => {
                        forwarded.entry(vm.clone()).or_default().asks.push(ask);
                    }
                    _ => {}
                }
            }
            if !own.is_empty() {
                self.issuer.on_report(now, node, own);
            }
            self.send_reports(now + BATCH_DELAY, node, forwarded, network);
        }
        if self.due().is_none_or(|due| due <= now) {
            self.issue(now, network);
        }
    }

    /// Sends reports on behalf of the node that receives grants at `node`, by `due`.
    fn send_reports(
        &mut self,
        due: Instant,
        node: SocketAddr,
        reports: BTreeMap<VmId, QuotaReport>,
        network: &mut PeerNetwork,
    ) {
        for (vm, report) in reports {
            if vm == network.me.vm {
                self.issuer.on_report(due, node, report);
            } else if let Some(addr) = network.peers.addr(&vm) {
                network.send(due, addr, &PeerMessage::QuotaReports(vec![(node, report)]));
            }
        }
    }

    /// Handles an issuer's replies to this node.
    pub(crate) fn on_grants(&mut self, grants: Vec<QuotaGrant>) {
        for grant in &grants {
            // A leaf's issuer replies to it directly, and is asked by way of the core.
            let Some(asked) = self.issuers.get(&grant.team) else { continue };
            if self.unanswered.remove(asked).is_some_and(|questions| questions.is_silent) {
                log::info!(issuer = asked.as_str(); "quota_issuer_replies");
                self.drop_foreign_buckets();
            }
        }
        self.grants.extend(grants);
    }

    /// Drops the buckets of teams that another node issues, and that replies.
    fn drop_foreign_buckets(&mut self) {
        let (issuers, unanswered, me) = (&self.issuers, &self.unanswered, &self.me);
        self.issuer.retain(|team| {
            issuers.get(&team).is_some_and(|issuer| {
                Some(issuer) == me.as_ref()
                    || unanswered.get(issuer).is_some_and(|questions| questions.is_silent)
            })
        });
    }

    /// Takes the grants for this node's request path.
    pub(crate) fn take_grants(&mut self) -> Vec<QuotaGrant> {
        std::mem::take(&mut self.grants)
    }

    /// Grants what the buckets hold.
    pub(crate) fn issue(&mut self, now: Instant, network: &mut PeerNetwork) {
        self.issued_at = Some(now);
        if !self.issuer.is_active() {
            return;
        }
        let known_nodes = network.known_nodes.count();
        let rates = &self.rates;
        let replies = self.issuer.issue(now, known_nodes, |team| rates.get(&team).copied());
        let mut by_addr: BTreeMap<SocketAddr, Vec<QuotaGrant>> = BTreeMap::new();
        for (addr, grant) in replies {
            by_addr.entry(addr).or_default().push(grant);
        }
        for (addr, grants) in by_addr {
            if addr == network.me.peer_addr {
                self.grants.extend(grants);
            } else {
                network.send(now + BATCH_DELAY, addr, &PeerMessage::QuotaGrants(grants));
            }
        }
    }
}
