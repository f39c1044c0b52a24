//! The project's node as a separate process, started as the deploy file says, with the settings of
//! a small deployment.

use {
    crate::store::Store,
    std::{
        env, fs,
        fs::File,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::OnceLock,
        thread,
        time::Duration,
    },
};

pub const DRAIN_MS: u64 = 2000;
pub const GRACE_S: u64 = 8;
pub const HEARTBEAT_MS: u64 = 1200;

/// Ports that are free on the first node's address. They are the same on all nodes, each of which has
/// an address of its own.
struct Ports {
    front: u16,
    ready: u16,
    directory: u16,
    control: u16,
    metrics: u16,
}

fn ports() -> &'static Ports {
    static PORTS: OnceLock<Ports> = OnceLock::new();
    PORTS.get_or_init(|| {
        let own = ip(1, 1);
        let bound: Vec<TcpListener> =
            (0..5).filter_map(|_| TcpListener::bind((own.as_str(), 0)).ok()).collect();
        let port = |number: usize| {
            let addr = bound.get(number).and_then(|listener| listener.local_addr().ok());
            addr.map_or(0, |addr| addr.port())
        };
        Ports {
            front: port(0),
            ready: port(1),
            directory: port(2),
            control: port(3),
            metrics: port(4),
        }
    })
}

/// A temporary folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    pub fn open() -> Result<Self, String> {
        let path = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|err| err.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The second byte of this run's addresses, so that runs beside each other don't meet.
pub fn net() -> u32 {
    std::process::id() % 120 + 60
}

/// The loopback address number `host` of group `group` of this run.
pub fn ip(group: u32, host: u32) -> String {
    format!("127.{}.{group}.{host}", net())
}

/// A running node, which is killed when it is dropped.
pub struct Node {
    pub name: String,
    pub child: Child,
    pub front: SocketAddr,
}

impl Node {
    /// Starts node `number` of `count`.
    pub fn start(folder: &Folder, store: &Store, number: u32, count: u32) -> Result<Self, String> {
        let ip_of = |number| ip(1, number + 1);
        let zone = ["khomas-a", "khomas-b", "khomas-c"][number as usize % 3];
        let name = format!("front-{zone}-{}", number / 3 + 1);
        let own = ip_of(number);
        let Ports { front, ready, directory, control, metrics } = ports();
        let seeds: Vec<String> =
            (0..count.min(3)).map(|number| format!("\"{}:{control}\"", ip_of(number))).collect();
        let (seeds, store) = (seeds.join(","), store.addr);
        let settings = format!(
            "vm:\n  name: \"{name}\"\n  data_centre: \"{zone}\"\n  region: \"khomas\"\n  \
             cpu_share: 0.25\n  first_start: true\nlisten:\n  callers: \"{own}:{front}\"\n  \
             readiness: \"{own}:{ready}\"\n  directory: \"{own}:{directory}\"\n  \
             peers: \"{own}:{control}\"\n  metrics_port: {metrics}\nplatform:\n  store: \"{store}\"\n\
             seeds: [{seeds}]\ntiming:\n  lease_ms: 3000\n  grace_s: {GRACE_S}\n  \
             directory_ttl_s: 2\n  leaving_server_ms: {DRAIN_MS}\n  \
             registry_beat_ms: {HEARTBEAT_MS}\nengines:\n  check_fences: true\nrepeats:\n  \
             share: 0.2\n  window_s: 10\n  reserve: 54\nloads:\n  window_s: 5\n"
        );
        let file = folder.0.join(format!("{name}.yaml"));
        fs::write(&file, settings).map_err(|err| err.to_string())?;
        let log =
            File::create(folder.0.join(format!("{name}.log"))).map_err(|err| err.to_string())?;
        let errors = log.try_clone().map_err(|err| err.to_string())?;
        let mut command = Command::new("target/release/persimmonglade-node");
        command.env_clear().env("PERSIMMONGLADE_BOOT", &file);
        for kept in ["PATH", "HOME", "LANG"] {
            command.envs(env::var_os(kept).map(|value| (kept, value)));
        }
        let command = command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().map_err(|err| format!("persimmonglade-node: {err}"))?;
        let front = format!("{own}:{front}").parse().map_err(|_| "address".to_owned())?;
        Ok(Self { name, child, front })
    }

    /// True if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Keeps the nodes' logs, if `KEEP_LOGS` names a folder.
pub fn keep_logs(folder: &Folder) {
    let Some(to) = env::var_os("KEEP_LOGS") else { return };
    let Ok(files) = fs::read_dir(&folder.0) else { return };
    for file in files.flatten() {
        let _ = fs::copy(file.path(), PathBuf::from(&to).join(file.file_name()));
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
