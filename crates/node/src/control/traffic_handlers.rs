//! What traffic tells, on its way to those who decide on it.

use {
    super::Control,
    crate::{event::TrafficReport, peer_message::PeerMessage, start_exchange::StartUpdate},
    glade_dispatch::{StartEvent, StartReply, StartRequest},
    glade_types::ModelName,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Period at which a core passes on the demand that it was told of: that of the nodes' own reports.
const DEMAND_EVERY: Duration = Duration::from_millis(250);

impl Control {
    pub(super) fn on_traffic(&mut self, now: Instant, report: TrafficReport) {
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
            self.tell_holder(now, PeerMessage::Demand(report.demand));
        } else {
            self.demand.on_report(now, &self.network.me.vm, &report.demand);
        }
    }

    /// True if a coordinator can be asked: this node, or one that it hears.
    pub(super) fn is_coordinated(&self, now: Instant) -> bool {
        let mesh = &self.network.mesh;
        !mesh.is_full_mesh && (mesh.is_primary_core || self.network.upstream_core(now).is_some())
    }

    /// Traffic wants a server for a request.
    pub(super) fn on_start_wanted(&mut self, now: Instant, ask: StartRequest) {
        if self.network.mesh.is_primary_core {
            self.on_asks(now, self.network.me.peers, vec![ask]);
        } else {
            self.network.send_upstream_now(now, &PeerMessage::StartRequests(vec![ask]));
        }
    }

    /// The node that hears answers at `asker` wants servers for requests.
    pub(super) fn on_asks(&mut self, now: Instant, asker: SocketAddr, asks: Vec<StartRequest>) {
        let view = self.published.view.load_full();
        let news =
            self.starts.on_requests(now, asker, asks, &view, &mut self.network, &mut self.rng);
        self.on_start_news(now, news);
    }

    /// Lets requests go that wait here.
    pub(super) fn look_at_starts(&mut self, now: Instant) {
        let news = self.starts.tick(now, &mut self.network);
        self.on_start_news(now, news);
    }

    fn on_start_news(&mut self, now: Instant, news: StartUpdate) {
        if !news.replies.is_empty() {
            self.on_starts(self.network.me.peers, news.replies);
        }
        news.missing.into_iter().for_each(|model| self.on_wish(now, model));
    }

    /// The coordinator that hears events at `by` has answered.
    pub(super) fn on_starts(&self, by: SocketAddr, answers: Vec<StartReply>) {
        if self.published.start_replies.try_send((by, answers)).is_err() {
            log::debug!("traffic_behind");
        }
    }

    /// Traffic tells coordinators what has become of requests.
    pub(super) fn on_start_events(
        &mut self,
        now: Instant,
        events: Vec<(Option<SocketAddr>, StartEvent)>,
    ) {
        let me = self.network.me.peers;
        let upstream_core =
            self.network.upstream_core(now).and_then(|vm| self.network.peers.addr(vm));
        let nearest = if self.network.mesh.is_primary_core { Some(me) } else { upstream_core };
        let mut by_addr: BTreeMap<SocketAddr, Vec<StartEvent>> = BTreeMap::new();
        for (by, event) in events {
            if let Some(addr) = by.or(nearest) {
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

    /// Passes on the demand that this node was told of.
    pub(super) fn pass_demand(&mut self, now: Instant) {
        if now < self.demand_at {
            return;
        }
        self.demand_at = now + DEMAND_EVERY;
        let report = self.demand.take(now);
        if report.models.is_empty() {
            return;
        }
        if self.leadership.is_holder() {
            self.leadership.on_demand(now, &self.network.me.vm, &report);
        } else {
            self.tell_holder(now, PeerMessage::Demand(report));
        }
    }

    pub(super) fn on_wish(&mut self, now: Instant, model: ModelName) {
        if self.leadership.is_holder() {
            self.leadership.on_model_wanted(now, &model);
        } else if self.network.mesh.is_core {
            self.tell_holder(now, PeerMessage::ModelWanted(model));
        } else {
            self.network.send_upstream_now(now, &PeerMessage::ModelWanted(model));
        }
    }

    /// Sends `message` to the holder of the lease, if one is heard.
    pub(super) fn tell_holder(&mut self, now: Instant, message: PeerMessage) {
        if let Some(holder) = self.network.peers.holder(now).map(|(info, _)| info.peers) {
            self.network.send(now, holder, &message);
        }
    }
}
