//! The dispatcher of a VM: keeps the state of servers and requests that decisions are based on.

use {
    crate::{
        cluster_view::ClusterView,
        demand_log::DemandLog,
        fair_queue::FairQueue,
        hedging::Hedging,
        load::{Load, ServerLoad},
        permit_queues::PermitQueues,
        prefill_fit::PrefillFit,
        prompt_sent::PromptSent,
        request_spec::RequestSpec,
        retry_budget::{RetryBudget, RetryLimit},
        server::{Server, ServerIdx},
        server_queues::{QueuePriority, QueuedRequest, ServerQueues},
        team_shares::TeamShares,
        urgent_reserve::has_waited_long,
        verdict::Verdict,
    },
    glade_catalog::{Catalog, DemandReport, ServerKey, ServerRecord, base_model_of},
    glade_types::{ModelName, ServiceName},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Upper bound on sent prompts that await reporting to other VMs; a VM sends only a few in one
/// reporting interval.
const UNREPORTED_PROMPTS_MAX: usize = 256;

/// Identifies a request that was sent and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InFlightId(u64);

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(u64);

#[derive(Clone, Debug)]
pub(crate) struct InFlight {
    pub(crate) server: ServerIdx,
    pub(crate) sent_at: Instant,
    /// The answer is a stream.
    pub(crate) is_stream: bool,
    /// The first byte of the answer has arrived.
    pub(crate) is_answering: bool,
    /// The request's prompt, if the server had no other prefill to do when the request was sent.
    pub(crate) isolated_prefill: Option<IsolatedPrefill>,
    /// Load for which the request is still counted.
    pub(crate) load: Load,
    /// Rank and objective under which the server's [`crate::urgent_reserve::UrgentReserve`] counts
    /// the request, if it does.
    pub(crate) kind: Option<(u8, Duration)>,
}

/// A prompt that, according to this VM's state, is prefilled without others.
#[derive(Clone, Debug)]
pub(crate) struct IsolatedPrefill {
    pub(crate) model: ModelName,
    pub(crate) tokens: u32,
    pub(crate) event_tokens: u32,
}

/// State of a server that a decision was based on, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecisionInputs {
    /// Requests that this VM has in flight at the server.
    pub own_load: Load,
    /// Estimated load of the other VMs at the server.
    pub other_vms_load: Load,
    /// Recent share of the server's requests that failed.
    pub failed_share: f64,
    /// Mean time to the server's first byte, in seconds.
    pub answer_s: f64,
    /// Factor by which the server's prefill seems slower than that of its service.
    pub slowness: f64,
    /// Duration of a decode step without prefill, in seconds.
    pub decode_step_s: f64,
    /// Whether the server is in this VM's data centre.
    pub same_data_centre: bool,
    /// Limit that the server names, in requests per second.
    pub limit_per_s: Option<f64>,
}

/// Decides for all requests of one VM.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) servers: Vec<Server>,
    pub(crate) index_by_key: HashMap<ServerKey, ServerIdx>,
    pub(crate) index_by_tag: HashMap<u32, ServerIdx>,
    /// Usable servers by resident model or adapter.
    pub(crate) holders: HashMap<ModelName, Vec<ServerIdx>>,
    /// Sent prompts that have not been reported to the other VMs yet.
    unreported_prompts: Vec<PromptSent>,
    /// When prompts of other VMs were last reported.
    pub(crate) remote_prompts_at: Option<Instant>,
    pub(crate) in_flight_requests: HashMap<InFlightId, InFlight>,
    pub(crate) waiting: BTreeMap<WaitId, (RequestSpec, Vec<ServerIdx>)>,
    /// Waiting requests by the server expected to take them; servers are reserved for some of
    /// these.
    pub(crate) queues: ServerQueues,
    /// Use of servers by teams.
    pub(crate) team_shares: TeamShares,
    /// Waiting requests by the limited server that is expected to take them.
    pub(crate) permit_queues: PermitQueues,
    /// Limited servers aren't chosen: whoever sends the requests decides about these.
    pub(crate) skips_limited: bool,
    /// Waiting requests of this VM by the tag of the server's key, in hundredths of requests.
    pub(crate) waiting_by_server: HashMap<u32, u32>,
    pub(crate) models_ready_at: HashMap<ModelName, BTreeMap<u32, Instant>>,
    /// The configuration that was last applied.
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) kv_capacity: HashMap<ServiceName, u64>,
    /// Measured prefill speed of the engines of each service.
    pub(crate) prefill_fits: HashMap<ServiceName, PrefillFit>,
    /// The same by model: larger models have slower prefill.
    pub(crate) prefill_fits_by_model: HashMap<ModelName, PrefillFit>,
    demand: DemandLog,
    pub(crate) retry_limit: RetryLimit,
    retry_budgets: HashMap<ServiceName, RetryBudget>,
    pub(crate) hedging: Hedging,
    pub(crate) live_vms: u32,
    pub(crate) vm_position: u32,
    pub(crate) known_vms: u32,
    /// Random number of this VM, by which many VMs spread over the servers of plain services.
    pub(crate) vm_seed: u32,
    next_id: u64,
}

impl Dispatcher {
    /// Returns a dispatcher without servers. `vm_seed` is a random number drawn for this VM.
    pub fn new(retry_limit: RetryLimit, vm_seed: u32) -> Self {
        Self {
            vm_seed,
            servers: Vec::new(),
            index_by_key: HashMap::new(),
            index_by_tag: HashMap::new(),
            holders: HashMap::new(),
            unreported_prompts: Vec::new(),
            remote_prompts_at: None,
            in_flight_requests: HashMap::new(),
            waiting: BTreeMap::new(),
            queues: ServerQueues::default(),
            team_shares: TeamShares::default(),
            permit_queues: PermitQueues::default(),
            skips_limited: false,
            waiting_by_server: HashMap::new(),
            models_ready_at: HashMap::new(),
            catalog: None,
            kv_capacity: HashMap::new(),
            prefill_fits: HashMap::new(),
            prefill_fits_by_model: HashMap::new(),
            demand: DemandLog::default(),
            retry_limit,
            retry_budgets: HashMap::new(),
            hedging: Hedging::default(),
            live_vms: 1,
            vm_position: 0,
            known_vms: 1,
            next_id: 0,
        }
    }

    /// Replaces the limit on retries.
    pub fn set_retry_limit(&mut self, limit: RetryLimit) {
        self.retry_limit = limit;
        self.retry_budgets.values_mut().for_each(|budget| budget.set_limit(limit));
        self.update_hedge_limit();
    }

    /// Applies a new snapshot of the cluster from the control thread.
    pub fn update_view(&mut self, now: Instant, view: &ClusterView) {
        let mut has_changed = false;
        let take_usable = |server: &mut Server| std::mem::replace(&mut server.view.usable, false);
        let was_usable: Vec<bool> = self.servers.iter_mut().map(take_usable).collect();
        for server_view in &view.servers {
            match self.index_by_key.get(&server_view.record.key) {
                Some(idx) => has_changed |= self.servers[idx.get()].update_view(now, server_view),
                None => {
                    has_changed = true;
                    let idx = ServerIdx(self.servers.len() as u32);
                    self.index_by_key.insert(server_view.record.key.clone(), idx);
                    self.index_by_tag.insert(server_view.record.key.short_hash(), idx);
                    let mut server = Server::new(server_view.clone());
                    server.limit.apply_view(now, server_view.limit);
                    if let Some(fit) = self.prefill_fits.get(&server_view.record.service) {
                        server.speed.set_first_event_overhead_s(fit.overhead_s());
                    }
                    self.servers.push(server);
                }
            }
        }
        let usable_changed = |(server, was): (&Server, &bool)| server.view.usable != *was;
        has_changed |= self.servers.iter().zip(&was_usable).any(usable_changed);
        if has_changed {
            self.index_holders();
        }
        self.live_vms = view.live_vms.max(1);
        self.vm_position = view.vm_position % self.live_vms;
        self.known_vms = view.known_vms.max(self.live_vms);
        self.models_ready_at.clone_from(&view.models_ready_at);
        let Some(catalog) = &view.catalog else { return };
        let is_same = self.catalog.as_ref().is_some_and(|known| Arc::ptr_eq(known, catalog));
        if has_changed || !is_same {
            self.apply_catalog(catalog);
            self.catalog = Some(Arc::clone(catalog));
        }
    }

    /// Applies the pause limits of each service's streams and the parameters of its engine class.
    fn apply_catalog(&mut self, catalog: &Catalog) {
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

    /// Records the arrival of a request whose start this dispatcher decides on behalf of all nodes,
    /// for the room that servers keep for urgent requests.
    pub(crate) fn record_urgency(&mut self, now: Instant, request: &RequestSpec) {
        let prefill_us = self.prefill_us(request);
        let Some(model) = &request.model else { return };
        let Some(holders) = self.holders.get(model) else { return };
        let share = 1.0 / holders.len() as f64;
        for idx in holders {
            let reserve = &mut self.servers[idx.get()].urgent_reserve;
            reserve.record_arrival(now, request, prefill_us, share);
        }
    }

    /// Position of a waiting request in the order in which waiting requests are decided. Requests
    /// that may take the share of patient requests before it is too late go first.
    fn turn(&self, now: Instant, request: &RequestSpec) -> (bool, QueuePriority) {
        let takes_share = has_waited_long(now, request) && self.takes_patient_share(request);
        (!takes_share, self.priority(now, request))
    }

    /// Priority of `request` among those that wait for the same server.
    pub(crate) fn priority(&self, now: Instant, request: &RequestSpec) -> QueuePriority {
        QueuePriority::of(now, request, self.team_shares.virtual_time(now, request))
    }

    /// Orders waiting requests of each rank by the shares of teams. Requests of one team keep the given
    /// `order`.
    fn fair_order(&self, now: Instant, order: Vec<WaitId>) -> Vec<WaitId> {
        let mut queue = FairQueue::new();
        for id in order {
            let request = &self.waiting[&id].0;
            let key = self.team_shares.key(request);
            let used = key.map_or(0, |key| self.team_shares.used(now, key));
            let (is_in_rank_order, _) = self.turn(now, request);
            let class = if is_in_rank_order { request.rank.saturating_add(1) } else { 0 };
            let key = (class, key);
            queue.push(class, key, used, TeamShares::cost(request), id);
        }
        std::iter::from_fn(|| queue.pop()).collect()
    }

    /// True if the share of patient requests is open to `request` at a server that holds its model.
    fn takes_patient_share(&self, request: &RequestSpec) -> bool {
        let holders = request.model.as_ref().and_then(|model| self.holders.get(model));
        holders.into_iter().flatten().any(|idx| {
            let server = &self.servers[idx.get()];
            server.urgent_reserve.has_patient_share(request, server.view.record.slots)
        })
    }

    /// Counts a request as demand for its model.
    pub fn record_arrival(&mut self, request: &RequestSpec) {
        if let Some(model) = &request.model {
            self.demand.record_arrival(model, request.prompt_tokens);
        }
    }

    /// Records that a request was answered or given up.
    pub fn record_departure(&mut self, request: &RequestSpec) {
        if let Some(model) = &request.model {
            self.demand.record_departure(model);
        }
    }

    /// Rebuilds the index of usable servers by resident model.
    fn index_holders(&mut self) {
        self.holders.clear();
        for (server, position) in self.servers.iter().zip(0..) {
            for name in server.view.resident_models.iter().filter(|_| server.view.usable) {
                self.holders.entry(name.clone()).or_default().push(ServerIdx(position));
            }
        }
    }

    /// Queues a request until [`Dispatcher::poll_waiting`] decides on it.
    pub fn enqueue(&mut self, request: &RequestSpec, tried: &[ServerIdx]) -> WaitId {
        let id = WaitId(self.next_id());
        self.waiting.insert(id, (request.clone(), tried.to_vec()));
        self.update_waiting_by_server();
        id
    }

    /// Removes a waiting request.
    pub fn cancel_waiting(&mut self, id: WaitId) {
        if self.waiting.remove(&id).is_some() {
            self.update_waiting_by_server();
        }
    }

    /// Returns the waiting requests that are decided now, the most urgent first. Those that are to
    /// be sent count as in flight from now on.
    pub fn poll_waiting(&mut self, now: Instant) -> Vec<(WaitId, Verdict, Option<InFlightId>)> {
        let mut order: Vec<WaitId> = self.waiting.keys().copied().collect();
        self.queues.clear();
        self.permit_queues.clear();
        self.team_shares.clear_waiting();
        order.sort_by_cached_key(|id| self.turn(now, &self.waiting[id].0));
        if self.team_shares.has_teams() {
            order = self.fair_order(now, order);
        }
        let mut decided = Vec::new();
        for id in order {
            let (request, tried) = &self.waiting[&id];
            let verdict = self.decide(now, request, tried);
            if matches!(verdict, Verdict::Wait { .. }) {
                if let Some(server) = self.earliest_server(now, request, tried) {
                    let priority = self.priority(now, request);
                    let prefill_us = self.prefill_us(request);
                    let queued = QueuedRequest::of(now, request, priority, prefill_us);
                    self.queues.add(server, queued);
                }
                if let Some(server) = self.soonest_limited_server(now, request, tried) {
                    self.permit_queues.add(server, self.priority(now, request));
                }
                self.team_shares.add_waiting(request);
                continue;
            }
            let Some((request, _)) = self.waiting.remove(&id) else { continue };
            let in_flight = match verdict {
                Verdict::Send(server) => Some(self.begin_request(now, &request, server)),
                Verdict::Wait { .. } | Verdict::Refuse { .. } => None,
            };
            decided.push((id, verdict, in_flight));
        }
        if !decided.is_empty() {
            self.update_waiting_by_server();
        }
        decided
    }

    /// Records that `request` is sent to `server`.
    pub fn begin_request(
        &mut self,
        now: Instant,
        request: &RequestSpec,
        server: ServerIdx,
    ) -> InFlightId {
        let id = InFlightId(self.next_id());
        let outstanding_prefill_us = self.prefill_us(request);
        let held_tokens = u64::from(request.prompt_tokens) + u64::from(request.output_tokens);
        let load = Load { in_flight: 1, outstanding_prefill_us, held_tokens, ..Load::default() };
        let entry = &mut self.servers[server.get()];
        let is_stream = request.is_stream();
        let is_isolated = entry.load(now).outstanding_prefill_us == 0;
        let isolated_prefill =
            request.model.as_ref().filter(|_| is_isolated).map(|model| IsolatedPrefill {
                model: ModelName::new(base_model_of(model)),
                tokens: request.prompt_tokens,
                event_tokens: request.tokens_per_event,
            });
        if entry.limit.get().is_some() {
            entry.permits.take(now);
        }
        entry.own_load.add(&load);
        self.team_shares.record_start(now, request);
        let is_counted = entry.urgent_reserve.begin(now, request);
        let kind = is_counted.then_some((request.rank, request.objective));
        entry.record_prompt(now, outstanding_prefill_us);
        if request.prompt_tokens > 0
            && self.live_vms > 1
            && self.unreported_prompts.len() < UNREPORTED_PROMPTS_MAX
        {
            let server = entry.view.record.key.short_hash();
            let prefill_us = u32::try_from(outstanding_prefill_us).unwrap_or(u32::MAX);
            self.unreported_prompts.push(PromptSent { server, prefill_us });
        }
        self.in_flight_requests.insert(
            id,
            InFlight {
                server,
                sent_at: now,
                is_stream,
                is_answering: false,
                isolated_prefill,
                load,
                kind,
            },
        );
        id
    }

    /// Returns the server of a request and the outstanding prefill time of its prompt, in
    /// microseconds.
    pub(crate) fn server_and_prefill_us(&self, id: InFlightId) -> Option<(ServerIdx, u64)> {
        self.in_flight_requests
            .get(&id)
            .map(|in_flight| (in_flight.server, in_flight.load.outstanding_prefill_us))
    }

    /// Returns the server whose key has `tag`.
    pub fn server_by_tag(&self, tag: u32) -> Option<ServerIdx> {
        self.index_by_tag.get(&tag).copied()
    }

    /// True if the server at `idx` takes requests now, according to this VM's state.
    pub fn may_send_to(&self, now: Instant, idx: ServerIdx) -> bool {
        self.servers[idx.get()].may_be_sent_to(now)
    }

    /// Indices of all servers that were ever known.
    pub(crate) fn indices(&self) -> impl Iterator<Item = ServerIdx> {
        (0..self.servers.len() as u32).map(ServerIdx)
    }

    /// Counts the first attempt of a request to `service`.
    pub fn count_first_attempt(&mut self, now: Instant, service: &ServiceName) {
        self.budget(service).count_first_attempt(now);
        self.count_hedgeable(now, service);
    }

    /// Takes the permission for one retry to `service`, if the budget allows it.
    pub fn take_retry(&mut self, now: Instant, service: &ServiceName) -> bool {
        let vms = self.known_vms;
        self.budget(service).take(now, vms)
    }

    /// Returns the permission for a retry that was not sent.
    pub fn return_retry(&mut self, service: &ServiceName) {
        self.budget(service).give_back();
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let limit = self.retry_limit;
        self.retry_budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limit))
    }

    /// Records the end of a request, whatever its outcome.
    pub fn end_request(&mut self, id: InFlightId) {
        let Some(in_flight) = self.in_flight_requests.remove(&id) else { return };
        let server = &mut self.servers[in_flight.server.get()];
        if let Some((rank, objective)) = in_flight.kind {
            server.urgent_reserve.end(rank, objective);
        }
        let own_load = &mut server.own_load;
        own_load.in_flight -= in_flight.load.in_flight;
        own_load.outstanding_prefill_us -= in_flight.load.outstanding_prefill_us;
        own_load.held_tokens -= in_flight.load.held_tokens;
    }

    /// True if the server at `idx` may run `request`, by its service and software version.
    pub fn is_fit(&self, request: &RequestSpec, idx: ServerIdx) -> bool {
        request.may_run_at(self.record(idx))
    }

    /// Returns the registry record of the server at `idx`.
    pub fn record(&self, idx: ServerIdx) -> &Arc<ServerRecord> {
        &self.servers[idx.get()].view.record
    }

    /// Returns the state of the server at `idx` that decisions are based on, for logs.
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
            limit_per_s: server.limit.get().map(|limit| limit.per_second),
        }
    }

    /// Load of this VM at each server.
    pub fn loads(&self) -> Vec<ServerLoad> {
        self.servers
            .iter()
            .map(|server| ServerLoad {
                server: server.view.record.key.short_hash(),
                load: Load {
                    waiting_hundredths: self.waiting_hundredths_at(server),
                    ..server.own_load
                },
            })
            .filter(|server| server.load != Load::default())
            .collect()
    }

    /// Takes the prompts that were sent since the last call.
    pub fn take_sent_prompts(&mut self) -> Vec<PromptSent> {
        std::mem::take(&mut self.unreported_prompts)
    }

    /// Records prompts that other VMs have sent.
    pub fn record_remote_prompts(&mut self, now: Instant, prompts: &[PromptSent]) {
        if !prompts.is_empty() {
            self.remote_prompts_at = Some(now);
        }
        for prompt in prompts {
            if let Some(idx) = self.index_by_tag.get(&prompt.server) {
                let server = &mut self.servers[idx.get()];
                server.remote_prompts.record_prompt(now, u64::from(prompt.prefill_us));
            }
        }
    }

    /// Takes the demand of callers since the last call.
    pub fn take_demand(&mut self, now: Instant) -> DemandReport {
        self.demand.take(now)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}
