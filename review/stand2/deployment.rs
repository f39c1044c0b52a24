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
/// Loopback network of the nodes; each has an address of its own.
const NODE_NET: &str = "127.77.0";
const ENGINE_IP: &str = "127.77.1.1";

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

/// A process, which is killed when this is dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its number.
    pub fn signal(&self, number: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([number, &pid]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Node {
    pub process: Process,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// The machine's way to the store.
    pub gate: Arc<Gate>,
}

/// A backend server, which renews its entry while it `lives`.
pub struct Engine {
    pub process: Mutex<Process>,
    pub id: String,
    pub addr: SocketAddr,
    pub lives: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    service: String,
    zone: String,
}

pub struct Deployment {
    pub store: Store,
    pub nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    pub work: PathBuf,
    /// `leaving_server_ms` of the nodes' settings.
    pub drain_ms: u64,
    seq: Arc<AtomicU64>,
}

/// A server's entry.
fn entry(service: &str, zone: &str, addr: SocketAddr, state: &str, seq: u64) -> String {
    let models = if service == "lm-pool" { r#"[{"Name":"m0","Adapters":[]}]"# } else { "[]" };
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":64,\
         \"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":{seq},\"born\":1,\"Models\":{models},\
         \"AtHand\":{{\"InMemory\":[\"m0\"],\"OnDisk\":[\"m0\"]}}}}"
    )
}

fn free_addr(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Deployment {
    pub fn start(work: &Path) -> Self {
        let _ = fs::create_dir_all(work);
        let store = Store::new();
        store.put("op", "config", CONFIG);
        let seq = Arc::new(AtomicU64::new(1));
        Self { store, nodes: Vec::new(), engines: Vec::new(), work: work.to_owned(), drain_ms: 2000, seq }
    }

    /// Starts a server of `service`. `args` follow the address and the log.
    pub fn add_engine(&mut self, id: &str, service: &str, zone: &str, args: &[&str]) {
        let addr = free_addr(ENGINE_IP);
        let log = self.work.join("runs.log");
        let child = Command::new(std::env::current_exe().expect("this program"))
            .args(["engine", id, &addr.to_string()])
            .arg(&log)
            .args(args)
            .spawn()
            .expect("an engine starts");
        let lives = Arc::new(AtomicBool::new(true));
        let process = Mutex::new(Process { child });
        let (store, is_alive, seq) = (self.store.clone(), Arc::clone(&lives), Arc::clone(&self.seq));
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let is_draining = Arc::new(AtomicBool::new(false));
        let drains = Arc::clone(&is_draining);
        let (key, of, at) = (id.clone(), service.clone(), zone.clone());
        thread::spawn(move || {
            while is_alive.load(Ordering::Relaxed) {
                let seq = seq.fetch_add(1, Ordering::Relaxed);
                // An engine that is draining doesn't write that it is ready again.
                if !drains.load(Ordering::Relaxed) {
                    store.put("servers", &key, &entry(&of, &at, addr, "ready", seq));
                }
                thread::sleep(Duration::from_millis(1200));
            }
        });
        self.engines.push(Engine { process, id, addr, lives, is_draining, service, zone });
    }

    /// Has the server write that it is leaving. The store has acknowledged that when this returns.
    pub fn drain_engine(&self, number: usize) {
        let engine = &self.engines[number];
        engine.is_draining.store(true, Ordering::Relaxed);
        let seq = self.seq.fetch_add(1, Ordering::Relaxed);
        let entry = entry(&engine.service, &engine.zone, engine.addr, "draining", seq);
        self.store.put("servers", &engine.id, &entry);
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
        let seed = (first == 0).then(|| free_addr(&format!("{NODE_NET}.10")));
        let mut seeds = Vec::new();
        for number in first..first + count {
            let ip = format!("{NODE_NET}.{}", 10 + number);
            let peers = seed.filter(|_| number == 0).unwrap_or_else(|| free_addr(&ip));
            let (callers, readiness, directory) = (free_addr(&ip), free_addr(&ip), free_addr(&ip));
            let gate = self.store.open_gate("127.77.2.1");
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
                 leaving_server_ms: {}\n  registry_beat_ms: 1200\nengines:\n  check_fences: {check_fences}\nrepeats:\n  share: 0.2\n  \
                 window_s: 10\n  reserve: 54\nloads:\n  window_s: 5\n",
                gate.addr,
                seeds.join(","),
                self.drain_ms
            );
            let settings = self.work.join(format!("node-{number}.yaml"));
            fs::write(&settings, text).expect("settings are written");
            let log = File::create(self.work.join(format!("node-{number}.log"))).expect("a log");
            let child = Command::new(program)
                .env("PERSIMMONGLADE_BOOT", &settings)
                .current_dir(repository)
                .stdout(Stdio::from(log))
                .spawn()
                .expect("a node starts");
            self.nodes.push(Node { process: Process { child }, callers, readiness, gate });
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
