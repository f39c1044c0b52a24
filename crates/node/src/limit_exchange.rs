//! Exchanges between nodes which limits servers name, and the permits to send requests to these servers.
//!
//! Every node knows all limits: cores send each other and their leaves all entries whenever one changes, and once in a
//! while in case a message was lost. One node issues the permits of a server, its *issuer*: of the live nodes of a full
//! mesh, or of the live primary cores, the first by rendezvous hash. Nodes send their demand to the issuer that they
//! choose, leaves by way of their core, and receive permits from it directly.

use {
    crate::{
        peer_message::{PeerInfo, PeerMessage},
        peer_network::PeerNetwork,
    },
    glade_limit::{
        LimitReport, LimitTable, LimitUpdate, NamedLimit, PermitDemand, PermitGrant, PermitIssuer,
        PermitWish,
    },
    glade_types::{VmId, rendezvous_score},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Period at which cores repeat the entries while there are any.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Period at which a node repeats its demand.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);
/// Period at which a node tells the issuers that it counts on them.
const COUNT_PERIOD: Duration = Duration::from_millis(700);
/// Age of the demand to which a grant replies from which the grant is dropped: it may have waited on its way while the
/// node stood still.
const GRANT_MAX_AGE: Duration = Duration::from_millis(1500);
/// Age up to which a limit is new, so that no other node can have issued permits.
const NEW_LIMIT_AGE: Duration = Duration::from_millis(500);

/// Demand of a node, with the address at which the node receives permits.
type AddressedDemand = (SocketAddr, PermitDemand);

/// Limits, permits and demands of this node.
#[derive(Debug)]
pub(crate) struct LimitExchange {
    /// Zero of the stamps by which this node recognises late permits.
    origin: Instant,
    table: LimitTable,
    issuer: PermitIssuer,
    wishes: Vec<PermitWish>,
    /// Permits received so far, by server.
    received: HashMap<u32, u32>,
    sent_at: Option<Instant>,
    demand_sent_at: Option<Instant>,
    counted_at: Option<Instant>,
    /// Permits for this node's request path.
    grants: Vec<PermitGrant>,
}

impl LimitExchange {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            origin: now,
            table: LimitTable::default(),
            issuer: PermitIssuer::default(),
            wishes: Vec::new(),
            received: HashMap::new(),
            sent_at: None,
            demand_sent_at: None,
            counted_at: None,
            grants: Vec::new(),
        }
    }

    /// The limit of the server with the hash `server`, if it names one.
    pub(crate) fn limit(&self, server: u32) -> Option<NamedLimit> {
        self.table.get(server)
    }

    /// Handles what an answer to this node has told about the limit of `server`. Returns true if limits have changed.
    pub(crate) fn on_local_report(
        &mut self,
        now: Instant,
        server: u32,
        report: LimitReport,
        network: &mut PeerNetwork,
    ) -> bool {
        let has_changed = match report {
            LimitReport::Named(per_second) => self.table.on_named(now, server, per_second),
            LimitReport::Ended { sent_before } => {
                let sent_at = now.checked_sub(sent_before).unwrap_or(now);
                self.table.on_unnamed(now, server, sent_at)
            }
        };
        if has_changed {
            self.send_entries(now, network);
        }
        has_changed
    }

    /// Merges entries of another node. Returns true if limits have changed.
    pub(crate) fn on_entries(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        updates: &[LimitUpdate],
        network: &mut PeerNetwork,
    ) -> bool {
        let before = self.rates();
        let changed = updates.iter().filter(|update| self.table.merge(now, update)).count();
        if changed == 0 {
            return false;
        }
        // In a full mesh, the sender has told all others.
        if network.mesh.is_core && !network.mesh.cores.contains(&from.vm) {
            self.send_entries(now, network);
        } else if network.mesh.is_primary_core && !network.mesh.is_full_mesh {
            network.send_to_leaves_now(now, &self.entries_message(now));
        }
        before != self.rates()
    }

    /// The limits in force, by server, in requests per second.
    fn rates(&self) -> BTreeMap<u32, f64> {
        self.table.in_force().map(|(server, limit)| (server, limit.per_second)).collect()
    }

    /// Message with all entries, for a node that starts; `None` if there are none.
    pub(crate) fn initial_message(&self, now: Instant) -> Option<PeerMessage> {
        (!self.table.is_empty()).then(|| self.entries_message(now))
    }

    fn entries_message(&self, now: Instant) -> PeerMessage {
        PeerMessage::ServerLimits(self.table.updates(now))
    }

    fn send_entries(&mut self, now: Instant, network: &mut PeerNetwork) {
        let message = self.entries_message(now);
        if network.mesh.is_core {
            network.send_to_cores(now, &message);
            network.send_to_leaves_now(now, &message);
        } else {
            network.send_upstream_now(now, &message);
        }
        self.sent_at = Some(now);
    }

    /// Handles the permits that this node's request path wants.
    pub(crate) fn on_wishes(
        &mut self,
        now: Instant,
        wishes: Vec<PermitWish>,
        network: &mut PeerNetwork,
    ) {
        let ceased =
            self.wishes.iter().filter(|old| !wishes.iter().any(|new| new.server == old.server));
        let ceased = ceased.map(|old| PermitWish {
            server: old.server,
            waiting: Vec::new(),
            wants_probe: false,
        });
        let told: Vec<PermitWish> = wishes.iter().cloned().chain(ceased).collect();
        self.wishes = wishes;
        self.send_demand(now, &told, network);
        self.issue(now, network);
    }

    /// Handles demand that `from` has sent or forwarded.
    pub(crate) fn on_demand(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        demands: Vec<AddressedDemand>,
        network: &mut PeerNetwork,
    ) {
        let is_from_leaf = network.mesh.is_core && !network.mesh.cores.contains(&from.vm);
        for (node, demand) in demands {
            match issuer_of(now, demand.server, network) {
                Some(vm) if vm == network.me.vm => self.issuer.on_demand(now, node, demand),
                // Only leaves have their demand forwarded, so that none circulates.
                Some(vm) if is_from_leaf => {
                    if let Some(addr) = network.peers.addr(&vm) {
                        network.send(now, addr, &PeerMessage::PermitDemand(vec![(node, demand)]));
                    }
                }
                _ => {}
            }
        }
        self.issue(now, network);
    }

    /// Handles permits for this node.
    pub(crate) fn on_grants(&mut self, now: Instant, grants: Vec<PermitGrant>) {
        for grant in grants {
            let received = self.received.entry(grant.server).or_default();
            *received = received.wrapping_add(grant.permits);
            let age_ms = self.stamp_ms(now).wrapping_sub(grant.stamp_ms);
            if Duration::from_millis(u64::from(age_ms)) < GRANT_MAX_AGE {
                self.grants.push(grant);
            } else {
                log::debug!(server_hash = grant.server, age_ms = age_ms; "permit_late");
            }
        }
    }

    /// Takes the permits for this node's request path.
    pub(crate) fn take_grants(&mut self) -> Vec<PermitGrant> {
        std::mem::take(&mut self.grants)
    }

    /// Does the periodic work. `listed` are the servers that the registry lists.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        listed: impl Iterator<Item = u32>,
        network: &mut PeerNetwork,
    ) {
        if self.table.is_empty() {
            return;
        }
        let listed: BTreeSet<u32> = listed.collect();
        self.table.sweep(now, |server| listed.contains(&server));
        self.received.retain(|server, _| self.table.contains(*server));
        let is_after = |at: Option<Instant>, period: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= period)
        };
        if network.mesh.is_core && is_after(self.sent_at, REPEAT_PERIOD) {
            self.send_entries(now, network);
        }
        let wishes = self.wishes.clone();
        if !wishes.is_empty() && is_after(self.demand_sent_at, DEMAND_PERIOD) {
            self.send_demand(now, &wishes, network);
        }
        if counted_nodes(now, network) > 0 && is_after(self.counted_at, COUNT_PERIOD) {
            self.counted_at = Some(now);
            let wishes = self.wishes_of_all_servers();
            self.send_demand(now, &wishes, network);
        }
        self.issue(now, network);
    }

    /// The wishes, with an empty one for each limited server that has none.
    fn wishes_of_all_servers(&self) -> Vec<PermitWish> {
        let wish = |server| {
            let known = self.wishes.iter().find(|wish| wish.server == server).cloned();
            known.unwrap_or(PermitWish { server, waiting: Vec::new(), wants_probe: false })
        };
        self.table.in_force().map(|(server, _)| wish(server)).collect()
    }

    /// Tells the issuers what this node wants permits for.
    fn send_demand(&mut self, now: Instant, wishes: &[PermitWish], network: &mut PeerNetwork) {
        self.demand_sent_at = Some(now);
        let me = network.me.peer_addr;
        let nodes = counted_nodes(now, network);
        let mut by_addr: BTreeMap<SocketAddr, Vec<AddressedDemand>> = BTreeMap::new();
        for wish in wishes {
            let demand = PermitDemand {
                server: wish.server,
                received: self.received.get(&wish.server).copied().unwrap_or(0),
                stamp_ms: self.stamp_ms(now),
                nodes,
                waiting: wish.waiting.clone(),
                wants_probe: wish.wants_probe,
            };
            let Some(issuer) = issuer_of(now, wish.server, network) else { continue };
            if issuer == network.me.vm {
                self.open(now, wish.server);
                self.issuer.on_demand(now, me, demand);
            } else if let Some(addr) = network.peers.addr(&issuer) {
                by_addr.entry(addr).or_default().push((me, demand));
            }
        }
        for (addr, demands) in by_addr {
            network.send(now, addr, &PeerMessage::PermitDemand(demands));
        }
    }

    fn open(&mut self, now: Instant, server: u32) {
        if self.table.get(server).is_some() {
            self.issuer.open(now, server, self.table.is_new(now, server, NEW_LIMIT_AGE));
        }
    }

    /// Issues permits of the servers whose issuer this node is.
    fn issue(&mut self, now: Instant, network: &mut PeerNetwork) {
        let limits: Vec<(u32, NamedLimit)> = self.table.in_force().collect();
        let is_own =
            |server: u32| issuer_of(now, server, network).is_some_and(|vm| vm == network.me.vm);
        let own: BTreeMap<u32, NamedLimit> =
            limits.into_iter().filter(|(server, _)| is_own(*server)).collect();
        self.issuer.retain(|server| own.contains_key(&server));
        let nodes = network.known_nodes.count();
        let me = network.me.peer_addr;
        for (server, limit) in own {
            self.open(now, server);
            for (addr, grant) in self.issuer.issue(now, server, limit.per_second, nodes) {
                if addr == me {
                    self.on_grants(now, vec![grant]);
                } else {
                    network.send(now, addr, &PeerMessage::PermitGrants(vec![grant]));
                }
            }
        }
    }

    /// This node's time for stamps, in milliseconds.
    fn stamp_ms(&self, now: Instant) -> u32 {
        now.saturating_duration_since(self.origin).as_millis() as u32
    }
}

/// The node that issues permits of `server`, as far as this node knows; the upstream core on a leaf.
fn issuer_of(now: Instant, server: u32, network: &PeerNetwork) -> Option<VmId> {
    let key = format!("limit {server:08x}");
    let candidates = issuer_candidates(now, network).into_iter();
    let issuer = candidates.max_by_key(|vm| rendezvous_score(&key, vm.as_str()));
    Some(issuer.unwrap_or(&network.me.vm).clone())
}

/// The nodes that this node takes for possible issuers: the live nodes of a full mesh, or the live
/// primary cores. On a leaf only the upstream core, which knows the issuers; empty without one.
pub(crate) fn issuer_candidates(now: Instant, network: &PeerNetwork) -> Vec<&VmId> {
    let mesh = &network.mesh;
    if !mesh.is_core {
        return network.upstream_core(now).into_iter().collect();
    }
    // A node that takes no callers any more is about to end.
    let live = |vm: &&VmId| network.peers.is_serving(now, vm);
    let me = mesh.is_primary_core.then_some(&network.me.vm);
    let others: Vec<&VmId> = if mesh.is_full_mesh {
        mesh.cores.iter().filter(live).collect()
    } else {
        let local = mesh.local_cores.iter().find(live).filter(|_| !mesh.is_primary_core);
        local.into_iter().chain(mesh.remote_primaries.iter().filter(live)).collect()
    };
    others.into_iter().chain(me).collect()
}

/// Number of nodes for which this node counts on the issuers: itself, and its leaves if it is their primary core. Zero
/// on a leaf, which its core counts.
pub(crate) fn counted_nodes(now: Instant, network: &PeerNetwork) -> u32 {
    let mesh = &network.mesh;
    if !mesh.is_core {
        return u32::from(network.upstream_core(now).is_none());
    }
    if mesh.is_full_mesh || !mesh.is_primary_core {
        return 1;
    }
    let live_leaves = mesh.leaves.iter().filter(|vm| network.peers.is_live(now, vm)).count();
    u32::try_from(live_leaves + 1).unwrap_or(u32::MAX)
}
