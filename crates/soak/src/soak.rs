//! One run of the soak.

use {
    crate::{
        checks::{
            NOTHING_DENIED, Seen, Violation, check, check_not_run, check_overlap, check_unanswered,
        },
        crashing_part::CrashingPart,
        harm::{Harm, Harmed},
        hostile_clients::{HostileClients, VM_LIMITS},
        kept_callers::KeptCallers,
        named_limits::NamedLimits,
        odd_store,
        oddities::{plan_oddities, plan_spoiled_streams},
        out_of_touch::plan_out_of_touch,
        plan::{Fault, Planned, Stalls, Targets, plan, plan_restores, plan_stalls},
        proxy::{Link, Proxy},
        releases::{Releases, plan_releases},
        removals::Removals,
        restarts::{Restarts, Told},
        resuming_callers::ResumingCallers,
        sent_request::SentRequest,
        series::{Series, plan_series},
        server_faults::ServerFaults,
        teams::Teams,
    },
    glade_clock::Clock,
    glade_standins::site::{Caller, EngineFault, KeptOutcome, Reply, SiteServer, StoreFault},
    glade_system::{
        changed_catalog,
        site::{BATCH, BROWSE, CHAT, CLAIM, EVENTS, Site, caller_terms, catalog},
    },
    std::{collections::VecDeque, path::PathBuf, sync::Arc, time::Duration},
    tokio::task::JoinHandle,
};

/// Period at which faults begin and end, and requests are sent.
const TICK: Duration = Duration::from_millis(10);
/// Time after the last fault during which nodes may still end of it.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Requests under way at a time; a stream takes a tenth of a second.
const UNDER_WAY_MAX: usize = 200;
/// Base models that fit on an engine of the stand-ins.
const BASES_MAX: usize = 3;
/// One in so many restores of the store is played beside losses of touch.
const RESTORES_ONE_IN: usize = 6;
/// Plain servers of a site.
const PLAIN: usize = 2;

/// Number of the signal by which the platform tells a process to end.
const SIGTERM: i32 = 15;

/// How large a soak is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Time during which faults come.
    pub time: Duration,
    /// Mean time between the beginnings of two faults.
    pub gap: Duration,
    /// Stalls of servers; `None` without any.
    pub stalls: Option<Stalls>,
    /// Mean time between two requests.
    pub request_gap: Duration,
    /// When requests with a part that crashes engines begin to come; `None` without any.
    pub crashing_from: Option<Duration>,
    /// When servers begin to name limits on their requests; `None` without any.
    pub limits_from: Option<Duration>,
    /// Planned work, with callers that keep their connections; `None` without any.
    pub series: Option<Series>,
    /// Mean time between two odd rows or repeated answers; `None` without any.
    pub odd_gap: Option<Duration>,
    /// Releases of the engines' software, with callers that take streams up; `None` without any.
    pub releases: Option<Releases>,
    /// Mean time between two losses of touch; `None` without any.
    pub out_of_touch_gap: Option<Duration>,
    /// Whether callers are of teams with keys and quotas.
    pub teams: bool,
    /// Whether a crowd of callers holds bodies at nodes of small VMs.
    pub hostile_clients: bool,
}

/// What a soak has seen.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests that were sent.
    pub requests: usize,
    /// Requests answered with 200 to their end.
    pub served: usize,
    /// Faults that came.
    pub faults: usize,
    /// Streams that callers took up, by attempt.
    pub taken_up: usize,
    /// Those of them that brought further events.
    pub went_on: usize,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Where the nodes' logs are, if a promise was broken.
    pub logs: Option<PathBuf>,
}

/// A request that is under way.
struct Sent {
    request: SentRequest,
    reply: JoinHandle<Option<Reply>>,
}

/// An engine that leaves.
struct FormerEngine {
    position: usize,
    /// Number of the version of the engine in its place.
    replaced_by: u32,
    server: SiteServer,
    /// Passes its connections on as long as it is kept.
    _link: Proxy,
}

/// A running soak.
pub struct Soak {
    site: Site,
    size: Size,
    rng: fastrand::Rng,
    clock: Arc<dyn Clock>,
    /// Time by ticks.
    now: Duration,
    store_links: Vec<Proxy>,
    engine_links: Vec<Proxy>,
    /// Names of the engines at each position, those that were replaced included.
    engine_ids: Vec<Vec<String>>,
    former_engines: Vec<FormerEngine>,
    engine_faults: Vec<ServerFaults>,
    plain_faults: Vec<ServerFaults>,
    /// Faults that are on, with the time at which they end.
    on: Vec<(Duration, Fault)>,
    harm: Harm,
    sent: Vec<Sent>,
    /// Requests that have ended and that more than one server has run.
    moved: Vec<Seen>,
    version: u64,
    /// Crashes of each engine, and the fence that it had since the last.
    fences: Vec<(u64, u64)>,
    crashing_part: Option<CrashingPart>,
    named_limits: Option<NamedLimits>,
    kept_callers: Option<KeptCallers>,
    resuming_callers: Option<ResumingCallers>,
    teams: Option<Teams>,
    hostile_clients: Option<HostileClients>,
    restarts: Restarts,
    removals: Removals,
    report: Report,
}

impl Soak {
    /// Starts nodes and stand-ins, and waits until all nodes serve.
    pub fn start(seed: u64, size: Size, clock: Arc<dyn Clock>) -> Self {
        Self::start_with(seed, size, clock, None)
    }

    /// The same with nodes that change to the program `other_node`, another version, with every
    /// second start.
    pub fn start_with(
        seed: u64,
        size: Size,
        clock: Arc<dyn Clock>,
        other_node: Option<PathBuf>,
    ) -> Self {
        let holds: Vec<&[&str]> = (0..size.engines).map(models_at).collect();
        let mut site = Site::start_limited(0, &holds, size.hostile_clients.then_some(VM_LIMITS));
        other_node.into_iter().for_each(|program| site.set_other_node(program));
        let bind = |site: &Site, addr| site.runtime().block_on(Proxy::bind(addr));
        let engine_links: Vec<Proxy> =
            site.engines.iter().map(|engine| bind(&site, engine.addr())).collect();
        for (engine, link) in site.engines.iter().zip(&engine_links) {
            engine.advertise(link.addr());
        }
        let mut store_links = Vec::new();
        for _ in 0..size.nodes {
            let link = bind(&site, site.store.addr());
            site.add_node_by(link.addr());
            store_links.push(link);
        }
        let of_teams = fastrand::Rng::with_seed(!seed.rotate_left(16));
        let teams = size.teams.then(|| Teams::new(of_teams));
        match &teams {
            Some(teams) => site.put_catalog_with_teams(&catalog(1), &teams.json()),
            None => site.configure(1),
        }
        site.all_serve();
        let of_hostile = fastrand::Rng::with_seed(seed.rotate_left(48));
        let hostile_clients =
            size.hostile_clients.then(|| HostileClients::new(of_hostile, size.nodes));
        let of_parts = fastrand::Rng::with_seed(!seed);
        let of_limits = fastrand::Rng::with_seed(seed.rotate_left(16));
        let mut of_callers = fastrand::Rng::with_seed(seed.rotate_left(32));
        // Callers that keep their connections send no keys.
        let kept_callers = size
            .series
            .filter(|_| !size.teams)
            .map(|series| KeptCallers::new(series.callers, &mut of_callers, Arc::clone(&clock)));
        let mut of_streams = of_callers.fork();
        let resuming_callers = size
            .releases
            .filter(|_| !size.teams)
            .map(|releases| ResumingCallers::new(releases.callers, &mut of_streams));
        Self {
            kept_callers,
            resuming_callers,
            teams,
            hostile_clients,
            restarts: Restarts::new(size.nodes),
            removals: Removals::default(),
            crashing_part: size.crashing_from.map(|from| CrashingPart::new(of_parts, from)),
            named_limits: size.limits_from.map(|from| NamedLimits::new(of_limits, from)),
            fences: vec![(0, 0); site.engines.len()],
            engine_ids: site.engines.iter().map(|engine| vec![engine.id().to_owned()]).collect(),
            former_engines: Vec::new(),
            engine_faults: vec![ServerFaults::default(); site.engines.len()],
            plain_faults: vec![ServerFaults::default(); PLAIN],
            site,
            size,
            rng: fastrand::Rng::with_seed(seed),
            clock,
            now: Duration::ZERO,
            store_links,
            engine_links,
            on: Vec::new(),
            harm: Harm::default(),
            sent: Vec::new(),
            moved: Vec::new(),
            version: 1,
            report: Report::default(),
        }
    }

    /// Plays the faults, then lets the system recover, and tells what was seen.
    pub fn run(mut self) -> Report {
        let mut coming = VecDeque::from(self.plan());
        // Time goes by ticks, so that a busy machine plays the same faults and requests, only slower.
        let mut request_at = Duration::ZERO;
        while self.now < self.size.time {
            while coming.front().is_some_and(|next| next.at <= self.now) {
                let Some(next) = coming.pop_front() else { break };
                self.begin(next);
            }
            self.end_faults(self.now);
            while request_at <= self.now {
                request_at += self.size.request_gap.mul_f64(self.rng.f64() * 2.0);
                self.send();
            }
            self.look();
            if self.teams.as_mut().is_some_and(|teams| teams.revoke(self.now)) {
                self.version += 1;
                self.put_configuration();
            }
            if let Some(clients) = &mut self.hostile_clients {
                clients.play(&self.site);
            }
            if let Some(callers) = &mut self.kept_callers {
                callers.send_due(&self.site, self.now);
            }
            if let Some(callers) = &mut self.resuming_callers {
                self.report.violations.extend(callers.play(&self.site, self.now));
            }
            self.site.pause(TICK);
            self.now += TICK;
        }
        self.recover();
        if !self.report.violations.is_empty() {
            self.report.logs = Some(self.site.keep_logs().to_owned());
        }
        self.report
    }

    /// Draws all faults, in the order of their beginning. Restores, stalls, series and oddities are drawn by
    /// generators of their own, so that a seed's other faults and its requests are the same with and
    /// without them.
    fn plan(&mut self) -> Vec<Planned> {
        let Size { nodes, engines, time, gap, stalls, series, odd_gap, releases, .. } = self.size;
        let out_of_touch_gap = self.size.out_of_touch_gap;
        let targets = Targets { nodes, engines, plain: PLAIN };
        let (mut of_restores, mut of_stalls) = (self.rng.clone(), self.rng.clone().fork());
        let mut of_series = of_stalls.clone().fork();
        let mut of_oddities = of_series.clone().fork();
        let mut planned = plan(&mut self.rng, targets, time, gap);
        // A restore excuses what removed servers get for a while.
        let restores_one_in = if out_of_touch_gap.is_some() { RESTORES_ONE_IN } else { 1 };
        planned.extend(plan_restores(&mut of_restores, time).into_iter().step_by(restores_one_in));
        if let Some(stalls) = stalls {
            planned.extend(plan_stalls(&mut of_stalls, targets, time, stalls));
        }
        if let Some(series) = series {
            planned.extend(plan_series(&mut of_series, targets, time, series));
        }
        if let Some(releases) = releases {
            let mut of_releases = of_oddities.clone().fork();
            planned.extend(plan_releases(&mut of_releases, targets, time, releases));
        }
        if let Some(gap) = out_of_touch_gap {
            let mut of_losses = of_oddities.clone().fork().fork();
            planned.extend(plan_out_of_touch(&mut of_losses, targets, time, gap));
        }
        if let Some(gap) = odd_gap {
            let mut of_streams = of_oddities.fork();
            planned.extend(plan_oddities(&mut of_oddities, targets, time, gap));
            planned.extend(plan_spoiled_streams(&mut of_streams, targets, time, gap * 3));
        }
        planned.sort_by_key(|planned| planned.at);
        planned
    }

    fn begin(&mut self, planned: Planned) {
        let Planned { lasts, fault, .. } = planned;
        let until = self.now + lasts;
        self.report.faults += 1;
        self.harm.begin(fault, until);
        match fault {
            Fault::Kill { node } => {
                self.restarts.end(node);
                self.site.kill_node(node);
            }
            Fault::Terminate { node } => self.site.terminate_node(node),
            Fault::Pause { node } => self.site.pause_node(node),
            Fault::Reload { node } => self.site.reload_node(node, str::to_owned),
            Fault::StoreLink { node, link } => self.store_links[node].set(link),
            Fault::EngineLink { engine, link } => self.engine_links[engine].set(link),
            Fault::Store(fault) => self.site.store_fault(fault),
            Fault::Engine { engine, fault } => self.engine_faults[engine].set(fault),
            Fault::Plain { server, fault } => self.plain_faults[server].set(fault),
            Fault::EngineStall { engine, fault } => self.engine_faults[engine].begin_stall(fault),
            Fault::PlainStall { server, fault } => self.plain_faults[server].begin_stall(fault),
            Fault::Configuration => {
                self.version += 1;
                self.put_configuration();
            }
            Fault::Restore => self.site.store.copy(),
            Fault::Replace { engine, version } => self.replace_engine(engine, version),
            Fault::Upgrade { engine, version } => {
                self.site.engines[engine].set_version(&version_name(version));
                self.site.crash_engine(engine);
            }
            Fault::Removal { server } => self.remove(server),
            Fault::SeverStoreLink { node } => self.store_links[node].silence_open(),
            Fault::SeverEngineLink { engine } => self.engine_links[engine].silence_open(),
            Fault::Restart { node } => self.restart(node),
            Fault::ReloadChanged { node } => self.site.reload_node(node, changed_settings),
            Fault::OddEntry { key, value } => odd_store::put_entry(&self.site, key, value),
            Fault::Row { engine, fault } => {
                odd_store::set_engine_row(&self.site, engine, Some(fault));
            }
            Fault::ConfigurationRow(fault) => {
                odd_store::set_configuration_row(&self.site, Some(fault));
                self.put_configuration();
            }
        }
        self.put_server_faults();
        self.on.push((until, fault));
    }

    fn end_faults(&mut self, now: Duration) {
        // Nodes that have ended by themselves are seen before they are killed.
        self.look_at_nodes();
        let over: Vec<(Duration, Fault)> =
            self.on.extract_if(.., |(until, _)| *until <= now).collect();
        for (_, fault) in over {
            match fault {
                Fault::Kill { node } | Fault::Terminate { node } => self.start_again(node),
                Fault::Pause { node } => self.site.resume_node(node),
                Fault::StoreLink { node, .. } => self.store_links[node].set(Link::Open),
                Fault::EngineLink { engine, .. } => self.engine_links[engine].set(Link::Open),
                Fault::Store(_) => self.site.store_fault(StoreFault::None),
                Fault::Engine { engine, .. } => self.engine_faults[engine].set(EngineFault::None),
                Fault::Plain { server, .. } => self.plain_faults[server].set(EngineFault::None),
                Fault::EngineStall { engine, fault } => self.engine_faults[engine].end_stall(fault),
                Fault::PlainStall { server, fault } => self.plain_faults[server].end_stall(fault),
                Fault::Restore => self.restore(),
                Fault::Replace { engine, version } => self.end_former(engine, version),
                Fault::Removal { server } => self.end_removal(server),
                Fault::Reload { .. }
                | Fault::Configuration
                | Fault::Upgrade { .. }
                | Fault::SeverStoreLink { .. }
                | Fault::SeverEngineLink { .. }
                | Fault::Restart { .. }
                | Fault::ReloadChanged { .. } => {}
                Fault::OddEntry { key, .. } => odd_store::remove_entry(&self.site, key),
                Fault::Row { engine, .. } => {
                    odd_store::set_engine_row(&self.site, engine, None);
                }
                Fault::ConfigurationRow(_) => {
                    odd_store::set_configuration_row(&self.site, None);
                    self.put_configuration();
                }
            }
            self.put_server_faults();
        }
    }

    /// Starts an engine with another version of its software in place of one, which leaves.
    fn replace_engine(&mut self, engine: usize, version: u32) {
        let name = format!("engine-{engine}-{version}");
        let models = models_at(engine);
        let former = self.site.replace_engine_of(engine, &name, &version_name(version), models);
        former.leave();
        let server = &self.site.engines[engine];
        let link = self.site.runtime().block_on(Proxy::bind(server.addr()));
        server.advertise(link.addr());
        let former_link = std::mem::replace(&mut self.engine_links[engine], link);
        former_link.set(Link::Open);
        self.former_engines.push(FormerEngine {
            position: engine,
            replaced_by: version,
            server: former,
            _link: former_link,
        });
        self.engine_ids[engine].push(name);
        self.fences[engine] = (0, 0);
    }

    /// Ends the engine that was replaced by one of `version`.
    fn end_former(&mut self, engine: usize, version: u32) {
        let is_it =
            |former: &mut FormerEngine| former.position == engine && former.replaced_by == version;
        self.former_engines.extract_if(.., is_it).for_each(|former| former.server.end());
    }

    /// Removes the entry of a plain server, unless it is removed already.
    fn remove(&mut self, server: usize) {
        if !self.removals.is_removed(server) {
            let removed = &self.site.plain[server];
            self.removals.begin(self.now, server, removed.id());
            removed.unregister();
        }
    }

    fn end_removal(&mut self, server: usize) {
        if self.removals.is_removed(server) {
            let late = self.removals.end(server, &self.harm, &self.site.log);
            self.report.violations.extend(late);
            self.site.plain[server].register();
        }
    }

    fn put_server_faults(&self) {
        for (engine, faults) in self.engine_faults.iter().enumerate() {
            self.site.engine_fault(engine, faults.present());
        }
        for (server, faults) in self.plain_faults.iter().enumerate() {
            self.site.plain_fault(server, faults.present());
        }
    }

    /// The operator writes the configuration; with series, each differs from the one before.
    fn put_configuration(&self) {
        let catalog = match self.size.series {
            Some(_) => changed_catalog(self.version),
            None => catalog(self.version),
        };
        match &self.teams {
            Some(teams) => self.site.put_catalog_with_teams(&catalog, &teams.json()),
            None => self.site.put_catalog(&catalog),
        }
    }

    /// The store goes back to its copy; operators and backend servers write again what they had written.
    fn restore(&self) {
        self.site.store.restore();
        self.put_configuration();
        let is_there = |(position, _): &(usize, _)| !self.removals.is_removed(*position);
        let plain = self.site.plain.iter().enumerate().filter(is_there);
        let servers = self.site.engines.iter().chain(plain.map(|(_, server)| server));
        let former = self.former_engines.iter().map(|former| &former.server);
        servers.chain(former).for_each(SiteServer::register);
    }

    /// Starts a node that was killed or told to end; the platform kills one that takes too long.
    fn start_again(&mut self, node: usize) {
        self.harm.note(Harmed::Node(node), self.now);
        self.restarts.end(node);
        self.site.kill_node(node);
        self.start_next(node);
    }

    /// Starts a node, with the other version of its program if there is one.
    fn start_next(&mut self, node: usize) {
        self.site.change_version(node);
        self.site.start_node(node);
    }

    /// Tells a node to end, unless it is down or has been told.
    fn restart(&mut self, node: usize) {
        if self.site.has_process(node) && !self.restarts.is_told(node) {
            self.site.terminate_node(node);
            self.restarts.tell(node, Told { tick: self.now, at: self.clock.now() });
        }
    }

    /// Sends a request, unless too many are under way. Draws it either way, so that what follows is
    /// the same.
    fn send(&mut self) {
        let node = self.rng.usize(0..self.size.nodes);
        let path = [CHAT, BATCH, CLAIM, BROWSE][self.rng.usize(0..4)];
        let model = format!("m{}", self.rng.u8(0..3));
        if self.sent.len() >= UNDER_WAY_MAX {
            return;
        }
        let model = [CHAT, BATCH].contains(&path).then_some(model.as_str());
        let id = self.site.request_id();
        let (sent_at, began_at) = (self.now, self.clock.now());
        let places_before = self.site.log.places();
        let crashing_part = self.crashing_part.as_mut().filter(|_| model.is_some());
        let parts = crashing_part.map(|part| part.draw(self.now, &id, node)).unwrap_or_default();
        let terms = caller_terms(&id, model, EVENTS, &parts);
        let tokens = u64::from(terms.prompt_tokens) + u64::from(terms.output_tokens_max);
        let teams = self.teams.as_mut();
        let caller = teams.map_or_else(Caller::default, |teams| teams.draw(&id, tokens));
        let reply = self.site.begin_with_parts(caller, node, path, model, &id, &parts);
        self.report.requests += 1;
        self.removals.on_sent(&id, node);
        let events = EVENTS;
        let request = SentRequest { id, path, node, events, sent_at, began_at, places_before };
        self.sent.push(Sent { request, reply });
    }

    /// Checks the nodes, requests that have ended, and the engines.
    fn look(&mut self) {
        self.look_at_nodes();
        self.removals.look(self.now, self.clock.now());
        self.check_ended();
        if let Some(part) = &mut self.crashing_part {
            part.watch(self.now, &self.site.engines);
        }
        if let Some(limits) = &mut self.named_limits {
            limits.play(self.now, self.site.engines.iter().chain(&self.site.plain));
        }
        for (engine, (crashes, known)) in self.site.engines.iter().zip(&mut self.fences) {
            let holds = engine.holds();
            let bases = holds.iter().filter(|name| !name.contains('/')).count();
            if bases > BASES_MAX {
                let seen = format!("{} holds {holds:?}", engine.id());
                let promise = "no engine holds more than fits";
                self.report.violations.push(Violation { promise, seen });
            }
            let crashes_before = std::mem::replace(crashes, engine.crashes());
            let fence = engine.fence();
            // An engine that has crashed knows nothing of before.
            if engine.crashes() != crashes_before {
                *known = 0;
                continue;
            }
            if fence < *known {
                let seen = format!("{}: {fence} after {known}", engine.id());
                let promise = "no earlier holder is obeyed";
                self.report.violations.push(Violation { promise, seen });
            }
            *known = fence;
        }
    }

    /// Checks requests that have ended.
    fn check_ended(&mut self) {
        let ended: Vec<Sent> = self.sent.extract_if(.., |sent| sent.reply.is_finished()).collect();
        ended.into_iter().for_each(|sent| self.check(sent));
        let Some(callers) = &mut self.kept_callers else { return };
        let ended = callers.take_ended(&self.site, self.now);
        ended.into_iter().for_each(|(request, outcome)| self.check_kept(request, outcome));
    }

    /// Starts nodes again that have ended. One that was told to end may have been told before it could
    /// listen to that.
    fn look_at_nodes(&mut self) {
        for node in 0..self.size.nodes {
            self.look_at_overdue(node);
            let Some(code) = self.site.ended_node(node) else { continue };
            let told = self.restarts.end(node);
            let is_terminated =
                self.on.iter().any(|(_, fault)| *fault == Fault::Terminate { node });
            let is_told = is_terminated || told.is_some();
            let ends_well = is_told && [0, -SIGTERM].contains(&code);
            if !ends_well {
                let now = self.clock.now();
                let ago = told.map(|told| format!(", told to end {:?} ago", now - told.at));
                let other = if self.site.runs_other(node) { " of the other version" } else { "" };
                let seen = format!("node-{node}{other}: {code}{}", ago.unwrap_or_default());
                let promise = "no node ends by itself";
                self.report.violations.push(Violation { promise, seen });
            }
            if told.is_some() {
                self.start_next(node);
            } else if !ends_well {
                self.start_again(node);
            }
        }
    }

    /// Kills a node that outlasts its grace period, as the platform does.
    fn look_at_overdue(&mut self, node: usize) {
        let Some(told) = self.restarts.overdue(node, self.now) else { return };
        if !self.harm.is_harmed_since(Harmed::Node(node), told.tick) {
            let (promise, seen) = ("a node ends within its grace period", format!("node-{node}"));
            self.report.violations.push(Violation { promise, seen });
        }
        self.start_again(node);
    }

    fn check(&mut self, sent: Sent) {
        let is_calm = self.is_calm(&sent.request);
        let reply = self.site.finish(sent.reply);
        self.check_seen(self.seen(sent.request, is_calm, reply));
    }

    fn seen(&self, request: SentRequest, is_calm: bool, reply: Option<Reply>) -> Seen {
        let SentRequest { id, path, node, events, began_at, .. } = request;
        let took = self.clock.now().saturating_duration_since(began_at);
        Seen { id, path, node, is_calm, took, events, reply }
    }

    fn check_seen(&mut self, seen: Seen) {
        let is_served = seen.reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.whole);
        self.report.served += usize::from(is_served);
        let status = seen.reply.as_ref().map_or(0, |reply| reply.status);
        let mut found = check(&seen, &self.site.log);
        if self.teams.as_ref().is_some_and(|teams| teams.may_refuse(&seen.id, status)) {
            found.retain(|violation| violation.promise != NOTHING_DENIED);
            found.extend(check_not_run(&seen, &self.site.log));
        }
        self.report.violations.extend(found);
        if self.site.log.runs_of(&seen.id).len() > 1 {
            self.moved.push(seen);
        }
    }

    /// Checks a request on a kept connection.
    fn check_kept(&mut self, request: SentRequest, outcome: KeptOutcome) {
        let is_calm = self.is_calm(&request);
        match outcome {
            KeptOutcome::NotSent => return,
            KeptOutcome::Closed(after) => {
                let seen = self.seen(request, is_calm, None);
                self.report.violations.extend(check_unanswered(&seen, after, &self.site.log));
            }
            KeptOutcome::Answered(reply) => {
                self.check_seen(self.seen(request, is_calm, Some(reply)));
            }
        }
        self.report.requests += 1;
    }

    /// True if nothing has harmed the request's node or its connections to servers since it was sent, and
    /// its node may not have cut it at the end of a grace period.
    fn is_calm(&self, request: &SentRequest) -> bool {
        let SentRequest { id, node, sent_at, began_at, places_before, .. } = request;
        let servers = self.site.log.servers_of(id, *places_before);
        let is_on_way = |position: &usize| {
            self.engine_ids[*position].iter().any(|id| servers.contains(id.as_str()))
        };
        let links = (0..self.size.engines).filter(is_on_way).map(Harmed::EngineLink);
        let mut way = links.chain([Harmed::Node(*node)]);
        let is_at_work = self.site.log.runs_of(id).iter().any(|run| !run.ended);
        let may_cut = self.restarts.may_cut(*node, *began_at, self.clock.now());
        let is_harmed = way.any(|harmed| self.harm.is_harmed_since(harmed, *sent_at));
        let is_cut = is_at_work && may_cut;
        !(is_harmed || is_cut)
    }

    /// Ends all faults, and waits until everything is served again.
    fn recover(&mut self) {
        if let Some(limits) = &mut self.named_limits {
            limits.stop(self.site.engines.iter().chain(&self.site.plain));
        }
        if let Some(clients) = &mut self.hostile_clients {
            clients.stop();
        }
        self.end_faults(Duration::MAX);
        let settled_at = self.now + SETTLE_TIME;
        while self.now < settled_at || self.restarts.are_under_way() {
            self.look_at_nodes();
            self.check_ended();
            self.site.pause(TICK);
            self.now += TICK;
        }
        let kept = self.kept_callers.take().map(|callers| callers.finish(&self.site));
        for (request, outcome) in kept.into_iter().flatten() {
            self.check_kept(request, outcome);
        }
        std::mem::take(&mut self.sent).into_iter().for_each(|sent| self.check(sent));
        if let Some(callers) = &mut self.resuming_callers {
            self.report.violations.extend(callers.finish(&self.site, self.now));
            (self.report.taken_up, self.report.went_on) = callers.counts();
        }
        self.site.all_serve();
        let site = &self.site;
        for node in 0..self.size.nodes {
            for (path, model) in [(CHAT, Some("m0")), (BATCH, Some("m2")), (BROWSE, None)] {
                site.eventually("a request is served after the faults", || {
                    let id = site.request_id();
                    let teams = self.teams.as_mut();
                    let caller = teams.map_or_else(Caller::default, |teams| teams.entitled(&id));
                    let reply = site.finish(site.begin_as(caller, node, path, model, &id));
                    reply.is_some_and(|reply| reply.status == 200 && reply.whole)
                });
            }
        }
        if let Some(teams) = &self.teams {
            for node in 0..self.size.nodes {
                site.eventually("a revoked key is refused after the faults", || {
                    let caller = teams.revoked();
                    let sent = site.begin_as(caller, node, BROWSE, None, &site.request_id());
                    site.finish(sent).is_some_and(|reply| reply.status == 401)
                });
            }
            self.report.violations.extend(teams.check(site));
        }
        if let Some(clients) = &mut self.hostile_clients {
            clients.look(site);
            self.report.violations.extend(clients.check(site));
        }
        let servers = self.site.engines.iter().chain(&self.site.plain);
        let ids: Vec<&str> = servers.map(SiteServer::id).collect();
        let of_limits = self.named_limits.iter();
        let over = of_limits.flat_map(|limits| limits.check(&self.site.log, &ids));
        self.report.violations.extend(over);
        let of_part = self.crashing_part.iter();
        let late = of_part.filter_map(|part| part.check(&self.site.log, &self.harm));
        self.report.violations.extend(late);
        let found = self.moved.iter().filter_map(|seen| check_overlap(seen, &self.site.log));
        self.report.violations.extend(found);
    }
}

/// Models that the engine at a position holds when it starts.
fn models_at(position: usize) -> &'static [&'static str] {
    const MODELS: [&[&str]; 3] = [&["m0", "m1"], &["m1", "m2"], &["m0", "m2"]];
    MODELS[position % MODELS.len()]
}

fn version_name(number: u32) -> String {
    format!("v{number}")
}

/// A settings file with another of two values of a setting that a reload takes over.
fn changed_settings(text: &str) -> String {
    let (one, other) = ("directory_ttl_s: 1", "directory_ttl_s: 2");
    if text.contains(one) { text.replace(one, other) } else { text.replace(other, one) }
}
