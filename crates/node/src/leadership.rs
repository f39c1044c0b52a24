//! The lease for giving orders, and the steward that works under it.

use {
    crate::{
        engine_client::EngineClient,
        event::Event,
        lease,
        peer_message::{Heartbeat, HolderClaim},
        peers::Peers,
        registry::Registry,
        store_health::StoreHealth,
    },
    glade_adapter::store::PlatformStore,
    glade_catalog::{Catalog, DemandReport, EngineOrder, EngineReport, OrderAnswer, ServerKey},
    glade_lease::{LeaseCandidate, LeaseConfig},
    glade_platform::{Era, StoreError, StoredRow, TxnAnswer},
    glade_residency::{Action, EngineDigest, LeaseTerm, PlacementController},
    glade_types::{Incarnation, ModelName, VmId, rendezvous_order},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::Sender,
};

/// Part of the platform's bound on turns of holders that the lease lasts. The rest covers the time
/// until the next holder's first order.
const LEASE_SHARE: f64 = 0.67;
/// Renewals in the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 5;
/// Part of the lease's duration that must be left, or its holder steps back for a node that still
/// reaches the store.
const RESIGN_SHARE: f64 = 0.4;
/// Silence of the store after which the holder asks whether others reach it.
const DOUBT_AFTER: Duration = Duration::from_millis(600);
/// Time for which others must have reached the store before the holder steps back: enough for one
/// renewal at a slow store.
const CUT_OFF_TIME: Duration = Duration::from_millis(700);
/// Shortest time between two reads by which a node answers a holder's doubt.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// By how much a lease is extended at a time while the store answers nobody.
const OUTAGE_EXTENSION: Duration = Duration::from_millis(900);
/// Time without a word of a holder after which the lease's row is read.
const HOLDER_SILENT: Duration = Duration::from_millis(500);
/// Extra wait before taking over, for each node that would be a better holder.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Shortest period at which the holder repeats what all engines hold.
const REPEAT_RESIDENTS: Duration = Duration::from_secs(1);
/// The period's length for each node, so that what is repeated doesn't grow faster than the nodes do.
const REPEAT_PER_NODE: Duration = Duration::from_millis(50);

/// Who may give orders, by the settings.
#[derive(Clone, Debug)]
pub(crate) struct LeadershipConfig {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    /// The platform's bound on turns of holders.
    pub(crate) turn: Duration,
    /// Whether engines refuse orders with an earlier fencing token.
    pub(crate) engines_check_fences: bool,
}

/// What the other nodes must be told.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ResidentsUpdate {
    pub(crate) epoch: u64,
    pub(crate) engines: Vec<EngineDigest>,
}

/// The lease, and the steward while this node holds it.
pub(crate) struct Leadership {
    terms: LeadershipConfig,
    store: Rc<PlatformStore>,
    engines: Rc<EngineClient>,
    events: Sender<Event>,
    lease: LeaseCandidate,
    steward: Option<PlacementController>,
    /// Latest epoch that this node has given up without the store's help.
    resigned_epoch: u64,
    /// Latest epoch that another node has given up so.
    heard_resigned_epoch: u64,
    /// Since when other nodes have reached the store and this one hasn't.
    cut_off_since: Option<Instant>,
    holder_heard_at: Instant,
    /// A holder doubts the store; this node is to try it.
    probe: bool,
    probed_at: Option<Instant>,
    repeat_at: Instant,
    leaving: bool,
    rng: fastrand::Rng,
}

impl Leadership {
    pub(crate) fn new(
        now: Instant,
        terms: LeadershipConfig,
        store: Rc<PlatformStore>,
        events: Sender<Event>,
        rng: fastrand::Rng,
    ) -> Self {
        let duration = terms.turn.mul_f64(LEASE_SHARE);
        let config = LeaseConfig {
            holder: terms.vm.clone(),
            incarnation: terms.incarnation,
            duration,
            renew_every: duration / RENEWALS_PER_LEASE,
            watch_every: duration / RENEWALS_PER_LEASE,
            takeover_delay: Duration::ZERO,
        };
        Self {
            lease: LeaseCandidate::new(config, now),
            engines: EngineClient::new(events.clone()),
            terms,
            store,
            events,
            steward: None,
            resigned_epoch: 0,
            heard_resigned_epoch: 0,
            cut_off_since: None,
            holder_heard_at: now,
            probe: false,
            probed_at: None,
            repeat_at: now,
            leaving: false,
            rng,
        }
    }

    /// True if this node gives orders.
    pub(crate) fn is_holder(&self) -> bool {
        self.steward.is_some()
    }

    /// The claim that other nodes are told of.
    pub(crate) fn claim(&self) -> Option<HolderClaim> {
        let epoch = self.steward.as_ref()?.lease_term().fence;
        Some(HolderClaim { epoch, revision: self.lease.revision()? })
    }

    /// Latest epoch that this node has given up without the store's help.
    pub(crate) fn resigned_epoch(&self) -> u64 {
        self.resigned_epoch
    }

    /// The store is in `era`: a tenure of an earlier one is over.
    pub(crate) fn on_era(&mut self, now: Instant, era: Era) {
        self.lease.on_era(now, era);
    }

    /// True if the holder asks whether others reach the store.
    pub(crate) fn requests_store_probe(&self, now: Instant, health: &StoreHealth) -> bool {
        self.is_holder() && health.time_since_answer(now) > DOUBT_AFTER
    }

    /// The node was told to end: it takes the lease no more, and gives it up if it has it.
    pub(crate) fn shut_down(&mut self, now: Instant) {
        self.leaving = true;
        if self.lease.valid_until().is_some() {
            log::info!("lease_released");
        }
        if let Some(action) = self.lease.release(now, self.rng.u64(..)) {
            lease::perform(now, &self.store, &self.events, action);
        }
    }

    /// Takes what another node says of the lease and the store.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if let Some(claim) = heartbeat.holder {
            self.lease.on_renewal_reported(now, claim.revision);
        }
        if heartbeat.resigned_epoch > self.heard_resigned_epoch {
            self.heard_resigned_epoch = heartbeat.resigned_epoch;
            self.lease.on_resigned(now, heartbeat.resigned_epoch);
            self.probe = true;
        }
        let probed_lately =
            self.probed_at.is_some_and(|at| now.saturating_duration_since(at) < PROBE_EVERY);
        self.probe |= heartbeat.requests_store_probe && !probed_lately;
    }

    pub(crate) fn on_lease_read(
        &mut self,
        now: Instant,
        answer: Result<Option<StoredRow>, StoreError>,
    ) {
        self.lease.on_read(now, answer.as_ref().map(Option::as_ref));
    }

    pub(crate) fn on_lease_written(&mut self, now: Instant, answer: Result<TxnAnswer, StoreError>) {
        self.lease.on_write(now, answer.as_ref());
    }

    /// Takes what a node saw of demand, if this node gives orders.
    pub(crate) fn on_demand(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        if let Some(steward) = &mut self.steward {
            steward.on_demand(now, vm, report);
        }
    }

    /// Takes a wish for a model that is nowhere, if this node gives orders.
    pub(crate) fn on_model_wanted(&mut self, now: Instant, model: &ModelName) {
        if let Some(steward) = &mut self.steward {
            steward.on_model_wanted(now, model);
        }
    }

    pub(crate) fn on_order_answered(
        &mut self,
        now: Instant,
        order: &EngineOrder,
        answer: OrderAnswer,
    ) {
        if let Some(steward) = &mut self.steward {
            steward.on_answer(now, order, answer);
        }
    }

    pub(crate) fn on_reported(
        &mut self,
        now: Instant,
        server: &ServerKey,
        report: Option<&EngineReport>,
    ) {
        if let Some(steward) = &mut self.steward {
            steward.on_report(now, server, report);
        }
    }

    /// An engine wants nothing from this VM until then.
    pub(crate) fn on_backoff(&mut self, server: &ServerKey, until: Instant) {
        if let Some(steward) = &mut self.steward {
            steward.on_backoff(server, until);
        }
    }

    /// Takes the servers as they are described now.
    pub(crate) fn on_records(
        &mut self,
        now: Instant,
        catalog: Option<&Catalog>,
        registry: &Registry,
    ) {
        if let (Some(steward), Some(catalog)) = (&mut self.steward, catalog) {
            steward.on_records(now, catalog, registry.records(now));
        }
    }

    /// Renews, takes over, gives up or extends the lease, as is due.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        is_core: bool,
        peers: &Peers,
        health: &StoreHealth,
    ) {
        if peers.holder(now).is_some() {
            self.holder_heard_at = now;
        }
        if self.lease.valid_until().is_some() {
            self.extend_in_outage(now, peers, health);
            self.resign_if_cut_off(now, peers, health);
        }
        let holds = self.lease.valid_until().is_some();
        let holder_silent = now.saturating_duration_since(self.holder_heard_at) >= HOLDER_SILENT;
        // A node that leaves may still have to write that it has released the lease.
        if !holds && !self.leaving && !(is_core && (holder_silent || self.probe)) {
            return;
        }
        self.lease.set_takeover_delay(RANK_DELAY * self.rank(now, peers));
        if self.probe {
            self.lease.read_now(now);
        }
        if let Some(action) = self.lease.tick(now, self.rng.u64(..)) {
            if self.probe {
                self.probe = false;
                self.probed_at = Some(now);
            }
            lease::perform(now, &self.store, &self.events, action);
        }
    }

    /// Keeps the lease while the store answers nobody. Nobody can take it over then, and should a node
    /// that isn't heard do so all the same, engines refuse whichever holder comes with the earlier
    /// fencing token, and any order that doesn't fit what they hold.
    fn extend_in_outage(&mut self, now: Instant, peers: &Peers, health: &StoreHealth) {
        let Some(valid_until) = self.lease.valid_until() else { return };
        if !self.terms.engines_check_fences
            || !health.is_unreachable()
            || valid_until.saturating_duration_since(now) >= OUTAGE_EXTENSION
        {
            return;
        }
        let mut others = peers.live(now).peekable();
        let answers_nobody = others.peek().is_some()
            && others.all(|(_, heartbeat)| heartbeat.store.is_unreachable());
        if answers_nobody {
            self.lease.extend(now + OUTAGE_EXTENSION);
        }
    }

    /// Steps back if the lease can't be renewed while other nodes reach the store.
    fn resign_if_cut_off(&mut self, now: Instant, peers: &Peers, health: &StoreHealth) {
        let Some(valid_until) = self.lease.valid_until() else { return };
        let own_silence = health.time_since_answer(now);
        let others_reach_it = own_silence > DOUBT_AFTER
            && peers
                .live_with_age(now)
                .filter_map(|(heartbeat, age)| heartbeat.store_silence(age))
                .any(|silence| silence < own_silence);
        if !others_reach_it {
            self.cut_off_since = None;
            return;
        }
        let since = *self.cut_off_since.get_or_insert_with(|| {
            // The store may just have come back: a renewal will tell.
            self.lease.retry_now(now);
            now
        });
        let left = valid_until.saturating_duration_since(now);
        let duration = self.terms.turn.mul_f64(LEASE_SHARE);
        if left > duration.mul_f64(RESIGN_SHARE)
            || now.saturating_duration_since(since) < CUT_OFF_TIME
        {
            return;
        }
        if let Some(epoch) = self.lease.resign(now) {
            log::warn!(fence = epoch, left_ms = left.as_millis() as u64; "lease_resigned");
            self.resigned_epoch = epoch;
            self.cut_off_since = None;
        }
    }

    /// Nodes that would be a better holder.
    fn rank(&self, now: Instant, peers: &Peers) -> u32 {
        let me = self.terms.vm.as_str();
        let cores = peers.live(now).filter(|(_, heartbeat)| heartbeat.core);
        let others = cores.map(|(info, _)| info.vm.as_str());
        let order = rendezvous_order("orders", others.chain([me]));
        order.iter().take_while(|vm| **vm != me).count() as u32
    }

    /// Begins or ends this node's tenure as the lease says. Returns true if it has changed.
    pub(crate) fn follow_lease(
        &mut self,
        now: Instant,
        catalog: Option<&Catalog>,
        registry: &Registry,
    ) -> bool {
        let held = self.lease.epoch(now).zip(self.lease.valid_until());
        match (held, &mut self.steward) {
            (Some((epoch, valid_until)), Some(steward)) if steward.lease_term().fence == epoch => {
                steward.renew(valid_until);
                if !steward.is_fenced() {
                    return false;
                }
                // Another holder has acted; the store will say who.
                self.lease.resign(now);
                self.end_tenure()
            }
            (Some((fence, valid_until)), _) => {
                let tenure = LeaseTerm { holder: self.terms.vm.clone(), fence, valid_until };
                self.steward = Some(PlacementController::begin(now, tenure));
                self.on_records(now, catalog, registry);
                true
            }
            (None, Some(_)) => self.end_tenure(),
            (None, None) => false,
        }
    }

    fn end_tenure(&mut self) -> bool {
        if let Some(steward) = self.steward.take() {
            log::info!(fence = steward.lease_term().fence; "tenure_ended");
        }
        true
    }

    /// Lets the steward act. Returns what other nodes must be told.
    pub(crate) fn act(
        &mut self,
        now: Instant,
        nodes: u32,
        catalog: Option<&Catalog>,
    ) -> Option<ResidentsUpdate> {
        let (Some(steward), Some(catalog)) = (&mut self.steward, catalog) else { return None };
        for action in steward.tick(now, catalog) {
            match action {
                Action::Order(order) => self.engines.order(order),
                Action::RequestReport { server, addr } => self.engines.request_report(server, addr),
            }
        }
        let engines = if now >= self.repeat_at {
            self.repeat_at = now + REPEAT_RESIDENTS.max(REPEAT_PER_NODE * nodes);
            steward.digests(now)
        } else {
            steward.take_changed_digests(now)
        };
        let epoch = steward.lease_term().fence;
        (!engines.is_empty()).then_some(ResidentsUpdate { epoch, engines })
    }

    /// A node was heard for the first time: it needs to know what all engines hold.
    pub(crate) fn repeat_residents(&mut self, now: Instant) {
        self.repeat_at = now;
    }
}

#[cfg(test)]
mod tests;
