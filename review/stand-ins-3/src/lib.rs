//! Common parts of the cases' stand-ins: the nodes as the platform starts them, the platform's store, and raw
//! HTTP/1.1 for clients and servers.

mod store;

pub use store::Store;

use {
    std::{
        collections::BTreeMap,
        fmt::Write as _,
        fs::{self, File},
        io::Write as _,
        net::{SocketAddr, TcpListener as StdListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// What was sent, answered and run, with the time since the start; written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { began: Instant::now(), lines: Arc::default() }
    }

    pub fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.at(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.at(), text.as_ref());
        self.line(text);
    }

    pub fn write(&self, path: &str) {
        let mut file = File::create(path).expect("the record can be written");
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}").expect("the record can be written");
        }
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

/// True unless `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the script: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
pub fn finish(record: &Record, folder: &str, code: i32) -> ! {
    record.say(format!("exit {code}"));
    record.write(&format!("{folder}/record.txt"));
    std::process::exit(code)
}

/// Addresses of a node, all on loopback.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddrs {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub control: SocketAddr,
    pub metrics_port: u16,
}

fn free_port() -> u16 {
    StdListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

impl NodeAddrs {
    pub fn free() -> Self {
        let addr = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        Self {
            front: addr(),
            ready: addr(),
            directory: addr(),
            control: addr(),
            metrics_port: free_port(),
        }
    }
}

/// A node's process, started as the deploy file says.
pub struct Node {
    pub name: String,
    pub addrs: NodeAddrs,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The bounds that the settings file of a deployment states.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub memory_mb: u64,
    pub max_fds: u64,
    pub check_fences: bool,
    pub retry_slack: u32,
}

impl Node {
    /// Renders `platform/settings.yaml.in` with the values that the platform would fill in.
    pub fn new(
        folder: &PathBuf,
        name: &str,
        zone: &str,
        addrs: NodeAddrs,
        store: SocketAddr,
        seeds: &[SocketAddr],
        bounds: Bounds,
    ) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "vm:\n  name: \"{name}\"\n  data_centre: \"{zone}\"\n  region: \"region\"\n  cpu_share: 0.25\n  \
             memory_mb: {}\n  max_descriptors: {}\n  first_start: true\nlisten:\n  callers: \"{}\"\n  \
             readiness: \"{}\"\n  directory: \"{}\"\n  peers: \"{}\"\n  metrics_port: {}\nplatform:\n  \
             store: \"{store}\"\nseeds: [{}]\ntiming:\n  lease_ms: 3000\n  grace_s: 8\n  \
             directory_ttl_s: 2\n  leaving_server_ms: 2000\n  registry_beat_ms: 1200\nengines:\n  \
             check_fences: {}\nrepeats:\n  share: 0.2\n  window_s: 10\n  reserve: {}\nloads:\n  window_s: 5\n",
            bounds.memory_mb,
            bounds.max_fds,
            addrs.front,
            addrs.ready,
            addrs.directory,
            addrs.control,
            addrs.metrics_port,
            seeds.join(","),
            bounds.check_fences,
            bounds.retry_slack,
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.join(format!("{name}.log"));
        Self { name: name.to_owned(), addrs, settings, log, child: Mutex::new(None) }
    }

    /// Starts the program by the `run` line of the deploy file, in the repository's root.
    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new("target/release/persimmonglade-node")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("PERSIMMONGLADE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the node can be started");
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// How the process ended, if it has ended.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Resident memory in kB.
    pub fn resident_kb(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder of this run, removed by [`Rig::end`].
pub struct Rig {
    pub folder: PathBuf,
    pub store: Store,
}

impl Rig {
    pub async fn new() -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        Self { folder, store: Store::spawn().await }
    }

    pub fn end(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Head of an HTTP message: the first line, and the headers by lower-case name.
#[derive(Clone, Debug)]
pub struct Head {
    pub first: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads HTTP/1.1 messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    async fn more(&mut self) -> Option<()> {
        let mut space = [0; 16 << 10];
        match self.stream.read(&mut space).await {
            Ok(length) if length > 0 => {
                self.buffer.extend_from_slice(&space[..length]);
                Some(())
            }
            _ => None,
        }
    }

    /// The next head; `None` if the connection ends first.
    pub async fn head(&mut self) -> Option<Head> {
        let end = loop {
            match self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(end) => break end,
                None => self.more().await?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Head { first, headers })
    }

    async fn bytes(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.more().await?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.more().await?;
        }
    }

    /// The body that follows `head`; `None` if the connection ends before the body does. Calls `on_piece` for each
    /// chunk.
    pub async fn body(&mut self, head: &Head, mut on_piece: impl FnMut(&[u8])) -> Option<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(self.line().await?.trim(), 16).ok()?;
                let chunk = self.bytes(size).await?;
                self.bytes(2).await?;
                if size == 0 {
                    return Some(body);
                }
                on_piece(&chunk);
                body.extend(chunk);
            }
        }
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = self.bytes(length).await?;
        on_piece(&body);
        Some(body)
    }

    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }
}

/// An answer of a server with `status` and `body`.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// `GET path` on a connection of its own: status and body.
pub async fn get(addr: SocketAddr, path: &str) -> Option<(u16, String)> {
    let exchange = async {
        let mut reader = Reader::new(TcpStream::connect(addr).await.ok()?);
        let text = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
        reader.write(text.as_bytes()).await.then_some(())?;
        let head = reader.head().await?;
        let body = reader.body(&head, |_| {}).await?;
        Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
    };
    tokio::time::timeout(Duration::from_secs(1), exchange).await.ok().flatten()
}

/// Waits until all nodes are ready, as the platform asks them.
pub async fn all_ready(nodes: &[Arc<Node>], within: Duration) -> bool {
    let began = Instant::now();
    while began.elapsed() < within {
        let mut ready = 0;
        for node in nodes {
            ready += usize::from(
                get(node.addrs.ready, "/ready").await.is_some_and(|(status, _)| status == 200),
            );
        }
        if ready == nodes.len() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}
