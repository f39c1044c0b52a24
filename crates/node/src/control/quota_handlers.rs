//! Handling of the quotas of teams: what this node's requests need, and what it issues to others.

use {
    super::Control,
    crate::peer_message::PeerInfo,
    glade_limit::{QuotaAsk, QuotaGrant, QuotaReport},
    std::{net::SocketAddr, time::Instant},
};

impl Control {
    /// Does the periodic work of the quotas.
    pub(super) fn tick_quotas(&mut self, now: Instant) {
        self.quotas.tick(now, self.catalog.as_ref(), &mut self.network);
        self.pass_quota_grants();
    }

    /// Handles what this node's requests need and haven't used.
    pub(super) fn on_quota_wanted(&mut self, now: Instant, asks: Vec<QuotaAsk>) {
        self.quotas.on_asks(now, asks, &mut self.network);
        self.pass_quota_grants();
    }

    /// Handles the needs of other nodes, as issuer or as the core that forwards them.
    pub(super) fn on_quota_reports(
        &mut self,
        now: Instant,
        from: &PeerInfo,
        reports: Vec<(SocketAddr, QuotaReport)>,
    ) {
        self.quotas.on_reports(now, from, reports, &mut self.network);
        self.pass_quota_grants();
    }

    /// Handles an issuer's replies to this node's needs.
    pub(super) fn on_quota_grants(&mut self, grants: Vec<QuotaGrant>) {
        self.quotas.on_grants(grants);
        self.pass_quota_grants();
    }

    /// Grants what the buckets hold by now.
    pub(super) fn issue_quotas(&mut self, now: Instant) {
        self.quotas.issue(now, &mut self.network);
        self.pass_quota_grants();
    }

    /// Passes grants to the request path.
    fn pass_quota_grants(&mut self) {
        let grants = self.quotas.take_grants();
        if !grants.is_empty() && self.published.quota_grants.try_send(grants).is_err() {
            log::debug!("traffic_behind");
        }
    }
}
