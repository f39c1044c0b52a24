//! Real nodes against a stand-in of the users' platform.

use {
    crate::{
        ports::{self, PortBlock},
        programs::{open_descriptors, peak_memory_kb, program},
    },
    glade_catalog::{
        CallerLimits, Catalog, EngineClass, ModelSpec, PromptPart, RequestMetadata, RetryPolicy,
        Route, Service, WeightedService,
    },
    glade_standins::site::{
        Caller, CutHead, CutHeadServer, EndlessPart, EndlessServer, EngineFault, FIRST_VERSION,
        Pace, RawAnswer, RawServer, Reply, RunLog, ServerSpec, SiteServer, SiteStore, StoreFault,
        UnframedEnd, UnframedServer,
    },
    glade_types::{ModelName, RequestId, RouteName, ServiceName},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        io::PipeWriter,
        net::SocketAddr,
        ops::Range,
        os::unix::process::ExitStatusExt,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            OnceLock,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::{runtime::Runtime, task::JoinHandle, time::sleep},
};

/// Longest wait for a state to come about.
const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Ports that nodes listen on; a cluster of this crate uses those below.
const NODE_PORTS: Range<u16> = 22_000..32_000;
/// Lines of each node's log that are shown if something doesn't come about.
const LAST_LINES: usize = 40;
/// Events of a stream.
pub const EVENTS: u64 = 12;
/// Tokens of an event.
const TOKENS_PER_EVENT: u32 = 5;
/// Longest time for an answer, on all routes.
pub const TIME_LIMIT: Duration = Duration::from_secs(15);

/// Host that all routes have.
pub const HOST: &str = "market.example";
/// Path of streams that may be resumed.
pub const CHAT: &str = "/chat/";
/// Path of streams that run at most once.
pub const BATCH: &str = "/batch/";
/// Path of calls that run at most once.
pub const CLAIM: &str = "/claim/";
/// Path of reads.
pub const BROWSE: &str = "/browse/";

/// Ports of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddrs {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where callers ask where to connect.
    pub directory: SocketAddr,
    peers: SocketAddr,
    metrics: SocketAddr,
}

#[derive(Debug)]
struct Node {
    addrs: NodeAddrs,
    settings: PathBuf,
    child: Option<Child>,
    /// Whether it runs the site's other version of the program.
    runs_other: bool,
}

/// A store, backend servers and nodes. Dropping it ends them.
#[derive(Debug)]
pub struct Site {
    runtime: Runtime,
    folder: PathBuf,
    /// The platform's store.
    pub store: SiteStore,
    /// What the servers have run.
    pub log: RunLog,
    /// Model engines.
    pub engines: Vec<SiteServer>,
    /// Plain servers.
    pub plain: Vec<SiteServer>,
    nodes: Vec<Node>,
    next_request: AtomicU32,
    keeps_logs: bool,
    /// Program of another version of the node.
    other_node: Option<PathBuf>,
    /// What the nodes' VMs allow: memory in MB, and descriptors.
    vm_limits: Option<(usize, usize)>,
}

impl Site {
    /// Starts a store, backend servers and `nodes` nodes, and waits until all of them serve.
    pub fn start(nodes: usize, engines: &[&[&str]]) -> Self {
        let site = Self::start_unconfigured(nodes, engines);
        site.configure(1);
        site.all_serve();
        site
    }

    /// Starts everything without a configuration.
    pub fn start_unconfigured(nodes: usize, engines: &[&[&str]]) -> Self {
        Self::start_limited(nodes, engines, None)
    }

    /// The same with nodes whose settings say what their VMs allow: memory in MB, and descriptors.
    pub fn start_limited(
        nodes: usize,
        engines: &[&[&str]],
        vm_limits: Option<(usize, usize)>,
    ) -> Self {
        static SITES: AtomicU32 = AtomicU32::new(0);
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let name = format!("persimmonglade-site-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let runtime = Runtime::new().expect("a runtime can be started");
        let log = RunLog::default();
        let (store, engines, plain) = runtime.block_on(async {
            let store = SiteStore::spawn().await;
            let mut running = Vec::new();
            for (position, models) in engines.iter().enumerate() {
                let spec = server_spec(&format!("engine-{position}"), "pool", Some(models));
                running.push(SiteServer::spawn(spec, &store, &log).await);
            }
            let mut plain = Vec::new();
            for position in 0..2 {
                let spec = server_spec(&format!("market-{position}"), "market", None);
                plain.push(SiteServer::spawn(spec, &store, &log).await);
            }
            (store, running, plain)
        });
        let mut site = Self {
            runtime,
            folder,
            store,
            log,
            engines,
            plain,
            nodes: Vec::new(),
            next_request: AtomicU32::new(0),
            keeps_logs: false,
            other_node: None,
            vm_limits,
        };
        for _ in 0..nodes {
            site.add_node();
        }
        site
    }

    /// Puts a configuration in force.
    pub fn configure(&self, version: u64) {
        self.put_catalog(&catalog(version));
    }

    /// Puts `catalog` in force.
    pub fn put_catalog(&self, catalog: &Catalog) {
        self.store.put(&configuration_key(), glade_adapter::config::encode(catalog));
    }

    /// Puts `catalog` in force with `teams`, the JSON of their list.
    pub fn put_catalog_with_teams(&self, catalog: &Catalog, teams: &str) {
        let row = glade_adapter::config::encode_with_teams(catalog, Some(teams));
        self.store.put(&configuration_key(), row);
    }

    /// Starts another node and returns its position.
    pub fn add_node(&mut self) -> usize {
        self.add_node_by(self.store.addr())
    }

    /// Starts another node that reaches the store at `store`.
    pub fn add_node_by(&mut self, store: SocketAddr) -> usize {
        let position = self.nodes.len();
        let addrs = free_addrs();
        let settings = self.folder.join(format!("node-{position}.yaml"));
        let seeds: Vec<SocketAddr> = self.nodes.iter().map(|node| node.addrs.peers).collect();
        let text = settings_yaml(position, &addrs, store, &seeds, self.vm_limits);
        fs::write(&settings, text).expect("settings can be written");
        self.nodes.push(Node { addrs, settings, child: None, runs_other: false });
        self.start_node(position);
        position
    }

    /// Settings file of a node.
    pub fn settings_path(&self, position: usize) -> PathBuf {
        self.nodes[position].settings.clone()
    }

    /// Starts the process of a node, again if it has ended.
    pub fn start_node(&mut self, position: usize) {
        let other = self.other_node.as_ref().filter(|_| self.nodes[position].runs_other);
        let path = other.cloned().unwrap_or_else(|| program("persimmonglade-node"));
        self.start_node_by(position, Command::new(path), None);
    }

    /// Starts the process of a node by `command`, which runs the program with the arguments that are
    /// added. Its output goes to its log, or to `output`.
    pub fn start_node_by(
        &mut self,
        position: usize,
        mut command: Command,
        output: Option<PipeWriter>,
    ) {
        let log = self.node_log_path(position);
        let node = &mut self.nodes[position];
        command.arg("--settings").arg(&node.settings).stdin(Stdio::null());
        match output {
            Some(pipe) => {
                command.stdout(pipe.try_clone().expect("an end of a pipe")).stderr(pipe);
            }
            None => {
                let out = File::options().create(true).append(true).open(log).expect("a log file");
                command.stdout(out.try_clone().expect("a log file")).stderr(out);
            }
        }
        node.child = Some(ports::spawn(&mut command).expect("the node can be started"));
    }

    /// Names the program of another version of the node, for [`Site::change_version`].
    pub fn set_other_node(&mut self, program: PathBuf) {
        self.other_node = Some(program);
    }

    /// Has a node run the other version from its next start on, if there is one.
    pub fn change_version(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        node.runs_other = !node.runs_other;
    }

    /// True if a node runs the other version, if there is one.
    pub fn runs_other(&self, position: usize) -> bool {
        self.other_node.is_some() && self.nodes[position].runs_other
    }

    /// True if the process of a node was started and not yet waited for.
    pub fn has_process(&self, position: usize) -> bool {
        self.nodes[position].child.is_some()
    }

    /// Ports of a node.
    pub fn addrs(&self, position: usize) -> NodeAddrs {
        self.nodes[position].addrs
    }

    /// What a node shows on its metrics address.
    pub fn metrics(&self, position: usize) -> String {
        let addr = self.nodes[position].addrs.metrics;
        let (caller, terms) = (Caller::default(), RequestMetadata::default());
        let asked = caller.send(addr, "GET", "metrics", "/metrics", &terms, "");
        self.runtime.block_on(asked).map_or_else(String::new, |reply| reply.body)
    }

    /// Where the log of a node is.
    pub fn node_log_path(&self, position: usize) -> PathBuf {
        self.folder.join(format!("node-{position}.log"))
    }

    /// Log of a node so far.
    pub fn node_log(&self, position: usize) -> String {
        fs::read_to_string(self.node_log_path(position)).unwrap_or_default()
    }

    /// Keeps the nodes' logs, and returns where they are.
    pub fn keep_logs(&mut self) -> &Path {
        self.keeps_logs = true;
        &self.folder
    }

    /// Kills a node without warning.
    pub fn kill_node(&mut self, position: usize) {
        if let Some(mut child) = self.nodes[position].child.take() {
            // Fails only if it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells a node to end.
    pub fn terminate_node(&self, position: usize) {
        self.signal_node(position, Signal::TERM);
    }

    /// Lets a node stand still.
    pub fn pause_node(&self, position: usize) {
        self.signal_node(position, Signal::STOP);
    }

    /// Lets a node that stands still go on.
    pub fn resume_node(&self, position: usize) {
        self.signal_node(position, Signal::CONT);
    }

    /// Sends a signal to a node.
    pub fn signal_node(&self, position: usize, signal: Signal) {
        if let Some(child) = &self.nodes[position].child {
            kill_process(Pid::from_child(child), signal).expect("an own child can be signalled");
        }
    }

    /// Exit code of a node that has ended by itself, or the negative number of the signal that it died of;
    /// `None` while it runs or after it was waited for.
    pub fn ended_node(&mut self, position: usize) -> Option<i32> {
        let status = self.nodes[position].child.as_mut()?.try_wait().ok()??;
        self.nodes[position].child = None;
        let signal = || status.signal().map_or(-1, |number| -number);
        Some(status.code().unwrap_or_else(signal))
    }

    /// Most memory that a node has had, in kilobytes.
    pub fn peak_memory_kb(&self, position: usize) -> u64 {
        self.nodes[position].child.as_ref().map_or(0, peak_memory_kb)
    }

    /// Number of descriptors that a node has open.
    pub fn open_descriptors(&self, position: usize) -> usize {
        self.nodes[position].child.as_ref().map_or(0, open_descriptors)
    }

    /// Starts something that sends without end.
    pub fn spawn_endless(&self, part: EndlessPart, pace: Pace) -> EndlessServer {
        self.runtime.block_on(EndlessServer::spawn(part, pace))
    }

    /// Puts something that sends without end in the place of an engine.
    pub fn replace_engine(&self, position: usize, part: EndlessPart, pace: Pace) -> EndlessServer {
        let server = self.spawn_endless(part, pace);
        self.engines[position].advertise(server.addr());
        server
    }

    /// Where requests to a node go, for callers on tasks of their own.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Changes the settings file of a node and tells it so.
    pub fn reload_node(&self, position: usize, change: impl FnOnce(&str) -> String) {
        let node = &self.nodes[position];
        let text = fs::read_to_string(&node.settings).expect("settings can be read");
        fs::write(&node.settings, change(&text)).expect("settings can be written");
        self.signal_node(position, Signal::HUP);
    }

    /// Waits for a node to end by itself and returns its exit code.
    pub fn wait_node(&mut self, position: usize) -> Option<i32> {
        self.nodes[position].child.take()?.wait().ok()?.code()
    }

    /// Waits until all nodes say that they are ready and are named by every directory.
    pub fn all_serve(&self) {
        self.wait_for(
            "all nodes serve",
            || (0..self.nodes.len()).all(|position| self.serving_gap(position).is_none()),
            || (0..self.nodes.len()).filter_map(|position| self.serving_gap(position)).collect(),
        );
    }

    /// What keeps a node from being ready with a directory that names all nodes, as a line.
    fn serving_gap(&self, position: usize) -> Option<String> {
        let addrs = self.addrs(position);
        if !self.is_ready(addrs.readiness) {
            return Some(format!("node-{position} isn't ready\n"));
        }
        let Some(named) = self.resolve(addrs.directory) else {
            return Some(format!("the directory of node-{position} doesn't answer\n"));
        };
        let lacks = |other: &usize| !named.contains(&self.nodes[*other].addrs.callers);
        let missing: Vec<usize> = (0..self.nodes.len()).filter(lacks).collect();
        let gap = || format!("the directory of node-{position} lacks nodes {missing:?}\n");
        (!missing.is_empty()).then(gap)
    }

    /// Position of the node that gives orders, by the fencing token in the lease's row.
    pub fn holder(&self) -> Option<usize> {
        let row = self.store.read("lease/orders")?;
        let text = String::from_utf8_lossy(&row.value).into_owned();
        if text.contains("\"released\":true") {
            return None;
        }
        (0..self.nodes.len()).find(|position| text.contains(&format!("\"node-{position}\"")))
    }

    /// Where callers of dc-1 shall connect.
    pub fn resolve(&self, directory: SocketAddr) -> Option<Vec<SocketAddr>> {
        self.runtime.block_on(Caller::default().resolve(directory, "dc-1"))
    }

    /// Whether a node says that it is ready.
    pub fn is_ready(&self, readiness: SocketAddr) -> bool {
        self.runtime.block_on(Caller::default().is_ready(readiness))
    }

    /// A request's name that no other has.
    pub fn request_id(&self) -> String {
        format!("request-{}", self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends a request to a node and waits for its answer.
    pub fn send(&self, node: usize, path: &str, model: Option<&str>, id: &str) -> Option<Reply> {
        let sent = self.begin(node, path, model, id);
        self.runtime.block_on(sent).ok().flatten()
    }

    /// Sends a request to a node without waiting.
    pub fn begin(
        &self,
        node: usize,
        path: &str,
        model: Option<&str>,
        id: &str,
    ) -> JoinHandle<Option<Reply>> {
        self.begin_as(Caller::default(), node, path, model, id)
    }

    /// The same for another caller.
    pub fn begin_as(
        &self,
        caller: Caller,
        node: usize,
        path: &str,
        model: Option<&str>,
        id: &str,
    ) -> JoinHandle<Option<Reply>> {
        self.begin_with_parts(caller, node, path, model, id, &[])
    }

    /// The same with the hashes of the parts of the prompt.
    pub fn begin_with_parts(
        &self,
        caller: Caller,
        node: usize,
        path: &str,
        model: Option<&str>,
        id: &str,
        parts: &[u64],
    ) -> JoinHandle<Option<Reply>> {
        let terms = caller_terms(id, model, EVENTS, parts);
        self.begin_with_body(caller, node, path, terms, &format!("body of {id}"))
    }

    /// Sends a request with `terms` and `body` to a node without waiting.
    pub fn begin_with_body(
        &self,
        caller: Caller,
        node: usize,
        path: &str,
        terms: RequestMetadata,
        body: &str,
    ) -> JoinHandle<Option<Reply>> {
        let addr = self.nodes[node].addrs.callers;
        let (path, body) = (path.to_owned(), body.to_owned());
        self.runtime
            .spawn(async move { caller.send(addr, "POST", HOST, &path, &terms, &body).await })
    }

    /// Waits for a request that was begun.
    pub fn finish(&self, sent: JoinHandle<Option<Reply>>) -> Option<Reply> {
        self.wait(sent).flatten()
    }

    /// Waits for a task of a caller; `None` if it panicked or was aborted.
    pub fn wait<T>(&self, task: JoinHandle<T>) -> Option<T> {
        self.runtime.block_on(task).ok()
    }

    /// Number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Starts another model engine.
    pub fn add_engine(&mut self, models: &[&str]) {
        self.add_engine_of(FIRST_VERSION, models);
    }

    /// Starts another model engine that runs this version of the engines' software.
    pub fn add_engine_of(&mut self, version: &str, models: &[&str]) {
        let name = format!("engine-{}", self.engines.len());
        let spec =
            ServerSpec { version: version.to_owned(), ..server_spec(&name, "pool", Some(models)) };
        let server = self.runtime.block_on(SiteServer::spawn(spec, &self.store, &self.log));
        self.engines.push(server);
    }

    /// Starts a model engine in place of one, under a name of its own, and returns the one before.
    pub fn replace_engine_of(
        &mut self,
        position: usize,
        name: &str,
        version: &str,
        models: &[&str],
    ) -> SiteServer {
        let spec =
            ServerSpec { version: version.to_owned(), ..server_spec(name, "pool", Some(models)) };
        let server = self.runtime.block_on(SiteServer::spawn(spec, &self.store, &self.log));
        std::mem::replace(&mut self.engines[position], server)
    }

    /// Starts a server whose answers end with their connections, and which nobody knows yet.
    pub fn spawn_unframed(&self, pieces: Vec<String>, end: UnframedEnd) -> UnframedServer {
        self.runtime.block_on(UnframedServer::spawn(pieces, end))
    }

    /// Starts a server that stops in the middle of its answers' heads, and which nobody knows yet.
    pub fn spawn_cut_head(&self, cut: CutHead) -> CutHeadServer {
        self.runtime.block_on(CutHeadServer::spawn(cut))
    }

    /// Puts a server that always sends the same in the place of an engine.
    pub fn replace_engine_by(&self, position: usize, answer: RawAnswer) -> RawServer {
        let server = self.runtime.block_on(RawServer::spawn(answer));
        self.engines[position].advertise(server.addr());
        server
    }

    /// Waits until `holds` is true.
    ///
    /// # Panics
    ///
    /// It isn't for a minute.
    pub fn eventually(&self, what: &str, holds: impl FnMut() -> bool) {
        self.wait_for(what, holds, String::new);
    }

    /// Waits until `holds` is true; `gaps` tells what is missing if that takes too long.
    fn wait_for(&self, what: &str, mut holds: impl FnMut() -> bool, gaps: impl Fn() -> String) {
        let began = Instant::now();
        while !holds() {
            let waited = began.elapsed();
            assert!(waited < PATIENCE, "never: {what}\n{}{}", gaps(), self.last_lines());
            self.pause(LOOK_EVERY);
        }
    }

    /// The last lines of all nodes' logs.
    fn last_lines(&self) -> String {
        let last = |position| {
            let log = self.node_log(position);
            let lines: Vec<&str> = log.lines().collect();
            let from = lines.len().saturating_sub(LAST_LINES);
            format!("-- node-{position}\n{}\n", lines[from..].join("\n"))
        };
        let lines: String = (0..self.nodes.len()).map(last).collect();
        format!("-- logs in {}\n{lines}", self.folder.display())
    }

    /// Lets time pass.
    pub fn pause(&self, time: Duration) {
        self.runtime.block_on(async { sleep(time).await });
    }

    /// Switches a fault of an engine on or off.
    pub fn engine_fault(&self, position: usize, fault: EngineFault) {
        self.engines[position].set_fault(fault);
    }

    /// Ends the process of an engine, which starts again after a while.
    pub fn crash_engine(&self, position: usize) {
        let _guard = self.runtime.enter();
        self.engines[position].crash();
    }

    /// Gives a plain server a fault.
    pub fn plain_fault(&self, position: usize, fault: EngineFault) {
        self.plain[position].set_fault(fault);
    }

    /// Switches a fault of the store on or off.
    pub fn store_fault(&self, fault: StoreFault) {
        self.store.set_fault(fault);
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for position in 0..self.nodes.len() {
            self.kill_node(position);
        }
        if !self.keeps_logs && !thread::panicking() {
            // The folder may be gone already.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Key in the store of the configuration.
pub fn configuration_key() -> String {
    format!("{}/{}", glade_adapter::config::TABLE, glade_adapter::config::KEY)
}

/// Key in the store of the entry of the server called `id`.
pub fn registry_key(id: &str) -> String {
    format!("{}/{id}", glade_adapter::registry::TABLE)
}

/// Terms of a request, which asks for `events` events if it has a model.
pub fn caller_terms(id: &str, model: Option<&str>, events: u64, parts: &[u64]) -> RequestMetadata {
    let output_tokens = u32::try_from(events).map_or(u32::MAX, |events| events * TOKENS_PER_EVENT);
    RequestMetadata {
        request_id: Some(RequestId::new(id)),
        deadline: Some(Duration::from_secs(20)),
        model: model.map(ModelName::new),
        prompt_tokens: if model.is_some() { 100 } else { 0 },
        output_tokens_max: if model.is_some() { output_tokens } else { 0 },
        prompt_parts: parts.iter().map(|hash| PromptPart { hash: *hash, tokens: 20 }).collect(),
        ..RequestMetadata::default()
    }
}

fn server_spec(id: &str, service: &str, models: Option<&[&str]>) -> ServerSpec {
    ServerSpec {
        version: FIRST_VERSION.to_owned(),
        id: id.to_owned(),
        service: service.to_owned(),
        models: models.unwrap_or_default().iter().map(|name| (*name).to_owned()).collect(),
        is_engine: models.is_some(),
        events: EVENTS,
        pause: Duration::from_millis(15),
    }
}

/// The configuration of tests: chats and batches over `pool`, claims and reads over `market`.
pub fn catalog(version: u64) -> Catalog {
    let route = |name: &str, path: &str, service: &str, retry_policy, streams| Route {
        name: RouteName::new(name),
        host: HOST.to_owned(),
        path_prefix: path.to_owned(),
        retry_policy,
        streams,
        time_limit: TIME_LIMIT,
        objective: Duration::from_millis(400),
        pause_limit: streams.then_some(Duration::from_millis(300)),
        rank: 0,
        attempts: 2,
        services: vec![WeightedService { service: ServiceName::new(service), weight: 1 }],
        is_public: false,
    };
    let spec = |name: &str| ModelSpec {
        name: ModelName::new(name),
        weights_mb: 70.0,
        load_from_store: Duration::from_millis(60),
        load_from_memory: Duration::from_millis(60),
        load_from_disk: Duration::from_millis(60),
        adapters: 3,
        adapter_mb: 1.0,
    };
    let engine_class = EngineClass {
        batch_slots: 16,
        kv_capacity_tokens: 100_000,
        kv_token_bytes: 1,
        tokens_per_event: TOKENS_PER_EVENT,
        weights_capacity_mb: 230.0,
        adapter_slots: 4,
        memory_copies_mb: 0.0,
        disk_copies_mb: 0.0,
        reservation_max: Duration::from_secs(2),
        store_loads_per_s: 10.0,
        models: ["m0", "m1", "m2"].map(spec).to_vec(),
    };
    let services = vec![
        Service {
            name: ServiceName::new("pool"),
            connection_limit: 200,
            engine_class: Some(engine_class),
        },
        Service { name: ServiceName::new("market"), connection_limit: 200, engine_class: None },
    ];
    let routes = vec![
        route("chat", CHAT, "pool", RetryPolicy::Resumable, true),
        route("batch", BATCH, "pool", RetryPolicy::AtMostOnce, true),
        route("claim", CLAIM, "market", RetryPolicy::AtMostOnce, false),
        route("browse", BROWSE, "market", RetryPolicy::Idempotent, false),
    ];
    Catalog::new(version, CallerLimits::default(), routes, services)
}

fn settings_yaml(
    position: usize,
    addrs: &NodeAddrs,
    store: SocketAddr,
    seeds: &[SocketAddr],
    vm_limits: Option<(usize, usize)>,
) -> String {
    let vm_limits = vm_limits.map_or_else(String::new, |(memory_mb, descriptors)| {
        format!(", memory_mb: {memory_mb}, max_descriptors: {descriptors}")
    });
    let seeds: Vec<String> = seeds.iter().map(|addr| format!("\"{addr}\"")).collect();
    format!(
        "vm: {{ name: node-{position}, data_centre: dc-1, region: r-1, cpu_share: 1.0{vm_limits} }}\n\
         listen:\n  callers: {}\n  readiness: {}\n  directory: {}\n  peers: {}\n  metrics_port: {}\n\
         platform: {{ store: \"{store}\" }}\n\
         seeds: [{}]\n\
         timing: {{ lease_ms: 1500, grace_s: 8, directory_ttl_s: 1, leaving_server_ms: 2000, \
         registry_beat_ms: 1200 }}\n\
         engines: {{ check_fences: true }}\n\
         repeats: {{ share: 0.2, window_s: 10, reserve: 50 }}\n\
         loads: {{ window_s: 5 }}\n",
        addrs.callers,
        addrs.readiness,
        addrs.directory,
        addrs.peers,
        addrs.metrics.port(),
        seeds.join(", "),
    )
}

/// Ports for a node, of a block of this process. The ports of a node that was killed must be free when it starts again.
fn free_addrs() -> NodeAddrs {
    static BLOCK: OnceLock<PortBlock> = OnceLock::new();
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let block = BLOCK.get_or_init(|| PortBlock::claim(&NODE_PORTS));
    let mut free = std::iter::repeat_with(|| {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % u32::from(PortBlock::PORTS);
        block.first() + offset as u16
    })
    .filter(|port| ports::are_free(std::iter::once(*port)))
    .map(ports::loopback);
    let mut take = || free.next().expect("the sequence has no end");
    NodeAddrs {
        callers: take(),
        readiness: take(),
        directory: take(),
        peers: take(),
        metrics: take(),
    }
}

/// Writes a settings file and runs a node with it to its end.
pub fn run_node_with(text: &str, folder: &Path) -> crate::Output {
    fs::create_dir_all(folder).expect("the temporary folder can be made");
    let path = folder.join("settings.yaml");
    fs::write(&path, text).expect("settings can be written");
    let args = ["--settings", &path.to_string_lossy()];
    crate::run_program("persimmonglade-node", &args, &[])
}
