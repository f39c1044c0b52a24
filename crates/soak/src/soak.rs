//! One run of the soak.

use {
    crate::{
        checks::{Seen, Violation, check},
        plan::{Fault, Targets, plan, plan_restores},
        proxy::{Link, Proxy},
    },
    glade_standins::site::{EngineFault, SiteServer, StoreFault},
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, Site},
    std::{collections::VecDeque, time::Duration},
    tokio::task::JoinHandle,
};

/// Period at which faults begin and end, and requests are sent.
const TICK: Duration = Duration::from_millis(10);
/// Requests under way at a time; a stream takes a tenth of a second.
const UNDER_WAY_MAX: usize = 200;
/// Base models that fit on an engine of the stand-ins.
const BASES_MAX: usize = 3;
/// Plain servers of a site.
const PLAIN: usize = 2;

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
    /// Mean time between two requests.
    pub request_gap: Duration,
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
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

/// A request that was sent.
struct Sent {
    id: String,
    path: &'static str,
    reply: JoinHandle<Option<glade_standins::site::Reply>>,
}

/// A running soak.
pub struct Soak {
    site: Site,
    size: Size,
    rng: fastrand::Rng,
    store_links: Vec<Proxy>,
    engine_links: Vec<Proxy>,
    /// Faults that are on, with the time at which they end.
    on: Vec<(Duration, Fault)>,
    sent: Vec<Sent>,
    version: u64,
    fences: Vec<u64>,
    report: Report,
}

impl Soak {
    /// Starts nodes and stand-ins, and waits until all nodes serve.
    pub fn start(seed: u64, size: Size) -> Self {
        let models: [&[&str]; 3] = [&["m0", "m1"], &["m1", "m2"], &["m0", "m2"]];
        let holds: Vec<&[&str]> =
            (0..size.engines).map(|engine| models[engine % models.len()]).collect();
        let mut site = Site::start_unconfigured(0, &holds);
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
        site.configure(1);
        site.all_serve();
        Self {
            fences: vec![0; site.engines.len()],
            site,
            size,
            rng: fastrand::Rng::with_seed(seed),
            store_links,
            engine_links,
            on: Vec::new(),
            sent: Vec::new(),
            version: 1,
            report: Report::default(),
        }
    }

    /// Plays the faults, then lets the system recover, and tells what was seen.
    pub fn run(mut self) -> Report {
        let Size { nodes, engines, time, gap, .. } = self.size;
        let targets = Targets { nodes, engines, plain: PLAIN };
        // By a generator of their own, so that a seed's other faults are the same with and without them.
        let restores = plan_restores(&mut self.rng.clone(), time);
        let mut coming = plan(&mut self.rng, targets, time, gap);
        coming.extend(restores);
        coming.sort_by_key(|planned| planned.at);
        let mut coming = VecDeque::from(coming);
        // Time goes by ticks, so that a busy machine plays the same faults and requests, only slower.
        let (mut now, mut request_at) = (Duration::ZERO, Duration::ZERO);
        while now < time {
            while coming.front().is_some_and(|next| next.at <= now) {
                let Some(next) = coming.pop_front() else { break };
                self.begin(now + next.lasts, next.fault);
            }
            self.end_faults(now);
            while request_at <= now {
                request_at += self.size.request_gap.mul_f64(self.rng.f64() * 2.0);
                self.send();
            }
            self.look();
            self.site.pause(TICK);
            now += TICK;
        }
        self.recover();
        self.report
    }

    fn begin(&mut self, until: Duration, fault: Fault) {
        self.report.faults += 1;
        match fault {
            Fault::Kill { node } => self.site.kill_node(node),
            Fault::Terminate { node } => self.site.terminate_node(node),
            Fault::Pause { node } => self.site.pause_node(node),
            Fault::Reload { node } => self.site.reload_node(node, str::to_owned),
            Fault::StoreLink { node, link } => self.store_links[node].set(link),
            Fault::EngineLink { engine, link } => self.engine_links[engine].set(link),
            Fault::Store(fault) => self.site.store_fault(fault),
            Fault::Engine { engine, fault } => self.site.engine_fault(engine, fault),
            Fault::Plain { server, fault } => self.site.plain_fault(server, fault),
            Fault::Configuration => {
                self.version += 1;
                self.site.configure(self.version);
            }
            Fault::Restore => self.site.store.copy(),
        }
        self.on.push((until, fault));
    }

    fn end_faults(&mut self, now: Duration) {
        let over: Vec<(Duration, Fault)> =
            self.on.extract_if(.., |(until, _)| *until <= now).collect();
        for (_, fault) in over {
            match fault {
                Fault::Kill { node } | Fault::Terminate { node } => self.start_again(node),
                Fault::Pause { node } => self.site.resume_node(node),
                Fault::StoreLink { node, .. } => self.store_links[node].set(Link::Open),
                Fault::EngineLink { engine, .. } => self.engine_links[engine].set(Link::Open),
                Fault::Store(_) => self.site.store_fault(StoreFault::None),
                Fault::Engine { engine, .. } => self.site.engine_fault(engine, EngineFault::None),
                Fault::Plain { server, .. } => self.site.plain_fault(server, EngineFault::None),
                Fault::Restore => self.restore(),
                Fault::Reload { .. } | Fault::Configuration => {}
            }
        }
    }

    /// The store goes back to its copy; operators and backend servers write again what they had written.
    fn restore(&self) {
        self.site.store.restore();
        self.site.configure(self.version);
        let servers = self.site.engines.iter().chain(&self.site.plain);
        servers.for_each(SiteServer::register);
    }

    /// Starts a node that was killed or told to end; the platform kills one that takes too long.
    fn start_again(&mut self, node: usize) {
        self.site.kill_node(node);
        self.site.start_node(node);
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
        let reply = self.site.begin(node, path, model, &id);
        self.report.requests += 1;
        self.sent.push(Sent { id, path, reply });
    }

    /// Checks requests that have ended, and the engines.
    fn look(&mut self) {
        let ended: Vec<Sent> = self.sent.extract_if(.., |sent| sent.reply.is_finished()).collect();
        ended.into_iter().for_each(|sent| self.check(sent));
        for (engine, known) in self.site.engines.iter().zip(&mut self.fences) {
            let holds = engine.holds();
            let bases = holds.iter().filter(|name| !name.contains('/')).count();
            if bases > BASES_MAX {
                let seen = format!("{} holds {holds:?}", engine.id());
                let promise = "no engine holds more than fits";
                self.report.violations.push(Violation { promise, seen });
            }
            let fence = engine.fence();
            if fence < *known {
                let seen = format!("{}: {fence} after {known}", engine.id());
                let promise = "no earlier holder is obeyed";
                self.report.violations.push(Violation { promise, seen });
            }
            *known = fence;
        }
    }

    fn check(&mut self, sent: Sent) {
        let Sent { id, path, reply } = sent;
        let reply = self.site.finish(reply);
        let is_served = reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.whole);
        self.report.served += usize::from(is_served);
        let found = check(&Seen { id, path, reply }, &self.site.log);
        self.report.violations.extend(found);
    }

    /// Ends all faults, and waits until everything is served again.
    fn recover(&mut self) {
        self.end_faults(Duration::MAX);
        for node in 0..self.size.nodes {
            // One that was told to end may still be ending, or have ended.
            if self.site.ended_node(node).is_some() {
                self.site.start_node(node);
            }
        }
        std::mem::take(&mut self.sent).into_iter().for_each(|sent| self.check(sent));
        self.site.all_serve();
        let site = &self.site;
        for node in 0..self.size.nodes {
            for (path, model) in [(CHAT, Some("m0")), (BATCH, Some("m2")), (BROWSE, None)] {
                site.eventually("a request is served after the faults", || {
                    let reply = site.send(node, path, model, &site.request_id());
                    reply.is_some_and(|reply| reply.status == 200 && reply.whole)
                });
            }
        }
    }
}
