//! What traffic tells, on its way to those who decide on it.

use {
    super::Control,
    crate::{event::TrafficReport, peer_message::PeerMessage, start_exchange::StartNews},
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
            self.loads.take_own(loads);
            if self.post.mesh.is_full_mesh {
                self.loads.exchange(now, &mut self.post);
            }
        }
        if report.demand.models.is_empty() {
            return;
        }
        if self.desk.is_holder() {
            self.desk.on_demand(now, &self.post.me.vm, &report.demand);
        } else if !self.post.mesh.is_core {
            self.post.tell_speaker(now, &PeerMessage::Demand(report.demand));
        } else if self.post.mesh.is_full_mesh {
            self.tell_holder(now, PeerMessage::Demand(report.demand));
        } else {
            self.demand.on_report(now, &self.post.me.vm, &report.demand);
        }
    }

    /// True if a coordinator can be asked: this node, or one that it hears.
    pub(super) fn is_coordinated(&self, now: Instant) -> bool {
        let mesh = &self.post.mesh;
        !mesh.is_full_mesh && (mesh.is_primary_core || self.post.speaker(now).is_some())
    }

    /// Traffic wants a server for a request.
    pub(super) fn on_start_wanted(&mut self, now: Instant, ask: StartRequest) {
        if self.post.mesh.is_primary_core {
            self.on_asks(now, self.post.me.peers, vec![ask]);
        } else {
            self.post.hurry_speaker(now, &PeerMessage::StartWanted(vec![ask]));
        }
    }

    /// The node that hears answers at `asker` wants servers for requests.
    pub(super) fn on_asks(&mut self, now: Instant, asker: SocketAddr, asks: Vec<StartRequest>) {
        let view = self.published.view.load_full();
        let news = self.starts.on_asks(now, asker, asks, &view, &mut self.post, &mut self.rng);
        self.on_start_news(now, news);
    }

    /// Lets requests go that wait here.
    pub(super) fn look_at_starts(&mut self, now: Instant) {
        let news = self.starts.tick(now, &mut self.post);
        self.on_start_news(now, news);
    }

    fn on_start_news(&mut self, now: Instant, news: StartNews) {
        if !news.answers.is_empty() {
            self.on_starts(self.post.me.peers, news.answers);
        }
        news.missing.into_iter().for_each(|model| self.on_wish(now, model));
    }

    /// The coordinator that hears events at `by` has answered.
    pub(super) fn on_starts(&self, by: SocketAddr, answers: Vec<StartReply>) {
        if self.published.starts.try_send((by, answers)).is_err() {
            log::debug!("traffic_behind");
        }
    }

    /// Traffic tells coordinators what has become of requests.
    pub(super) fn on_start_events(
        &mut self,
        now: Instant,
        events: Vec<(Option<SocketAddr>, StartEvent)>,
    ) {
        let me = self.post.me.peers;
        let speaker = self.post.speaker(now).and_then(|vm| self.post.peers.addr(vm));
        let nearest = if self.post.mesh.is_primary_core { Some(me) } else { speaker };
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
                self.post.tell_speaker(now, &PeerMessage::StartEvents(events));
            } else {
                self.post.send(now, addr, &PeerMessage::StartEvents(events));
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
        if self.desk.is_holder() {
            self.desk.on_demand(now, &self.post.me.vm, &report);
        } else {
            self.tell_holder(now, PeerMessage::Demand(report));
        }
    }

    pub(super) fn on_wish(&mut self, now: Instant, model: ModelName) {
        if self.desk.is_holder() {
            self.desk.on_wish(now, &model);
        } else if self.post.mesh.is_core {
            self.tell_holder(now, PeerMessage::Wish(model));
        } else {
            self.post.hurry_speaker(now, &PeerMessage::Wish(model));
        }
    }

    /// Sends `message` to the holder of the lease, if one is heard.
    pub(super) fn tell_holder(&mut self, now: Instant, message: PeerMessage) {
        if let Some(holder) = self.post.peers.holder(now).map(|(info, _)| info.peers) {
            self.post.send(now, holder, &message);
        }
    }
}
