//! The dispatcher of one VM.

use {
    crate::{
        cost::{cost_s, fraction, predicted_s, shuffled, stalls_streams},
        demand_log::DemandLog,
        load::{Load, ServerLoad},
        need::Need,
        prompt_sent::PromptSent,
        reading_fit::{DEFAULT_S_PER_TOKEN, ReadingFit},
        repeat_budget::{RepeatBudget, RepeatLimit},
        reserved::{Kept, Reserved, Turn},
        server::{Server, ServerIdx},
        verdict::{Refusal, Verdict},
        view::View,
    },
    glade_catalog::{Catalog, DemandReport, ServerKey, ServerRecord, base_of},
    glade_types::{ModelName, ServiceName},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Advice to callers while nothing is known of when a server will be available.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
/// Time that the holder of the lease is given to decide about a model that no engine holds.
const PLACEMENT_TIME: Duration = Duration::from_millis(400);
/// Part of a request's patience for which it waits for the same, where that is longer: a load that has
/// to wait for others still ends in time for it.
const PLACEMENT_SHARE: f64 = 0.33;
/// Time that the holder of the lease is given to bring an adapter to an engine with its model.
const ADAPTER_TIME: Duration = Duration::from_millis(1500);
/// Time that is left to a request whose model has just arrived for its first byte: reading a prompt of
/// average length on either users' engines, behind another.
const FIRST_READ: Duration = Duration::from_millis(60);
/// An outlier's share of failures is this many times the median of its service's servers, and this
/// much more.
const OUTLIER_RATIO: f64 = 2.0;
const OUTLIER_MARGIN: f64 = 0.15;
/// Nodes that may choose among all servers without choosing the same one; the loads in
/// `tests/loads.rs` are served best with it.
const NODES_THAT_AGREE: usize = 8;
/// How much chance there is in the choices of a crowd: more, the less its nodes know of each other's
/// prompts. The loads in `tests/loads.rs` are served best with these.
const BLUR_WITH_WORD: Blur = Blur { cost_s: 0.08, drawn_min: 4 };
const BLUR_WITHOUT_WORD: Blur = Blur { cost_s: 0.16, drawn_min: 2 };
/// Most prompts that wait to be told; a VM sends a few in the time that they wait.
const UNTOLD_MAX: usize = 256;
/// Part of a server's memory for prompts that is filled before requests wait.
const MEMORY_SHARE: f64 = 0.9;

/// Chance in choices.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Blur {
    /// Largest cost that is added to a server, in seconds.
    cost_s: f64,
    /// Servers that each choice has, where there are as many.
    drawn_min: usize,
}

/// When a server that takes no requests now would answer one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Later {
    /// Time for which it wants no requests from this VM, in seconds.
    closed_s: f64,
    /// Predicted time to the first byte, in seconds.
    first_byte_s: f64,
}

impl Later {
    /// The sooner of the two.
    fn sooner(self, other: Self) -> Self {
        if other.first_byte_s < self.first_byte_s { other } else { self }
    }
}

/// A request that was sent and hasn't ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlightId(u64);

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(u64);

#[derive(Clone, Debug)]
struct Flight {
    server: ServerIdx,
    sent_at: Instant,
    /// Its prompt, if no other waited there.
    alone: Option<Alone>,
    /// What it still counts for.
    load: Load,
}

/// A prompt that is read alone, as far as is known.
#[derive(Clone, Debug)]
struct Alone {
    model: ModelName,
    tokens: u32,
    event_tokens: u32,
}

/// What a decision about a server rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Basis {
    /// What this VM has under way there.
    pub own: Load,
    /// What the other VMs last said they have.
    pub others: Load,
    /// Share of its latest requests that failed.
    pub failed_share: f64,
    /// Mean time to its first byte, in seconds.
    pub answer_s: f64,
    /// How much slower than its service it seems to read.
    pub slowness: f64,
    /// Time of a step in which it reads nothing, in seconds.
    pub step_s: f64,
    /// It is in this VM's data centre.
    pub near: bool,
}

/// Decides for all requests of one VM.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) servers: Vec<Server>,
    index: HashMap<ServerKey, ServerIdx>,
    by_tag: HashMap<u32, ServerIdx>,
    /// Usable servers by what they hold.
    holders: HashMap<ModelName, Vec<ServerIdx>>,
    /// Prompts that were sent and not told to the other VMs.
    untold: Vec<PromptSent>,
    /// When there was last word of other VMs' prompts.
    pub(crate) word_at: Option<Instant>,
    flights: HashMap<FlightId, Flight>,
    pub(crate) waiting: BTreeMap<WaitId, (Need, Vec<ServerIdx>)>,
    /// Servers that are kept free for those of them that go first.
    reserved: Reserved,
    /// For which servers they wait, by the tags of their keys, in hundredths of requests.
    pub(crate) waiting_by_server: HashMap<u32, u32>,
    arriving: HashMap<ModelName, Instant>,
    kv_capacity: HashMap<ServiceName, u64>,
    /// How fast the engines of each service read.
    reading: HashMap<ServiceName, ReadingFit>,
    /// The same, model by model: larger models are read more slowly.
    reading_by_model: HashMap<ModelName, ReadingFit>,
    demand: DemandLog,
    repeat_limit: RepeatLimit,
    repeats: HashMap<ServiceName, RepeatBudget>,
    pub(crate) live_vms: u32,
    /// Drawn for this VM: by it a crowd shares out the servers of plain services.
    pub(crate) own_draw: u32,
    next_id: u64,
}

impl Dispatcher {
    /// Returns a dispatcher that knows no servers. `own_draw` is a number drawn for this VM.
    pub fn new(repeat_limit: RepeatLimit, own_draw: u32) -> Self {
        Self {
            own_draw,
            servers: Vec::new(),
            index: HashMap::new(),
            by_tag: HashMap::new(),
            holders: HashMap::new(),
            untold: Vec::new(),
            word_at: None,
            flights: HashMap::new(),
            waiting: BTreeMap::new(),
            reserved: Reserved::default(),
            waiting_by_server: HashMap::new(),
            arriving: HashMap::new(),
            kv_capacity: HashMap::new(),
            reading: HashMap::new(),
            reading_by_model: HashMap::new(),
            demand: DemandLog::default(),
            repeat_limit,
            repeats: HashMap::new(),
            live_vms: 1,
            next_id: 0,
        }
    }

    /// Puts another bound on repeats in force.
    pub fn set_repeat_limit(&mut self, limit: RepeatLimit) {
        self.repeat_limit = limit;
        self.repeats.values_mut().for_each(|budget| budget.set_limit(limit));
    }

    /// Takes over what the control thread believes now.
    pub fn sync(&mut self, view: &View) {
        let mut has_changed = false;
        for server in &mut self.servers {
            server.was_usable = std::mem::replace(&mut server.view.usable, false);
        }
        for seen in &view.servers {
            match self.index.get(&seen.record.key) {
                Some(idx) => has_changed |= self.servers[idx.get()].see(seen),
                None => {
                    has_changed = true;
                    let idx = ServerIdx(self.servers.len() as u32);
                    self.index.insert(seen.record.key.clone(), idx);
                    self.by_tag.insert(seen.record.key.tag(), idx);
                    let mut server = Server::new(seen.clone());
                    if let Some(fit) = self.reading.get(&seen.record.service) {
                        server.speed.set_first_s(fit.first_s());
                    }
                    self.servers.push(server);
                }
            }
        }
        has_changed |= self.servers.iter().any(|server| server.was_usable != server.view.usable);
        if has_changed {
            self.index_holders();
        }
        self.live_vms = view.live_vms.max(1);
        self.arriving.clone_from(&view.arriving);
        if let Some(catalog) = &view.catalog {
            self.set_windows(catalog);
            self.kv_capacity = catalog
                .services()
                .filter_map(|service| {
                    let class = service.engine_class.as_ref()?;
                    Some((service.name.clone(), class.kv_capacity_tokens))
                })
                .collect();
        }
    }

    /// Takes over how long the streams of each service may pause.
    fn set_windows(&mut self, catalog: &Catalog) {
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
    pub fn arrive(&mut self, need: &Need) {
        if let Some(model) = &need.model {
            self.demand.arrive(model, need.prompt_tokens);
        }
    }

    /// A request has got its answer or was given up.
    pub fn leave(&mut self, need: &Need) {
        if let Some(model) = &need.model {
            self.demand.leave(model);
        }
    }

    /// Decides where `need` goes. Servers in `tried` have failed it before. Servers that are set aside
    /// are used only where no other will do.
    pub fn decide(&self, now: Instant, need: &Need, tried: &[ServerIdx]) -> Verdict {
        let verdict = self.choose(now, need, tried, false);
        match verdict {
            Verdict::Send(_) | Verdict::Wait { missing: false } => verdict,
            Verdict::Wait { missing: true } | Verdict::Refuse { .. } => {
                match self.choose(now, need, tried, true) {
                    Verdict::Send(server) => Verdict::Send(server),
                    Verdict::Wait { .. } | Verdict::Refuse { .. } => verdict,
                }
            }
        }
    }

    fn choose(
        &self,
        now: Instant,
        need: &Need,
        tried: &[ServerIdx],
        with_set_aside: bool,
    ) -> Verdict {
        let reading_us = self.reading_us(need);
        let (candidates, is_held) = self.candidates(need, tried);
        // Servers that are set aside are known all the same.
        let mut known = is_held;
        let mut base_held = false;
        let mut crowded: Option<Later> = None;
        let mut fitting: Vec<(u64, ServerIdx)> = Vec::new();
        let base = need.model.as_ref().map(base_of);
        let turn = Turn::of(now, need);
        for idx in candidates {
            let server = &self.servers[idx.get()];
            if server.view.record.service != need.service
                || !server.is_usable()
                || (server.health.is_set_aside(now) && !with_set_aside)
                || tried.contains(&idx)
            {
                continue;
            }
            known = true;
            if let (Some(model), Some(base)) = (&need.model, base) {
                base_held |= server.view.holds.contains(base);
                if !server.view.holds.contains(model) {
                    continue;
                }
            }
            let closed_s = server.closed_for(now).as_secs_f64();
            let before_us = self.reserved.before(idx, &turn);
            if closed_s > 0.0 || !self.has_room(now, server, need, reading_us, before_us) {
                let later = Later {
                    closed_s,
                    first_byte_s: closed_s
                        + predicted_s(now, server, need, reading_us)
                        + server.speed.read_s(self.reserved.queued(idx, &turn)),
                };
                crowded = Some(crowded.map_or(later, |least| least.sooner(later)));
                continue;
            }
            fitting.push((shuffled(need.draw, idx), idx));
        }
        if let [(_, only)] = fitting[..]
            && self.is_crowd()
            && self.has_word(now)
        {
            let server = &self.servers[only.get()];
            let recent_us = server.recent_beyond_unread_us(now);
            if stalls_streams(now, server, need, recent_us, reading_us) {
                let predicted = predicted_s(now, server, need, reading_us);
                return self
                    .in_time(now, need, predicted)
                    .unwrap_or(Verdict::Wait { missing: false });
            }
        }
        let chosen = if need.model.is_none() && self.is_crowd() {
            self.own_share(&fitting)
        } else {
            self.cheapest(now, need, reading_us, fitting)
        };
        if let Some(idx) = chosen {
            let predicted = predicted_s(now, &self.servers[idx.get()], need, reading_us);
            return self.in_time(now, need, predicted).unwrap_or(Verdict::Send(idx));
        }
        if let Some(later) = crowded {
            return match self.in_time(now, need, later.first_byte_s) {
                None => Verdict::Wait { missing: false },
                Some(_) if later.closed_s > 0.0 => {
                    refuse(Refusal::Overloaded, Duration::from_secs_f64(later.closed_s))
                }
                Some(refusal) => refusal,
            };
        }
        if !known {
            return refuse(Refusal::NoServer, RETRY_AFTER_DEFAULT);
        }
        self.absent(now, need, base_held)
    }

    /// Servers to look at for `need`: those that hold its model, if any is left to try, or else all. True if
    /// they hold it.
    fn candidates(&self, need: &Need, tried: &[ServerIdx]) -> (Vec<ServerIdx>, bool) {
        let holders = need.model.as_ref().and_then(|model| self.holders.get(model));
        let is_left = |idx: &ServerIdx| !tried.contains(idx) && self.servers[idx.get()].is_usable();
        match holders {
            Some(holders) if holders.iter().any(is_left) => (holders.clone(), true),
            _ => (self.indices().collect(), false),
        }
    }

    /// Works out anew which servers hold what.
    fn index_holders(&mut self) {
        self.holders.clear();
        for (server, position) in self.servers.iter().zip(0..) {
            for name in server.view.holds.iter().filter(|_| server.view.usable) {
                self.holders.entry(name.clone()).or_default().push(ServerIdx(position));
            }
        }
    }

    /// The server of least cost among some of `fitting`, which are drawn by their first fields.
    ///
    /// Nodes learn of each other's sends late. Were each to choose among all servers, all would choose
    /// the same one until its load is known; with a few drawn for each request, a server gets at most a
    /// few times its share meanwhile. The more nodes send beside this one, the fewer are drawn.
    fn cheapest(
        &self,
        now: Instant,
        need: &Need,
        reading_us: u64,
        mut fitting: Vec<(u64, ServerIdx)>,
    ) -> Option<ServerIdx> {
        let drawn = (fitting.len() * NODES_THAT_AGREE).div_ceil(self.live_vms as usize);
        let blur = if self.has_word(now) { BLUR_WITH_WORD } else { BLUR_WITHOUT_WORD };
        let drawn = drawn.max(blur.drawn_min);
        if drawn < fitting.len() {
            fitting.sort_unstable();
            fitting.truncate(drawn);
        }
        let blur_s = if self.is_crowd() { blur.cost_s } else { 0.0 };
        let cost = |idx: ServerIdx| {
            cost_s(now, &self.servers[idx.get()], need, reading_us)
                + blur_s * fraction(need.draw, idx)
        };
        let cheaper = |best: (f64, ServerIdx), (_, idx): &(u64, ServerIdx)| {
            let cost = cost(*idx);
            if cost < best.0 { (cost, *idx) } else { best }
        };
        let (_, first) = *fitting.first()?;
        Some(fitting[1..].iter().fold((cost(first), first), cheaper).1)
    }

    /// A refusal, if nobody will wait for `predicted_s` seconds any more.
    fn in_time(&self, now: Instant, need: &Need, predicted_s: f64) -> Option<Verdict> {
        let left_s = need.give_up_at.saturating_duration_since(now).as_secs_f64();
        if predicted_s < left_s {
            return None;
        }
        let wait = Duration::from_secs_f64((predicted_s - left_s).clamp(0.1, 5.0));
        Some(refuse(Refusal::Overloaded, wait))
    }

    /// No usable server holds what is needed: waits if it will be there in time.
    fn absent(&self, now: Instant, need: &Need, base_held: bool) -> Verdict {
        let Some(model) = &need.model else {
            return refuse(Refusal::NoServer, RETRY_AFTER_DEFAULT);
        };
        if base_held {
            let last = need.give_up_at.checked_sub(FIRST_READ).unwrap_or(need.arrived_at);
            let until = last.min(need.arrived_at + ADAPTER_TIME);
            return if now < until {
                Verdict::Wait { missing: true }
            } else {
                refuse(Refusal::NotResident, RETRY_AFTER_DEFAULT)
            };
        }
        match self.arriving.get(base_of(model)).map(|at| likely_at(now, *at)) {
            Some(at) if at + FIRST_READ < need.give_up_at => Verdict::Wait { missing: true },
            Some(at) => {
                let wait = at.saturating_duration_since(now);
                refuse(Refusal::NotResident, wait.max(RETRY_AFTER_DEFAULT))
            }
            None if now < placement_until(need) => Verdict::Wait { missing: true },
            None => refuse(Refusal::NotResident, need.model_load.max(RETRY_AFTER_DEFAULT)),
        }
    }

    /// True if the request can go to `server` now, beside what takes `before_us` to read for which the
    /// server is reserved.
    fn has_room(
        &self,
        now: Instant,
        server: &Server,
        need: &Need,
        reading_us: u64,
        before_us: u64,
    ) -> bool {
        let load = server.load(now);
        let slots = server.view.record.slots.max(1);
        let Some(capacity) = self.kv_capacity.get(&need.service) else {
            let known = if self.is_crowd() { server.own } else { load };
            return known.in_flight < slots * 2;
        };
        let tokens = u64::from(need.prompt_tokens) + u64::from(need.output_tokens);
        let room = (*capacity as f64 * MEMORY_SHARE) as u64;
        load.in_flight < slots
            && (!self.is_crowd() || self.has_turn(now, server, need))
            && (load.held_tokens + tokens <= room || load.in_flight == 0)
            && (self.is_crowd() || !stalls_streams(now, server, need, before_us, reading_us))
    }

    /// Keeps a request until [`Dispatcher::due`] gives a verdict on it.
    pub fn wait(&mut self, need: &Need, tried: &[ServerIdx]) -> WaitId {
        let id = WaitId(self.next_id());
        self.waiting.insert(id, (need.clone(), tried.to_vec()));
        self.count_waiting();
        id
    }

    /// Forgets a waiting request.
    pub fn forget(&mut self, id: WaitId) {
        if self.waiting.remove(&id).is_some() {
            self.count_waiting();
        }
    }

    /// Requests that need wait no longer, the most urgent first. Those that are to be sent count as
    /// under way from now on.
    pub fn due(&mut self, now: Instant) -> Vec<(WaitId, Verdict, Option<FlightId>)> {
        let mut order: Vec<WaitId> = self.waiting.keys().copied().collect();
        order.sort_by_key(|id| Turn::of(now, &self.waiting[id].0));
        self.reserved.clear();
        let mut due = Vec::new();
        for id in order {
            let (need, tried) = &self.waiting[&id];
            let verdict = self.decide(now, need, tried);
            if matches!(verdict, Verdict::Wait { .. }) {
                if let Some(server) = self.soonest(now, need, tried) {
                    let kept = Kept::of(now, need, self.reading_us(need));
                    self.reserved.add(server, kept);
                }
                continue;
            }
            let Some((need, _)) = self.waiting.remove(&id) else { continue };
            let flight = match verdict {
                Verdict::Send(server) => Some(self.begin(now, &need, server)),
                Verdict::Wait { .. } | Verdict::Refuse { .. } => None,
            };
            due.push((id, verdict, flight));
        }
        if !due.is_empty() {
            self.count_waiting();
        }
        due
    }

    /// The server that holds what `need` wants and has least to read.
    fn soonest(&self, now: Instant, need: &Need, tried: &[ServerIdx]) -> Option<ServerIdx> {
        let model = need.model.as_ref()?;
        let turn = Turn::of(now, need);
        let fits = |(idx, server): &(ServerIdx, &Server)| {
            server.view.record.service == need.service
                && server.takes_requests(now)
                && server.view.holds.contains(model)
                && !tried.contains(idx)
        };
        let to_read = |(idx, server): &(ServerIdx, &Server)| {
            server.load(now).unread_us + self.reserved.queued(*idx, &turn)
        };
        let holders = self.holders.get(model)?.iter();
        let servers = holders.map(|idx| (*idx, &self.servers[idx.get()]));
        servers.filter(fits).min_by_key(to_read).map(|(idx, _)| idx)
    }

    /// Longest time that `need` may take from its choice of a server to its last byte.
    pub fn longest_time(&self, now: Instant, need: &Need) -> Duration {
        let reading_us = self.reading_us(need);
        let servers =
            self.servers.iter().filter(|server| server.view.record.service == need.service);
        let slowest = servers
            .filter(|server| server.view.usable)
            .map(|server| {
                predicted_s(now, server, need, reading_us)
                    + server.speed.generate_s(need.output_tokens_max)
            })
            .fold(0.0, f64::max);
        Duration::from_secs_f64(slowest)
    }

    /// Takes note that `need` is sent to `server`.
    pub fn begin(&mut self, now: Instant, need: &Need, server: ServerIdx) -> FlightId {
        let id = FlightId(self.next_id());
        let unread_us = self.reading_us(need);
        let held_tokens = u64::from(need.prompt_tokens) + u64::from(need.output_tokens);
        let load = Load { in_flight: 1, unread_us, held_tokens, ..Load::default() };
        let row = &mut self.servers[server.get()];
        let is_alone = row.load(now).unread_us == 0;
        let alone = need.model.as_ref().filter(|_| is_alone).map(|model| Alone {
            model: ModelName::new(base_of(model)),
            tokens: need.prompt_tokens,
            event_tokens: need.tokens_per_event,
        });
        row.own.add(&load);
        row.on_prompt(now, unread_us);
        if need.prompt_tokens > 0 && self.live_vms > 1 && self.untold.len() < UNTOLD_MAX {
            let server = row.view.record.key.tag();
            let reading_us = u32::try_from(unread_us).unwrap_or(u32::MAX);
            self.untold.push(PromptSent { server, reading_us });
        }
        self.flights.insert(id, Flight { server, sent_at: now, alone, load });
        id
    }

    /// Takes note of the first byte of an answer.
    pub fn answered(&mut self, now: Instant, id: FlightId) {
        let sent_at = self.flights.get(&id).map(|flight| flight.sent_at);
        if let Some(sent_at) = sent_at {
            self.answered_after(id, now.saturating_duration_since(sent_at));
        }
    }

    /// Takes note of the first byte of an answer, which came after `time`.
    pub fn answered_after(&mut self, id: FlightId, time: Duration) {
        let Some(flight) = self.flights.get_mut(&id) else { return };
        let row = &mut self.servers[flight.server.get()];
        row.own.unread_us -= std::mem::take(&mut flight.load.unread_us);
        row.speed.on_answer(time);
        let Some(alone) = flight.alone.take() else { return };
        let event_s = row.speed.step_s() * f64::from(alone.event_tokens);
        let took_s = (time.as_secs_f64() - event_s).max(0.0);
        let service = row.view.record.service.clone();
        let fit = self.reading.entry(service.clone()).or_default();
        let of_model =
            self.reading_by_model.entry(alone.model).or_insert_with(|| ReadingFit::like(fit));
        row.speed.on_read_alone(took_s, of_model.time_s(f64::from(alone.tokens)));
        of_model.on_read(alone.tokens, took_s);
        fit.on_read(alone.tokens, took_s);
        let first_s = fit.first_s();
        let alike = self.servers.iter_mut().filter(|row| row.view.record.service == service);
        alike.for_each(|row| row.speed.set_first_s(first_s));
    }

    /// Time that an engine takes to read the prompt of `need`, in microseconds.
    pub(crate) fn reading_us(&self, need: &Need) -> u64 {
        let of_model =
            need.model.as_ref().and_then(|model| self.reading_by_model.get(base_of(model)));
        let fit = of_model.or_else(|| self.reading.get(&need.service));
        let s_per_token = fit.map_or(DEFAULT_S_PER_TOKEN, ReadingFit::s_per_token);
        (f64::from(need.prompt_tokens) * s_per_token * 1e6) as u64
    }

    /// Takes note that a server answered a request well, to its last byte.
    pub fn succeeded(&mut self, id: FlightId) {
        if let Some(flight) = self.flights.get(&id) {
            self.servers[flight.server.get()].health.on_success();
        }
    }

    /// Takes note that `tokens` were generated in `time` after the first byte, with steps of `step` where
    /// nothing was read meanwhile.
    pub fn generated(&mut self, id: FlightId, tokens: u32, time: Duration, step: Option<Duration>) {
        if let Some(flight) = self.flights.get(&id) {
            let speed = &mut self.servers[flight.server.get()].speed;
            speed.on_generated(tokens, time);
        }
        self.stepped(id, step);
    }

    /// Takes note of the time of a step of a request's server in which nothing was read.
    pub(crate) fn stepped(&mut self, id: FlightId, step: Option<Duration>) {
        if let (Some(flight), Some(step)) = (self.flights.get(&id), step) {
            self.servers[flight.server.get()].speed.on_step(step);
        }
    }

    /// The server of a request, and the time that it takes to read its prompt, in microseconds.
    pub(crate) fn reading_of(&self, id: FlightId) -> Option<(ServerIdx, u64)> {
        self.flights.get(&id).map(|flight| (flight.server, flight.load.unread_us))
    }

    /// The server whose key has `tag`.
    pub fn server_with(&self, tag: u32) -> Option<ServerIdx> {
        self.by_tag.get(&tag).copied()
    }

    /// True if a request may be sent to the server at `idx` now, as far as is known here.
    pub fn may_send_to(&self, now: Instant, idx: ServerIdx) -> bool {
        let server = &self.servers[idx.get()];
        server.is_usable() && server.closed_for(now).is_zero()
    }

    /// All servers that were ever known.
    pub(crate) fn indices(&self) -> impl Iterator<Item = ServerIdx> {
        (0..self.servers.len() as u32).map(ServerIdx)
    }

    /// Takes note that a server failed a request in a way that counts as `weight` failures. Returns
    /// how long it is set aside for that, if it is.
    pub fn failed(&mut self, now: Instant, server: ServerIdx, weight: u32) -> Option<Duration> {
        self.servers[server.get()].health.on_failure(now, weight)
    }

    /// True if a server fails clearly more often than the others of its service. A failure that is the
    /// same on all servers is the request's own, and asking another is of no use.
    pub fn is_outlier(&self, idx: ServerIdx) -> bool {
        let server = &self.servers[idx.get()];
        let service = &server.view.record.service;
        let mut shares: Vec<f64> = self
            .servers
            .iter()
            .filter(|other| other.view.usable && other.view.record.service == *service)
            .map(|other| other.health.failed_share())
            .collect();
        shares.sort_by(f64::total_cmp);
        let median = shares.get(shares.len() / 2).copied().unwrap_or(0.0);
        server.health.failed_share() > median * OUTLIER_RATIO + OUTLIER_MARGIN
    }

    /// Takes note that a server's process is gone. It gets no requests until the registry says
    /// something new of it.
    pub fn mark_gone(&mut self, idx: ServerIdx) -> ServerKey {
        let server = &mut self.servers[idx.get()];
        server.gone = true;
        server.view.record.key.clone()
    }

    /// Takes note that a server has said that it is about to end. It gets no new requests for the rest of
    /// its life. Returns its key unless that was known.
    pub fn mark_leaving(&mut self, idx: ServerIdx) -> Option<ServerKey> {
        let server = &mut self.servers[idx.get()];
        let is_new = !std::mem::replace(&mut server.leaving, true);
        is_new.then(|| server.view.record.key.clone())
    }

    /// Takes note that a server wants no requests from this VM for `time`.
    pub fn close(&mut self, now: Instant, idx: ServerIdx, time: Duration) {
        let late = fraction(self.own_draw, idx);
        self.servers[idx.get()].close(now, time, late);
    }

    /// Counts the first send of a request to `service`.
    pub fn count_first(&mut self, now: Instant, service: &ServiceName) {
        self.budget(service).on_first(now);
    }

    /// Takes the right to send a request to `service` once more, if the budget allows it.
    pub fn take_repeat(&mut self, now: Instant, service: &ServiceName) -> bool {
        let vms = self.live_vms;
        self.budget(service).take(now, vms)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RepeatBudget {
        let limit = self.repeat_limit;
        self.repeats.entry(service.clone()).or_insert_with(|| RepeatBudget::new(limit))
    }

    /// Takes note that a request has ended, in whatever way.
    pub fn end(&mut self, id: FlightId) {
        let Some(flight) = self.flights.remove(&id) else { return };
        let own = &mut self.servers[flight.server.get()].own;
        own.in_flight -= flight.load.in_flight;
        own.unread_us -= flight.load.unread_us;
        own.held_tokens -= flight.load.held_tokens;
    }

    /// The description of the server at `idx`.
    pub fn record(&self, idx: ServerIdx) -> &Arc<ServerRecord> {
        &self.servers[idx.get()].view.record
    }

    /// What a decision about the server at `idx` rests on, for logs.
    pub fn basis(&self, now: Instant, idx: ServerIdx) -> Basis {
        let server = &self.servers[idx.get()];
        Basis {
            own: server.own,
            others: server.others_load(now),
            failed_share: server.health.failed_share(),
            answer_s: server.speed.answer_s(),
            slowness: server.speed.slowness(),
            step_s: server.speed.step_s(),
            near: server.view.near,
        }
    }

    /// What this VM has under way, server by server.
    pub fn loads(&self) -> Vec<ServerLoad> {
        self.servers
            .iter()
            .map(|server| ServerLoad {
                server: server.view.record.key.tag(),
                load: Load { waiting_hundredths: self.waiting_at(server), ..server.own },
            })
            .filter(|server| server.load != Load::default())
            .collect()
    }

    /// Prompts that were sent since this was last called.
    pub fn take_prompts(&mut self) -> Vec<PromptSent> {
        std::mem::take(&mut self.untold)
    }

    /// Other VMs have sent `prompts`.
    pub fn sent_elsewhere(&mut self, now: Instant, prompts: &[PromptSent]) {
        if !prompts.is_empty() {
            self.word_at = Some(now);
        }
        for prompt in prompts {
            if let Some(idx) = self.by_tag.get(&prompt.server) {
                let server = &mut self.servers[idx.get()];
                server.elsewhere.on_prompt(now, u64::from(prompt.reading_us));
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

/// Until when a request waits for the holder of the lease to decide about its model. A load that begins
/// later would end when nobody waits any more.
fn placement_until(need: &Need) -> Instant {
    let patience = need.give_up_at.saturating_duration_since(need.arrived_at);
    // Even a copy at hand would be there too late: an answer of the holder's could only say so.
    if patience < need.model_load_min + FIRST_READ {
        return need.arrived_at;
    }
    let last = patience.saturating_sub(need.model_load + FIRST_READ);
    let wait = PLACEMENT_TIME.min(patience.saturating_sub(need.model_load_min + FIRST_READ));
    need.arrived_at + wait.max(patience.mul_f64(PLACEMENT_SHARE).min(last))
}

/// When something that was expected at `at` is likely to be there. What is overdue is expected to be
/// late for as long again.
fn likely_at(now: Instant, at: Instant) -> Instant {
    at.max(now + now.saturating_duration_since(at))
}

fn refuse(reason: Refusal, retry_after: Duration) -> Verdict {
    Verdict::Refuse { reason, retry_after }
}
