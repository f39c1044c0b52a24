//! Handling of the relay's reports, and their forwarding to the coordinator of request starts and
//! to the holder of the lease.

use {
    super::Control,
    crate::{event::TrafficReport, peer_message::PeerMessage, start_exchange::StartUpdate},
    glade_catalog::WantedModel,
    glade_dispatch::{StartEvent, StartReply, StartRequest},
    glade_types::VmId,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Period at which a core forwards the demand that it has collected. It is the period of the nodes'
/// own reports.
const DEMAND_PERIOD: Duration = Duration::from_millis(250);

impl Control {
    pub(super) fn on_traffic_report(&mut self, now: Instant, report: TrafficReport) {
        if let Some(loads) = report.loads {
            self.loads.set_own(loads);
            if self.network.mesh.is_full_mesh {
                self.loads.send_due(now, &mut self.network);
            }
        }
        if report.demand.models.is_empty() {
            return;
        }
        if self.leadership.is_holder() {
            self.leadership.on_demand(now, &self.network.me.vm, &report.demand);
        } else if !self.network.mesh.is_core {
            self.network.send_upstream(now, &PeerMessage::Demand(report.demand));
        } else if self.network.mesh.is_full_mesh {
            self.send_to_holder(now, PeerMessage::Demand(report.demand));
        } else {
            self.demand.on_report(now, &self.network.me.vm, &report.demand);
        }
    }

    /// True if a coordinator of request starts is available: this node, or a live core that it is
    /// connected to.
    pub(super) fn has_coordinator(&self, now: Instant) -> bool {
        let mesh = &self.network.mesh;
        !mesh.is_full_mesh && (mesh.is_primary_core || self.network.upstream_core(now).is_some())
    }

    /// Requests a server for one of this node's requests from the coordinator.
    pub(super) fn on_start_wanted(&mut self, now: Instant, request: StartRequest) {
        if self.network.mesh.is_primary_core {
            self.on_start_requests(now, self.network.me.peer_addr, vec![request]);
        } else {
            self.network.send_upstream_now(now, &PeerMessage::start_request(request));
        }
    }

    /// Handles requests for servers as coordinator, for the node that receives replies at
    /// `reply_to`.
    pub(super) fn on_start_requests(
        &mut self,
        now: Instant,
        reply_to: SocketAddr,
        requests: Vec<StartRequest>,
    ) {
        let view = self.published.view.load_full();
        let update = self.starts.on_requests(
            now,
            reply_to,
            requests,
            &view,
            &mut self.network,
            &mut self.rng,
        );
        self.apply_start_update(now, update);
    }

    /// Starts requests that wait for a server at this coordinator, as far as servers have become
    /// free.
    pub(super) fn poll_starts(&mut self, now: Instant) {
        let update = self.starts.tick(now, &mut self.network);
        self.apply_start_update(now, update);
    }

    fn apply_start_update(&mut self, now: Instant, update: StartUpdate) {
        if !update.replies.is_empty() {
            self.on_start_replies(self.network.me.peer_addr, update.replies);
        }
        update.missing.into_iter().for_each(|wanted| self.on_model_wanted(now, wanted));
    }

    /// Passes replies to the relay; the coordinator that has sent them receives events at
    /// `coordinator`.
    pub(super) fn on_start_replies(&self, coordinator: SocketAddr, replies: Vec<StartReply>) {
        if self.published.start_replies.try_send((coordinator, replies)).is_err() {
            log::debug!("traffic_behind");
        }
    }

    /// Sends to coordinators the outcomes of the requests that they have decided on.
    pub(super) fn on_start_events(
        &mut self,
        now: Instant,
        events: Vec<(Option<SocketAddr>, StartEvent)>,
    ) {
        let me = self.network.me.peer_addr;
        let upstream_core =
            self.network.upstream_core(now).and_then(|vm| self.network.peers.addr(vm));
        let nearest = if self.network.mesh.is_primary_core { Some(me) } else { upstream_core };
        let mut by_addr: BTreeMap<SocketAddr, Vec<StartEvent>> = BTreeMap::new();
        for (coordinator, event) in events {
            if let Some(addr) = coordinator.or(nearest) {
                by_addr.entry(addr).or_default().push(event);
            }
        }
        for (addr, events) in by_addr {
            if addr == me {
                self.starts.on_events(now, me, events);
            } else if Some(addr) == nearest {
                self.network.send_upstream(now, &PeerMessage::StartEvents(events));
            } else {
                self.network.send(now, addr, &PeerMessage::StartEvents(events));
            }
        }
    }

    /// Forwards the collected demand to the holder of the lease if it is due.
    pub(super) fn forward_demand(&mut self, now: Instant) {
        if now < self.next_demand_at {
            return;
        }
        self.next_demand_at = now + DEMAND_PERIOD;
        let report = self.demand.take(now);
        if report.models.is_empty() {
            return;
        }
        if self.leadership.is_holder() {
            self.leadership.on_demand(now, &self.network.me.vm, &report);
        } else {
            self.send_to_holder(now, PeerMessage::Demand(report));
        }
    }

    /// Reports to the holder of the lease that a request waits for a model that no usable server
    /// holds.
    pub(super) fn on_model_wanted(&mut self, now: Instant, wanted: WantedModel) {
        if self.leadership.is_holder() {
            self.leadership.on_model_wanted(now, wanted);
        } else if self.network.mesh.is_core {
            self.send_to_holder(now, PeerMessage::model_wanted(wanted));
        } else {
            self.network.send_upstream_now(now, &PeerMessage::model_wanted(wanted));
        }
    }

    /// Handles a report of `vm` as one of its own.
    pub(super) fn on_peer_wants_model(&mut self, now: Instant, vm: &VmId, wanted: WantedModel) {
        // A sender that takes this node for the holder of the lease is wrong if it isn't any more.
        // Forwarding the message to the new holder could make it circulate.
        if self.leadership.is_holder() || self.network.mesh.forwards_to_holder_for(vm) {
            self.on_model_wanted(now, wanted);
        }
    }

    /// Sends `message` to the holder of the lease, if a live one is known.
    pub(super) fn send_to_holder(&mut self, now: Instant, message: PeerMessage) {
        let peers = &self.network.peers;
        let live = peers.holder(now).map(|(info, _)| info.peer_addr);
        // Only the cores of its own data centre hear a holder that is a leaf; they report it.
        let reported = || self.access.reported_holder(now).and_then(|vm| peers.addr(vm));
        if let Some(holder) = live.or_else(reported) {
            self.network.send(now, holder, &message);
        }
    }
}
