//! Decides in one place which requests start on the engines of a data centre, and when.
//!
//! The failure that this prevents: a hundred nodes send prompts to the same engines. Each receives
//! the others' prompts later than the engines prefill them, so several nodes choose the same engine
//! at once, and its streams pause while other engines are idle. The coordinator gets every request
//! before it is sent and tracks the outstanding prefill of each engine, so it can choose the engine
//! and the time as a single node would.
//!
//! Its decisions are advice on when to send. A node without a coordinator decides by itself. A
//! request that the coordinator has lost costs at most a slot that stays taken until its ticket
//! expires.

use {
    crate::{
        cluster_view::ClusterView,
        dispatcher::{Dispatcher, InFlightId, WaitId},
        request_spec::RequestSpec,
        retry_budget::RetryLimit,
        server::ServerIdx,
        start::{StartEvent, StartReply, StartRequest, StartVerdict, name_hash},
        verdict::Verdict,
    },
    glade_catalog::{Catalog, ModelSpec, WantedModel},
    glade_types::{DataCentre, ModelName, ServiceName},
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time beyond a request's first-byte deadline after which its ticket expires, if no event has
/// reported the end of the request.
const TICKET_GRACE: Duration = Duration::from_secs(10);
/// Interval between scans for expired tickets.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Identifies a request by the address of the requesting node and the node's ticket number.
type RequestKey = (SocketAddr, u32);

/// An action that the coordinator's caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinatorAction {
    /// Send a reply to a node.
    Reply {
        /// Address at which the node receives replies.
        to: SocketAddr,
        /// The reply.
        reply: StartReply,
    },
    /// Forward a request to the coordinator of another data centre.
    Forward {
        /// The data centre.
        data_centre: DataCentre,
        /// The request.
        request: StartRequest,
    },
    /// A request waits for a model or adapter that is on no usable server.
    ModelMissing(WantedModel),
}

#[derive(Clone, Debug)]
enum State {
    Waiting { id: WaitId, missing: bool },
    Running { in_flight: InFlightId, server: u32 },
}

#[derive(Clone, Debug)]
struct Ticket {
    state: State,
    request: StartRequest,
    expires_at: Instant,
}

/// Starts the requests of all nodes of a data centre.
#[derive(Debug)]
pub struct Coordinator {
    dispatcher: Dispatcher,
    tickets: HashMap<RequestKey, Ticket>,
    waiting: HashMap<WaitId, RequestKey>,
    services: HashMap<u32, ServiceName>,
    models: HashMap<u32, (ModelName, Duration, Duration)>,
    version: Option<u64>,
    sweep_at: Option<Instant>,
}

impl Coordinator {
    /// Returns a coordinator without servers.
    pub fn new() -> Self {
        let no_retries = RetryLimit { share: 0.0, window: Duration::from_secs(1), reserve: 0.0 };
        let mut dispatcher = Dispatcher::new(no_retries, 0);
        // Nodes hold the permits for limited servers and decide about them.
        dispatcher.skips_limited = true;
        Self {
            dispatcher,
            tickets: HashMap::new(),
            waiting: HashMap::new(),
            services: HashMap::new(),
            models: HashMap::new(),
            version: None,
            sweep_at: None,
        }
    }

    /// Applies a new snapshot of the cluster. This coordinator alone decides about servers in its
    /// own data centre, so the load that other VMs report for them is dropped: it would be counted
    /// twice.
    pub fn update_view(&mut self, now: Instant, view: &ClusterView) {
        let servers = view.servers.iter().map(|server| {
            let mut server = server.clone();
            if server.same_data_centre {
                server.other_vms_load = Default::default();
            }
            server
        });
        let view = ClusterView { servers: servers.collect(), live_vms: 1, ..view.clone() };
        self.dispatcher.update_view(now, &view);
        if let Some(catalog) = &view.catalog
            && self.version != Some(catalog.version())
        {
            self.version = Some(catalog.version());
            self.index_names(catalog);
        }
    }

    fn index_names(&mut self, catalog: &Catalog) {
        self.services = catalog
            .services()
            .map(|service| (name_hash(service.name.as_str()), service.name.clone()))
            .collect();
        let classes = catalog.services().filter_map(|service| service.engine_class.as_ref());
        let hashed_names = |spec: &ModelSpec| {
            let (load, quickest) = (spec.load_from_store, spec.min_load_time());
            let names = spec.adapter_names().chain([spec.name.clone()]);
            names.map(|name| (name_hash(name.as_str()), (name, load, quickest))).collect::<Vec<_>>()
        };
        self.models =
            classes.flat_map(|class| class.models.iter().flat_map(hashed_names)).collect();
    }

    /// True if requests are waiting.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Handles the request of a node for a server. `node` is the address at which the node receives
    /// replies, and `seed` is a random number drawn for the request.
    pub fn request_start(
        &mut self,
        now: Instant,
        node: SocketAddr,
        request: StartRequest,
        seed: u32,
    ) -> Vec<CoordinatorAction> {
        let key = (request.reply_to.unwrap_or(node), request.ticket);
        if let Some(ticket) = self.tickets.get(&key) {
            let verdict = match ticket.state {
                State::Waiting { missing, .. } => StartVerdict::Queued { missing },
                State::Running { server, .. } => StartVerdict::Go { server },
            };
            return vec![reply(key, verdict)];
        }
        // A service or model that is unknown here gets no reply: the node decides by itself.
        let Some(spec) = self.request_spec(now, &request, seed) else { return Vec::new() };
        let tried = self.excluded_servers(&request);
        self.dispatcher.record_urgency(now, &spec);
        let verdict = self.dispatcher.decide(now, &spec, &tried);
        match verdict {
            Verdict::Send(server) if self.is_same_data_centre(server) => {
                let in_flight = self.dispatcher.begin_request(now, &spec, server);
                vec![self.start(now, key, request, in_flight, server)]
            }
            Verdict::Send(server) => vec![self.forward(key, request, server)],
            Verdict::Wait { missing } => {
                let id = self.dispatcher.enqueue(&spec, &tried);
                self.waiting.insert(id, key);
                let expires_at = spec.first_byte_deadline + TICKET_GRACE;
                self.tickets.insert(
                    key,
                    Ticket { state: State::Waiting { id, missing }, request, expires_at },
                );
                let software_version = spec.software_version;
                let wanted = |name| WantedModel { name, software_version };
                let missing_model = spec.model.filter(|_| missing).map(wanted);
                missing_model
                    .map(CoordinatorAction::ModelMissing)
                    .into_iter()
                    .chain([reply(key, StartVerdict::Queued { missing })])
                    .collect()
            }
            Verdict::Refuse { reason, retry_after } => {
                vec![reply(key, StartVerdict::refused(reason, retry_after))]
            }
        }
    }

    /// Handles an event of a request from the node that receives replies at `node`.
    pub fn on_event(&mut self, now: Instant, node: SocketAddr, event: StartEvent) {
        match event {
            StartEvent::Answered { ticket, after_us } => {
                let state = self.tickets.get(&(node, ticket)).map(|ticket| &ticket.state);
                if let Some(State::Running { in_flight, .. }) = state {
                    let after = Duration::from_micros(u64::from(after_us));
                    self.dispatcher.record_first_byte_after(*in_flight, after);
                }
            }
            StartEvent::Ended { ticket, is_good, decode_step_us } => {
                let Some(ticket) = self.tickets.remove(&(node, ticket)) else { return };
                match ticket.state {
                    State::Waiting { id, .. } => self.cancel_waiting(id),
                    State::Running { in_flight, .. } => {
                        if is_good {
                            self.dispatcher.record_success(in_flight);
                            self.dispatcher.record_slot_time(now, in_flight);
                        }
                        let step = decode_step_us.map(|us| Duration::from_micros(u64::from(us)));
                        self.dispatcher.record_decode_step(in_flight, step);
                        self.dispatcher.end_request(in_flight);
                    }
                }
            }
            StartEvent::Failed { server, weight } => {
                if let Some(server) = self.dispatcher.server_by_tag(server) {
                    self.dispatcher.record_failure(now, server, weight);
                }
            }
        }
    }

    /// Starts or refuses waiting requests where servers have capacity or time has run out. To be
    /// called periodically.
    pub fn poll(&mut self, now: Instant) -> Vec<CoordinatorAction> {
        self.sweep(now);
        let mut actions = Vec::new();
        for (id, verdict, in_flight) in self.dispatcher.poll_waiting(now) {
            let Some(key) = self.waiting.remove(&id) else { continue };
            let Some(ticket) = self.tickets.remove(&key) else { continue };
            match (verdict, in_flight) {
                (Verdict::Send(server), Some(in_flight)) if self.is_same_data_centre(server) => {
                    actions.push(self.start(now, key, ticket.request, in_flight, server));
                }
                (Verdict::Send(server), Some(in_flight)) => {
                    self.dispatcher.end_request(in_flight);
                    actions.push(self.forward(key, ticket.request, server));
                }
                (Verdict::Refuse { reason, retry_after }, _) => {
                    actions.push(reply(key, StartVerdict::refused(reason, retry_after)));
                }
                (Verdict::Send(_) | Verdict::Wait { .. }, _) => {}
            }
        }
        actions
    }

    fn start(
        &mut self,
        now: Instant,
        key: RequestKey,
        request: StartRequest,
        in_flight: InFlightId,
        server: ServerIdx,
    ) -> CoordinatorAction {
        let server = self.dispatcher.record(server).key.short_hash();
        let max_wait = Duration::from_millis(u64::from(request.max_wait_ms));
        let expires_at = now + max_wait + TICKET_GRACE;
        let state = State::Running { in_flight, server };
        self.log_started(now, key, &request, in_flight);
        self.tickets.insert(key, Ticket { state, request, expires_at });
        reply(key, StartVerdict::Go { server })
    }

    fn log_started(
        &self,
        now: Instant,
        (node, ticket): RequestKey,
        request: &StartRequest,
        in_flight: InFlightId,
    ) {
        let Some((server, prefill_us)) = self.dispatcher.server_and_prefill_us(in_flight) else {
            return;
        };
        let inputs = self.dispatcher.decision_inputs(now, server);
        log::info!(
            asker = node.to_string().as_str(),
            ticket = ticket,
            server = self.dispatcher.record(server).key.id.as_str(),
            waited_ms = request.waited_ms,
            prompt = request.prompt_tokens,
            reading_us = prefill_us,
            unread_us = inputs.own_load.outstanding_prefill_us,
            in_flight = inputs.own_load.in_flight,
            waiting = self.waiting.len() as u64,
            slowness = inputs.slowness,
            step_us = (inputs.decode_step_s * 1e6) as u64;
            "start_decided"
        );
    }

    fn forward(
        &self,
        key: RequestKey,
        request: StartRequest,
        server: ServerIdx,
    ) -> CoordinatorAction {
        let data_centre = self.dispatcher.record(server).data_centre.clone();
        CoordinatorAction::Forward {
            data_centre,
            request: StartRequest { reply_to: Some(key.0), ..request },
        }
    }

    fn request_spec(&self, now: Instant, request: &StartRequest, seed: u32) -> Option<RequestSpec> {
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let (model, model_load, model_load_min) = self.models.get(&request.model)?.clone();
        Some(RequestSpec {
            service: self.services.get(&request.service)?.clone(),
            model: Some(model),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            output_tokens_max: request.output_tokens_max,
            tokens_per_event: request.tokens_per_event,
            prompt_prefix_id: None,
            team: request.team,
            rank: request.rank,
            objective: ms(request.objective_ms),
            pause_limit: request.pause_limit_ms.map(ms),
            arrived_at: now.checked_sub(ms(request.waited_ms)).unwrap_or(now),
            model_load,
            model_load_min,
            first_byte_deadline: now + ms(request.max_wait_ms),
            seed,
            is_continuation: request.is_continuation,
            software_version: request.software_version,
        })
    }

    /// Servers that must not be chosen. A request that was forwarded is not forwarded again.
    fn excluded_servers(&self, request: &StartRequest) -> Vec<ServerIdx> {
        let other_data_centre =
            |idx: &ServerIdx| request.reply_to.is_some() && !self.is_same_data_centre(*idx);
        let failed = request.tried.iter().filter_map(|tag| self.dispatcher.server_by_tag(*tag));
        failed.chain(self.dispatcher.indices().filter(other_data_centre)).collect()
    }

    fn is_same_data_centre(&self, idx: ServerIdx) -> bool {
        self.dispatcher.servers[idx.get()].view.same_data_centre
    }

    fn cancel_waiting(&mut self, id: WaitId) {
        self.waiting.remove(&id);
        self.dispatcher.cancel_waiting(id);
    }

    /// Drops requests whose tickets have expired.
    fn sweep(&mut self, now: Instant) {
        if self.sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.sweep_at = Some(now + SWEEP_PERIOD);
        let is_expired = |(_, ticket): &(&RequestKey, &Ticket)| ticket.expires_at <= now;
        let expired: Vec<RequestKey> =
            self.tickets.iter().filter(is_expired).map(|(key, _)| *key).collect();
        for key in expired {
            match self.tickets.remove(&key).map(|ticket| ticket.state) {
                Some(State::Waiting { id, .. }) => self.cancel_waiting(id),
                Some(State::Running { in_flight, .. }) => self.dispatcher.end_request(in_flight),
                None => {}
            }
        }
    }
}

impl Default for Coordinator {
    fn default() -> Self {
        Self::new()
    }
}

fn reply((to, ticket): RequestKey, verdict: StartVerdict) -> CoordinatorAction {
    CoordinatorAction::Reply { to, reply: StartReply { ticket, verdict } }
}
