//! What is known of one peer.

use {
    glade_platform::VmRecord,
    glade_types::{DataCentre, Incarnation, VmId},
    glade_wire::{Heartbeat, Role},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Instant},
};

/// A daemon of another VM, or the other daemon of this one.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) addr: SocketAddr,
    pub(crate) caller: SocketAddr,
    pub(crate) operator: SocketAddr,
    pub(crate) data_centre: DataCentre,
    pub(crate) leaving: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) heard_at: Option<Instant>,
    /// Highest heartbeat number heard from the peer.
    pub(crate) heard_seq: u64,
    /// Highest number that the peer says it heard from here, and when that last grew.
    pub(crate) echoed: (u64, Instant),
    pub(crate) table_version: u64,
    pub(crate) draining: bool,
    pub(crate) store_heard: bool,
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
            heard_at: None,
            heard_seq: 0,
            echoed: (0, now),
            table_version: 0,
            draining: false,
            store_heard: false,
        }
    }

    /// Takes a heartbeat; one of an earlier incarnation or an earlier number changes nothing.
    /// Takes a heartbeat; `sent_seq` is the number of the last one that this process has sent.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Instant,
        from: Incarnation,
        beat: &Heartbeat,
        sent_seq: u64,
    ) {
        let newer_life = from > self.incarnation;
        if from < self.incarnation || (!newer_life && beat.seq <= self.heard_seq) {
            return;
        }
        if newer_life {
            self.echoed = (0, now);
        }
        self.incarnation = from;
        self.heard_at = Some(now);
        self.heard_seq = beat.seq;
        self.table_version = beat.table_version;
        self.draining = beat.draining;
        self.store_heard = beat.store_heard;
        // A number that this process hasn't sent yet was sent by its predecessor.
        if beat.heard_seq > self.echoed.0 && beat.heard_seq <= sent_seq {
            self.echoed = (beat.heard_seq, now);
        }
    }
}

/// A peer as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct PeerStatus {
    /// Its VM.
    pub vm: VmId,
    /// Which daemon.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers connect to that VM.
    pub caller: SocketAddr,
    /// Where operators connect to that VM.
    pub operator: SocketAddr,
    /// Its incarnation, zero if never heard.
    pub incarnation: Incarnation,
    /// Whether it sent heartbeats lately.
    pub live: bool,
    /// Whether the VM is leaving or draining.
    pub leaving: bool,
    /// Version of the table in force there when last heard.
    pub table_version: u64,
}
