//! Follows peers and the table.

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

/// Period of heartbeats.
const HEARTBEAT_EVERY: Duration = Duration::from_secs(1);
/// Time after which a table that was asked for is asked for again.
const FETCH_RETRY: Duration = Duration::from_secs(1);
/// Peers in each other data centre to which heartbeats are sent.
const REMOTE_PEERS: usize = 4;
/// Pause between two attempts to reach a peer that doesn't hear this process.
const REDIAL_EVERY: Duration = Duration::from_secs(3);

/// Identity and periods.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// This process.
    pub me: PeerId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Silence after which a peer isn't live.
    pub peer_timeout: Duration,
    /// Time without store and peers after which new work is refused.
    pub isolation_timeout: Duration,
    /// Period of reads of the table's head.
    pub head_poll_interval: Duration,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// The VM list was read.
    Listing(Listing),
    /// A message came from a peer. Messages of other crates are ignored.
    Message(Envelope),
    /// The head was read: `None` before the first edit, an error is left out.
    HeadRead(Option<TableHead>),
    /// A table was read from the store, or an edit through this VM was committed.
    Table(Arc<Table>),
    /// The store answered something, whatever it was.
    StoreAnswered,
    /// This process is draining.
    Drain,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the peer at this address.
    Send(SocketAddr, Message),
    /// Close the connection to this address and dial again: the peer doesn't hear this process.
    Redial(SocketAddr),
    /// Read the head and answer with [`Event::HeadRead`].
    ReadHead,
    /// Read this table from the object store and answer with [`Event::Table`].
    FetchTable(TableHead),
    /// This table is in force from now on.
    TableActivated(Arc<Table>),
}

/// See the module.
#[derive(Debug)]
pub struct Membership {
    config: MembershipConfig,
    peers: BTreeMap<(VmId, Role), Peer>,
    table: Arc<Table>,
    store_heard_at: Instant,
    /// Number of the last round of heartbeats. A peer that is listed again still knows earlier ones.
    sent_seq: u64,
    beat_at: Instant,
    head_at: Instant,
    fetch_at: Option<Instant>,
    redial_at: BTreeMap<SocketAddr, Instant>,
    draining: bool,
}

impl Membership {
    /// Returns a member that knows no peer and has the empty table.
    pub fn new(config: MembershipConfig, now: Instant) -> Self {
        Self {
            config,
            peers: BTreeMap::new(),
            table: Arc::default(),
            store_heard_at: now,
            sent_seq: 0,
            beat_at: now,
            head_at: now,
            fetch_at: None,
            redial_at: BTreeMap::new(),
            draining: false,
        }
    }

    /// Takes `event` at clock reading `now` and appends the actions it calls for to `out`.
    pub fn step(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Listing(listing) => self.on_listing(now, &listing),
            Event::Message(envelope) => self.on_message(now, envelope, out),
            Event::HeadRead(head) => {
                self.store_heard_at = now;
                if let Some(head) = head.filter(|head| head.version > self.table.version) {
                    self.fetch_at = Some(now + FETCH_RETRY);
                    out.push(Action::FetchTable(head));
                }
            }
            Event::Table(table) => self.activate_table(table, out),
            Event::StoreAnswered => self.store_heard_at = now,
            Event::Drain => {
                self.draining = true;
                self.beat_at = now;
            }
        }
    }

    /// The table in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// False once this process has heard neither the store nor any peer for too long. A process
    /// that shares a store outage with its peers goes on, and so does one that has no peers.
    pub fn accepts_work(&self, now: Instant) -> bool {
        let others = || self.peers.iter().filter(|((vm, _), _)| *vm != self.config.me.vm);
        let heard = others().filter_map(|(_, peer)| peer.heard_at).max();
        let last = heard.map_or(self.store_heard_at, |at| at.max(self.store_heard_at));
        others().next().is_none() || now < last + self.config.isolation_timeout
    }

    /// VMs whose daemon of `role` sends heartbeats, this one included.
    pub fn live(&self, now: Instant, role: Role) -> BTreeSet<VmId> {
        let live = self.peers.iter().filter(|((_, r), peer)| *r == role && self.is_live(now, peer));
        live.map(|((vm, _), _)| vm.clone()).chain([self.config.me.vm.clone()]).collect()
    }

    /// Peers of `role`, for sending them something, with their data centres.
    pub fn addrs(&self, role: Role) -> impl Iterator<Item = (SocketAddr, &DataCentre)> {
        let same_role = self.peers.iter().filter(move |((_, r), _)| *r == role);
        same_role.map(|(_, peer)| (peer.addr, &peer.data_centre))
    }

    /// All peers as shown to operators.
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
        peer.heard_at.is_some_and(|at| now < at + self.config.peer_timeout)
    }

    fn on_listing(&mut self, now: Instant, listing: &Listing) {
        self.store_heard_at = now;
        let me = (self.config.me.vm.clone(), self.config.me.role);
        let mut known = std::mem::take(&mut self.peers);
        for vm in &listing.vms {
            for (role, addr) in [(Role::Entry, vm.entry_peer), (Role::Planner, vm.planner_peer)] {
                let key = (vm.name.clone(), role);
                if key == me {
                    continue;
                }
                let peer = known.remove(&key).filter(|peer| peer.addr == addr);
                let peer = peer.unwrap_or_else(|| Peer::new(vm, addr, now));
                self.peers.insert(key, Peer { leaving: vm.leaving, ..peer });
            }
        }
        // The list lags: a peer that still sends heartbeats is kept although it isn't listed.
        let silent = self.config.peer_timeout;
        known.retain(|_, peer| peer.heard_at.is_some_and(|at| now < at + silent));
        self.peers.extend(known);
    }

    fn on_message(&mut self, now: Instant, envelope: Envelope, out: &mut Vec<Action>) {
        let from = envelope.from;
        let Some(peer) = self.peers.get_mut(&(from.vm.clone(), from.role)) else { return };
        let addr = peer.addr;
        match envelope.message {
            Message::Heartbeat(beat) => {
                peer.on_heartbeat(now, from.incarnation, &beat, self.sent_seq);
                self.on_version(now, addr, beat.table_version, out);
            }
            Message::TableHead { version } => self.on_version(now, addr, version, out),
            Message::TableRequest { version } if self.table.version.0 > version => {
                out.push(Action::Send(addr, Message::TableBody(Arc::clone(&self.table))));
            }
            Message::TableBody(table) => self.activate_table(table, out),
            _ => {}
        }
    }

    /// Asks the peer for its table if it is newer.
    fn on_version(&mut self, now: Instant, from: SocketAddr, version: u64, out: &mut Vec<Action>) {
        let waiting = self.fetch_at.is_some_and(|at| now < at);
        if version <= self.table.version.0 || waiting {
            return;
        }
        self.fetch_at = Some(now + FETCH_RETRY);
        out.push(Action::Send(from, Message::TableRequest { version: self.table.version.0 }));
    }

    fn activate_table(&mut self, table: Arc<Table>, out: &mut Vec<Action>) {
        if table.version <= self.table.version && !guard_is_removed() {
            return;
        }
        self.fetch_at = None;
        let version = table.version.0;
        self.table = Arc::clone(&table);
        out.push(Action::TableActivated(table));
        let addrs = self.heartbeat_peers().map(|(_, peer)| peer.addr);
        out.extend(addrs.map(|addr| Action::Send(addr, Message::TableHead { version })));
    }

    fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now >= self.head_at {
            self.head_at = now + self.config.head_poll_interval;
            out.push(Action::ReadHead);
        }
        if now >= self.beat_at {
            self.beat_at = now + HEARTBEAT_EVERY;
            self.send_heartbeats(now, out);
        }
    }

    fn send_heartbeats(&mut self, now: Instant, out: &mut Vec<Action>) {
        let keys: Vec<(VmId, Role)> = self.heartbeat_peers().map(|(key, _)| key.clone()).collect();
        let store_heard = now < self.store_heard_at + self.config.isolation_timeout;
        let (table_version, draining) = (self.table.version.0, self.draining);
        let silent = self.config.peer_timeout;
        self.sent_seq += 1;
        let seq = self.sent_seq;
        for key in keys {
            let Some(peer) = self.peers.get_mut(&key) else { continue };
            let heard_seq = peer.heard_seq;
            let beat = Heartbeat { seq, heard_seq, table_version, draining, store_heard };
            // The peer is heard but doesn't hear: the connection towards it has gone silent.
            let heard = peer.heard_at.is_some_and(|at| now < at + silent);
            let deaf = heard && now >= peer.echoed.1 + silent;
            let redial_due = self.redial_at.get(&peer.addr).is_none_or(|at| now >= *at);
            if deaf && redial_due {
                self.redial_at.insert(peer.addr, now + REDIAL_EVERY);
                out.push(Action::Redial(peer.addr));
            }
            // A peer that isn't heard may not be reachable on the old connection either.
            if !heard && redial_due && peer.heard_at.is_some() {
                self.redial_at.insert(peer.addr, now + REDIAL_EVERY);
                out.push(Action::Redial(peer.addr));
            }
            out.push(Action::Send(peer.addr, Message::Heartbeat(beat)));
        }
    }

    /// Peers that get heartbeats: all of the own data centre and a few of each other one.
    fn heartbeat_peers(&self) -> impl Iterator<Item = (&(VmId, Role), &Peer)> {
        let mut remote: BTreeMap<&DataCentre, BTreeSet<&str>> = BTreeMap::new();
        for ((vm, _), peer) in &self.peers {
            if peer.data_centre != self.config.data_centre {
                remote.entry(&peer.data_centre).or_default().insert(vm.as_str());
            }
        }
        let me = self.config.me.vm.as_str();
        let chosen: BTreeSet<&str> = remote
            .into_values()
            .flat_map(|vms| rendezvous_order(me, vms.into_iter()).into_iter().take(REMOTE_PEERS))
            .collect();
        self.peers.iter().filter(move |((vm, _), peer)| {
            peer.data_centre == self.config.data_centre || chosen.contains(vm.as_str())
        })
    }

    /// Incarnation in which a VM's daemon was last heard, zero if never.
    pub fn incarnation(&self, vm: &VmId, role: Role) -> Incarnation {
        self.peers.get(&(vm.clone(), role)).map_or(Incarnation(0), |peer| peer.incarnation)
    }
}

#[cfg(feature = "sabotage")]
fn guard_is_removed() -> bool {
    crate::sabotage::is_removed()
}

#[cfg(not(feature = "sabotage"))]
const fn guard_is_removed() -> bool {
    false
}
