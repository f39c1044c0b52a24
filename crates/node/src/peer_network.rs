//! Sends messages to other nodes for the control thread, in batches.
//!
//! Messages that go to the same node at about the same time go in one batch: a node of a large mesh
//! is woken by each batch that arrives, and the wake-up costs it more than the messages do. The
//! batching delay grows with the number of nodes, so that the number of batches that a leaf
//! receives does not.

use {
    crate::{
        control_metrics::ControlMetrics,
        known_nodes::KnownNodes,
        mesh::{Mesh, MeshTopology},
        peer_message::{Heartbeat, PeerInfo, PeerMessage},
        peers::{HeartbeatReceivers, Peers},
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

/// Batching delay between a leaf and its cores, for each node of the mesh.
const BATCH_DELAY_PER_NODE: Duration = Duration::from_micros(330);
/// Shortest batching delay between a leaf and its cores: in `tests/loads.rs` of the dispatcher,
/// reports of prompts are worth nearly as much after 30 ms as after 10 ms.
const BATCH_DELAY_MIN: Duration = Duration::from_millis(20);
/// Longest batching delay between a leaf and its cores: a drain must reach all nodes within
/// seconds, over three hops.
const BATCH_DELAY_MAX: Duration = Duration::from_millis(100);
/// Batching delay between cores.
const CORE_BATCH_DELAY: Duration = Duration::from_millis(10);
/// Size from which a batch is sent without further delay.
const BATCH_FULL_BYTES: usize = 32 << 10;

/// Transport for batches.
pub(crate) trait Transport: fmt::Debug {
    /// Queues a batch for the node at `addr`, or drops it if it can't be queued.
    fn send_batch(&mut self, addr: SocketAddr, batch: &[u8]);

    /// Reopens the connection to `addr`.
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

/// Encoded messages to one node that have yet to be sent.
#[derive(Debug)]
struct Batch {
    bytes: Vec<u8>,
    due: Instant,
}

/// Address of a batch, and whether its messages are extensions, which nodes of earlier versions can't
/// decode.
type BatchKey = (SocketAddr, bool);

/// When a message is sent.
#[derive(Clone, Copy, Debug)]
enum SendMode {
    /// After the batching delay, with other messages to the same node.
    Batched,
    /// At the next flush, with the messages that are pending already.
    Immediate,
}

/// The other nodes, this node's connections in the mesh, and the batches to be sent.
#[derive(Debug)]
pub(crate) struct PeerNetwork {
    pub(crate) me: PeerInfo,
    /// Identifies this process as the sender of a batch.
    process_hash: u64,
    pub(crate) peers: Peers,
    pub(crate) mesh: Mesh,
    /// The nodes of the deployment, silent ones included.
    pub(crate) known_nodes: KnownNodes,
    /// True if this node has read from the store which other nodes there are.
    pub(crate) has_all_nodes: bool,
    transport: Box<dyn Transport>,
    /// Batches by address and by whether their messages are extensions.
    batches: HashMap<BatchKey, Batch>,
    /// Role that was last logged: core, primary core, full mesh.
    logged_role: Option<(bool, bool, bool)>,
    metrics: ControlMetrics,
}

impl PeerNetwork {
    /// Returns a network without other nodes.
    pub(crate) fn new(
        me: PeerInfo,
        transport: Box<dyn Transport>,
        metrics: ControlMetrics,
    ) -> Self {
        Self {
            process_hash: me.process_hash(),
            me,
            peers: Peers::default(),
            mesh: Mesh::single_node(),
            known_nodes: KnownNodes::default(),
            has_all_nodes: false,
            transport,
            batches: HashMap::new(),
            logged_role: None,
            metrics,
        }
    }

    /// Records nodes that another node or the store has reported.
    pub(crate) fn add_nodes(&mut self, now: Instant, infos: &[PeerInfo]) {
        for info in infos.iter().filter(|info| info.vm != self.me.vm) {
            self.peers.on_node_info(now, info);
        }
    }

    /// Records all nodes, as read from the store.
    pub(crate) fn add_all_nodes(&mut self, now: Instant, rows: &[PeerInfo]) {
        self.add_nodes(now, rows);
        self.has_all_nodes = true;
    }

    /// Sends `message` to the node at `addr` without delay, after the messages that are pending for
    /// that node. The transport drops the batch if it can't be queued.
    pub(crate) fn send(&mut self, now: Instant, addr: SocketAddr, message: &PeerMessage) {
        self.append_introduction(now, (addr, message.is_extension()));
        self.append_message(now, addr, message);
    }

    /// Adds this node's introduction to a batch, which is sent by `due`.
    fn append_introduction(&mut self, due: Instant, key: BatchKey) {
        let message = PeerMessage::Introduction(self.me.clone());
        self.append(due, key, message.kind(), &frame::encode_batch_item(&message));
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

    /// Sends `message` to the primary cores of the other data centres.
    pub(crate) fn send_to_remote_primaries(&mut self, now: Instant, message: &PeerMessage) {
        let to = self.mesh.remote_primaries.clone();
        self.send_to(now, &to, message);
    }

    /// Sends `message` without delay to the primary core of `data_centre`, if one is known.
    pub(crate) fn send_to_primary_of(
        &mut self,
        now: Instant,
        data_centre: &DataCentre,
        message: &PeerMessage,
    ) {
        let mut primaries = self.mesh.remote_primaries.iter();
        let is_primary_of =
            |vm: &&VmId| self.peers.info(vm).is_some_and(|info| info.data_centre == *data_centre);
        if let Some(addr) = primaries.find(is_primary_of).and_then(|vm| self.peers.addr(vm)) {
            self.send(now, addr, message);
        }
    }

    /// The core that forwards messages for this node, if there is one: the first live core of this
    /// data centre in the mesh's order.
    pub(crate) fn upstream_core(&self, now: Instant) -> Option<&VmId> {
        self.mesh.local_cores.iter().find(|vm| self.peers.is_live(now, vm))
    }

    /// Time since the last heartbeat of a core of this node's data centre.
    pub(crate) fn upstream_silence(&self, now: Instant) -> Duration {
        let silences = self.mesh.local_cores.iter().map(|vm| self.peers.silence(now, vm));
        silences.min().unwrap_or(Duration::MAX)
    }

    /// Addresses of all cores but this node.
    pub(crate) fn core_addrs(&self) -> Vec<SocketAddr> {
        self.mesh.cores.iter().filter_map(|vm| self.peers.addr(vm)).collect()
    }

    /// Addresses of the live cores but this node.
    pub(crate) fn live_core_addrs(&self, now: Instant) -> Vec<SocketAddr> {
        let live = self.mesh.cores.iter().filter(|vm| self.peers.is_live(now, vm));
        live.filter_map(|vm| self.peers.addr(vm)).collect()
    }

    /// True if a node whose changes of the registry this one receives has received a heartbeat of this node
    /// after `seq`, and knows no change after `revision`.
    pub(crate) fn confirms_registry(&self, now: Instant, seq: u64, revision: Revision) -> bool {
        let confirms = |vm: &VmId| self.peers.confirms_registry(now, vm, seq, revision);
        if self.mesh.is_core {
            self.mesh.cores.iter().any(confirms)
        } else {
            self.upstream_core(now).is_some_and(confirms)
        }
    }

    /// Addresses of the other nodes of this data centre that aren't cores.
    pub(crate) fn local_leaf_addrs(&self) -> Vec<SocketAddr> {
        let local = self.peers.infos().filter(|info| info.data_centre == self.me.data_centre);
        let leaves = local.filter(|info| !self.mesh.cores.contains(&info.vm));
        leaves.map(|info| info.peer_addr).collect()
    }

    /// Sends `message` to the upstream core, if there is one.
    pub(crate) fn send_upstream(&mut self, now: Instant, message: &PeerMessage) {
        let upstream_core = self.upstream_core(now).cloned();
        self.send_to(now, upstream_core.as_slice(), message);
    }

    /// Sends `message` to the upstream core without delay, with the messages that are pending for
    /// it.
    pub(crate) fn send_upstream_now(&mut self, now: Instant, message: &PeerMessage) {
        let upstream_core = self.upstream_core(now).cloned();
        self.send_with_mode(now, upstream_core.as_slice(), message, SendMode::Immediate);
    }

    /// Sends `message`, whose contents have been delayed for long enough, to this node's leaves
    /// without further delay, with the messages that are pending for them.
    pub(crate) fn send_to_leaves_now(&mut self, now: Instant, message: &PeerMessage) {
        let to: Vec<VmId> = self.mesh.leaves.iter().cloned().collect();
        self.send_with_mode(now, &to, message, SendMode::Immediate);
    }

    /// Forwards a message of `from` to the nodes that `from` isn't connected to.
    pub(crate) fn forward(&mut self, now: Instant, from: &VmId, message: &PeerMessage) {
        self.forward_to_remote_cores(now, from, message);
        if self.mesh.forwards_to_leaves(from) {
            let others = self.mesh.leaves.iter().filter(|vm| *vm != from);
            let to: Vec<VmId> = others.cloned().collect();
            self.send_to(now, &to, message);
        }
    }

    /// Forwards a message of `from` to the cores that `from` isn't connected to.
    pub(crate) fn forward_to_remote_cores(
        &mut self,
        now: Instant,
        from: &VmId,
        message: &PeerMessage,
    ) {
        if self.mesh.forwards_to_other_data_centres(from) {
            let is_remote = |vm: &&VmId| !self.mesh.local_cores.contains(vm);
            let to: Vec<VmId> = self.mesh.cores.iter().filter(is_remote).cloned().collect();
            self.send_to(now, &to, message);
        }
    }

    /// Sends `message` to the live nodes among `to`, batched with other messages to them.
    fn send_to(&mut self, now: Instant, to: &[VmId], message: &PeerMessage) {
        self.send_with_mode(now, to, message, SendMode::Batched);
    }

    fn send_with_mode(&mut self, now: Instant, to: &[VmId], message: &PeerMessage, mode: SendMode) {
        if to.is_empty() {
            return;
        }
        let part = frame::encode_batch_item(message);
        for vm in to {
            if let Some(addr) = self.peers.addr(vm).filter(|_| self.peers.is_live(now, vm)) {
                let delay = match mode {
                    SendMode::Batched => self.batch_delay(vm),
                    SendMode::Immediate => Duration::ZERO,
                };
                let key = (addr, message.is_extension());
                self.append(now + delay, key, message.kind(), &part);
            }
        }
    }

    /// Batching delay for messages to `vm`.
    fn batch_delay(&self, vm: &VmId) -> Duration {
        if self.mesh.is_full_mesh {
            Duration::ZERO
        } else if self.mesh.is_core && self.mesh.cores.contains(vm) {
            CORE_BATCH_DELAY
        } else {
            self.leaf_batch_delay()
        }
    }

    /// Batching delay between a leaf and its cores; zero in a full mesh, which has no leaves.
    pub(crate) fn leaf_batch_delay(&self) -> Duration {
        if self.mesh.is_full_mesh {
            return Duration::ZERO;
        }
        let nodes = u32::try_from(self.peers.count() + 1).unwrap_or(u32::MAX);
        BATCH_DELAY_PER_NODE.saturating_mul(nodes).clamp(BATCH_DELAY_MIN, BATCH_DELAY_MAX)
    }

    /// Encodes `message`, which goes to one node alone, and adds it to the batch for `addr`, which
    /// is sent by `due`.
    fn append_message(&mut self, due: Instant, addr: SocketAddr, message: &PeerMessage) {
        let key = (addr, message.is_extension());
        self.append(due, key, message.kind(), &frame::encode_batch_item(message));
    }

    /// Adds an encoded message to the batch `key`, which is sent by `due`.
    fn append(&mut self, due: Instant, key: BatchKey, kind: usize, part: &[u8]) {
        self.metrics.on_sent(kind, part.len());
        let batch = self
            .batches
            .entry(key)
            .or_insert_with(|| Batch { bytes: frame::encode(&self.process_hash), due });
        batch.bytes.extend_from_slice(part);
        batch.due = batch.due.min(due);
        if batch.bytes.len() >= BATCH_FULL_BYTES {
            self.send_now(key);
        }
    }

    /// When the next batch is due.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.batches.values().map(|batch| batch.due).min()
    }

    /// Sends the batches that are due.
    pub(crate) fn flush(&mut self, now: Instant) {
        let due = self.batches.iter().filter(|(_, batch)| batch.due <= now);
        let mut due: Vec<BatchKey> = due.map(|(key, _)| *key).collect();
        // The order of a hash map differs between runs, and tests repeat runs by their seeds.
        due.sort_unstable();
        due.into_iter().for_each(|key| self.send_now(key));
    }

    /// Sends the batch `key`.
    fn send_now(&mut self, key: BatchKey) {
        let Some(batch) = self.batches.remove(&key) else { return };
        self.metrics.on_batch_sent(batch.bytes.len());
        self.transport.send_batch(key.0, &batch.bytes);
    }

    /// Records which nodes there are.
    pub(crate) fn update_known_nodes(&mut self, now: Instant) {
        let mut known_nodes = std::mem::take(&mut self.known_nodes);
        known_nodes.update(now, self);
        self.known_nodes = known_nodes;
    }

    /// Computes this node's connections in the mesh anew. Returns true if this node has become a
    /// core or has ceased to be one.
    pub(crate) fn update_mesh(&mut self, now: Instant) -> bool {
        self.peers.update_links(now, &self.mesh);
        let mesh = Mesh::compute(now, &self.me, self.has_all_nodes, &self.peers);
        let core_role_changed = mesh.is_core != self.mesh.is_core;
        self.mesh = mesh;
        self.log_role();
        core_role_changed
    }

    fn log_role(&mut self) {
        let role = (self.mesh.is_core, self.mesh.is_primary_core, self.mesh.is_full_mesh);
        if self.logged_role.replace(role) != Some(role) {
            let (core, first, small) = role;
            let nodes = self.peers.count() as u64 + 1;
            log::info!(core = core, first = first, small = small, nodes = nodes; "mesh_role");
        }
    }

    /// Sends a heartbeat to the `receivers`. Leaves receive only part of the registry's changes, the
    /// last of them at `leaf_revision`, so their heartbeats name that revision.
    pub(crate) fn send_heartbeats(
        &mut self,
        now: Instant,
        receivers: HeartbeatReceivers,
        heartbeat: &Heartbeat,
        leaf_revision: Revision,
    ) {
        for (vm, addr, seq, acked_seq) in self.peers.next_heartbeats(&self.mesh, receivers) {
            let is_leaf = self.mesh.leaves.contains(&vm);
            let registry_revision =
                if is_leaf { leaf_revision } else { heartbeat.registry_revision };
            let heartbeat = Heartbeat { seq, acked_seq, registry_revision, ..heartbeat.clone() };
            let due = now + self.batch_delay(&vm);
            self.append_introduction(due, (addr, false));
            self.append_message(due, addr, &PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Sends a first heartbeat to a node of which only the address is known.
    pub(crate) fn send_initial_heartbeat(&mut self, now: Instant, addr: SocketAddr) {
        if addr != self.me.peer_addr {
            let seq = self.peers.next_seq();
            self.send(now, addr, &PeerMessage::Heartbeat(Heartbeat::initial(seq)));
        }
    }

    /// Reopens connections to nodes that have not acknowledged this node's heartbeats in time.
    pub(crate) fn reconnect_unacknowledged(&mut self, now: Instant) {
        for addr in self.peers.unacknowledged(now) {
            log::debug!(peer = addr.to_string().as_str(); "peer_redialled");
            self.transport.reconnect(addr);
        }
    }
}

impl Heartbeat {
    /// The heartbeat of a node that has just started.
    fn initial(seq: u64) -> Self {
        Self {
            seq,
            acked_seq: 0,
            core: false,
            mesh_topology: MeshTopology::Unknown,
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

    /// Time since the store last answered the sender, as of now, if the heartbeat arrived `age`
    /// ago.
    pub(crate) fn time_since_store_answer(&self, age: Duration) -> Option<Duration> {
        self.store.answered.map(|time| time + age)
    }
}

#[cfg(test)]
mod tests;
