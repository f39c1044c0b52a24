//! What traffic tells, on its way to those who decide on it.

use {
    super::Control,
    crate::{event::TrafficReport, peer_message::PeerMessage},
    glade_types::ModelName,
    std::time::{Duration, Instant},
};

/// Period at which a core passes on the demand that it was told of: that of the nodes' own reports.
const DEMAND_EVERY: Duration = Duration::from_millis(250);

impl Control {
    pub(super) fn on_traffic(&mut self, now: Instant, report: TrafficReport) {
        if let Some(loads) = report.loads {
            self.loads.take_own(loads);
            if self.post.mesh.is_small {
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
        } else if self.post.mesh.is_small {
            self.tell_holder(now, PeerMessage::Demand(report.demand));
        } else {
            self.demand.on_report(now, &self.post.me.vm, &report.demand);
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
