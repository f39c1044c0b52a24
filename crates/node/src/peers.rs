//! Failure detection: which other nodes are alive, by their heartbeats, and the state that they
//! last reported.

use {
    crate::{
        mesh::Mesh,
        peer_message::{Heartbeat, HolderClaim, LoadScope, PeerInfo},
    },
    glade_dispatch::ServerLoad,
    glade_platform::Revision,
    glade_types::{Incarnation, VmId},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time without a heartbeat after which a peer counts as gone: seven heartbeats of 200 ms. With a
/// shorter time-out, a slow VM would drop out of the directory again and again.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1400);
/// Time without an acknowledgement of this node's heartbeats after which the connection to a peer
/// is reopened.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after which a node is removed if it has sent no heartbeat and no other node has reported
/// it.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// State of another node.
#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    /// Identifies the process as the sender of a batch.
    process_hash: u64,
    /// Previous process of the same VM, whose late heartbeats are ignored.
    replaced: Option<Incarnation>,
    received_at: Option<Instant>,
    received_seq: u64,
    /// Highest sequence number of this node that the peer has acknowledged.
    acked_seq: u64,
    /// When that number last grew or the connection was last opened.
    acked_at: Instant,
    /// When that number last grew.
    heard_me_at: Option<Instant>,
    known_at: Instant,
    heartbeat: Option<Heartbeat>,
    /// Requests that the peer last reported as in flight.
    loads: Vec<ServerLoad>,
    /// Sum of the loads of the peer's data centre, or of all nodes, as the peer last reported it,
    /// and when.
    aggregate_loads: Option<(Vec<ServerLoad>, Instant)>,
    /// Since when the mesh has had a connection between this node and the peer.
    linked_since: Option<Instant>,
    /// Heartbeats of the peer were due and didn't arrive, and none has arrived since.
    is_missing: bool,
}

/// Nodes that a heartbeat is sent to, of those that the mesh connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatReceivers {
    /// All.
    All,
    /// Those whose latest heartbeats reported an earlier version of the configuration than this one.
    Before(u64),
}

/// What a heartbeat has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeartbeatChange {
    /// This is the first heartbeat of the process.
    pub(crate) is_new: bool,
    /// The peer was missing before.
    pub(crate) has_recovered: bool,
    /// The peer has started or stopped accepting callers, or was not live before.
    pub(crate) serving_changed: bool,
}

/// The other nodes, by VM.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_vm: BTreeMap<VmId, Peer>,
    /// Sequence number of the last heartbeats sent.
    sent_seq: u64,
}

impl Peers {
    /// Records a node that another node or the store has reported.
    pub(crate) fn on_node_info(&mut self, now: Instant, info: &PeerInfo) {
        match self.by_vm.get_mut(&info.vm) {
            Some(peer) if peer.info.incarnation == info.incarnation => peer.known_at = now,
            Some(peer) if peer.replaced == Some(info.incarnation) || peer.is_live(now) => {}
            _ => {
                self.by_vm.insert(info.vm.clone(), Peer::new(now, info.clone()));
            }
        }
    }

    /// Records a heartbeat.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        heartbeat: Heartbeat,
    ) -> HeartbeatChange {
        let known = self.by_vm.get(&from.vm);
        if known.is_some_and(|peer| peer.replaced == Some(from.incarnation)) {
            return HeartbeatChange::default();
        }
        let is_same = known.is_some_and(|peer| peer.info.incarnation == from.incarnation);
        let is_new = !is_same || known.is_some_and(|peer| peer.received_at.is_none());
        if !is_same {
            let replaced = known.map(|peer| peer.info.incarnation);
            let peer = Peer { replaced, ..Peer::new(now, from.clone()) };
            self.by_vm.insert(from.vm.clone(), peer);
        }
        let sent_seq = self.sent_seq;
        let Some(peer) = self.by_vm.get_mut(&from.vm) else { return HeartbeatChange::default() };
        if heartbeat.seq <= peer.received_seq {
            return HeartbeatChange::default();
        }
        let was_serving =
            peer.is_live(now) && peer.heartbeat.as_ref().is_some_and(|heartbeat| heartbeat.serving);
        // A sequence number that this process hasn't sent yet was sent by its predecessor on this
        // VM.
        if heartbeat.acked_seq > peer.acked_seq && heartbeat.acked_seq <= sent_seq {
            peer.acked_seq = heartbeat.acked_seq;
            peer.acked_at = now;
            peer.heard_me_at = Some(now);
        }
        peer.received_seq = heartbeat.seq;
        peer.received_at = Some(now);
        let has_recovered = std::mem::take(&mut peer.is_missing);
        let serving_changed = was_serving != heartbeat.serving;
        peer.heartbeat = Some(heartbeat);
        HeartbeatChange { is_new, has_recovered, serving_changed }
    }

    /// Records the requests that a node, its data centre or all nodes have in flight.
    pub(crate) fn on_loads(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        scope: LoadScope,
        loads: Vec<ServerLoad>,
    ) {
        let bounded = |load: ServerLoad| ServerLoad { load: load.load.bounded(), ..load };
        let loads = loads.into_iter().map(bounded).collect();
        let Some(peer) = self.by_vm.get_mut(&from.vm) else { return };
        if peer.info.incarnation != from.incarnation {
            return;
        }
        match scope {
            LoadScope::Own => peer.loads = loads,
            LoadScope::DataCentre | LoadScope::All => peer.aggregate_loads = Some((loads, now)),
        }
    }

    /// Records which nodes the mesh connects to this one, and marks those whose heartbeats are
    /// overdue as missing.
    pub(crate) fn update_links(&mut self, now: Instant, mesh: &Mesh) {
        for (vm, peer) in &mut self.by_vm {
            if !mesh.connects_to(vm) {
                peer.linked_since = None;
                continue;
            }
            let since = *peer.linked_since.get_or_insert(now);
            let last_received = peer.received_at.map_or(since, |at| at.max(since));
            let is_due = mesh.expects_heartbeats_from(vm) && !peer.is_missing;
            if is_due && now.saturating_duration_since(last_received) > HEARTBEAT_TIMEOUT {
                peer.is_missing = true;
                log::info!(peer = vm.as_str(); "peer_missed");
            }
        }
    }

    /// True if heartbeats of the node were due and didn't arrive, and none has arrived since.
    pub(crate) fn is_missing(&self, vm: &VmId) -> bool {
        self.by_vm.get(vm).is_some_and(|peer| peer.is_missing)
    }

    /// The next heartbeat to each of the `receivers` that `mesh` connects: the peer's name and address,
    /// the heartbeat's sequence number, and the highest sequence number received from the peer.
    pub(crate) fn next_heartbeats(
        &mut self,
        mesh: &Mesh,
        receivers: HeartbeatReceivers,
    ) -> Vec<(VmId, SocketAddr, u64, u64)> {
        let seq = self.next_seq();
        let is_receiver = |peer: &Peer| match receivers {
            HeartbeatReceivers::All => true,
            HeartbeatReceivers::Before(version) => {
                peer.heartbeat.as_ref().is_some_and(|last| last.catalog_version < version)
            }
        };
        self.by_vm
            .iter()
            .filter(|(vm, peer)| mesh.connects_to(vm) && is_receiver(peer))
            .map(|(vm, peer)| (vm.clone(), peer.info.peer_addr, seq, peer.received_seq))
            .collect()
    }

    /// Sequence number of the last heartbeats.
    pub(crate) fn sent_seq(&self) -> u64 {
        self.sent_seq
    }

    /// True if the live node on `vm` has received a heartbeat of this node after `seq`, and reports that it
    /// knows no change of the registry after `revision`.
    pub(crate) fn confirms_registry(
        &self,
        now: Instant,
        vm: &VmId,
        seq: u64,
        revision: Revision,
    ) -> bool {
        let peer = self.by_vm.get(vm).filter(|peer| peer.is_live(now) && peer.acked_seq > seq);
        let heartbeat = peer.and_then(|peer| peer.heartbeat.as_ref());
        heartbeat.is_some_and(|heartbeat| heartbeat.registry_revision <= revision)
    }

    /// Sequence number of the next heartbeats. All receivers share one sequence, which grows for
    /// the life of this process: a receiver that has restarted may already have received a
    /// heartbeat that was meant for its predecessor.
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.sent_seq += 1;
        self.sent_seq
    }

    /// Addresses of peers that have not acknowledged this node's heartbeats in time. The caller
    /// reopens the connections to them.
    pub(crate) fn unacknowledged(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.by_vm
            .values_mut()
            .filter(|peer| peer.linked_since.is_some_and(|since| since + ACK_TIMEOUT < now))
            .filter(|peer| now.saturating_duration_since(peer.acked_at) > ACK_TIMEOUT)
            .map(|peer| {
                peer.acked_at = now;
                peer.info.peer_addr
            })
            .collect()
    }

    /// Removes nodes of which nothing was received for [`FORGET_AFTER`].
    pub(crate) fn sweep(&mut self, now: Instant) {
        self.by_vm.retain(|_, peer| {
            let since = peer.received_at.map_or(peer.known_at, |at| at.max(peer.known_at));
            now.saturating_duration_since(since) < FORGET_AFTER
        });
    }

    /// Number of known nodes.
    pub(crate) fn count(&self) -> usize {
        self.by_vm.len()
    }

    /// All known nodes.
    pub(crate) fn infos(&self) -> impl Iterator<Item = &PeerInfo> {
        self.by_vm.values().map(|peer| &peer.info)
    }

    /// Live nodes that accept callers.
    pub(crate) fn serving(&self, now: Instant) -> impl Iterator<Item = &PeerInfo> {
        self.live(now).filter(|(_, heartbeat)| heartbeat.serving).map(|(info, _)| info)
    }

    /// Live nodes with their latest heartbeats.
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = (&PeerInfo, &Heartbeat)> {
        self.by_vm
            .values()
            .filter(move |peer| peer.is_live(now))
            .filter_map(|peer| Some((&peer.info, peer.heartbeat.as_ref()?)))
    }

    /// Latest heartbeats of live nodes, with the time since each arrived.
    pub(crate) fn live_with_age(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Heartbeat, Duration)> {
        self.by_vm.values().filter(move |peer| peer.is_live(now)).filter_map(move |peer| {
            let age = now.saturating_duration_since(peer.received_at?);
            Some((peer.heartbeat.as_ref()?, age))
        })
    }

    /// Live nodes with their latest heartbeats and the time since each arrived.
    pub(crate) fn live_with_info_and_age(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&PeerInfo, &Heartbeat, Duration)> {
        self.by_vm.values().filter(move |peer| peer.is_live(now)).filter_map(move |peer| {
            let age = now.saturating_duration_since(peer.received_at?);
            Some((&peer.info, peer.heartbeat.as_ref()?, age))
        })
    }

    /// Number of live nodes that have lately acknowledged this node's heartbeats.
    pub(crate) fn mutual_count(&self, now: Instant) -> usize {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HEARTBEAT_TIMEOUT;
        let hears_me = |peer: &&Peer| peer.is_live(now) && peer.heard_me_at.is_some_and(is_recent);
        self.by_vm.values().filter(hears_me).count()
    }

    /// Loads that live nodes last reported for themselves.
    pub(crate) fn per_node_loads(&self, now: Instant) -> impl Iterator<Item = &ServerLoad> {
        self.by_vm.values().filter(move |peer| peer.is_live(now)).flat_map(|peer| &peer.loads)
    }

    /// Sums of loads that nodes last reported for their data centres or for all nodes, with the
    /// reporting node and the time.
    pub(crate) fn aggregate_loads(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&PeerInfo, Instant, &[ServerLoad])> {
        self.by_vm.values().filter_map(move |peer| {
            let (loads, at) = peer.aggregate_loads.as_ref()?;
            let is_fresh = now.saturating_duration_since(*at) < HEARTBEAT_TIMEOUT;
            is_fresh.then_some((&peer.info, *at, loads.as_slice()))
        })
    }

    /// The node whose process has this hash.
    pub(crate) fn by_process_hash(&self, process_hash: u64) -> Option<&PeerInfo> {
        self.by_vm.values().find(|peer| peer.process_hash == process_hash).map(|peer| &peer.info)
    }

    /// The node on `vm`, if it is known.
    pub(crate) fn info(&self, vm: &VmId) -> Option<&PeerInfo> {
        self.by_vm.get(vm).map(|peer| &peer.info)
    }

    /// Address for messages to the node on `vm`, if it is known.
    pub(crate) fn addr(&self, vm: &VmId) -> Option<SocketAddr> {
        self.by_vm.get(vm).map(|peer| peer.info.peer_addr)
    }

    /// True if a heartbeat of the node on `vm` arrived within [`HEARTBEAT_TIMEOUT`].
    pub(crate) fn is_live(&self, now: Instant, vm: &VmId) -> bool {
        self.by_vm.get(vm).is_some_and(|peer| peer.is_live(now))
    }

    /// Time since the last heartbeat of the node on `vm`; the maximum if there was none.
    pub(crate) fn silence(&self, now: Instant, vm: &VmId) -> Duration {
        let received_at = self.by_vm.get(vm).and_then(|peer| peer.received_at);
        received_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// True if the node on `vm` is live and accepts callers.
    pub(crate) fn is_serving(&self, now: Instant, vm: &VmId) -> bool {
        let peer = self.by_vm.get(vm).filter(|peer| peer.is_live(now));
        peer.and_then(|peer| peer.heartbeat.as_ref()).is_some_and(|heartbeat| heartbeat.serving)
    }

    /// The live node that claims to hold the lease; of several, the one with the latest epoch.
    pub(crate) fn holder(&self, now: Instant) -> Option<(&PeerInfo, HolderClaim)> {
        self.live(now)
            .filter_map(|(info, heartbeat)| Some((info, heartbeat.holder?)))
            .max_by_key(|(_, claim)| claim.epoch)
    }
}

impl Peer {
    fn new(now: Instant, info: PeerInfo) -> Self {
        Self {
            process_hash: info.process_hash(),
            info,
            replaced: None,
            received_at: None,
            received_seq: 0,
            acked_seq: 0,
            acked_at: now,
            heard_me_at: None,
            known_at: now,
            heartbeat: None,
            loads: Vec::new(),
            aggregate_loads: None,
            linked_since: None,
            is_missing: false,
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.received_at.is_some_and(|at| now.saturating_duration_since(at) < HEARTBEAT_TIMEOUT)
    }
}

#[cfg(test)]
mod tests;
