//! Handling of the rate limits that servers name, and of the permits to send requests to them.

use {
    super::Control,
    crate::{load_exchange::LoadMap, peer_message::PeerInfo},
    glade_catalog::ServerKey,
    glade_dispatch::ServerView,
    glade_limit::{LimitReport, LimitUpdate, NamedLimit, PermitDemand, PermitGrant, PermitWish},
    std::{net::SocketAddr, time::Instant},
};

impl Control {
    /// Does the periodic work of the limits.
    pub(super) fn tick_limits(&mut self, now: Instant) {
        let listed = self.registry.keys().map(ServerKey::short_hash);
        self.limits.tick(now, listed, &mut self.network);
        self.pass_permits();
    }

    /// Handles what an answer to this node has told about its server's limit.
    pub(super) fn on_limit_stated(&mut self, now: Instant, key: &ServerKey, report: LimitReport) {
        let server = key.short_hash();
        self.view_is_outdated |=
            self.limits.on_local_report(now, server, report, &mut self.network);
    }

    /// Handles limits that another node has reported.
    pub(super) fn on_peer_limits(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        updates: &[LimitUpdate],
    ) {
        let listed: Vec<(u32, Option<f64>)> =
            self.registry.keys().map(|key| self.known_rate(key)).collect();
        if self.limits.on_entries(now, from, updates, &mut self.network) {
            self.view_is_outdated = true;
            for (key, (server, before)) in self.registry.keys().zip(listed) {
                let limit = self.limits.limit(server);
                log_limit(now, key, before, limit, from);
            }
        }
    }

    /// The hash of a server, and the limit that it names, in requests per second.
    fn known_rate(&self, key: &ServerKey) -> (u32, Option<f64>) {
        let server = key.short_hash();
        (server, self.limits.limit(server).map(|limit| limit.per_second))
    }

    /// Handles the permits that this node's requests want.
    pub(super) fn on_permits_wanted(&mut self, now: Instant, wishes: Vec<PermitWish>) {
        self.limits.on_wishes(now, wishes, &mut self.network);
        self.pass_permits();
    }

    /// Handles other nodes' demand for permits.
    pub(super) fn on_permit_demand(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        demands: Vec<(SocketAddr, PermitDemand)>,
    ) {
        self.limits.on_demand(now, from, demands, &mut self.network);
        self.pass_permits();
    }

    /// Handles permits that this node was granted.
    pub(super) fn on_permit_grants(&mut self, now: Instant, grants: Vec<PermitGrant>) {
        self.limits.on_grants(now, grants);
        self.pass_permits();
    }

    /// Passes granted permits to the request path.
    fn pass_permits(&mut self) {
        let grants = self.limits.take_grants();
        if !grants.is_empty() && self.published.permits.try_send(grants).is_err() {
            log::debug!("traffic_behind");
        }
    }

    /// The backend servers for the published view.
    pub(super) fn server_views(&self, now: Instant, other_vms_loads: &LoadMap) -> Vec<ServerView> {
        let data_centre = &self.network.me.data_centre;
        let mut views = self.registry.views(now, data_centre, other_vms_loads);
        for view in &mut views {
            view.limit = self.limits.limit(view.record.key.short_hash());
        }
        views
    }
}

/// Logs that another node has told of a change of a server's limit.
fn log_limit(
    now: Instant,
    key: &ServerKey,
    before: Option<f64>,
    limit: Option<NamedLimit>,
    from: &PeerInfo,
) {
    let (server, told_by) = (key.id.as_str(), from.vm.as_str());
    match (before, limit) {
        (None, Some(limit)) => {
            let age_ms = now.saturating_duration_since(limit.named_at).as_millis() as u64;
            let per_s = limit.per_second;
            log::warn!(server = server, per_s = per_s, told_by = told_by, age_ms = age_ms; "server_limit_named");
        }
        (Some(before), Some(limit)) if before != limit.per_second => {
            let per_s = limit.per_second;
            log::warn!(server = server, per_s = per_s, before = before, told_by = told_by; "server_limit_changed");
        }
        (Some(before), None) => {
            log::info!(server = server, before = before, told_by = told_by; "server_limit_ended");
        }
        _ => {}
    }
}
