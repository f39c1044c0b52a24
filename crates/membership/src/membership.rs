//! Tracks which peers are alive and which version of the table is active.
//!
//! Every daemon sends heartbeats to the peers in its own data centre and to a few in each other
//! one. A heartbeat carries the sender's table version, and a newly activated version is announced
//! at once. A receiver with a lower version requests the table from the sender. The VM list of the
//! platform names the peers.

use {
    crate::{
        peer::{Peer, PeerStatus},
        table_head::TableHead,
    },
    glade_platform::Listing,
    glade_table::Table,
    glade_types::{DataCentre, Incarnation, VmId, rendezvous_order},
    glade_wire::{Envelope, Heartbeat, Message, PeerId, Role},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a table that was requested and hasn't arrived may be requested again.
const FETCH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of VMs in each other data centre to which heartbeats are sent.
const HEARTBEAT_VMS_PER_REMOTE_DATA_CENTRE: usize = 4;
/// Minimum time between two reconnects to a peer whose heartbeats or acknowledgements have stopped.
const REDIAL_INTERVAL: Duration = Duration::from_secs(3);

/// Identity and timing of one member.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Identity of this process.
    pub me: PeerId,
    /// Data centre of this process.
    pub data_centre: DataCentre,
    /// Time without a heartbeat after which a peer is no longer live.
    pub peer_timeout: Duration,
    /// Time without contact to the store or any peer after which this process refuses new work.
    pub isolation_timeout: Duration,
    /// Interval between reads of the table's head row.
    pub head_poll_interval: Duration,
}

/// Input to [`Membership::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The VM list was read.
    Listing(Listing),
    /// A peer sent a message. Messages that concern other crates are ignored.
    Message(Envelope),
    /// The head row was read. It is `None` before the first edit. A failed read produces no event.
    HeadRead(Option<TableHead>),
    /// A table was read from the store, or an edit through this VM was committed.
    Table(Arc<Table>),
    /// The store answered a request. The content of the answer doesn't matter.
    StoreAnswered,
    /// This process is draining.
    Drain,
}

/// Output of [`Membership::step`], for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the peer at this address.
    Send(SocketAddr, Message),
    /// Close the connection to this address and open a new one, because messages on it are lost.
    Redial(SocketAddr),
    /// Read the head and answer with [`Event::HeadRead`].
    ReadHead,
    /// Read this table from the object store and answer with [`Event::Table`].
    FetchTable(TableHead),
    /// This table is active from now on.
    TableActivated(Arc<Table>),
}

/// State of one member of the cluster. See the module's documentation.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    peers: BTreeMap<(VmId, Role), Peer>,
    table: Arc<Table>,
    store_answered_at: Instant,
    /// Number of the latest round of heartbeats. It is kept here rather than with each peer,
    /// because a peer that returns to the VM list has already received earlier numbers and ignores
    /// lower ones.
    sent_seq: u64,
    next_heartbeat_at: Instant,
    next_head_read_at: Instant,
    fetch_retry_at: Option<Instant>,
    next_redial_at: BTreeMap<SocketAddr, Instant>,
    draining: bool,
}

impl Membership {
    /// Returns a member without peers whose active table is empty.
    pub fn new(config: MembershipConfig, now: Instant) -> Self {
        Self {
            config,
            peers: BTreeMap::new(),
            table: Arc::default(),
            store_answered_at: now,
            sent_seq: 0,
            next_heartbeat_at: now,
            next_head_read_at: now,
            fetch_retry_at: None,
            next_redial_at: BTreeMap::new(),
            draining: false,
        }
    }

    /// Processes `event` at clock reading `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Listing(listing) => self.on_listing(now, &listing),
            Event::Message(envelope) => self.on_message(now, envelope, out),
            Event::HeadRead(head) => {
                self.store_answered_at = now;
                if let Some(head) = head.filter(|head| head.version > self.table.version) {
                    self.fetch_retry_at = Some(now + FETCH_RETRY_DELAY);
                    out.push(Action::FetchTable(head));
                }
            }
            Event::Table(table) => self.activate_table(table, out),
            Event::StoreAnswered => self.store_answered_at = now,
            Event::Drain => {
                self.draining = true;
                self.next_heartbeat_at = now;
            }
        }
    }

    /// Returns the active table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns whether this process accepts new work. It is false once neither the store nor any
    /// peer on another VM has been in contact for the isolation timeout. During a store outage, a
    /// process that still receives heartbeats accepts work, and so does a process without peers.
    pub fn accepts_work(&self, now: Instant) -> bool {
        let others = || self.peers.iter().filter(|((vm, _), _)| *vm != self.config.me.vm);
        let latest_heartbeat = others().filter_map(|(_, peer)| peer.last_heartbeat_at).max();
        let last_contact =
            latest_heartbeat.map_or(self.store_answered_at, |at| at.max(self.store_answered_at));
        others().next().is_none() || now < last_contact + self.config.isolation_timeout
    }

    /// Returns the VMs whose daemon of `role` is live, and this VM.
    pub fn live(&self, now: Instant, role: Role) -> BTreeSet<VmId> {
        let live = self.peers.iter().filter(|((_, r), peer)| *r == role && self.is_live(now, peer));
        live.map(|((vm, _), _)| vm.clone()).chain([self.config.me.vm.clone()]).collect()
    }

    /// Returns the addresses and data centres of all peers of `role`, live or not.
    pub fn addrs(&self, role: Role) -> impl Iterator<Item = (SocketAddr, &DataCentre)> {
        let same_role = self.peers.iter().filter(move |((_, r), _)| *r == role);
        same_role.map(|(_, peer)| (peer.addr, &peer.data_centre))
    }

    /// Returns the state of all peers as shown to operators.
    pub fn status(&self, now: Instant) -> Vec<PeerStatus> {
        self.peers
            .iter()
            .map(|((vm, role), peer)| PeerStatus {
                vm: vm.clone(),
                role: *role,
                data_centre: peer.data_centre.clone(),
                caller: peer.caller,
                operator: peer.operator,
                incarnation: peer.incarnation,
                live: self.is_live(now, peer),
                leaving: peer.leaving || peer.draining,
                table_version: peer.table_version,
            })
            .collect()
    }

    fn is_live(&self, now: Instant, peer: &Peer) -> bool {
        peer.last_heartbeat_at.is_some_and(|at| now < at + self.config.peer_timeout)
    }

    /// Updates the peers from the VM list.
    fn on_listing(&mut self, now: Instant, listing: &Listing) {
        self.store_answered_at = now;
        let own_key = (self.config.me.vm.clone(), self.config.me.role);
        let mut previous = std::mem::take(&mut self.peers);
        for vm in &listing.vms {
            for (role, addr) in [(Role::Entry, vm.entry_peer), (Role::Planner, vm.planner_peer)] {
                let key = (vm.name.clone(), role);
                if key == own_key {
                    continue;
                }
                let peer = previous.remove(&key).filter(|peer| peer.addr == addr);
                let peer = peer.unwrap_or_else(|| Peer::new(vm, addr, now));
                self.peers.insert(key, Peer { leaving: vm.leaving, ..peer });
            }
        }
        // The VM list lags behind, so a live peer is kept although the list lacks it.
        let peer_timeout = self.config.peer_timeout;
        previous.retain(|_, peer| peer.last_heartbeat_at.is_some_and(|at| now < at + peer_timeout));
        self.peers.extend(previous);
    }

    fn on_message(&mut self, now: Instant, envelope: Envelope, out: &mut Vec<Action>) {
        let from = envelope.from;
        let Some(peer) = self.peers.get_mut(&(from.vm.clone(), from.role)) else { return };
        let addr = peer.addr;
        match envelope.message {
            Message::Heartbeat(heartbeat) => {
                peer.on_heartbeat(now, from.incarnation, &heartbeat, self.sent_seq);
                self.on_peer_version(now, addr, heartbeat.table_version, out);
            }
            Message::TableHead { version } => self.on_peer_version(now, addr, version, out),
            Message::TableRequest { version } if self.table.version.0 > version => {
                out.push(Action::Send(addr, Message::TableBody(Arc::clone(&self.table))));
            }
            Message::TableBody(table) => self.activate_table(table, out),
            _ => {}
        }
    }

    /// Requests the peer's table if it is newer and no request for a table is pending.
    fn on_peer_version(
        &mut self,
        now: Instant,
        from: SocketAddr,
        version: u64,
        out: &mut Vec<Action>,
    ) {
        let is_fetch_pending = self.fetch_retry_at.is_some_and(|at| now < at);
        if version <= self.table.version.0 || is_fetch_pending {
            return;
        }
        self.fetch_retry_at = Some(now + FETCH_RETRY_DELAY);
        out.push(Action::Send(from, Message::TableRequest { version: self.table.version.0 }));
    }

    /// Activates `table` if its version is higher than the active one's, and announces the new
    /// version to the peers that get heartbeats.
    fn activate_table(&mut self, table: Arc<Table>, out: &mut Vec<Action>) {
        if table.version <= self.table.version && !is_version_check_disabled() {
            return;
        }
        self.fetch_retry_at = None;
        let version = table.version.0;
        self.table = Arc::clone(&table);
        out.push(Action::TableActivated(table));
        let addrs = self.heartbeat_peers().map(|(_, peer)| peer.addr);
        out.extend(addrs.map(|addr| Action::Send(addr, Message::TableHead { version })));
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.next_head_read_at {
            self.next_head_read_at = now + self.config.head_poll_interval;
            out.push(Action::ReadHead);
        }
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now, out);
        }
    }

    fn send_heartbeats(&mut self, now: Instant, out: &mut Vec<Action>) {
        let keys: Vec<(VmId, Role)> = self.heartbeat_peers().map(|(key, _)| key.clone()).collect();
        let store_reachable = now < self.store_answered_at + self.config.isolation_timeout;
        let (table_version, draining) = (self.table.version.0, self.draining);
        let peer_timeout = self.config.peer_timeout;
        self.sent_seq += 1;
        let seq = self.sent_seq;
        for key in keys {
            let Some(peer) = self.peers.get_mut(&key) else { continue };
            let acked_seq = peer.received_seq;
            let heartbeat = Heartbeat { seq, acked_seq, table_version, draining, store_reachable };
            // Heartbeats arrive from the peer, but it doesn't acknowledge this process's
            // heartbeats: the connection to the peer loses messages.
            let is_live = peer.last_heartbeat_at.is_some_and(|at| now < at + peer_timeout);
            let lacks_acks = is_live && now >= peer.acked.1 + peer_timeout;
            let redial_due = self.next_redial_at.get(&peer.addr).is_none_or(|at| now >= *at);
            if lacks_acks && redial_due {
                self.next_redial_at.insert(peer.addr, now + REDIAL_INTERVAL);
                out.push(Action::Redial(peer.addr));
            }
            // When heartbeats from the peer have stopped, the existing connection to it may not
            // work either.
            if !is_live && redial_due && peer.last_heartbeat_at.is_some() {
                self.next_redial_at.insert(peer.addr, now + REDIAL_INTERVAL);
                out.push(Action::Redial(peer.addr));
            }
            out.push(Action::Send(peer.addr, Message::Heartbeat(heartbeat)));
        }
    }

    /// Returns the peers to which heartbeats are sent: all in this process's data centre, and those
    /// on a few VMs of each other data centre.
    fn heartbeat_peers(&self) -> impl Iterator<Item = (&(VmId, Role), &Peer)> {
        let mut remote: BTreeMap<&DataCentre, BTreeSet<&str>> = BTreeMap::new();
        for ((vm, _), peer) in &self.peers {
            if peer.data_centre != self.config.data_centre {
                remote.entry(&peer.data_centre).or_default().insert(vm.as_str());
            }
        }
        let own_vm = self.config.me.vm.as_str();
        let chosen_remote: BTreeSet<&str> = remote
            .into_values()
            .flat_map(|vms| {
                rendezvous_order(own_vm, vms.into_iter())
                    .into_iter()
                    .take(HEARTBEAT_VMS_PER_REMOTE_DATA_CENTRE)
            })
            .collect();
        self.peers.iter().filter(move |((vm, _), peer)| {
            peer.data_centre == self.config.data_centre || chosen_remote.contains(vm.as_str())
        })
    }

    /// Returns the incarnation in the latest heartbeat of a VM's daemon, or zero if none was
    /// received.
    pub fn incarnation(&self, vm: &VmId, role: Role) -> Incarnation {
        self.peers.get(&(vm.clone(), role)).map_or(Incarnation(0), |peer| peer.incarnation)
    }
}

#[cfg(feature = "sabotage")]
fn is_version_check_disabled() -> bool {
    crate::sabotage::is_version_check_disabled()
}

#[cfg(not(feature = "sabotage"))]
const fn is_version_check_disabled() -> bool {
    false
}
