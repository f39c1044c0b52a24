//! State that a process keeps about one peer, made from the VM list and the peer's heartbeats.

use {
    glade_platform::VmRecord,
    glade_types::{DataCentre, Incarnation, VmId},
    glade_wire::{Heartbeat, Role},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Instant},
};

/// A daemon of another VM, or the other daemon of this VM.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    /// Address to which messages for the daemon are sent.
    pub(crate) addr: SocketAddr,
    /// Address on which the VM serves callers.
    pub(crate) caller: SocketAddr,
    /// Address on which the VM serves operators.
    pub(crate) operator: SocketAddr,
    pub(crate) data_centre: DataCentre,
    /// Whether the VM list marks the VM as leaving.
    pub(crate) leaving: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) last_heartbeat_at: Option<Instant>,
    /// Highest heartbeat number received from the peer.
    pub(crate) received_seq: u64,
    /// Highest number of this process's heartbeats that the peer has acknowledged, and when that
    /// number last grew.
    pub(crate) acked: (u64, Instant),
    /// Version of the peer's active table in its latest heartbeat.
    pub(crate) table_version: u64,
    /// Whether the peer reported in its latest heartbeat that it is draining.
    pub(crate) draining: bool,
    /// Whether the peer reported in its latest heartbeat that the store has answered recently.
    pub(crate) store_reachable: bool,
}

impl Peer {
    pub(crate) fn new(vm: &VmRecord, addr: SocketAddr, now: Instant) -> Self {
        Self {
            addr,
            caller: vm.caller,
            operator: vm.operator,
            data_centre: vm.data_centre.clone(),
            leaving: false,
            incarnation: Incarnation(0),
            last_heartbeat_at: None,
            received_seq: 0,
            acked: (0, now),
            table_version: 0,
            draining: false,
            store_reachable: false,
        }
    }

    /// Updates the peer from a heartbeat. A heartbeat of an earlier incarnation, or one whose
    /// number isn't higher than the last one's, changes nothing. `sent_seq` is the number of the
    /// latest heartbeat that this process has sent.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        from: Incarnation,
        heartbeat: &Heartbeat,
        sent_seq: u64,
    ) {
        let is_newer_incarnation = from > self.incarnation;
        if from < self.incarnation || (!is_newer_incarnation && heartbeat.seq <= self.received_seq)
        {
            return;
        }
        if is_newer_incarnation {
            self.acked = (0, now);
        }
        self.incarnation = from;
        self.last_heartbeat_at = Some(now);
        self.received_seq = heartbeat.seq;
        self.table_version = heartbeat.table_version;
        self.draining = heartbeat.draining;
        self.store_reachable = heartbeat.store_reachable;
        // A number that this process hasn't sent yet acknowledges a heartbeat of its predecessor,
        // the process that ran under the same name before a restart.
        if heartbeat.acked_seq > self.acked.0 && heartbeat.acked_seq <= sent_seq {
            self.acked = (heartbeat.acked_seq, now);
        }
    }
}

/// A peer as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerStatus {
    /// VM of the peer.
    pub vm: VmId,
    /// Daemon of that VM.
    pub role: Role,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address on which the VM serves callers.
    pub caller: SocketAddr,
    /// Address on which the VM serves operators.
    pub operator: SocketAddr,
    /// Incarnation in the latest heartbeat, zero if none was received.
    pub incarnation: Incarnation,
    /// Whether a heartbeat was received within the peer timeout.
    pub live: bool,
    /// Whether the VM is leaving or draining.
    pub leaving: bool,
    /// Version of the peer's active table in its latest heartbeat.
    pub table_version: u64,
}
