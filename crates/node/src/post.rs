//! Messages to other nodes.

use {
    crate::{
        mesh::Mesh,
        peer_message::{Beat, PeerEnvelope, PeerInfo, PeerMessage},
        peers::Peers,
        work::Work,
    },
    glade_platform::Revision,
    glade_types::VmId,
    glade_wire::{Outbox, frame},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The other nodes and the way to them.
#[derive(Debug)]
pub(crate) struct Post {
    pub(crate) me: PeerInfo,
    pub(crate) peers: Peers,
    pub(crate) mesh: Mesh,
    outbox: Outbox,
    work: Work,
}

impl Post {
    /// Returns a post that knows no other node.
    pub(crate) fn new(me: PeerInfo, work: Work) -> Self {
        Self { me, peers: Peers::default(), mesh: Mesh::alone(), outbox: Outbox::new(), work }
    }

    /// Takes note of nodes that somebody has told of.
    pub(crate) fn learn(&mut self, now: Instant, infos: &[PeerInfo]) {
        for info in infos.iter().filter(|info| info.vm != self.me.vm) {
            self.peers.on_info(now, info);
        }
    }

    /// Sends `message` to the node at `addr`; one that can't be queued is dropped.
    pub(crate) fn send(&mut self, addr: SocketAddr, message: PeerMessage) {
        let kind = message.kind();
        let envelope = PeerEnvelope { from: self.me.clone(), message };
        self.send_frame(addr, kind, &frame::encode(&envelope));
    }

    /// Sends `message` to all cores, and to this node's leaves.
    pub(crate) fn spread(&mut self, now: Instant, message: PeerMessage) {
        let to: Vec<VmId> = self.mesh.cores.iter().chain(&self.mesh.leaves).cloned().collect();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to this node's leaves.
    pub(crate) fn tell_leaves(&mut self, now: Instant, message: PeerMessage) {
        let to: Vec<VmId> = self.mesh.leaves.iter().cloned().collect();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to the other cores of this node's data centre.
    pub(crate) fn tell_near_cores(&mut self, now: Instant, message: PeerMessage) {
        let to = self.mesh.near_cores.clone();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to the cores that speak for the other data centres.
    pub(crate) fn tell_far_firsts(&mut self, now: Instant, message: PeerMessage) {
        let to = self.mesh.far_firsts.clone();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to the node that speaks for this one, if another does.
    pub(crate) fn tell_speaker(&mut self, now: Instant, message: PeerMessage) {
        let heard = |vm: &&VmId| self.peers.hears(now, vm);
        let speaker = self.mesh.near_cores.iter().find(heard).cloned();
        self.send_to(now, speaker.as_slice(), message);
    }

    /// Passes on what `from` has sent, to where it can't send it itself.
    pub(crate) fn pass_on(&mut self, now: Instant, from: &VmId, message: PeerMessage) {
        let mut to: Vec<VmId> = Vec::new();
        if self.mesh.passes_outwards(from) {
            let far = |vm: &&VmId| !self.mesh.near_cores.contains(vm);
            to.extend(self.mesh.cores.iter().filter(far).cloned());
        }
        if self.mesh.passes_inwards(from) {
            to.extend(self.mesh.leaves.iter().filter(|vm| *vm != from).cloned());
        }
        self.send_to(now, &to, message);
    }

    /// Sends `message` to those of `to` that are heard.
    fn send_to(&mut self, now: Instant, to: &[VmId], message: PeerMessage) {
        if to.is_empty() {
            return;
        }
        let kind = message.kind();
        let envelope = PeerEnvelope { from: self.me.clone(), message };
        let bytes = frame::encode(&envelope);
        for vm in to {
            if let Some(addr) = self.peers.addr(vm).filter(|_| self.peers.hears(now, vm)) {
                self.send_frame(addr, kind, &bytes);
            }
        }
    }

    /// Works out anew who this node talks to.
    pub(crate) fn plan(&mut self, now: Instant) {
        self.peers.link(now, &self.mesh);
        let mesh = Mesh::plan(now, &self.me, &self.peers);
        if mesh.is_core != self.mesh.is_core {
            log::info!(core = mesh.is_core, nodes = self.peers.count() as u64 + 1; "mesh_role");
        }
        self.mesh = mesh;
    }

    /// Sends a sign of life to every node that this one talks to.
    pub(crate) fn beat(&mut self, beat: &Beat) {
        for (addr, seq, heard_seq) in self.peers.next_beats(&self.mesh) {
            self.send(addr, PeerMessage::Beat(Beat { seq, heard_seq, ..beat.clone() }));
        }
    }

    /// Sends a first sign of life to a node of which only the address is known.
    pub(crate) fn greet(&mut self, addr: SocketAddr) {
        if addr != self.me.peers {
            self.send(addr, PeerMessage::Beat(Beat::greeting()));
        }
    }

    /// Opens connections to nodes anew that don't seem to hear this one.
    pub(crate) fn redial_unheard(&mut self, now: Instant) {
        for addr in self.peers.unheard(now) {
            log::debug!(peer = addr.to_string().as_str(); "peer_redialled");
            self.outbox.redial(addr);
        }
    }

    fn send_frame(&mut self, addr: SocketAddr, kind: usize, bytes: &[u8]) {
        self.work.on_sent(kind, bytes.len());
        if let Err(err) = self.outbox.send_frame(addr, bytes) {
            log::debug!(reason = err.to_string().as_str(); "peer_message_dropped");
        }
    }
}

impl Beat {
    /// A sign of life of a node that has just started.
    fn greeting() -> Self {
        Self {
            seq: 1,
            heard_seq: 0,
            core: false,
            serving: false,
            catalog_version: 0,
            holder: None,
            resigned_epoch: 0,
            store: Default::default(),
            doubts_store: false,
            reads: false,
            registry_revision: Revision::ABSENT,
        }
    }

    /// Time since the sender last heard the store, as of now, if the beat arrived `age` ago.
    pub(crate) fn store_silence(&self, age: Duration) -> Option<Duration> {
        self.store.answered.map(|silence| silence + age)
    }
}
