//! One engine as the steward knows it.

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

/// Time for an adapter to arrive. Both users' engines need 5 to 10 ms.
const ADAPTER_LOAD: Duration = Duration::from_millis(15);
/// Reports lag: one that was asked for sooner after an order may not know of it.
const REPORT_LAG: Duration = Duration::from_millis(350);
/// Pause before an order without an answer is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Pause before an order is sent again that conflicts with an adapter still in use.
const LINGER_PAUSE: Duration = Duration::from_millis(100);
/// Sends of one order without an answer before the engine's report is asked for instead.
const SENDS_MAX: u32 = 8;
/// Pause before a report is asked for again.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Time between the notice that a base model is about to be dropped and the order.
const DROP_NOTICE: Duration = Duration::from_millis(120);
/// Time after its order during which a base model isn't dropped: a load and some service.
const FRESH_TIME: Duration = Duration::from_secs(6);
/// A load that takes this many times as long as expected is looked into.
const OVERDUE_FACTOR: f64 = 1.5;
/// Time for an unloading engine to finish the requests that it runs, before it is looked into.
const UNLOAD_TIME: Duration = Duration::from_secs(2);

/// What an engine holds, as of a number of orders that it has accepted.
#[derive(Clone, Debug, Default)]
struct Ledger {
    orders_accepted: u64,
    /// Base models, those that are being loaded included, with the time of the order.
    bases: BTreeMap<ModelName, Instant>,
    adapters: BTreeMap<ModelName, AdapterState>,
}

#[derive(Clone, Copy, Debug)]
struct AdapterState {
    ready_at: Instant,
    used_at: Instant,
}

/// An order that is to be given.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Step {
    kind: OrderKind,
    subject: ModelName,
    /// Not before this time.
    not_before: Instant,
    /// How long it is likely to take.
    takes: Duration,
}

/// How far the order under way has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    /// Sent, without an answer yet.
    Sent,
    /// To be sent again, unchanged.
    Resend { at: Instant },
    /// Accepted; its end shows in the registry.
    CarriedOut { until: Instant },
}

#[derive(Clone, Debug)]
struct Task {
    order: EngineOrder,
    takes: Duration,
    sends: u32,
    progress: Progress,
}

/// What is lost if an engine drops an adapter, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum AdapterLoss {
    /// Nobody asks for it.
    Unused,
    /// Others have it too. Its unload may wait for its requests here.
    Elsewhere,
    /// It is asked for and nowhere else; its unload waits for its requests.
    InUse,
}

/// What the steward wants done for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EngineAction {
    Order(EngineOrder),
    RequestReport,
}

/// One engine in one of its lives.
#[derive(Clone, Debug)]
pub(crate) struct ManagedEngine {
    pub(crate) record: Arc<ServerRecord>,
    pub(crate) usable: bool,
    /// Until when it wants nothing from this VM.
    closed_until: Option<Instant>,
    /// `None` until a report has told it.
    ledger: Option<Ledger>,
    ask_at: Instant,
    steps: VecDeque<Step>,
    task: Option<Task>,
    /// Until when an unloaded adapter may still be in use; orders conflict meanwhile.
    lingers_until: Option<Instant>,
    /// Set after an answer that other nodes should know of.
    changed: bool,
}

impl ManagedEngine {
    pub(crate) fn new(now: Instant, record: Arc<ServerRecord>, usable: bool) -> Self {
        Self {
            record,
            usable,
            closed_until: None,
            ledger: None,
            ask_at: now,
            steps: VecDeque::new(),
            task: None,
            lingers_until: None,
            changed: true,
        }
    }

    pub(crate) fn key(&self) -> &ServerKey {
        &self.record.key
    }

    /// True if the ledger is known and no order is under way or waiting.
    pub(crate) fn is_free(&self) -> bool {
        self.usable && self.ledger.is_some() && self.task.is_none() && self.steps.is_empty()
    }

    /// The engine wants nothing from this VM until then.
    pub(crate) fn close(&mut self, until: Instant) {
        self.closed_until = self.closed_until.max(Some(until));
    }

    /// True if the engine wants nothing from this VM now.
    pub(crate) fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|until| now < until)
    }

    /// True if an adapter can be ordered without waiting for a base model.
    pub(crate) fn takes_adapters(&self) -> bool {
        self.usable
            && self.ledger.is_some()
            && self.task.as_ref().is_none_or(|task| is_adapter(&task.order.subject))
            && self.steps.iter().all(|step| is_adapter(&step.subject))
    }

    /// Base models that it holds or loads, without those that are about to be dropped.
    pub(crate) fn bases(&self) -> Vec<&ModelName> {
        let known: Vec<&ModelName> = match &self.ledger {
            Some(ledger) => ledger.bases.keys().collect(),
            None => self.record.residents.iter().map(|residence| &residence.model).collect(),
        };
        let mut bases: Vec<&ModelName> =
            known.into_iter().filter(|base| !self.is_outgoing(base)).collect();
        for step in &self.steps {
            let is_base_load = step.kind == OrderKind::Load && !is_adapter(&step.subject);
            if is_base_load && !bases.contains(&&step.subject) {
                bases.push(&step.subject);
            }
        }
        bases
    }

    /// Base models that were ordered lately: dropping them now would waste the load.
    pub(crate) fn fresh_bases(&self, now: Instant) -> Vec<&ModelName> {
        self.ledger
            .iter()
            .flat_map(|ledger| &ledger.bases)
            .filter(|(_, at)| now.saturating_duration_since(**at) < FRESH_TIME)
            .map(|(base, _)| base)
            .collect()
    }

    /// True if the base model is ready, as far as the registry tells.
    pub(crate) fn has_ready_base(&self, base: &str) -> bool {
        self.record.residents.iter().any(|residence| residence.model.as_str() == base)
            && self.bases().iter().any(|held| held.as_str() == base)
    }

    /// True if an order to drop `name` waits or is under way.
    fn is_outgoing(&self, name: &ModelName) -> bool {
        self.is_ordered(OrderKind::Unload, name)
    }

    /// True if an order of this kind for `name` waits or is under way.
    fn is_ordered(&self, kind: OrderKind, name: &ModelName) -> bool {
        let waits = self.steps.iter().any(|step| step.kind == kind && step.subject == *name);
        let goes = self
            .task
            .as_ref()
            .is_some_and(|task| task.order.kind == kind && task.order.subject == *name);
        waits || goes
    }

    /// Adapters that it holds or loads.
    pub(crate) fn adapter_count(&self) -> usize {
        let waiting = self
            .steps
            .iter()
            .filter(|step| step.kind == OrderKind::Load && is_adapter(&step.subject))
            .count();
        let going = match &self.task {
            Some(task) if is_adapter(&task.order.subject) => {
                usize::from(task.order.kind == OrderKind::Load)
            }
            _ => 0,
        };
        self.ledger.as_ref().map_or(0, |ledger| ledger.adapters.len()) + waiting + going
    }

    /// True if the adapter is there or ordered.
    pub(crate) fn has_adapter(&self, adapter: &ModelName) -> bool {
        let held = self.ledger.as_ref().is_some_and(|ledger| ledger.adapters.contains_key(adapter));
        held || self.is_ordered(OrderKind::Load, adapter)
    }

    /// Takes note that `adapter` was asked for.
    pub(crate) fn on_adapter_used(&mut self, now: Instant, adapter: &ModelName) {
        if let Some(ledger) = &mut self.ledger
            && let Some(state) = ledger.adapters.get_mut(adapter)
        {
            state.used_at = now;
        }
    }

    /// Adapters that it holds.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &ModelName> {
        self.ledger.iter().flat_map(|ledger| ledger.adapters.keys())
    }

    /// The adapter that is the least loss, with the time of its last use: of several the one that has
    /// been unused for longest.
    pub(crate) fn least_adapter(
        &self,
        loss: impl Fn(&ModelName) -> AdapterLoss,
    ) -> Option<(&ModelName, AdapterLoss, Instant)> {
        self.ledger
            .as_ref()?
            .adapters
            .iter()
            // One that is on its way out gives its place to somebody else already.
            .filter(|(adapter, _)| !self.is_outgoing(adapter))
            .map(|(adapter, state)| (adapter, loss(adapter), state.used_at))
            .min_by_key(|(_, loss, used_at)| (*loss, *used_at))
    }

    /// Plans to load an adapter, dropping `victim` before.
    pub(crate) fn order_adapter(
        &mut self,
        now: Instant,
        adapter: ModelName,
        victim: Option<ModelName>,
    ) {
        let step = |kind, subject| Step { kind, subject, not_before: now, takes: ADAPTER_LOAD };
        if let Some(victim) = victim {
            self.steps.push_back(step(OrderKind::Unload, victim));
        }
        self.steps.push_back(step(OrderKind::Load, adapter));
        self.changed = true;
    }

    /// Plans to load a base model, dropping others before.
    pub(crate) fn order_base(
        &mut self,
        now: Instant,
        base: ModelName,
        takes: Duration,
        drop: Vec<ModelName>,
    ) {
        for subject in drop {
            let not_before = now + DROP_NOTICE;
            let step = Step { kind: OrderKind::Unload, subject, not_before, takes: UNLOAD_TIME };
            self.steps.push_back(step);
        }
        self.steps.push_back(Step { kind: OrderKind::Load, subject: base, not_before: now, takes });
        self.changed = true;
    }

    /// Takes a newer description of the engine.
    pub(crate) fn on_record(&mut self, record: Arc<ServerRecord>, usable: bool) {
        self.record = record;
        self.usable = usable;
        let Some(task) = &self.task else { return };
        if !matches!(task.progress, Progress::CarriedOut { .. }) {
            return;
        }
        let subject = &task.order.subject;
        let is_held = self.record.residents.iter().any(|held| held.model == *subject);
        let is_done = match task.order.kind {
            OrderKind::Load => is_held,
            OrderKind::Unload => !is_held,
        };
        if is_done {
            log::info!(
                server = self.record.key.id.as_str(),
                model = subject.as_str(),
                kind = kind_name(task.order.kind);
                "order_done"
            );
            self.task = None;
            self.changed = true;
        }
    }

    /// The next thing to do. `write` makes an order of a step.
    pub(crate) fn next_action(
        &mut self,
        now: Instant,
        may_send: bool,
        holder: &glade_types::VmId,
        fence: u64,
    ) -> Option<EngineAction> {
        if !self.usable || self.is_closed(now) {
            return None;
        }
        if self.ledger.is_none() {
            return self.ask(now);
        }
        match &mut self.task {
            None => {
                if !may_send || self.steps.front().is_none_or(|step| step.not_before > now) {
                    return None;
                }
                let step = self.steps.pop_front()?;
                Some(EngineAction::Order(self.start(step, holder, fence)))
            }
            Some(task) => match task.progress {
                Progress::Resend { at } if at <= now && may_send => {
                    task.sends += 1;
                    task.progress = Progress::Sent;
                    Some(EngineAction::Order(task.order.clone()))
                }
                Progress::CarriedOut { until } if until <= now => {
                    self.doubt(now);
                    self.ask(now)
                }
                Progress::Sent | Progress::Resend { .. } | Progress::CarriedOut { .. } => None,
            },
        }
    }

    fn start(&mut self, step: Step, holder: &glade_types::VmId, fence: u64) -> EngineOrder {
        let expected_orders = self.ledger.as_ref().map_or(0, |ledger| ledger.orders_accepted);
        let order = EngineOrder {
            server: self.record.key.clone(),
            addr: self.record.addr,
            kind: step.kind,
            subject: step.subject,
            expected_orders,
            holder: holder.clone(),
            fence,
        };
        self.task = Some(Task {
            order: order.clone(),
            takes: step.takes,
            sends: 1,
            progress: Progress::Sent,
        });
        order
    }

    fn ask(&mut self, now: Instant) -> Option<EngineAction> {
        if now < self.ask_at {
            return None;
        }
        self.ask_at = now + ASK_AGAIN;
        Some(EngineAction::RequestReport)
    }

    /// Forgets the ledger; a report tells it anew.
    fn doubt(&mut self, now: Instant) {
        self.ledger = None;
        self.task = None;
        self.steps.clear();
        self.ask_at = now + REPORT_LAG;
        self.changed = true;
    }

    /// Takes the answer to `order`.
    pub(crate) fn on_answer(&mut self, now: Instant, order: &EngineOrder, answer: OrderAnswer) {
        if is_adapter(&order.subject)
            && order.kind == OrderKind::Unload
            && answer == OrderAnswer::Accepted
        {
            self.lingers_until = Some(now + UNLOAD_TIME);
        }
        let Some(task) = self.task.as_mut().filter(|task| task.order == *order) else { return };
        match answer {
            OrderAnswer::Accepted => self.on_accepted(now),
            // An adapter that no request uses is dropped at once, which is an order like any other.
            OrderAnswer::AlreadyHolds if order.kind == OrderKind::Unload => self.on_accepted(now),
            OrderAnswer::Unclear if task.sends < SENDS_MAX => {
                task.progress = Progress::Resend { at: now + RESEND_PAUSE };
            }
            OrderAnswer::Conflict if self.lingers_until.is_some_and(|until| now < until) => {
                task.progress = Progress::Resend { at: now + LINGER_PAUSE };
            }
            OrderAnswer::AlreadyHolds
            | OrderAnswer::Conflict
            | OrderAnswer::Fenced
            | OrderAnswer::OtherServer
            | OrderAnswer::Refused
            | OrderAnswer::Unclear => self.doubt(now),
        }
    }

    fn on_accepted(&mut self, now: Instant) {
        self.changed = true;
        let (Some(task), Some(ledger)) = (&mut self.task, &mut self.ledger) else { return };
        ledger.orders_accepted += 1;
        let subject = task.order.subject.clone();
        match (task.order.kind, is_adapter(&subject)) {
            (OrderKind::Load, true) => {
                let state = AdapterState { ready_at: now + ADAPTER_LOAD, used_at: now };
                ledger.adapters.insert(subject, state);
                self.task = None;
            }
            (OrderKind::Unload, true) => {
                ledger.adapters.remove(&subject);
                self.task = None;
            }
            (OrderKind::Load, false) => {
                ledger.bases.insert(subject, now);
                task.progress = Progress::CarriedOut {
                    until: now + task.takes.mul_f64(OVERDUE_FACTOR) + ASK_AGAIN,
                };
            }
            (OrderKind::Unload, false) => {
                ledger.bases.remove(&subject);
                ledger.adapters.retain(|adapter, _| !is_adapter_of(adapter, &subject));
                task.progress = Progress::CarriedOut { until: now + task.takes };
            }
        }
    }

    /// Takes the engine's report, or the failure to get one.
    pub(crate) fn on_report(&mut self, now: Instant, report: Option<&EngineReport>) {
        if self.ledger.is_some() {
            return;
        }
        let Some(report) = report else { return };
        if report.born_ms != self.record.key.born_ms || report.order_under_way {
            return;
        }
        let state = AdapterState { ready_at: now, used_at: now };
        let present = report.residents.iter().flat_map(|residence| &residence.adapters);
        let adapters =
            present.chain(&report.adapters_coming).map(|name| (name.clone(), state)).collect();
        self.ledger = Some(Ledger {
            orders_accepted: report.orders_accepted,
            bases: report
                .residents
                .iter()
                .map(|residence| (residence.model.clone(), now - FRESH_TIME))
                .collect(),
            adapters,
        });
        self.changed = true;
    }

    /// What the other nodes should know, if that has changed since it was last asked.
    pub(crate) fn take_change(&mut self, now: Instant) -> Option<EngineDigest> {
        let arriving_adapter = self
            .ledger
            .as_ref()
            .is_some_and(|ledger| ledger.adapters.values().any(|state| state.ready_at > now));
        if !self.changed {
            return None;
        }
        // Says so again once the adapters on their way are there.
        self.changed = arriving_adapter;
        Some(self.digest(now))
    }

    /// What the other nodes should know.
    pub(crate) fn digest(&self, now: Instant) -> EngineDigest {
        let adapters = self.ledger.iter().flat_map(|ledger| &ledger.adapters);
        let adapters = adapters
            .filter(|(name, state)| state.ready_at <= now && !self.is_outgoing(name))
            .map(|(name, _)| name.clone())
            .collect();
        let going = self.task.iter().map(|task| (task.order.kind, &task.order.subject));
        let waiting = self.steps.iter().map(|step| (step.kind, &step.subject));
        let outgoing = going
            .chain(waiting)
            .filter(|(kind, subject)| *kind == OrderKind::Unload && !is_adapter(subject))
            .map(|(_, subject)| subject.clone())
            .collect();
        EngineDigest {
            server: self.record.key.clone(),
            adapters,
            outgoing,
            arriving: self.arriving(now),
        }
    }

    fn arriving(&self, now: Instant) -> Vec<PendingLoad> {
        let mut ready_in = Duration::ZERO;
        let mut arriving = Vec::new();
        if let Some(task) = &self.task {
            ready_in = match task.progress {
                Progress::CarriedOut { until } => {
                    let patience = task.takes.mul_f64(OVERDUE_FACTOR - 1.0) + ASK_AGAIN;
                    let left = until.saturating_duration_since(now);
                    // What is overdue is expected to be late for as long again.
                    left.abs_diff(patience)
                }
                Progress::Sent | Progress::Resend { .. } => task.takes,
            };
            if task.order.kind == OrderKind::Load {
                arriving.push(PendingLoad { model: task.order.subject.clone(), ready_in });
            }
        }
        for step in &self.steps {
            ready_in += step.takes;
            if step.kind == OrderKind::Load {
                arriving.push(PendingLoad { model: step.subject.clone(), ready_in });
            }
        }
        arriving
    }
}

/// Name of an order for logs.
pub(crate) fn kind_name(kind: OrderKind) -> &'static str {
    match kind {
        OrderKind::Load => "load",
        OrderKind::Unload => "unload",
    }
}
