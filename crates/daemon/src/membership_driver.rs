//! Carries out the I/O of [`Membership`], which does none itself: sends its messages to peers and
//! does its reads of the table service and the object store.
//!
//! The control threads of both daemons use the driver, also to send messages of their own to peers.

use {
    crate::platform::Platform,
    glade_membership::{Action, Event, Membership, MembershipConfig, load_table, read_head},
    glade_settings::Settings,
    glade_table::Table,
    glade_types::{DataCentre, Incarnation},
    glade_wire::{Envelope, Message, Outbox, PeerId, Role},
    std::{
        net::SocketAddr,
        sync::{Arc, mpsc::SyncSender},
        time::Instant,
    },
    tokio::runtime::Handle,
};

/// Membership state together with the connections to peers. Only the control thread uses it.
#[derive(Debug)]
pub struct MembershipDriver<E> {
    me: PeerId,
    membership: Membership,
    outbox: Outbox,
    platform: Arc<Platform>,
    runtime: Handle,
    events: SyncSender<E>,
    actions: Vec<Action>,
}

impl<E: From<Event> + Send + 'static> MembershipDriver<E> {
    /// Returns a driver without peers. [`Event::Listing`] adds them.
    pub fn new(
        settings: &Settings,
        role: Role,
        incarnation: Incarnation,
        platform: &Arc<Platform>,
        runtime: &Handle,
        events: &SyncSender<E>,
        now: Instant,
    ) -> Self {
        let me = PeerId { vm: settings.vm.name.clone(), role, incarnation };
        let config = MembershipConfig {
            me: me.clone(),
            data_centre: settings.vm.data_centre.clone(),
            peer_timeout: settings.timing.peer_timeout,
            isolation_timeout: settings.timing.isolation_timeout,
            head_poll_interval: settings.timing.head_poll_interval,
        };
        Self {
            me,
            membership: Membership::new(config, now),
            outbox: Outbox::new(runtime.clone()),
            platform: Arc::clone(platform),
            runtime: runtime.clone(),
            events: events.clone(),
            actions: Vec::new(),
        }
    }

    /// Returns the membership state.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the identity of this process.
    pub fn me(&self) -> &PeerId {
        &self.me
    }

    /// Returns the number of messages dropped and the number of bytes sent since the start.
    pub fn send_counters(&self) -> (u64, u64) {
        (self.outbox.dropped(), self.outbox.sent_bytes())
    }

    /// Processes an event and carries out the resulting actions. Returns the table that became
    /// active, if any.
    pub fn step(&mut self, now: Instant, event: Event) -> Option<Arc<Table>> {
        let mut actions = std::mem::take(&mut self.actions);
        self.membership.step(now, event, &mut actions);
        let mut activated = None;
        for action in actions.drain(..) {
            match action {
                Action::Send(addr, message) => self.send(addr, message),
                Action::Redial(addr) => {
                    log::info!(
                        "heartbeats or acknowledgements from peer {addr} timed out; reconnecting"
                    );
                    self.outbox.redial(addr);
                }
                Action::ReadHead => self.read_head(),
                Action::FetchTable(head) => {
                    let platform = Arc::clone(&self.platform);
                    self.spawn(async move {
                        let table = load_table(&platform.objects, &head).await;
                        table.ok().map(|table| Event::Table(Arc::new(table)))
                    });
                }
                Action::TableActivated(table) => activated = Some(table),
            }
        }
        self.actions = actions;
        activated
    }

    /// Queues `message` for the peer at `addr`. A message that can't be queued is dropped.
    pub fn send(&mut self, addr: SocketAddr, message: Message) {
        let envelope = Envelope { from: self.me.clone(), message };
        if let Err(err) = self.outbox.send(addr, &envelope) {
            log::debug!("{err}");
        }
    }

    /// Sends `message` to all peers of `role` in the data centres for which `accept` returns true.
    pub fn broadcast(
        &mut self,
        role: Role,
        message: &Message,
        accept: impl Fn(&DataCentre) -> bool,
    ) {
        let addrs: Vec<SocketAddr> = self
            .membership
            .addrs(role)
            .filter(|(_, data_centre)| accept(data_centre))
            .map(|(addr, _)| addr)
            .collect();
        for addr in addrs {
            self.send(addr, message.clone());
        }
    }

    fn read_head(&self) {
        let platform = Arc::clone(&self.platform);
        self.spawn(async move { read_head(&platform.store).await.ok().map(Event::HeadRead) });
    }

    /// Runs `work` on the runtime and queues the event that it returns, if any, for the control
    /// thread. The event is dropped when the queue is full.
    fn spawn(&self, work: impl Future<Output = Option<Event>> + Send + 'static) {
        let events = self.events.clone();
        self.runtime.spawn(async move {
            if let Some(event) = work.await
                && events.try_send(event.into()).is_err()
            {
                log::warn!("control thread queue is full or closed; dropping membership event");
            }
        });
    }
}
