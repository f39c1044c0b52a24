//! What a node believes about the other nodes.

use {
    crate::{
        mesh::Mesh,
        peer_message::{Heartbeat, HolderClaim, LoadScope, PeerInfo},
    },
    glade_dispatch::ServerLoad,
    glade_types::{Incarnation, VmId},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Silence after which a peer counts as gone. Seven beats of 200 ms; shorter, and a slow VM would
/// drop out of the directory again and again.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1400);
/// Time without an echo of own beats after which the connection to a peer is opened anew.
const ACK_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time without a word of a node, its own or another's, after which it is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Another node.
#[derive(Clone, Debug)]
struct Peer {
    info: PeerInfo,
    /// Mark of its process in parcels.
    process_hash: u64,
    /// Process that this one has replaced; its late beats are ignored.
    replaced: Option<Incarnation>,
    received_at: Option<Instant>,
    received_seq: u64,
    /// Highest own number that came back, and when that last grew or the connection was opened.
    acked_seq: u64,
    acked_at: Instant,
    known_at: Instant,
    heartbeat: Option<Heartbeat>,
    /// What it last said to have under way.
    loads: Vec<ServerLoad>,
    /// What its data centre has under way, as it last said, and when.
    aggregate_loads: Option<(Vec<ServerLoad>, Instant)>,
    /// Since when this node and that one have been meant to talk to each other.
    linked_since: Option<Instant>,
    /// It should have been heard and wasn't, and hasn't been since.
    is_missing: bool,
}

/// What a beat has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeartbeatChange {
    /// The process wasn't known.
    pub(crate) is_new: bool,
    /// It had been missed.
    pub(crate) has_recovered: bool,
    /// Whether it takes callers has changed, or it is heard again.
    pub(crate) serving_changed: bool,
}

/// The other nodes by VM.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_vm: BTreeMap<VmId, Peer>,
    /// Number of the last round of beats.
    sent_seq: u64,
}

impl Peers {
    /// Takes note of a node that somebody else has told of.
    pub(crate) fn on_node_info(&mut self, now: Instant, info: &PeerInfo) {
        match self.by_vm.get_mut(&info.vm) {
            Some(peer) if peer.info.incarnation == info.incarnation => peer.known_at = now,
            Some(peer) if peer.replaced == Some(info.incarnation) || peer.is_live(now) => {}
            _ => {
                self.by_vm.insert(info.vm.clone(), Peer::new(now, info.clone()));
            }
        }
    }

    /// Takes a sign of life.
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
        // A number that this process hasn't sent yet was sent by its predecessor.
        if heartbeat.acked_seq > peer.acked_seq && heartbeat.acked_seq <= sent_seq {
            peer.acked_seq = heartbeat.acked_seq;
            peer.acked_at = now;
        }
        peer.received_seq = heartbeat.seq;
        peer.received_at = Some(now);
        let has_recovered = std::mem::take(&mut peer.is_missing);
        let serving_changed = was_serving != heartbeat.serving;
        peer.heartbeat = Some(heartbeat);
        HeartbeatChange { is_new, has_recovered, serving_changed }
    }

    /// Takes what a node, or its data centre, has under way.
    pub(crate) fn on_loads(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        scope: LoadScope,
        loads: Vec<ServerLoad>,
    ) {
        let Some(peer) = self.by_vm.get_mut(&from.vm) else { return };
        if peer.info.incarnation != from.incarnation {
            return;
        }
        match scope {
            LoadScope::Own => peer.loads = loads,
            LoadScope::DataCentre | LoadScope::All => peer.aggregate_loads = Some((loads, now)),
        }
    }

    /// Takes note of the nodes that this one is meant to talk to.
    pub(crate) fn update_links(&mut self, now: Instant, mesh: &Mesh) {
        for (vm, peer) in &mut self.by_vm {
            if !mesh.connects_to(vm) {
                peer.linked_since = None;
                continue;
            }
            let since = *peer.linked_since.get_or_insert(now);
            let silent_since = peer.received_at.map_or(since, |at| at.max(since));
            let is_due = mesh.expects_heartbeats_from(vm) && !peer.is_missing;
            if is_due && now.saturating_duration_since(silent_since) > HEARTBEAT_TIMEOUT {
                peer.is_missing = true;
                log::info!(peer = vm.as_str(); "peer_missed");
            }
        }
    }

    /// True if a node should have been heard and wasn't, and hasn't been since.
    pub(crate) fn is_missing(&self, vm: &VmId) -> bool {
        self.by_vm.get(vm).is_some_and(|peer| peer.is_missing)
    }

    /// The next beat to each peer that `mesh` links: its name and address, the beat's number, and the
    /// highest number heard.
    pub(crate) fn next_heartbeats(&mut self, mesh: &Mesh) -> Vec<(VmId, SocketAddr, u64, u64)> {
        let seq = self.next_seq();
        self.by_vm
            .iter()
            .filter(|(vm, _)| mesh.connects_to(vm))
            .map(|(vm, peer)| (vm.clone(), peer.info.peers, seq, peer.received_seq))
            .collect()
    }

    /// Number of the next beats. It grows for as long as this process lives, whoever the receivers are:
    /// one that has started again may already have heard a beat that was meant for its predecessor.
    pub(crate) fn next_seq(&mut self) -> u64 {
        self.sent_seq += 1;
        self.sent_seq
    }

    /// Addresses of peers that don't seem to hear this node; connections to them are opened anew.
    pub(crate) fn unacknowledged(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.by_vm
            .values_mut()
            .filter(|peer| peer.linked_since.is_some_and(|since| since + ACK_TIMEOUT < now))
            .filter(|peer| now.saturating_duration_since(peer.acked_at) > ACK_TIMEOUT)
            .map(|peer| {
                peer.acked_at = now;
                peer.info.peers
            })
            .collect()
    }

    /// Forgets peers that have been silent for long.
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

    /// Nodes that are heard and take callers.
    pub(crate) fn serving(&self, now: Instant) -> impl Iterator<Item = &PeerInfo> {
        self.live(now).filter(|(_, heartbeat)| heartbeat.serving).map(|(info, _)| info)
    }

    /// Nodes that are heard, with what they said last.
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = (&PeerInfo, &Heartbeat)> {
        self.by_vm
            .values()
            .filter(move |peer| peer.is_live(now))
            .filter_map(|peer| Some((&peer.info, peer.heartbeat.as_ref()?)))
    }

    /// What nodes that are heard said last, with the time since then.
    pub(crate) fn live_with_age(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Heartbeat, Duration)> {
        self.by_vm.values().filter(move |peer| peer.is_live(now)).filter_map(move |peer| {
            let age = now.saturating_duration_since(peer.received_at?);
            Some((peer.heartbeat.as_ref()?, age))
        })
    }

    /// Loads that the other nodes last told of their own.
    pub(crate) fn per_node_loads(&self, now: Instant) -> impl Iterator<Item = &ServerLoad> {
        self.by_vm.values().filter(move |peer| peer.is_live(now)).flat_map(|peer| &peer.loads)
    }

    /// Loads that nodes last told of their data centres, or of all, with the teller and the time.
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

    /// The node whose process has this mark.
    pub(crate) fn by_process_hash(&self, process_hash: u64) -> Option<&PeerInfo> {
        self.by_vm.values().find(|peer| peer.process_hash == process_hash).map(|peer| &peer.info)
    }

    /// The node called `vm`, if it is known.
    pub(crate) fn info(&self, vm: &VmId) -> Option<&PeerInfo> {
        self.by_vm.get(vm).map(|peer| &peer.info)
    }

    /// Address of the node called `vm`, if it is known.
    pub(crate) fn addr(&self, vm: &VmId) -> Option<SocketAddr> {
        self.by_vm.get(vm).map(|peer| peer.info.peers)
    }

    /// True if the node called `vm` is heard.
    pub(crate) fn is_live(&self, now: Instant, vm: &VmId) -> bool {
        self.by_vm.get(vm).is_some_and(|peer| peer.is_live(now))
    }

    /// The node that claims to give orders, by its latest claim.
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
