//! State of one engine, and its queue of orders, as tracked by the placement controller.

use {
    crate::engine_digest::{EngineDigest, PendingLoad},
    glade_catalog::{
        EngineOrder, EngineReport, OrderAnswer, OrderKind, ServerKey, ServerRecord, is_adapter,
        is_adapter_of,
    },
    glade_types::ModelName,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which an adapter is loaded. The engines of both deployments need 5 to 10 ms.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(15);
/// Time after an order before the engine's report is requested. Reports lag behind: one that is
/// requested sooner may not include the order.
const REPORT_LAG: Duration = Duration::from_millis(350);
/// Delay before an order without an answer is resent.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// Delay before an order is resent that conflicts with an adapter that is still in use.
const ADAPTER_CONFLICT_DELAY: Duration = Duration::from_millis(100);
/// Number of times that an order without an answer is sent before the engine's report is requested
/// instead.
const SENDS_MAX: u32 = 8;
/// Delay before a report is requested again.
const REPORT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time between announcing to the other nodes that a base model is about to be unloaded and the
/// order.
const UNLOAD_NOTICE: Duration = Duration::from_millis(120);
/// Time after its load order during which a base model is not evicted: enough for the load and some
/// service after it.
const RESIDENCE_TIME_MIN: Duration = Duration::from_secs(6);
/// Multiple of its expected duration after which a load is overdue and the engine's report is
/// requested.
const LOAD_TIMEOUT_FACTOR: f64 = 1.5;
/// Time for an engine to finish the running requests of what it unloads. If a base model's unload
/// takes longer, the engine's report is requested.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// What an engine holds after a given number of accepted orders.
#[derive(Clone, Debug, Default)]
struct Ledger {
    orders_accepted: u64,
    /// Base models, including those that are being loaded, with the time of the load order.
    bases: BTreeMap<ModelName, Instant>,
    adapters: BTreeMap<ModelName, AdapterState>,
}

#[derive(Clone, Copy, Debug)]
struct AdapterState {
    ready_at: Instant,
    last_requested_at: Instant,
}

/// An order that has not been sent yet.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QueuedOrder {
    kind: OrderKind,
    subject: ModelName,
    /// Earliest time at which it may be sent.
    not_before: Instant,
    /// Expected time to carry it out.
    expected_duration: Duration,
}

/// Progress of the pending order.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OrderStatus {
    /// Sent; there is no answer yet.
    Sent,
    /// To be resent unchanged at `at`.
    Resend { at: Instant },
    /// Accepted. Its completion shows in the registry; after `overdue_at` the engine's report is
    /// requested.
    Accepted { overdue_at: Instant },
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: EngineOrder,
    expected_duration: Duration,
    sends: u32,
    status: OrderStatus,
}

/// Cost of evicting an adapter from an engine, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EvictionCost {
    /// No request for the adapter is running or waiting.
    Unused,
    /// The adapter is in use and other engines have it too. Its unload may wait for its requests
    /// on this engine.
    OtherCopies,
    /// The adapter is in use and no other engine has it. Its unload waits for its requests.
    OnlyCopy,
}

/// What the placement controller has to send to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EngineAction {
    Order(EngineOrder),
    RequestReport,
}

/// One incarnation of an engine, from a start of its process to the next.
#[derive(Clone, Debug)]
pub(crate) struct ManagedEngine {
    pub(crate) record: Arc<ServerRecord>,
    pub(crate) usable: bool,
    /// End of the time for which the engine has asked this VM to send nothing.
    backoff_until: Option<Instant>,
    /// `None` until the engine has reported its state.
    ledger: Option<Ledger>,
    report_due_at: Instant,
    queue: VecDeque<QueuedOrder>,
    pending: Option<PendingOrder>,
    /// End of the time during which an unloaded adapter may still be in use. Orders may conflict
    /// with it until then.
    adapter_unload_until: Option<Instant>,
    /// Set when the digest for the other nodes has changed.
    changed: bool,
}

impl ManagedEngine {
    pub(crate) fn new(now: Instant, record: Arc<ServerRecord>, usable: bool) -> Self {
        Self {
            record,
            usable,
            backoff_until: None,
            ledger: None,
            report_due_at: now,
            queue: VecDeque::new(),
            pending: None,
            adapter_unload_until: None,
            changed: true,
        }
    }

    pub(crate) fn key(&self) -> &ServerKey {
        &self.record.key
    }

    /// True if the ledger is known and no order is pending or queued.
    pub(crate) fn is_idle(&self) -> bool {
        self.usable && self.ledger.is_some() && self.pending.is_none() && self.queue.is_empty()
    }

    /// Sends the engine nothing until `until`.
    pub(crate) fn back_off(&mut self, until: Instant) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }

    /// True if the engine has asked this VM to send nothing at present.
    pub(crate) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// True if an adapter can be ordered without waiting for an order for a base model.
    pub(crate) fn can_load_adapters(&self) -> bool {
        self.usable
            && self.ledger.is_some()
            && self.pending.as_ref().is_none_or(|pending| is_adapter(&pending.order.model))
            && self.queue.iter().all(|queued| is_adapter(&queued.subject))
    }

    /// Base models that the engine holds, is loading or has queued for loading, without those that
    /// are about to be unloaded.
    pub(crate) fn bases(&self) -> Vec<&ModelName> {
        let present: Vec<&ModelName> = match &self.ledger {
            Some(ledger) => ledger.bases.keys().collect(),
            None => self.record.residents.iter().map(|residence| &residence.model).collect(),
        };
        let mut bases: Vec<&ModelName> =
            present.into_iter().filter(|base| !self.is_unloading(base)).collect();
        for queued in &self.queue {
            let is_base_load = queued.kind == OrderKind::Load && !is_adapter(&queued.subject);
            if is_base_load && !bases.contains(&&queued.subject) {
                bases.push(&queued.subject);
            }
        }
        bases
    }

    /// Base models whose load was ordered recently. Evicting them now would waste the load.
    pub(crate) fn recently_loaded_bases(&self, now: Instant) -> Vec<&ModelName> {
        self.ledger
            .iter()
            .flat_map(|ledger| &ledger.bases)
            .filter(|(_, at)| now.saturating_duration_since(**at) < RESIDENCE_TIME_MIN)
            .map(|(base, _)| base)
            .collect()
    }

    /// True if the base model is ready by the registry and not about to be unloaded.
    pub(crate) fn has_ready_base(&self, base: &str) -> bool {
        self.record.residents.iter().any(|residence| residence.model.as_str() == base)
            && self.bases().iter().any(|held| held.as_str() == base)
    }

    /// True if an unload of `name` is queued or pending.
    fn is_unloading(&self, name: &ModelName) -> bool {
        self.is_ordered(OrderKind::Unload, name)
    }

    /// True if an order of this kind for `name` is queued or pending.
    fn is_ordered(&self, kind: OrderKind, name: &ModelName) -> bool {
        let is_queued =
            self.queue.iter().any(|queued| queued.kind == kind && queued.subject == *name);
        let is_pending = self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.order.kind == kind && pending.order.model == *name);
        is_queued || is_pending
    }

    /// Number of adapters that the engine holds, is loading or has queued for loading.
    pub(crate) fn adapter_count(&self) -> usize {
        let queued = self
            .queue
            .iter()
            .filter(|queued| queued.kind == OrderKind::Load && is_adapter(&queued.subject))
            .count();
        let pending = match &self.pending {
            Some(pending) if is_adapter(&pending.order.model) => {
                usize::from(pending.order.kind == OrderKind::Load)
            }
            _ => 0,
        };
        self.ledger.as_ref().map_or(0, |ledger| ledger.adapters.len()) + queued + pending
    }

    /// True if the engine holds the adapter or its load is queued or pending.
    pub(crate) fn has_adapter(&self, adapter: &ModelName) -> bool {
        let held = self.ledger.as_ref().is_some_and(|ledger| ledger.adapters.contains_key(adapter));
        held || self.is_ordered(OrderKind::Load, adapter)
    }

    /// Records a request for `adapter`.
    pub(crate) fn on_adapter_requested(&mut self, now: Instant, adapter: &ModelName) {
        if let Some(ledger) = &mut self.ledger
            && let Some(state) = ledger.adapters.get_mut(adapter)
        {
            state.last_requested_at = now;
        }
    }

    /// Adapters that the engine holds.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &ModelName> {
        self.ledger.iter().flat_map(|ledger| ledger.adapters.keys())
    }

    /// The adapter whose eviction costs least, with that cost and the time of its last request. Of
    /// several with the same cost, the least recently requested one.
    pub(crate) fn cheapest_adapter_to_evict(
        &self,
        cost: impl Fn(&ModelName) -> EvictionCost,
    ) -> Option<(&ModelName, EvictionCost, Instant)> {
        self.ledger
            .as_ref()?
            .adapters
            .iter()
            // The slot of an adapter that is being unloaded is already taken by another order.
            .filter(|(adapter, _)| !self.is_unloading(adapter))
            .map(|(adapter, state)| (adapter, cost(adapter), state.last_requested_at))
            .min_by_key(|(_, cost, last_requested_at)| (*cost, *last_requested_at))
    }

    /// Queues the load of an adapter, and before it the unload of `evict`.
    pub(crate) fn queue_adapter_load(
        &mut self,
        now: Instant,
        adapter: ModelName,
        evict: Option<ModelName>,
    ) {
        let queued = |kind, subject| QueuedOrder {
            kind,
            subject,
            not_before: now,
            expected_duration: ADAPTER_LOAD_TIME,
        };
        if let Some(evict) = evict {
            self.queue.push_back(queued(OrderKind::Unload, evict));
        }
        self.queue.push_back(queued(OrderKind::Load, adapter));
        self.changed = true;
    }

    /// Queues the load of a base model, and before it the unloads of `evict`.
    pub(crate) fn queue_base_load(
        &mut self,
        now: Instant,
        base: ModelName,
        expected_duration: Duration,
        evict: Vec<ModelName>,
    ) {
        for subject in evict {
            let not_before = now + UNLOAD_NOTICE;
            let queued = QueuedOrder {
                kind: OrderKind::Unload,
                subject,
                not_before,
                expected_duration: UNLOAD_TIMEOUT,
            };
            self.queue.push_back(queued);
        }
        self.queue.push_back(QueuedOrder {
            kind: OrderKind::Load,
            subject: base,
            not_before: now,
            expected_duration,
        });
        self.changed = true;
    }

    /// Updates the engine's registry record.
    pub(crate) fn on_record(&mut self, record: Arc<ServerRecord>, usable: bool) {
        self.record = record;
        self.usable = usable;
        let Some(pending) = &self.pending else { return };
        if !matches!(pending.status, OrderStatus::Accepted { .. }) {
            return;
        }
        let subject = &pending.order.model;
        let is_held = self.record.residents.iter().any(|held| held.model == *subject);
        let is_done = match pending.order.kind {
            OrderKind::Load => is_held,
            OrderKind::Unload => !is_held,
        };
        if is_done {
            log::info!(
                server = self.record.key.id.as_str(),
                model = subject.as_str(),
                kind = kind_name(pending.order.kind);
                "order_done"
            );
            self.pending = None;
            self.changed = true;
        }
    }

    /// Returns the order to send or the report to request now, if any. Orders are sent only if
    /// `may_send` is set.
    pub(crate) fn next_action(
        &mut self,
        now: Instant,
        may_send: bool,
        holder: &glade_types::VmId,
        fence: u64,
    ) -> Option<EngineAction> {
        if !self.usable || self.is_backing_off(now) {
            return None;
        }
        if self.ledger.is_none() {
            return self.request_report(now);
        }
        match &mut self.pending {
            None => {
                if !may_send || self.queue.front().is_none_or(|queued| queued.not_before > now) {
                    return None;
                }
                let queued = self.queue.pop_front()?;
                Some(EngineAction::Order(self.begin_order(queued, holder, fence)))
            }
            Some(pending) => match pending.status {
                OrderStatus::Resend { at } if at <= now && may_send => {
                    pending.sends += 1;
                    pending.status = OrderStatus::Sent;
                    Some(EngineAction::Order(pending.order.clone()))
                }
                OrderStatus::Accepted { overdue_at } if overdue_at <= now => {
                    self.discard_ledger(now);
                    self.request_report(now)
                }
                OrderStatus::Sent | OrderStatus::Resend { .. } | OrderStatus::Accepted { .. } => {
                    None
                }
            },
        }
    }

    fn begin_order(
        &mut self,
        queued: QueuedOrder,
        holder: &glade_types::VmId,
        fence: u64,
    ) -> EngineOrder {
        let expected_orders = self.ledger.as_ref().map_or(0, |ledger| ledger.orders_accepted);
        let order = EngineOrder {
            server: self.record.key.clone(),
            addr: self.record.addr,
            kind: queued.kind,
            model: queued.subject,
            expected_orders,
            holder: holder.clone(),
            fencing_token: fence,
        };
        self.pending = Some(PendingOrder {
            order: order.clone(),
            expected_duration: queued.expected_duration,
            sends: 1,
            status: OrderStatus::Sent,
        });
        order
    }

    fn request_report(&mut self, now: Instant) -> Option<EngineAction> {
        if now < self.report_due_at {
            return None;
        }
        self.report_due_at = now + REPORT_RETRY_DELAY;
        Some(EngineAction::RequestReport)
    }

    /// Discards the ledger and all orders; the engine's report is needed to build a new ledger.
    fn discard_ledger(&mut self, now: Instant) {
        self.ledger = None;
        self.pending = None;
        self.queue.clear();
        self.report_due_at = now + REPORT_LAG;
        self.changed = true;
    }

    /// Handles the answer to `order`.
    pub(crate) fn on_answer(&mut self, now: Instant, order: &EngineOrder, answer: OrderAnswer) {
        if is_adapter(&order.model)
            && order.kind == OrderKind::Unload
            && answer == OrderAnswer::Accepted
        {
            self.adapter_unload_until = Some(now + UNLOAD_TIMEOUT);
        }
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.order == *order) else {
            return;
        };
        match answer {
            OrderAnswer::Accepted => self.on_accepted(now),
            // An adapter that no request uses is unloaded at once; the engine counts that as an
            // accepted order like any other.
            OrderAnswer::AlreadyHolds if order.kind == OrderKind::Unload => self.on_accepted(now),
            OrderAnswer::Unclear if pending.sends < SENDS_MAX => {
                pending.status = OrderStatus::Resend { at: now + RESEND_DELAY };
            }
            OrderAnswer::Conflict if self.adapter_unload_until.is_some_and(|until| now < until) => {
                pending.status = OrderStatus::Resend { at: now + ADAPTER_CONFLICT_DELAY };
            }
            OrderAnswer::AlreadyHolds
            | OrderAnswer::Conflict
            | OrderAnswer::Fenced
            | OrderAnswer::OtherServer
            | OrderAnswer::Refused
            | OrderAnswer::Unclear => self.discard_ledger(now),
        }
    }

    fn on_accepted(&mut self, now: Instant) {
        self.changed = true;
        let (Some(pending), Some(ledger)) = (&mut self.pending, &mut self.ledger) else { return };
        ledger.orders_accepted += 1;
        let subject = pending.order.model.clone();
        match (pending.order.kind, is_adapter(&subject)) {
            (OrderKind::Load, true) => {
                let state =
                    AdapterState { ready_at: now + ADAPTER_LOAD_TIME, last_requested_at: now };
                ledger.adapters.insert(subject, state);
                self.pending = None;
            }
            (OrderKind::Unload, true) => {
                ledger.adapters.remove(&subject);
                self.pending = None;
            }
            (OrderKind::Load, false) => {
                ledger.bases.insert(subject, now);
                pending.status = OrderStatus::Accepted {
                    overdue_at: now
                        + pending.expected_duration.mul_f64(LOAD_TIMEOUT_FACTOR)
                        + REPORT_RETRY_DELAY,
                };
            }
            (OrderKind::Unload, false) => {
                ledger.bases.remove(&subject);
                ledger.adapters.retain(|adapter, _| !is_adapter_of(adapter, &subject));
                pending.status =
                    OrderStatus::Accepted { overdue_at: now + pending.expected_duration };
            }
        }
    }

    /// Builds the ledger from the engine's report; `None` means that the report could not be had.
    pub(crate) fn on_report(&mut self, now: Instant, report: Option<&EngineReport>) {
        if self.ledger.is_some() {
            return;
        }
        let Some(report) = report else { return };
        if report.start_time_ms != self.record.key.start_time_ms || report.order_in_flight {
            return;
        }
        let state = AdapterState { ready_at: now, last_requested_at: now };
        let present = report.residents.iter().flat_map(|residence| &residence.adapters);
        let adapters =
            present.chain(&report.loading_adapters).map(|name| (name.clone(), state)).collect();
        self.ledger = Some(Ledger {
            orders_accepted: report.orders_accepted,
            bases: report
                .residents
                .iter()
                .map(|residence| (residence.model.clone(), now - RESIDENCE_TIME_MIN))
                .collect(),
            adapters,
        });
        self.changed = true;
    }

    /// The digest for the other nodes, if it has changed since the last call.
    pub(crate) fn take_changed_digest(&mut self, now: Instant) -> Option<EngineDigest> {
        let has_loading_adapter = self
            .ledger
            .as_ref()
            .is_some_and(|ledger| ledger.adapters.values().any(|state| state.ready_at > now));
        if !self.changed {
            return None;
        }
        // The digest changes again once the adapters that are being loaded are ready.
        self.changed = has_loading_adapter;
        Some(self.digest(now))
    }

    /// The digest for the other nodes.
    pub(crate) fn digest(&self, now: Instant) -> EngineDigest {
        let adapters = self.ledger.iter().flat_map(|ledger| &ledger.adapters);
        let adapters = adapters
            .filter(|(name, state)| state.ready_at <= now && !self.is_unloading(name))
            .map(|(name, _)| name.clone())
            .collect();
        let pending = self.pending.iter().map(|pending| (pending.order.kind, &pending.order.model));
        let queued = self.queue.iter().map(|queued| (queued.kind, &queued.subject));
        let unloading = pending
            .chain(queued)
            .filter(|(kind, subject)| *kind == OrderKind::Unload && !is_adapter(subject))
            .map(|(_, subject)| subject.clone())
            .collect();
        EngineDigest {
            server: self.record.key.clone(),
            adapters,
            unloading,
            pending_loads: self.pending_loads(now),
        }
    }

    fn pending_loads(&self, now: Instant) -> Vec<PendingLoad> {
        let mut ready_in = Duration::ZERO;
        let mut loads = Vec::new();
        if let Some(pending) = &self.pending {
            ready_in = match pending.status {
                OrderStatus::Accepted { overdue_at } => {
                    let grace = pending.expected_duration.mul_f64(LOAD_TIMEOUT_FACTOR - 1.0)
                        + REPORT_RETRY_DELAY;
                    let left = overdue_at.saturating_duration_since(now);
                    // An overdue load is expected to take as long again as it is overdue now.
                    left.abs_diff(grace)
                }
                OrderStatus::Sent | OrderStatus::Resend { .. } => pending.expected_duration,
            };
            if pending.order.kind == OrderKind::Load {
                loads.push(PendingLoad { model: pending.order.model.clone(), ready_in });
            }
        }
        for queued in &self.queue {
            ready_in += queued.expected_duration;
            if queued.kind == OrderKind::Load {
                loads.push(PendingLoad { model: queued.subject.clone(), ready_in });
            }
        }
        loads
    }
}

/// Name of an order kind in logs.
pub(crate) fn kind_name(kind: OrderKind) -> &'static str {
    match kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    }
}
