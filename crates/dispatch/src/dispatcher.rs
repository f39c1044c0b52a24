//! The dispatcher of one VM.

use {
    crate::{
        cluster_view::ClusterView,
        demand_log::DemandLog,
        load::{Load, ServerLoad},
        prefill_fit::PrefillFit,
        prompt_sent::PromptSent,
        request_spec::RequestSpec,
        retry_budget::{RetryBudget, RetryLimit},
        server::{Server, ServerIdx},
        server_queues::{QueuePriority, QueuedRequest, ServerQueues},
        verdict::Verdict,
    },
    glade_catalog::{Catalog, DemandReport, ServerKey, ServerRecord, base_of},
    glade_types::{ModelName, ServiceName},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Most prompts that wait to be told; a VM sends a few in the time that they wait.
const UNREPORTED_PROMPTS_MAX: usize = 256;

/// A request that was sent and hasn't ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InFlightId(u64);

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(u64);

#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) server: ServerIdx,
    pub(crate) sent_at: Instant,
    /// Its prompt, if no other waited there.
    pub(crate) isolated_prefill: Option<IsolatedPrefill>,
    /// What it still counts for.
    pub(crate) load: Load,
}

/// A prompt that is read alone, as far as is known.
#[derive(Clone, Debug)]
pub(crate) struct IsolatedPrefill {
    pub(crate) model: ModelName,
    pub(crate) tokens: u32,
    pub(crate) event_tokens: u32,
}

/// What a decision about a server rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecisionInputs {
    /// What this VM has under way there.
    pub own_load: Load,
    /// What the other VMs last said they have.
    pub other_vms_load: Load,
    /// Share of its latest requests that failed.
    pub failed_share: f64,
    /// Mean time to its first byte, in seconds.
    pub answer_s: f64,
    /// How much slower than its service it seems to read.
    pub slowness: f64,
    /// Time of a step in which it reads nothing, in seconds.
    pub decode_step_s: f64,
    /// It is in this VM's data centre.
    pub same_data_centre: bool,
}

/// Decides for all requests of one VM.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) servers: Vec<Server>,
    pub(crate) index: HashMap<ServerKey, ServerIdx>,
    pub(crate) by_tag: HashMap<u32, ServerIdx>,
    /// Usable servers by what they hold.
    pub(crate) holders: HashMap<ModelName, Vec<ServerIdx>>,
    /// Prompts that were sent and not told to the other VMs.
    unreported_prompts: Vec<PromptSent>,
    /// When there was last word of other VMs' prompts.
    pub(crate) remote_prompts_at: Option<Instant>,
    pub(crate) in_flight_requests: HashMap<InFlightId, InFlight>,
    pub(crate) waiting: BTreeMap<WaitId, (RequestSpec, Vec<ServerIdx>)>,
    /// Servers that are kept free for those of them that go first.
    pub(crate) queues: ServerQueues,
    /// For which servers they wait, by the tags of their keys, in hundredths of requests.
    pub(crate) waiting_by_server: HashMap<u32, u32>,
    pub(crate) models_ready_at: HashMap<ModelName, Instant>,
    /// The configuration that was last taken over.
    catalog: Option<Arc<Catalog>>,
    pub(crate) kv_capacity: HashMap<ServiceName, u64>,
    /// How fast the engines of each service read.
    pub(crate) prefill_fits: HashMap<ServiceName, PrefillFit>,
    /// The same, model by model: larger models are read more slowly.
    pub(crate) prefill_fits_by_model: HashMap<ModelName, PrefillFit>,
    demand: DemandLog,
    retry_limit: RetryLimit,
    retry_budgets: HashMap<ServiceName, RetryBudget>,
    pub(crate) live_vms: u32,
    /// Drawn for this VM: by it a crowd shares out the servers of plain services.
    pub(crate) vm_seed: u32,
    next_id: u64,
}

impl Dispatcher {
    /// Returns a dispatcher that knows no servers. `own_draw` is a number drawn for this VM.
    pub fn new(retry_limit: RetryLimit, vm_seed: u32) -> Self {
        Self {
            vm_seed,
            servers: Vec::new(),
            index: HashMap::new(),
            by_tag: HashMap::new(),
            holders: HashMap::new(),
            unreported_prompts: Vec::new(),
            remote_prompts_at: None,
            in_flight_requests: HashMap::new(),
            waiting: BTreeMap::new(),
            queues: ServerQueues::default(),
            waiting_by_server: HashMap::new(),
            models_ready_at: HashMap::new(),
            catalog: None,
            kv_capacity: HashMap::new(),
            prefill_fits: HashMap::new(),
            prefill_fits_by_model: HashMap::new(),
            demand: DemandLog::default(),
            retry_limit,
            retry_budgets: HashMap::new(),
            live_vms: 1,
            next_id: 0,
        }
    }

    /// Puts another bound on repeats in force.
    pub fn set_retry_limit(&mut self, limit: RetryLimit) {
        self.retry_limit = limit;
        self.retry_budgets.values_mut().for_each(|budget| budget.set_limit(limit));
    }

    /// Takes over what the control thread believes now.
    pub fn update_view(&mut self, view: &ClusterView) {
        let mut has_changed = false;
        let forget = |server: &mut Server| std::mem::replace(&mut server.view.usable, false);
        let was_usable: Vec<bool> = self.servers.iter_mut().map(forget).collect();
        for seen in &view.servers {
            match self.index.get(&seen.record.key) {
                Some(idx) => has_changed |= self.servers[idx.get()].update_view(seen),
                None => {
                    has_changed = true;
                    let idx = ServerIdx(self.servers.len() as u32);
                    self.index.insert(seen.record.key.clone(), idx);
                    self.by_tag.insert(seen.record.key.tag(), idx);
                    let mut server = Server::new(seen.clone());
                    if let Some(fit) = self.prefill_fits.get(&seen.record.service) {
                        server.speed.set_first_event_overhead_s(fit.overhead_s());
                    }
                    self.servers.push(server);
                }
            }
        }
        let is_other = |(server, was): (&Server, &bool)| server.view.usable != *was;
        has_changed |= self.servers.iter().zip(&was_usable).any(is_other);
        if has_changed {
            self.index_holders();
        }
        self.live_vms = view.live_vms.max(1);
        self.models_ready_at.clone_from(&view.models_ready_at);
        let Some(catalog) = &view.catalog else { return };
        let is_known = self.catalog.as_ref().is_some_and(|known| Arc::ptr_eq(known, catalog));
        if has_changed || !is_known {
            self.take_catalog(catalog);
            self.catalog = Some(Arc::clone(catalog));
        }
    }

    /// Takes over how long the streams of each service may pause, and what its engines are like.
    fn take_catalog(&mut self, catalog: &Catalog) {
        self.kv_capacity = catalog
            .services()
            .filter_map(|service| {
                let class = service.engine_class.as_ref()?;
                Some((service.name.clone(), class.kv_capacity_tokens))
            })
            .collect();
        let mut shortest: HashMap<&ServiceName, Duration> = HashMap::new();
        for route in catalog.routes().filter(|route| route.streams) {
            let Some(limit) = route.pause_limit else { continue };
            for target in &route.services {
                let known = shortest.entry(&target.service).or_insert(limit);
                *known = limit.min(*known);
            }
        }
        for server in &mut self.servers {
            let class = catalog.service(server.view.record.service.as_str());
            let class = class.and_then(|service| service.engine_class.as_ref());
            server.event_tokens = class.map_or(1, |class| class.tokens_per_event);
            if let Some(limit) = shortest.get(&server.view.record.service) {
                server.pause_limit = *limit;
            }
        }
    }

    /// Counts a request as part of the demand for its model.
    pub fn record_arrival(&mut self, request: &RequestSpec) {
        if let Some(model) = &request.model {
            self.demand.record_arrival(model, request.prompt_tokens);
        }
    }

    /// A request has got its answer or was given up.
    pub fn record_departure(&mut self, request: &RequestSpec) {
        if let Some(model) = &request.model {
            self.demand.record_departure(model);
        }
    }

    /// Works out anew which servers hold what.
    fn index_holders(&mut self) {
        self.holders.clear();
        for (server, position) in self.servers.iter().zip(0..) {
            for name in server.view.resident_models.iter().filter(|_| server.view.usable) {
                self.holders.entry(name.clone()).or_default().push(ServerIdx(position));
            }
        }
    }

    /// Keeps a request until [`Dispatcher::due`] gives a verdict on it.
    pub fn enqueue(&mut self, request: &RequestSpec, tried: &[ServerIdx]) -> WaitId {
        let id = WaitId(self.next_id());
        self.waiting.insert(id, (request.clone(), tried.to_vec()));
        self.update_waiting_by_server();
        id
    }

    /// Forgets a waiting request.
    pub fn cancel_waiting(&mut self, id: WaitId) {
        if self.waiting.remove(&id).is_some() {
            self.update_waiting_by_server();
        }
    }

    /// Requests that need wait no longer, the most urgent first. Those that are to be sent count as
    /// under way from now on.
    pub fn poll_waiting(&mut self, now: Instant) -> Vec<(WaitId, Verdict, Option<InFlightId>)> {
        let mut order: Vec<WaitId> = self.waiting.keys().copied().collect();
        order.sort_by_key(|id| QueuePriority::of(now, &self.waiting[id].0));
        self.queues.clear();
        let mut due = Vec::new();
        for id in order {
            let (request, tried) = &self.waiting[&id];
            let verdict = self.decide(now, request, tried);
            if matches!(verdict, Verdict::Wait { .. }) {
                if let Some(server) = self.earliest_server(now, request, tried) {
                    let queued = QueuedRequest::of(now, request, self.prefill_us(request));
                    self.queues.add(server, queued);
                }
                continue;
            }
            let Some((request, _)) = self.waiting.remove(&id) else { continue };
            let in_flight = match verdict {
                Verdict::Send(server) => Some(self.begin_request(now, &request, server)),
                Verdict::Wait { .. } | Verdict::Refuse { .. } => None,
            };
            due.push((id, verdict, in_flight));
        }
        if !due.is_empty() {
            self.update_waiting_by_server();
        }
        due
    }

    /// Takes note that `need` is sent to `server`.
    pub fn begin_request(
        &mut self,
        now: Instant,
        request: &RequestSpec,
        server: ServerIdx,
    ) -> InFlightId {
        let id = InFlightId(self.next_id());
        let unread_us = self.prefill_us(request);
        let held_tokens = u64::from(request.prompt_tokens) + u64::from(request.output_tokens);
        let load = Load { in_flight: 1, unread_us, held_tokens, ..Load::default() };
        let entry = &mut self.servers[server.get()];
        let is_isolated = entry.load(now).unread_us == 0;
        let isolated_prefill =
            request.model.as_ref().filter(|_| is_isolated).map(|model| IsolatedPrefill {
                model: ModelName::new(base_of(model)),
                tokens: request.prompt_tokens,
                event_tokens: request.tokens_per_event,
            });
        entry.own_load.add(&load);
        entry.record_prompt(now, unread_us);
        if request.prompt_tokens > 0
            && self.live_vms > 1
            && self.unreported_prompts.len() < UNREPORTED_PROMPTS_MAX
        {
            let server = entry.view.record.key.tag();
            let prefill_us = u32::try_from(unread_us).unwrap_or(u32::MAX);
            self.unreported_prompts.push(PromptSent { server, reading_us: prefill_us });
        }
        self.in_flight_requests
            .insert(id, InFlight { server, sent_at: now, isolated_prefill, load });
        id
    }

    /// The server of a request, and the time that it takes to read its prompt, in microseconds.
    pub(crate) fn server_and_prefill_us(&self, id: InFlightId) -> Option<(ServerIdx, u64)> {
        self.in_flight_requests
            .get(&id)
            .map(|in_flight| (in_flight.server, in_flight.load.unread_us))
    }

    /// The server whose key has `tag`.
    pub fn server_by_tag(&self, tag: u32) -> Option<ServerIdx> {
        self.by_tag.get(&tag).copied()
    }

    /// True if a request may be sent to the server at `idx` now, as far as is known here.
    pub fn may_send_to(&self, now: Instant, idx: ServerIdx) -> bool {
        self.servers[idx.get()].is_available(now)
    }

    /// All servers that were ever known.
    pub(crate) fn indices(&self) -> impl Iterator<Item = ServerIdx> {
        (0..self.servers.len() as u32).map(ServerIdx)
    }

    /// Counts the first send of a request to `service`.
    pub fn count_first_attempt(&mut self, now: Instant, service: &ServiceName) {
        self.budget(service).count_first_attempt(now);
    }

    /// Takes the right to send a request to `service` once more, if the budget allows it.
    pub fn take_retry(&mut self, now: Instant, service: &ServiceName) -> bool {
        let vms = self.live_vms;
        self.budget(service).take(now, vms)
    }

    /// Gives back the right to a repeat that wasn't sent.
    pub fn return_retry(&mut self, service: &ServiceName) {
        self.budget(service).give_back();
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let limit = self.retry_limit;
        self.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limit))
    }

    /// Takes note that a request has ended, in whatever way.
    pub fn end_request(&mut self, id: InFlightId) {
        let Some(in_flight) = self.in_flight_requests.remove(&id) else { return };
        let own_load = &mut self.servers[in_flight.server.get()].own_load;
        own_load.in_flight -= in_flight.load.in_flight;
        own_load.unread_us -= in_flight.load.unread_us;
        own_load.held_tokens -= in_flight.load.held_tokens;
    }

    /// The description of the server at `idx`.
    pub fn record(&self, idx: ServerIdx) -> &Arc<ServerRecord> {
        &self.servers[idx.get()].view.record
    }

    /// What a decision about the server at `idx` rests on, for logs.
    pub fn decision_inputs(&self, now: Instant, idx: ServerIdx) -> DecisionInputs {
        let server = &self.servers[idx.get()];
        DecisionInputs {
            own_load: server.own_load,
            other_vms_load: server.estimated_other_vms_load(now),
            failed_share: server.health.failed_share(),
            answer_s: server.speed.answer_s(),
            slowness: server.speed.slowness(),
            decode_step_s: server.speed.decode_step_s(),
            same_data_centre: server.view.same_data_centre,
        }
    }

    /// What this VM has under way, server by server.
    pub fn loads(&self) -> Vec<ServerLoad> {
        self.servers
            .iter()
            .map(|server| ServerLoad {
                server: server.view.record.key.tag(),
                load: Load {
                    waiting_hundredths: self.waiting_hundredths_at(server),
                    ..server.own_load
                },
            })
            .filter(|server| server.load != Load::default())
            .collect()
    }

    /// Prompts that were sent since this was last called.
    pub fn take_sent_prompts(&mut self) -> Vec<PromptSent> {
        std::mem::take(&mut self.unreported_prompts)
    }

    /// Other VMs have sent `prompts`.
    pub fn record_remote_prompts(&mut self, now: Instant, prompts: &[PromptSent]) {
        if !prompts.is_empty() {
            self.remote_prompts_at = Some(now);
        }
        for prompt in prompts {
            if let Some(idx) = self.by_tag.get(&prompt.server) {
                let server = &mut self.servers[idx.get()];
                server.remote_prompts.record_prompt(now, u64::from(prompt.reading_us));
            }
        }
    }

    /// What callers asked for since this was last called.
    pub fn take_demand(&mut self, now: Instant) -> DemandReport {
        self.demand.take(now)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}
