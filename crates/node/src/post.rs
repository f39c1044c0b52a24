//! Messages to other nodes.
//!
//! What goes to the same node at about the same time goes in one parcel: a node of a large mesh is
//! woken by each parcel that arrives, and that costs it more than what the parcel holds. The time for
//! which messages are gathered grows with the number of nodes, so that the parcels that a leaf hears
//! don't.

use {
    crate::{
        mesh::{Mesh, MeshTopology},
        peer_message::{Beat, PeerInfo, PeerMessage},
        peers::Peers,
        work::Work,
    },
    glade_platform::Revision,
    glade_types::{DataCentre, VmId},
    glade_wire::{Outbox, frame},
    std::{
        collections::HashMap,
        fmt,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which a leaf and its cores gather messages for each other, for each node of the mesh.
const GATHER_PER_NODE: Duration = Duration::from_micros(330);
/// Shortest such time: in `tests/loads.rs` of the dispatcher, word of prompts after 30 ms is worth
/// nearly as much as after 10.
const GATHER_MIN: Duration = Duration::from_millis(20);
/// Longest such time; a drain must be known to all nodes within seconds, over three ways.
const GATHER_MAX: Duration = Duration::from_millis(100);
/// Time for which cores gather messages for each other.
const GATHER_CORES: Duration = Duration::from_millis(10);
/// Bytes from which a parcel is sent without waiting for more.
const PARCEL_FULL_BYTES: usize = 32 << 10;

/// What takes parcels to their nodes.
pub(crate) trait Carrier: fmt::Debug {
    /// Queues a parcel for the node at `addr`; one that can't be queued is dropped.
    fn carry(&mut self, addr: SocketAddr, parcel: &[u8]);

    /// Opens the connection to `addr` anew.
    fn redial(&mut self, addr: SocketAddr);
}

impl Carrier for Outbox {
    fn carry(&mut self, addr: SocketAddr, parcel: &[u8]) {
        if let Err(err) = self.send_frame(addr, parcel) {
            log::debug!(reason = err.to_string().as_str(); "peer_message_dropped");
        }
    }

    fn redial(&mut self, addr: SocketAddr) {
        Self::redial(self, addr);
    }
}

/// Messages that wait for others to the same node.
#[derive(Debug)]
struct Parcel {
    bytes: Vec<u8>,
    due: Instant,
}

/// When a message is sent.
#[derive(Clone, Copy, Debug)]
enum When {
    /// With others to the same node.
    Gathered,
    /// Now, with those that wait already.
    AtOnce,
}

/// The other nodes and the way to them.
#[derive(Debug)]
pub(crate) struct Post {
    pub(crate) me: PeerInfo,
    /// Mark of this process.
    mark: u64,
    pub(crate) peers: Peers,
    pub(crate) mesh: Mesh,
    /// This node has learnt from the store which others there are.
    pub(crate) knows_nodes: bool,
    carrier: Box<dyn Carrier>,
    parcels: HashMap<SocketAddr, Parcel>,
    /// Role that was last logged: core, first core, in a small mesh.
    logged_role: Option<(bool, bool, bool)>,
    work: Work,
}

impl Post {
    /// Returns a post that knows no other node.
    pub(crate) fn new(me: PeerInfo, carrier: Box<dyn Carrier>, work: Work) -> Self {
        Self {
            mark: me.mark(),
            me,
            peers: Peers::default(),
            mesh: Mesh::single_node(),
            knows_nodes: false,
            carrier,
            parcels: HashMap::new(),
            logged_role: None,
            work,
        }
    }

    /// Takes note of nodes that somebody has told of.
    pub(crate) fn learn(&mut self, now: Instant, infos: &[PeerInfo]) {
        for info in infos.iter().filter(|info| info.vm != self.me.vm) {
            self.peers.on_info(now, info);
        }
    }

    /// Takes note of all nodes, as the store tells them.
    pub(crate) fn learn_all(&mut self, now: Instant, rows: &[PeerInfo]) {
        self.learn(now, rows);
        self.knows_nodes = true;
    }

    /// Sends `message` to the node at `addr` at once, behind what waits for it already. One that
    /// can't be queued there is dropped.
    pub(crate) fn send(&mut self, now: Instant, addr: SocketAddr, message: &PeerMessage) {
        self.introduce(now, addr);
        self.put_message(now, addr, message);
    }

    /// Says who this node is in the parcel for `addr`, which is sent by `due`.
    fn introduce(&mut self, due: Instant, addr: SocketAddr) {
        self.put_message(due, addr, &PeerMessage::Introduction(self.me.clone()));
    }

    /// Sends `message` to all cores, and to this node's leaves.
    pub(crate) fn spread(&mut self, now: Instant, message: &PeerMessage) {
        self.tell_cores(now, message);
        self.tell_leaves(now, message);
    }

    /// Sends `message` to all cores.
    pub(crate) fn tell_cores(&mut self, now: Instant, message: &PeerMessage) {
        let to: Vec<VmId> = self.mesh.cores.iter().cloned().collect();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to this node's leaves.
    pub(crate) fn tell_leaves(&mut self, now: Instant, message: &PeerMessage) {
        let to: Vec<VmId> = self.mesh.leaves.iter().cloned().collect();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to the other cores of this node's data centre.
    pub(crate) fn tell_near_cores(&mut self, now: Instant, message: &PeerMessage) {
        let to = self.mesh.local_cores.clone();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to the cores that speak for the other data centres.
    pub(crate) fn tell_far_firsts(&mut self, now: Instant, message: &PeerMessage) {
        let to = self.mesh.remote_primaries.clone();
        self.send_to(now, &to, message);
    }

    /// Sends `message` at once to the first core of `data_centre`, if one is known.
    pub(crate) fn tell_first_of(
        &mut self,
        now: Instant,
        data_centre: &DataCentre,
        message: &PeerMessage,
    ) {
        let mut firsts = self.mesh.remote_primaries.iter();
        let of_place =
            |vm: &&VmId| self.peers.info(vm).is_some_and(|it| it.data_centre == *data_centre);
        if let Some(addr) = firsts.find(of_place).and_then(|vm| self.peers.addr(vm)) {
            self.send(now, addr, message);
        }
    }

    /// The node that speaks for this one, if another does.
    pub(crate) fn speaker(&self, now: Instant) -> Option<&VmId> {
        self.mesh.local_cores.iter().find(|vm| self.peers.hears(now, vm))
    }

    /// Sends `message` to the node that speaks for this one, if another does.
    pub(crate) fn tell_speaker(&mut self, now: Instant, message: &PeerMessage) {
        let speaker = self.speaker(now).cloned();
        self.send_to(now, speaker.as_slice(), message);
    }

    /// Sends `message` to the node that speaks for this one at once, with what waits for it already.
    pub(crate) fn hurry_speaker(&mut self, now: Instant, message: &PeerMessage) {
        let speaker = self.speaker(now).cloned();
        self.send_when(now, speaker.as_slice(), message, When::AtOnce);
    }

    /// Sends `message`, which was gathered for long enough, to this node's leaves at once, with what
    /// waits for them already.
    pub(crate) fn hurry_leaves(&mut self, now: Instant, message: &PeerMessage) {
        let to: Vec<VmId> = self.mesh.leaves.iter().cloned().collect();
        self.send_when(now, &to, message, When::AtOnce);
    }

    /// Passes on what `from` has sent, to where it can't send it itself.
    pub(crate) fn pass_on(&mut self, now: Instant, from: &VmId, message: &PeerMessage) {
        self.pass_outwards(now, from, message);
        if self.mesh.forwards_to_leaves(from) {
            let others = self.mesh.leaves.iter().filter(|vm| *vm != from);
            let to: Vec<VmId> = others.cloned().collect();
            self.send_to(now, &to, message);
        }
    }

    /// Passes on what `from` has sent, to the cores that it can't send it to itself.
    pub(crate) fn pass_outwards(&mut self, now: Instant, from: &VmId, message: &PeerMessage) {
        if self.mesh.forwards_to_other_data_centres(from) {
            let far = |vm: &&VmId| !self.mesh.local_cores.contains(vm);
            let to: Vec<VmId> = self.mesh.cores.iter().filter(far).cloned().collect();
            self.send_to(now, &to, message);
        }
    }

    /// Sends `message` to those of `to` that are heard, with other messages to them.
    fn send_to(&mut self, now: Instant, to: &[VmId], message: &PeerMessage) {
        self.send_when(now, to, message, When::Gathered);
    }

    fn send_when(&mut self, now: Instant, to: &[VmId], message: &PeerMessage, when: When) {
        if to.is_empty() {
            return;
        }
        let part = frame::encode_part(message);
        for vm in to {
            if let Some(addr) = self.peers.addr(vm).filter(|_| self.peers.hears(now, vm)) {
                let wait = match when {
                    When::Gathered => self.gather_time(vm),
                    When::AtOnce => Duration::ZERO,
                };
                self.put(now + wait, addr, message.kind(), &part);
            }
        }
    }

    /// Time for which messages to `vm` wait for others.
    fn gather_time(&self, vm: &VmId) -> Duration {
        if self.mesh.is_full_mesh {
            Duration::ZERO
        } else if self.mesh.is_core && self.mesh.cores.contains(vm) {
            GATHER_CORES
        } else {
            self.leaf_gather_time()
        }
    }

    /// Time for which a leaf and its cores gather messages for each other; zero where there are no
    /// leaves.
    pub(crate) fn leaf_gather_time(&self) -> Duration {
        if self.mesh.is_full_mesh {
            return Duration::ZERO;
        }
        let nodes = u32::try_from(self.peers.count() + 1).unwrap_or(u32::MAX);
        GATHER_PER_NODE.saturating_mul(nodes).clamp(GATHER_MIN, GATHER_MAX)
    }

    /// Puts a message that goes to one node alone into the parcel for `addr`, which is sent by `due`.
    fn put_message(&mut self, due: Instant, addr: SocketAddr, message: &PeerMessage) {
        self.put(due, addr, message.kind(), &frame::encode_part(message));
    }

    /// Puts an encoded message into the parcel for `addr`, which is sent by `due`.
    fn put(&mut self, due: Instant, addr: SocketAddr, kind: usize, part: &[u8]) {
        self.work.on_sent(kind, part.len());
        let parcel = self
            .parcels
            .entry(addr)
            .or_insert_with(|| Parcel { bytes: frame::encode(&self.mark), due });
        parcel.bytes.extend_from_slice(part);
        parcel.due = parcel.due.min(due);
        if parcel.bytes.len() >= PARCEL_FULL_BYTES {
            self.dispatch(addr);
        }
    }

    /// When a parcel is to be sent next.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.parcels.values().map(|parcel| parcel.due).min()
    }

    /// Sends the parcels that have waited for long enough.
    pub(crate) fn flush(&mut self, now: Instant) {
        let due = self.parcels.iter().filter(|(_, parcel)| parcel.due <= now);
        let due: Vec<SocketAddr> = due.map(|(addr, _)| *addr).collect();
        due.into_iter().for_each(|addr| self.dispatch(addr));
    }

    /// Sends the parcel for `addr`.
    fn dispatch(&mut self, addr: SocketAddr) {
        let Some(parcel) = self.parcels.remove(&addr) else { return };
        self.work.on_parcel_sent(parcel.bytes.len());
        self.carrier.carry(addr, &parcel.bytes);
    }

    /// Works out anew who this node talks to. Returns true if it has become a core, or is none any more.
    pub(crate) fn plan(&mut self, now: Instant) -> bool {
        self.peers.link(now, &self.mesh);
        let mesh = Mesh::plan(now, &self.me, self.knows_nodes, &self.peers);
        let has_role = mesh.is_core != self.mesh.is_core;
        self.mesh = mesh;
        self.log_role();
        has_role
    }

    fn log_role(&mut self) {
        let role = (self.mesh.is_core, self.mesh.is_primary_core, self.mesh.is_full_mesh);
        if self.logged_role.replace(role) != Some(role) {
            let (core, first, small) = role;
            let nodes = self.peers.count() as u64 + 1;
            log::info!(core = core, first = first, small = small, nodes = nodes; "mesh_role");
        }
    }

    /// Sends a sign of life to every node that this one talks to; leaves know the registry up to
    /// `leaf_revision` if they know everything that they are told.
    pub(crate) fn beat(&mut self, now: Instant, beat: &Beat, leaf_revision: Revision) {
        for (vm, addr, seq, heard_seq) in self.peers.next_beats(&self.mesh) {
            let is_leaf = self.mesh.leaves.contains(&vm);
            let registry_revision = if is_leaf { leaf_revision } else { beat.registry_revision };
            let beat = Beat { seq, heard_seq, registry_revision, ..beat.clone() };
            let due = now + self.gather_time(&vm);
            self.introduce(due, addr);
            self.put_message(due, addr, &PeerMessage::Beat(beat));
        }
    }

    /// Sends a first sign of life to a node of which only the address is known.
    pub(crate) fn greet(&mut self, now: Instant, addr: SocketAddr) {
        if addr != self.me.peers {
            let seq = self.peers.next_seq();
            self.send(now, addr, &PeerMessage::Beat(Beat::greeting(seq)));
        }
    }

    /// Opens connections to nodes anew that don't seem to hear this one.
    pub(crate) fn redial_unheard(&mut self, now: Instant) {
        for addr in self.peers.unheard(now) {
            log::debug!(peer = addr.to_string().as_str(); "peer_redialled");
            self.carrier.redial(addr);
        }
    }
}

impl Beat {
    /// A sign of life of a node that has just started.
    fn greeting(seq: u64) -> Self {
        Self {
            seq,
            heard_seq: 0,
            core: false,
            mesh_size: MeshTopology::Unknown,
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

#[cfg(test)]
mod tests;
