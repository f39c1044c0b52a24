//! A small deployment of real processes.

use {
    crate::{
        ports::{self, PortBlock},
        programs::{Output, peak_memory_kb, program, run_program},
    },
    glade_http::{Bytes, Full, Pool, Request},
    glade_standins::{Deployment, Layout},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        collections::BTreeMap,
        fs::{self, File},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread::sleep,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// The operators' credential in tests.
pub const CREDENTIAL: &str = "test-credential-0123";
/// Longest wait for a state to come about.
const PATIENCE: Duration = Duration::from_secs(60);
/// Ports below those that the system hands out for outgoing connections, and those that the nodes of
/// a site use.
const PORT_RANGE: std::ops::Range<u16> = 10_000..22_000;
/// Header of the table in tests.
const TABLE: &str = "name,kind,base,memory_bytes,priority,weight,concurrency,rate_per_s,\
    first_token_ms,between_tokens_ms,idempotent\n\
    chat,model,,20000000000,urgent,1,0,0,1600,100,true\n\
    tags,model,,20000000000,patient,1,0,0,1600,100,true\n\
    chat-wo,adapter,chat,300000000,urgent,1,0,0,1600,100,true\n\
    market,service,,0,urgent,1,0,0,500,500,false\n";

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers as text.
    pub headers: BTreeMap<String, String>,
    /// Body as text.
    pub body: String,
}

/// The stand-ins and the daemons of several VMs. Dropping it ends them.
#[derive(Debug)]
pub struct Cluster {
    /// Where everything listens.
    pub layout: Layout,
    folder: PathBuf,
    runtime: Runtime,
    standins: Child,
    entries: Vec<Option<Child>>,
    planners: Vec<Option<Child>>,
    _ports: PortBlock,
}

impl Cluster {
    /// Starts `vms` VMs and puts a small table in force, all of its rows resident.
    pub fn start(vms: u16) -> Self {
        let cluster = Self::start_empty(vms);
        let path = cluster.folder.join("table.csv");
        fs::write(&path, TABLE).expect("the table can be written");
        let applied = cluster.cli(&["table", "apply", "--based-on", "0", &path.to_string_lossy()]);
        assert_eq!(applied.code, 0, "{applied:?}");
        cluster.eventually("every row is resident", || {
            let state = cluster.cli(&["--json", "table", "state"]).stdout;
            let rows: Vec<serde_json::Value> = serde_json::from_str(&state).unwrap_or_default();
            let has_residence = |row: &serde_json::Value| {
                row["residences"].as_array().is_some_and(|names| !names.is_empty())
            };
            rows.len() == 4 && rows.iter().all(has_residence)
        });
        cluster
    }

    /// Starts `vms` VMs without a table.
    pub fn start_empty(vms: u16) -> Self {
        let ports = claim_ports();
        let base_port = ports.first();
        let layout = Layout { deployment: Deployment::Kalahari, vms, base_port };
        let folder = std::env::temp_dir().join(format!("persimmonglade-test-{base_port}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be made");
        let base = base_port.to_string();
        let vm_count = vms.to_string();
        let args = ["--base-port", &base, "--vms", &vm_count, "run"];
        let standins = spawn("persimmonglade-standins", &args, &folder.join("standins.log"));
        let runtime = Runtime::new().expect("a runtime can be started");
        let none = || (0..vms).map(|_| None).collect();
        let mut cluster = Self {
            layout,
            folder,
            runtime,
            standins,
            entries: none(),
            planners: none(),
            _ports: ports,
        };
        cluster.eventually("the stand-ins answer", || {
            cluster.get(layout.control(), "/writes").is_some()
        });
        for vm in 0..vms {
            let settings = cluster.layout.settings_yaml(vm, CREDENTIAL);
            fs::write(cluster.settings_path(vm), settings).expect("settings can be written");
            cluster.start_vm(vm);
        }
        cluster.eventually("all VMs see each other", || {
            let lines = cluster.cli(&["--json", "vms"]).stdout;
            let lines: Vec<serde_json::Value> = serde_json::from_str(&lines).unwrap_or_default();
            lines.iter().filter(|line| line["live"] == true).count() == 2 * usize::from(vms)
        });
        cluster
    }

    /// Path of a VM's settings file.
    pub fn settings_path(&self, vm: u16) -> PathBuf {
        self.folder.join(format!("vm-{}.yaml", vm + 1))
    }

    /// Starts the daemons of a VM.
    pub fn start_vm(&mut self, vm: u16) {
        let settings = self.settings_path(vm).to_string_lossy().into_owned();
        let args = ["--settings", &settings];
        let log = |role: &str| self.folder.join(format!("{role}-{}.log", vm + 1));
        let entry = spawn("persimmonglade-entry", &args, &log("entry"));
        let planner = spawn("persimmonglade-planner", &args, &log("planner"));
        self.entries[usize::from(vm)] = Some(entry);
        self.planners[usize::from(vm)] = Some(planner);
    }

    /// Kills the daemons of a VM without warning.
    pub fn kill_vm(&mut self, vm: u16) {
        let vm = usize::from(vm);
        for child in [self.entries[vm].take(), self.planners[vm].take()].into_iter().flatten() {
            end(child);
        }
    }

    /// Lets the entry of a VM stand still.
    pub fn pause_entry(&self, vm: u16) {
        self.signal_entry(vm, Signal::STOP);
    }

    /// Lets an entry that stands still go on.
    pub fn resume_entry(&self, vm: u16) {
        self.signal_entry(vm, Signal::CONT);
    }

    fn signal_entry(&self, vm: u16, signal: Signal) {
        if let Some(child) = &self.entries[usize::from(vm)] {
            kill_process(Pid::from_child(child), signal).expect("an own child can be signalled");
        }
    }

    /// Most memory that the daemons of a VM have had so far, in kB: the entry's and the planner's.
    pub fn peak_memory_kb(&self, vm: u16) -> (u64, u64) {
        let peak = |child: &Option<Child>| child.as_ref().map_or(0, peak_memory_kb);
        (peak(&self.entries[usize::from(vm)]), peak(&self.planners[usize::from(vm)]))
    }

    /// Waits until the entry of a VM has ended by itself, and returns its exit code.
    pub fn wait_entry(&mut self, vm: u16) -> Option<i32> {
        let mut child = self.entries[usize::from(vm)].take()?;
        child.wait().ok()?.code()
    }

    /// Runs the operators' command line against the first VM.
    pub fn cli(&self, args: &[&str]) -> Output {
        self.cli_as(CREDENTIAL, args)
    }

    /// The same with another credential.
    pub fn cli_as(&self, credential: &str, args: &[&str]) -> Output {
        let address = self.layout.operator(0).to_string();
        let variables = [
            ("PERSIMMONGLADE_ADDRESS", address.as_str()),
            ("PERSIMMONGLADE_CREDENTIAL", credential),
        ];
        run_program("persimmonglade", args, &variables)
    }

    /// Sets the faults of a stand-in.
    pub fn faults(&self, name: &str, faults: &str) {
        let path = format!("/faults/{name}");
        let reply = self.post(self.layout.control(), &path, &[], faults);
        assert_eq!(reply.map(|reply| reply.status), Some(200), "faults of {name}");
    }

    /// What a path of the stand-ins' control port shows.
    pub fn shown(&self, path: &str) -> serde_json::Value {
        let reply = self.get(self.layout.control(), path).expect("the control port answers");
        serde_json::from_str(&reply.body).expect("the control port answers in JSON")
    }

    /// How often the plain service ran the call with this body.
    pub fn executions(&self, body: &str) -> u64 {
        self.shown("/executions")[body].as_u64().unwrap_or(0)
    }

    /// Sends a request to the callers' port of a VM.
    pub fn call(&self, vm: u16, path: &str, headers: &[(&str, &str)], body: &str) -> Option<Reply> {
        self.post(self.layout.caller(vm), path, headers, body)
    }

    /// Runs a future to its end.
    pub fn block_on<F: Future>(&self, work: F) -> F::Output {
        self.runtime.block_on(work)
    }

    /// Reads a path; `None` without an answer.
    pub fn get(&self, addr: SocketAddr, path: &str) -> Option<Reply> {
        self.send("GET", addr, path, &[], "")
    }

    fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        self.send("POST", addr, path, headers, body)
    }

    fn send(
        &self,
        method: &str,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Reply> {
        let mut req = Request::builder().method(method).uri(path).header("host", addr.to_string());
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body.to_owned()))).ok()?;
        let pool = Pool::new();
        let answer = self.runtime.block_on(pool.fetch(addr, req, PATIENCE)).ok()?;
        let text = |value: &glade_http::HeaderValue| value.to_str().unwrap_or_default().to_owned();
        let headers = answer.headers.iter().map(|(name, value)| (name.to_string(), text(value)));
        Some(Reply {
            status: answer.status.as_u16(),
            headers: headers.collect(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        })
    }

    /// Waits until `holds` does, and fails the test if it doesn't for too long.
    pub fn eventually(&self, what: &str, holds: impl Fn() -> bool) {
        let until = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < until, "{what}: not within {PATIENCE:?}");
            sleep(Duration::from_millis(100));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for vm in 0..self.entries.len() {
            self.kill_vm(u16::try_from(vm).unwrap_or(0));
        }
        let _ = self.standins.kill();
        let _ = self.standins.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn end(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
}

fn spawn(name: &str, args: &[&str], log: &Path) -> Child {
    let log = File::create(log).expect("the log can be made");
    let mut command = Command::new(program(name));
    command.args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    ports::spawn(&mut command).expect("the program can be started")
}

/// Takes a block of ports of which nobody uses those that a cluster needs.
fn claim_ports() -> PortBlock {
    loop {
        let block = PortBlock::claim(&PORT_RANGE);
        let used = [0, 1, 2, 3].into_iter().chain(100..120).chain(200..204).chain(300..350);
        if ports::are_free(used.map(|offset| block.first() + offset)) {
            return block;
        }
    }
}
