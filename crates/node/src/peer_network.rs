//! Messages to other nodes.
//!
//! What goes to the same node at about the same time goes in one parcel: a node of a large mesh is
//! woken by each parcel that arrives, and that costs it more than what the parcel holds. The time for
//! which messages are gathered grows with the number of nodes, so that the parcels that a leaf hears
//! don't.

use {
    crate::{
        control_metrics::ControlMetrics,
        mesh::{Mesh, MeshTopology},
        peer_message::{Heartbeat, PeerInfo, PeerMessage},
        peers::Peers,
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
const BATCH_DELAY_PER_NODE: Duration = Duration::from_micros(330);
/// Shortest such time: in `tests/loads.rs` of the dispatcher, word of prompts after 30 ms is worth
/// nearly as much as after 10.
const BATCH_DELAY_MIN: Duration = Duration::from_millis(20);
/// Longest such time; a drain must be known to all nodes within seconds, over three ways.
const BATCH_DELAY_MAX: Duration = Duration::from_millis(100);
/// Time for which cores gather messages for each other.
const CORE_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Bytes from which a parcel is sent without waiting for more.
const BATCH_FULL_BYTES: usize = 32 << 10;

/// What takes parcels to their nodes.
pub(crate) trait Transport: fmt::Debug {
    /// Queues a parcel for the node at `addr`; one that can't be queued is dropped.
    fn send_batch(&mut self, addr: SocketAddr, batch: &[u8]);

    /// Opens the connection to `addr` anew.
    fn reconnect(&mut self, addr: SocketAddr);
}

impl Transport for Outbox {
    fn send_batch(&mut self, addr: SocketAddr, batch: &[u8]) {
        if let Err(err) = self.send_frame(addr, batch) {
            log::debug!(reason = err.to_string().as_str(); "peer_message_dropped");
        }
    }

    fn reconnect(&mut self, addr: SocketAddr) {
        Self::redial(self, addr);
    }
}

/// Messages that wait for others to the same node.
#[derive(Debug)]
struct Batch {
    bytes: Vec<u8>,
    due: Instant,
}

/// When a message is sent.
#[derive(Clone, Copy, Debug)]
enum SendMode {
    /// With others to the same node.
    Batched,
    /// Now, with those that wait already.
    Immediate,
}

/// The other nodes and the way to them.
#[derive(Debug)]
pub(crate) struct PeerNetwork {
    pub(crate) me: PeerInfo,
    /// Mark of this process.
    process_hash: u64,
    pub(crate) peers: Peers,
    pub(crate) mesh: Mesh,
    /// This node has learnt from the store which others there are.
    pub(crate) has_all_nodes: bool,
    transport: Box<dyn Transport>,
    batches: HashMap<SocketAddr, Batch>,
    /// Role that was last logged: core, first core, in a small mesh.
    logged_role: Option<(bool, bool, bool)>,
    control_metrics: ControlMetrics,
}

impl PeerNetwork {
    /// Returns a post that knows no other node.
    pub(crate) fn new(
        me: PeerInfo,
        transport: Box<dyn Transport>,
        control_metrics: ControlMetrics,
    ) -> Self {
        Self {
            process_hash: me.process_hash(),
            me,
            peers: Peers::default(),
            mesh: Mesh::single_node(),
            has_all_nodes: false,
            transport,
            batches: HashMap::new(),
            logged_role: None,
            control_metrics,
        }
    }

    /// Takes note of nodes that somebody has told of.
    pub(crate) fn add_nodes(&mut self, now: Instant, infos: &[PeerInfo]) {
        for info in infos.iter().filter(|info| info.vm != self.me.vm) {
            self.peers.on_node_info(now, info);
        }
    }

    /// Takes note of all nodes, as the store tells them.
    pub(crate) fn add_all_nodes(&mut self, now: Instant, rows: &[PeerInfo]) {
        self.add_nodes(now, rows);
        self.has_all_nodes = true;
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
    pub(crate) fn broadcast(&mut self, now: Instant, message: &PeerMessage) {
        self.send_to_cores(now, message);
        self.send_to_leaves(now, message);
    }

    /// Sends `message` to all cores.
    pub(crate) fn send_to_cores(&mut self, now: Instant, message: &PeerMessage) {
        let to: Vec<VmId> = self.mesh.cores.iter().cloned().collect();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to this node's leaves.
    pub(crate) fn send_to_leaves(&mut self, now: Instant, message: &PeerMessage) {
        let to: Vec<VmId> = self.mesh.leaves.iter().cloned().collect();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to the other cores of this node's data centre.
    pub(crate) fn send_to_local_cores(&mut self, now: Instant, message: &PeerMessage) {
        let to = self.mesh.local_cores.clone();
        self.send_to(now, &to, message);
    }

    /// Sends `message` to the cores that speak for the other data centres.
    pub(crate) fn send_to_remote_primaries(&mut self, now: Instant, message: &PeerMessage) {
        let to = self.mesh.remote_primaries.clone();
        self.send_to(now, &to, message);
    }

    /// Sends `message` at once to the first core of `data_centre`, if one is known.
    pub(crate) fn send_to_primary_of(
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
    pub(crate) fn upstream_core(&self, now: Instant) -> Option<&VmId> {
        self.mesh.local_cores.iter().find(|vm| self.peers.is_live(now, vm))
    }

    /// Sends `message` to the node that speaks for this one, if another does.
    pub(crate) fn send_upstream(&mut self, now: Instant, message: &PeerMessage) {
        let upstream_core = self.upstream_core(now).cloned();
        self.send_to(now, upstream_core.as_slice(), message);
    }

    /// Sends `message` to the node that speaks for this one at once, with what waits for it already.
    pub(crate) fn send_upstream_now(&mut self, now: Instant, message: &PeerMessage) {
        let upstream_core = self.upstream_core(now).cloned();
        self.send_with_mode(now, upstream_core.as_slice(), message, SendMode::Immediate);
    }

    /// Sends `message`, which was gathered for long enough, to this node's leaves at once, with what
    /// waits for them already.
    pub(crate) fn send_to_leaves_now(&mut self, now: Instant, message: &PeerMessage) {
        let to: Vec<VmId> = self.mesh.leaves.iter().cloned().collect();
        self.send_with_mode(now, &to, message, SendMode::Immediate);
    }

    /// Passes on what `from` has sent, to where it can't send it itself.
    pub(crate) fn forward(&mut self, now: Instant, from: &VmId, message: &PeerMessage) {
        self.forward_to_remote_cores(now, from, message);
        if self.mesh.forwards_to_leaves(from) {
            let others = self.mesh.leaves.iter().filter(|vm| *vm != from);
            let to: Vec<VmId> = others.cloned().collect();
            self.send_to(now, &to, message);
        }
    }

    /// Passes on what `from` has sent, to the cores that it can't send it to itself.
    pub(crate) fn forward_to_remote_cores(
        &mut self,
        now: Instant,
        from: &VmId,
        message: &PeerMessage,
    ) {
        if self.mesh.forwards_to_other_data_centres(from) {
            let far = |vm: &&VmId| !self.mesh.local_cores.contains(vm);
            let to: Vec<VmId> = self.mesh.cores.iter().filter(far).cloned().collect();
            self.send_to(now, &to, message);
        }
    }

    /// Sends `message` to those of `to` that are heard, with other messages to them.
    fn send_to(&mut self, now: Instant, to: &[VmId], message: &PeerMessage) {
        self.send_with_mode(now, to, message, SendMode::Batched);
    }

    fn send_with_mode(&mut self, now: Instant, to: &[VmId], message: &PeerMessage, mode: SendMode) {
        if to.is_empty() {
            return;
        }
        let part = frame::encode_part(message);
        for vm in to {
            if let Some(addr) = self.peers.addr(vm).filter(|_| self.peers.is_live(now, vm)) {
                let wait = match mode {
                    SendMode::Batched => self.batch_delay(vm),
                    SendMode::Immediate => Duration::ZERO,
                };
                self.put(now + wait, addr, message.kind(), &part);
            }
        }
    }

    /// Time for which messages to `vm` wait for others.
    fn batch_delay(&self, vm: &VmId) -> Duration {
        if self.mesh.is_full_mesh {
            Duration::ZERO
        } else if self.mesh.is_core && self.mesh.cores.contains(vm) {
            CORE_BATCH_DELAY
        } else {
            self.leaf_batch_delay()
        }
    }

    /// Time for which a leaf and its cores gather messages for each other; zero where there are no
    /// leaves.
    pub(crate) fn leaf_batch_delay(&self) -> Duration {
        if self.mesh.is_full_mesh {
            return Duration::ZERO;
        }
        let nodes = u32::try_from(self.peers.count() + 1).unwrap_or(u32::MAX);
        BATCH_DELAY_PER_NODE.saturating_mul(nodes).clamp(BATCH_DELAY_MIN, BATCH_DELAY_MAX)
    }

    /// Puts a message that goes to one node alone into the parcel for `addr`, which is sent by `due`.
    fn put_message(&mut self, due: Instant, addr: SocketAddr, message: &PeerMessage) {
        self.put(due, addr, message.kind(), &frame::encode_part(message));
    }

    /// Puts an encoded message into the parcel for `addr`, which is sent by `due`.
    fn put(&mut self, due: Instant, addr: SocketAddr, kind: usize, part: &[u8]) {
        self.control_metrics.on_sent(kind, part.len());
        let batch = self
            .batches
            .entry(addr)
            .or_insert_with(|| Batch { bytes: frame::encode(&self.process_hash), due });
        batch.bytes.extend_from_slice(part);
        batch.due = batch.due.min(due);
        if batch.bytes.len() >= BATCH_FULL_BYTES {
            self.send_now(addr);
        }
    }

    /// When a parcel is to be sent next.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.batches.values().map(|batch| batch.due).min()
    }

    /// Sends the parcels that have waited for long enough.
    pub(crate) fn flush(&mut self, now: Instant) {
        let due = self.batches.iter().filter(|(_, batch)| batch.due <= now);
        let due: Vec<SocketAddr> = due.map(|(addr, _)| *addr).collect();
        due.into_iter().for_each(|addr| self.send_now(addr));
    }

    /// Sends the parcel for `addr`.
    fn send_now(&mut self, addr: SocketAddr) {
        let Some(batch) = self.batches.remove(&addr) else { return };
        self.control_metrics.on_batch_sent(batch.bytes.len());
        self.transport.send_batch(addr, &batch.bytes);
    }

    /// Works out anew who this node talks to. Returns true if it has become a core, or is none any more.
    pub(crate) fn update_mesh(&mut self, now: Instant) -> bool {
        self.peers.update_links(now, &self.mesh);
        let mesh = Mesh::compute(now, &self.me, self.has_all_nodes, &self.peers);
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
    pub(crate) fn send_heartbeats(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        leaf_revision: Revision,
    ) {
        for (vm, addr, seq, acked_seq) in self.peers.next_heartbeats(&self.mesh) {
            let is_leaf = self.mesh.leaves.contains(&vm);
            let registry_revision =
                if is_leaf { leaf_revision } else { heartbeat.registry_revision };
            let heartbeat = Heartbeat { seq, acked_seq, registry_revision, ..heartbeat.clone() };
            let due = now + self.batch_delay(&vm);
            self.introduce(due, addr);
            self.put_message(due, addr, &PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Sends a first sign of life to a node of which only the address is known.
    pub(crate) fn send_initial_heartbeat(&mut self, now: Instant, addr: SocketAddr) {
        if addr != self.me.peers {
            let seq = self.peers.next_seq();
            self.send(now, addr, &PeerMessage::Heartbeat(Heartbeat::initial(seq)));
        }
    }

    /// Opens connections to nodes anew that don't seem to hear this one.
    pub(crate) fn reconnect_unacknowledged(&mut self, now: Instant) {
        for addr in self.peers.unacknowledged(now) {
            log::debug!(peer = addr.to_string().as_str(); "peer_redialled");
            self.transport.reconnect(addr);
        }
    }
}

impl Heartbeat {
    /// A sign of life of a node that has just started.
    fn initial(seq: u64) -> Self {
        Self {
            seq,
            acked_seq: 0,
            core: false,
            mesh_size: MeshTopology::Unknown,
            serving: false,
            catalog_version: 0,
            holder: None,
            resigned_epoch: 0,
            store: Default::default(),
            requests_store_probe: false,
            reads_tables: false,
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
