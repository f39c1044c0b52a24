//! A small deployment: the store, nodes and backend servers, which are ended when it is dropped.

use {
    crate::store::{Gate, Store},
    std::{
        fs::{self, File},
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

pub const HOST: &str = "site.example";
/// Loopback network of this run: each node has an address of its own, since the port of its metrics is fixed.
fn network() -> String {
    let pid = std::process::id();
    format!("127.{}.{}", 32 + pid / 250 % 190, 1 + pid % 250)
}

fn store_ip() -> String {
    format!("{}.2", network())
}

fn engine_ip() -> String {
    format!("{}.3", network())
}

fn node_ip(number: usize) -> String {
    format!("{}.{}", network(), 10 + number)
}

/// Routes and services: `/chat/` may be resumed, `/batch/` and `/claim/` run once, `/browse/` may be repeated.
pub const CONFIG: &str = r#"{"Version":1,
"Routes":[
{"Name":"chat","Host":"site.example","Prefix":"/chat/","Kind":"streaming","TimeoutMs":15000,"SloMs":400,"Priority":0,"Service":"lm-pool","Attempts":2,"Resumable":true,"GapTargetMs":300,"Sticky":true},
{"Name":"batch","Host":"site.example","Prefix":"/batch/","Kind":"streaming","TimeoutMs":20000,"SloMs":2500,"Priority":0,"Service":"lm-pool","Attempts":1,"Resumable":false,"GapTargetMs":300,"Sticky":true},
{"Name":"claim","Host":"site.example","Prefix":"/claim/","Kind":"unsafe","TimeoutMs":3000,"SloMs":300,"Priority":2,"Service":"market-api","Attempts":1},
{"Name":"browse","Host":"site.example","Prefix":"/browse/","Kind":"safe","TimeoutMs":3000,"SloMs":300,"Priority":2,"Service":"market-api","Attempts":2}],
"Services":[
{"Name":"lm-pool","MaxConns":360,"HealthPath":"/health","Engine":{"Slots":64,"KvCapacity":149031,"KvTokenBytes":163840,"Stride":1,"HostMb":300000,"DiskMb":900000,"WeightsMb":230000,"AdapterSlots":8,"LoadsPerS":2,"Models":[{"Name":"m0","WeightsMb":72700,"LoadS":3.2,"Adapters":0,"AdapterMb":66,"WarmS":0.5,"DiskS":0.7}]}},
{"Name":"market-api","MaxConns":100,"HealthPath":"/health"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Processes that were started and haven't been ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and this one, if it runs for longer than `limit`.
pub fn watch(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in RUNNING.lock().expect("lock").iter() {
            let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// A process, which is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    fn spawn(command: &mut Command) -> Self {
        let child = command.spawn().expect("a process starts");
        RUNNING.lock().expect("lock").push(child.id());
        Self { child }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        RUNNING.lock().expect("lock").retain(|running| *running != pid);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Node {
    _process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// The machine's way to the store.
    pub gate: Arc<Gate>,
}

/// A backend server, which renews its entry while it `lives`.
pub struct Engine {
    pub process: Mutex<Process>,
    pub id: String,
    pub lives: Arc<AtomicBool>,
}

pub struct Deployment {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub work: PathBuf,
    seq: Arc<AtomicU64>,
}

/// A server's entry.
fn entry(service: &str, zone: &str, addr: SocketAddr, seq: u64) -> String {
    let models = if service == "lm-pool" { r#"[{"Name":"m0","Adapters":[]}]"# } else { "[]" };
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":64,\
         \"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":{seq},\"born\":1,\"Models\":{models},\
         \"AtHand\":{{\"InMemory\":[\"m0\"],\"OnDisk\":[\"m0\"]}}}}"
    )
}

/// A free address that wasn't given out before.
fn free_addr(ip: &str) -> SocketAddr {
    static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
    let mut given = GIVEN.lock().expect("lock");
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        if !given.contains(&addr) {
            given.push(addr);
            return addr;
        }
    }
}

impl Deployment {
    pub fn start(work: &Path) -> Self {
        let _ = fs::create_dir_all(work);
        let store = Store::new();
        store.put("op", "config", CONFIG);
        let seq = Arc::new(AtomicU64::new(1));
        Self { store, nodes: Vec::new(), engines: Vec::new(), work: work.to_owned(), seq }
    }

    /// Starts a server of `service`. `args` follow the address and the log.
    pub fn add_engine(&mut self, id: &str, service: &str, zone: &str, args: &[&str]) {
        let addr = free_addr(&engine_ip());
        let log = self.work.join("runs.log");
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        command.args(["engine", id, &addr.to_string()]).arg(&log).args(args);
        let lives = Arc::new(AtomicBool::new(true));
        let process = Mutex::new(Process::spawn(&mut command));
        let (store, is_alive, seq) = (self.store.clone(), Arc::clone(&lives), Arc::clone(&self.seq));
        let id = id.to_owned();
        let (key, of, at) = (id.clone(), service.to_owned(), zone.to_owned());
        thread::spawn(move || {
            while is_alive.load(Ordering::Relaxed) {
                let seq = seq.fetch_add(1, Ordering::Relaxed);
                store.put("servers", &key, &entry(&of, &at, addr, seq));
                thread::sleep(Duration::from_millis(1200));
            }
        });
        self.engines.push(Engine { process, id, lives });
    }

    /// Writes the next version of the configuration, which differs in one objective.
    pub fn change_configuration(&self, version: u64) {
        let text = CONFIG
            .replace("\"Version\":1,", &format!("\"Version\":{version},"))
            .replace("\"SloMs\":2500", &format!("\"SloMs\":{}", 2500 + version));
        self.store.put("op", "config", &text);
    }

    /// Has the server leave without a word: its entry is removed, and it serves on. The store has acknowledged
    /// that when this returns.
    pub fn remove_engine(&self, number: usize) {
        let engine = &self.engines[number];
        engine.lives.store(false, Ordering::Relaxed);
        // The thread that renews the entry may be about to write it.
        thread::sleep(Duration::from_millis(20));
        self.store.delete("servers", &engine.id);
    }

    /// Starts `count` nodes with settings as the template renders them.
    pub fn add_nodes(&mut self, program: &Path, repository: &Path, count: usize, check_fences: bool) {
        let first = self.nodes.len();
        let seed = (first == 0).then(|| free_addr(&node_ip(0)));
        let mut seeds = Vec::new();
        for number in first..first + count {
            let ip = node_ip(number);
            let peers = seed.filter(|_| number == 0).unwrap_or_else(|| free_addr(&ip));
            let (callers, readiness, directory) = (free_addr(&ip), free_addr(&ip), free_addr(&ip));
            let gate = self.store.open_gate(&store_ip());
            if number == 0 {
                seeds.push(peers);
            }
            let zone = ["khomas-a", "khomas-b", "khomas-c"][number % 3];
            let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
            let text = format!(
                "vm:\n  name: \"front-{zone}-{number}\"\n  data_centre: \"{zone}\"\n  region: \"khomas\"\n  cpu_share: 0.25\n  \
                 memory_mb: 260\n  max_descriptors: 4200\n  first_start: true\nlisten:\n  callers: \"{callers}\"\n  \
                 readiness: \"{readiness}\"\n  directory: \"{directory}\"\n  peers: \"{peers}\"\n  metrics_port: 9464\nplatform:\n  \
                 store: \"{}\"\nseeds: [{}]\ntiming:\n  lease_ms: 3000\n  grace_s: 8\n  directory_ttl_s: 2\n  \
                 leaving_server_ms: 2000\n  registry_beat_ms: 1200\nengines:\n  check_fences: {check_fences}\nrepeats:\n  share: 0.2\n  \
                 window_s: 10\n  reserve: 54\nloads:\n  window_s: 5\n",
                gate.addr,
                seeds.join(",")
            );
            let settings = self.work.join(format!("node-{number}.yaml"));
            fs::write(&settings, text).expect("settings are written");
            let log = File::create(self.work.join(format!("node-{number}.log"))).expect("a log");
            let mut command = Command::new(program);
            command.env("PERSIMMONGLADE_BOOT", &settings).current_dir(repository).stdout(Stdio::from(log));
            let process = Process::spawn(&mut command);
            self.nodes.push(Node { _process: process, callers, readiness, gate });
        }
    }

    /// Waits until all nodes take callers.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        self.nodes.iter().all(|node| {
            while Instant::now() < until {
                if is_ready(node.readiness) {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// What servers have logged.
    pub fn runs(&self) -> Vec<String> {
        let text = fs::read_to_string(self.work.join("runs.log")).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.engines.iter().for_each(|engine| engine.lives.store(false, Ordering::Relaxed));
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut client) = crate::http::Client::connect(addr, Duration::from_secs(1)) else {
        return false;
    };
    client.request("GET /ready HTTP/1.1\r\nHost: x\r\n", b"").status == 200
}
