//! Leader election among the nodes: the lease under which one node gives orders to engines, and the
//! placement controller that decides on these orders while this node holds the lease.

use {
    crate::{
        engine_client::EngineClient,
        event::Event,
        lease::LeaseService,
        order_right::OrderRight,
        peer_message::{Heartbeat, HolderClaim},
        peers::Peers,
        registry::Registry,
        store_health::StoreHealth,
    },
    glade_catalog::{
        Catalog, DemandReport, EngineOrder, EngineReport, OrderAnswer, ServerKey, WantedModel,
    },
    glade_lease::LeaseConfig,
    glade_platform::{Era, StoreError, StoredRow, TxnAnswer},
    glade_residency::{Action, EngineDigest, PlacementController},
    glade_types::{Incarnation, VmId, rendezvous_order},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::Sender,
};

/// Duration of the lease as a share of the platform's limit on alternating holders. The rest covers
/// the time until the next holder's first order.
const LEASE_SHARE: f64 = 0.67;
/// Renewals in the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 5;
/// Share of the lease's duration that must be left; below it, the holder resigns in favour of a
/// node that still reaches the store.
const RESIGN_SHARE: f64 = 0.4;
/// Time without an answer of the store after which the holder asks other nodes to check the store.
const STORE_CHECK_AFTER: Duration = Duration::from_millis(600);
/// Time for which other nodes must have reached the store before the holder resigns: enough for one
/// renewal at a slow store.
const CUT_OFF_MIN: Duration = Duration::from_millis(700);
/// Shortest time between two reads of the lease's row by which a node checks the store for the
/// holder.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Validity of the lease after each extension while the store answers no node.
const OUTAGE_EXTENSION: Duration = Duration::from_millis(900);
/// Time after which a holder that is a leaf resigns, if a core can hold the lease. Only the cores of
/// its own data centre hear a leaf, and the others' demand reaches it only by their reports.
const LEAF_TERM_MAX: Duration = Duration::from_millis(500);
/// Time for which a node that has lost nearly all others leaves the lease to them. They need 1.9 s to
/// miss the holder, the lease's duration, and the delays of their ranks.
const YIELD_TIME: Duration = Duration::from_secs(6);
/// Time without a heartbeat of a holder after which a core reads the lease's row.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Extra delay before a takeover for each node that precedes this one in the order of succession.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Shortest period at which the holder sends the residents of all engines again.
const RESIDENTS_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest length of that period for each node of the deployment, so that the volume of the
/// repeated messages doesn't grow faster than the number of nodes.
const RESIDENTS_REPEAT_PER_NODE: Duration = Duration::from_millis(50);

/// This node's identity and the limits of the lease, from the settings.
#[derive(Clone, Debug)]
pub(crate) struct LeadershipConfig {
    pub(crate) vm: VmId,
    pub(crate) incarnation: Incarnation,
    /// The platform's limit on alternating holders: orders of one holder, then of another, and then
    /// of the first one again must not all fall within this time.
    pub(crate) alternation_limit: Duration,
    /// True if engines refuse orders with an earlier fencing token.
    pub(crate) engines_check_fences: bool,
}

/// Residents of engines that the other nodes must receive.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ResidentsUpdate {
    pub(crate) epoch: u64,
    pub(crate) engines: Vec<EngineDigest>,
}

/// What a node's part in the election depends on, apart from the other nodes' heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Election {
    pub(crate) is_core: bool,
    /// This node has lost nearly all other nodes of a large deployment at once.
    pub(crate) is_isolated: bool,
    /// Position of this node in the order of succession, if it is a leaf that may take the lease
    /// since no core reaches the store.
    pub(crate) leaf_rank: Option<u32>,
    /// Cores report another node as holder, which this one may not hear.
    pub(crate) holder_is_reported: bool,
    /// This node is a leaf whose core reports that no core reaches the store.
    pub(crate) cores_are_cut_off: bool,
    /// Cores report that the store answers leaves.
    pub(crate) leaves_read: bool,
}

/// This node's part in the election, and the placement controller while this node holds the lease.
pub(crate) struct Leadership {
    config: LeadershipConfig,
    pub(crate) lease_service: Box<dyn LeaseService>,
    engines: Rc<EngineClient>,
    right: OrderRight,
    controller: Option<PlacementController>,
    /// Latest epoch whose lease another node reports to have resigned without recording that in
    /// the store.
    peer_resigned_epoch: u64,
    /// Since when other nodes have reached the store and this one hasn't.
    cut_off_since: Option<Instant>,
    /// Since when this node has held the lease as a leaf with a live core.
    leaf_since: Option<Instant>,
    /// Since when this node has lost nearly all others, if it held the lease or heard the holder then.
    isolated_since: Option<Instant>,
    holder_seen_at: Instant,
    /// This node is to read the lease's row at once: the holder has asked for a check of the store,
    /// or has resigned.
    probe: bool,
    /// This node is to read the lease's row at once, to find out whether the store answers it.
    check_store: bool,
    probed_at: Option<Instant>,
    repeat_at: Instant,
    rng: fastrand::Rng,
}

impl Leadership {
    pub(crate) fn new(
        now: Instant,
        config: LeadershipConfig,
        lease_service: Box<dyn LeaseService>,
        events: Sender<Event>,
        rng: fastrand::Rng,
    ) -> Self {
        let duration = config.alternation_limit.mul_f64(LEASE_SHARE);
        let lease_config = LeaseConfig {
            holder: config.vm.clone(),
            incarnation: config.incarnation,
            duration,
            renew_every: duration / RENEWALS_PER_LEASE,
            watch_every: duration / RENEWALS_PER_LEASE,
            takeover_delay: Duration::ZERO,
            alternation_limit: config.alternation_limit,
        };
        Self {
            right: OrderRight::new(now, lease_config),
            engines: EngineClient::new(events),
            config,
            lease_service,
            controller: None,
            peer_resigned_epoch: 0,
            cut_off_since: None,
            leaf_since: None,
            isolated_since: None,
            holder_seen_at: now,
            probe: false,
            check_store: false,
            probed_at: None,
            repeat_at: now,
            rng,
        }
    }

    /// True if this node gives orders to engines.
    pub(crate) fn is_holder(&self) -> bool {
        self.controller.is_some()
    }

    /// The claim for this node's heartbeats.
    pub(crate) fn claim(&self) -> Option<HolderClaim> {
        let epoch = self.controller.as_ref()?.lease_term().fence;
        Some(HolderClaim { epoch, revision: self.right.lease().revision()? })
    }

    /// Latest epoch whose lease this node has resigned without recording that in the store.
    pub(crate) fn resigned_epoch(&self) -> u64 {
        self.right.resigned_epoch()
    }

    /// Records that the store is in `era`; a lease term of an earlier era is over.
    pub(crate) fn on_era(&mut self, now: Instant, era: Era) {
        self.right.lease_mut().on_era(now, era);
    }

    /// True if this node holds the lease and asks other nodes to check the store.
    pub(crate) fn requests_store_probe(&self, now: Instant, health: &StoreHealth) -> bool {
        self.is_holder() && health.time_since_answer(now) > STORE_CHECK_AFTER
    }

    /// Stops sending orders, releases the lease once those that were sent have arrived, and never
    /// takes it again. Called when the process is told to end.
    pub(crate) fn shut_down(&mut self, now: Instant) {
        self.end_term();
        self.right.give_up();
        self.perform_next(now);
    }

    /// Performs the next operation on the lease, if one is due.
    fn perform_next(&mut self, now: Instant) -> bool {
        let Some(action) = self.right.tick(now, self.rng.u64(..)) else { return false };
        self.lease_service.perform(now, action);
        true
    }

    /// Records what a heartbeat of another node reports of the lease and the store.
    pub(crate) fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) {
        if let Some(claim) = heartbeat.holder {
            self.right.lease_mut().on_renewal_reported(now, claim.revision);
            self.right.lease_mut().on_epoch_reported(claim.epoch);
        }
        self.on_resigned_reported(now, heartbeat.resigned_epoch);
        let probed_recently =
            self.probed_at.is_some_and(|at| now.saturating_duration_since(at) < PROBE_INTERVAL);
        self.probe |= heartbeat.requests_store_probe && !probed_recently;
    }

    /// Records that a node has resigned the lease of `epoch`.
    pub(crate) fn on_resigned_reported(&mut self, now: Instant, epoch: u64) {
        if epoch > self.peer_resigned_epoch {
            self.peer_resigned_epoch = epoch;
            self.right.lease_mut().on_resigned(now, epoch);
            self.probe = true;
        }
    }

    /// Records the claim of a holder that a core heard `age` ago.
    pub(crate) fn on_claim_reported(&mut self, now: Instant, claim: HolderClaim, age: Duration) {
        let lease = self.right.lease_mut();
        lease.on_era(now, claim.revision.era);
        lease.on_epoch_reported(claim.epoch);
        lease.on_renewal_reported(now.checked_sub(age).unwrap_or(now), claim.revision);
    }

    /// Has the next tick read the lease's row, to find out whether the store answers this node.
    pub(crate) fn check_store(&mut self) {
        self.check_store = true;
    }

    pub(crate) fn on_lease_read(
        &mut self,
        now: Instant,
        answer: Result<Option<StoredRow>, StoreError>,
    ) {
        self.right.lease_mut().on_read(now, answer.as_ref().map(Option::as_ref));
    }

    pub(crate) fn on_lease_written(&mut self, now: Instant, answer: Result<TxnAnswer, StoreError>) {
        self.right.lease_mut().on_write(now, answer.as_ref());
    }

    /// Passes demand seen by a node to the placement controller, if this node gives orders.
    pub(crate) fn on_demand(&mut self, now: Instant, vm: &VmId, report: &DemandReport) {
        if let Some(controller) = &mut self.controller {
            controller.on_demand(now, vm, report);
        }
    }

    /// Notifies the placement controller that a request waits for a model that no engine holds, if
    /// this node gives orders.
    pub(crate) fn on_model_wanted(&mut self, now: Instant, wanted: WantedModel) {
        if let Some(controller) = &mut self.controller {
            controller.on_model_wanted(now, wanted);
        }
    }

    pub(crate) fn on_order_answered(
        &mut self,
        now: Instant,
        order: &EngineOrder,
        answer: OrderAnswer,
    ) {
        self.right.on_answer(now, order, answer);
        if let Some(controller) = &mut self.controller {
            controller.on_answer(now, order, answer);
        }
    }

    pub(crate) fn on_reported(
        &mut self,
        now: Instant,
        server: &ServerKey,
        report: Option<&EngineReport>,
    ) {
        if let Some(controller) = &mut self.controller {
            controller.on_report(now, server, report);
        }
    }

    /// Records that an engine refuses requests of this VM until `until`.
    pub(crate) fn on_backoff(&mut self, server: &ServerKey, until: Instant) {
        if let Some(controller) = &mut self.controller {
            controller.on_backoff(server, until);
        }
    }

    /// Passes the present records of servers to the placement controller.
    pub(crate) fn on_records(
        &mut self,
        now: Instant,
        catalog: Option<&Catalog>,
        registry: &Registry,
    ) {
        if let (Some(controller), Some(catalog)) = (&mut self.controller, catalog) {
            controller.on_records(now, catalog, registry.records(now));
        }
    }

    /// Renews, takes over, resigns or extends the lease, as is due.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        election: Election,
        peers: &Peers,
        health: &StoreHealth,
    ) {
        if self.right.is_given_up() {
            self.perform_next(now);
            return;
        }
        if peers.holder(now).is_some() || election.holder_is_reported {
            self.holder_seen_at = now;
        }
        let yields = self.yields(now, election, peers);
        if self.right.lease().valid_until().is_some() {
            if yields && let Some(epoch) = self.right.resign(now) {
                log::warn!(fence = epoch; "lease_resigned_in_isolation");
            }
            if election.is_core && !election.leaves_read {
                self.extend_in_outage(now, peers, health);
            }
            self.resign_if_cut_off(now, peers, health);
            self.resign_if_leaf(now, election, peers);
        }
        let holds = self.right.lease().valid_until().is_some();
        let holder_timed_out = now.saturating_duration_since(self.holder_seen_at) >= HOLDER_TIMEOUT;
        if !holds {
            self.leaf_since = None;
        }
        let may_take = election.is_core || election.leaf_rank.is_some();
        let takes_part = holds || may_take && !yields && (holder_timed_out || self.probe);
        if !takes_part && !self.check_store {
            self.right.announce_if_settled(now);
            return;
        }
        let rank = election.leaf_rank.unwrap_or_else(|| self.rank(now, peers));
        self.right.lease_mut().set_takeover_delay(RANK_DELAY * rank);
        if self.probe || self.check_store {
            self.right.lease_mut().read_now(now);
        }
        if self.perform_next(now) {
            self.check_store = false;
            if std::mem::take(&mut self.probe) {
                self.probed_at = Some(now);
            }
        }
    }

    /// True if this node leaves the lease to others, since it has lost nearly all of them. A node that
    /// only a few can hear renews the lease at the store for ever, and nobody else can take it.
    fn yields(&mut self, now: Instant, election: Election, peers: &Peers) -> bool {
        if !election.is_isolated {
            self.isolated_since = None;
            return false;
        }
        let knows_holder = self.is_holder() || peers.holder(now).is_some();
        let since = match self.isolated_since {
            Some(since) => since,
            None if knows_holder => *self.isolated_since.insert(now),
            // The holder may be among the lost nodes, and nobody else may be left.
            None => return false,
        };
        now.saturating_duration_since(since) < YIELD_TIME
    }

    /// Extends the lease while the store answers no node. No node can take the lease over then. If
    /// a node without a connection to this one takes over the lease all the same, engines refuse
    /// the holder with the earlier fencing token, and any order that doesn't fit what they hold.
    fn extend_in_outage(&mut self, now: Instant, peers: &Peers, health: &StoreHealth) {
        let Some(valid_until) = self.right.lease().valid_until() else { return };
        if !self.config.engines_check_fences
            || !health.is_unreachable()
            || valid_until.saturating_duration_since(now) >= OUTAGE_EXTENSION
        {
            return;
        }
        let mut others = peers.live(now).peekable();
        let store_answers_nobody = others.peek().is_some()
            && others.all(|(_, heartbeat)| heartbeat.store.is_unreachable());
        if store_answers_nobody {
            self.right.lease_mut().extend(now + OUTAGE_EXTENSION);
        }
    }

    /// Resigns the lease if it can't be renewed while other nodes reach the store.
    fn resign_if_cut_off(&mut self, now: Instant, peers: &Peers, health: &StoreHealth) {
        let Some(valid_until) = self.right.lease().valid_until() else { return };
        let own_time_since_answer = health.time_since_answer(now);
        let others_reach_store = own_time_since_answer > STORE_CHECK_AFTER
            && peers
                .live_with_age(now)
                .filter_map(|(heartbeat, age)| heartbeat.time_since_store_answer(age))
                .any(|time| time < own_time_since_answer);
        if !others_reach_store {
            self.cut_off_since = None;
            return;
        }
        let since = *self.cut_off_since.get_or_insert_with(|| {
            // The store may just have come back; a renewal shows whether it has.
            self.right.lease_mut().retry_now(now);
            now
        });
        let left = valid_until.saturating_duration_since(now);
        let duration = self.config.alternation_limit.mul_f64(LEASE_SHARE);
        if left > duration.mul_f64(RESIGN_SHARE)
            || now.saturating_duration_since(since) < CUT_OFF_MIN
        {
            return;
        }
        if let Some(epoch) = self.right.resign(now) {
            log::warn!(fence = epoch, left_ms = left.as_millis() as u64; "lease_resigned");
            self.cut_off_since = None;
        }
    }

    /// Resigns the lease of a node that isn't a core, in favour of one that is.
    fn resign_if_leaf(&mut self, now: Instant, election: Election, peers: &Peers) {
        let mut cores = peers.live(now).filter(|(_, heartbeat)| heartbeat.core);
        if election.is_core
            || election.cores_are_cut_off
            || !cores.any(|(_, heartbeat)| !heartbeat.store.is_unreachable())
        {
            self.leaf_since = None;
            return;
        }
        let since = *self.leaf_since.get_or_insert(now);
        if now.saturating_duration_since(since) < LEAF_TERM_MAX {
            return;
        }
        if let Some(epoch) = self.right.resign(now) {
            log::info!(fence = epoch; "lease_resigned_by_leaf");
        }
    }

    /// Number of cores that precede this node in the order of succession: nodes that have held the
    /// lease lately come last, because they may have to wait before they send orders.
    fn rank(&self, now: Instant, peers: &Peers) -> u32 {
        let me = self.config.vm.as_str();
        let cores = peers.live(now).filter(|(_, heartbeat)| heartbeat.core);
        let others = cores.map(|(info, _)| info.vm.as_str());
        let mut order = rendezvous_order("orders", others.chain([me]));
        let recent: Vec<&str> = self.right.lease().recent_holders().map(VmId::as_str).collect();
        order.sort_by_key(|vm| recent.contains(vm));
        order.iter().take_while(|vm| **vm != me).count() as u32
    }

    /// Begins, renews or ends this node's lease term as the lease requires. Returns true if a term
    /// has begun or ended.
    pub(crate) fn follow_lease(
        &mut self,
        now: Instant,
        catalog: Option<&Catalog>,
        registry: &Registry,
    ) -> bool {
        match (self.right.held(now), &mut self.controller) {
            (Some((epoch, valid_until)), Some(controller))
                if controller.lease_term().fence == epoch =>
            {
                controller.renew(valid_until);
                if !controller.is_fenced() {
                    return false;
                }
                // Another holder has given orders; the store shows which node it is.
                self.right.lease_mut().resign(now);
                self.end_term()
            }
            (Some((fence, valid_until)), _) => {
                let term = self.right.begin_term(now, fence, valid_until);
                self.controller = Some(PlacementController::begin(now, term));
                self.on_records(now, catalog, registry);
                true
            }
            (None, Some(_)) => self.end_term(),
            (None, None) => false,
        }
    }

    fn end_term(&mut self) -> bool {
        if let Some(controller) = self.controller.take() {
            log::info!(fence = controller.lease_term().fence; "tenure_ended");
        }
        true
    }

    /// Carries out the placement controller's actions. Returns the residents that other nodes must
    /// receive.
    pub(crate) fn act(
        &mut self,
        now: Instant,
        nodes: u32,
        catalog: Option<&Catalog>,
    ) -> Option<ResidentsUpdate> {
        let (Some(controller), Some(catalog)) = (&mut self.controller, catalog) else {
            return None;
        };
        for action in controller.tick(now, catalog) {
            match action {
                Action::Order(order) => {
                    self.right.on_sent(now, &order);
                    self.engines.send_order(order);
                }
                Action::RequestReport { server, addr } => self.engines.request_report(server, addr),
            }
        }
        let engines = if now >= self.repeat_at {
            self.repeat_at = now + RESIDENTS_REPEAT_INTERVAL.max(RESIDENTS_REPEAT_PER_NODE * nodes);
            controller.digests(now)
        } else {
            controller.take_changed_digests(now)
        };
        let epoch = controller.lease_term().fence;
        (!engines.is_empty()).then_some(ResidentsUpdate { epoch, engines })
    }

    /// Sends the residents of all engines again, because a node has sent its first heartbeat and
    /// lacks them.
    pub(crate) fn repeat_residents(&mut self, now: Instant) {
        self.repeat_at = now;
    }
}

#[cfg(test)]
mod tests;
