//! A bounded crowd of callers that hold bodies just short of their end, and the memory of nodes meanwhile.

use {
    crate::checks::Violation,
    glade_catalog::CallerLimits,
    glade_standins::site::terms_lines,
    glade_system::site::{CLAIM, HOST, Site, caller_terms},
    std::{net::SocketAddr, ops::Range, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Memory in MB and descriptors of the nodes' VMs.
pub(crate) const VM_LIMITS: (usize, usize) = (80, 1000);
/// Memory of a crowd's bodies at each node, as a multiple of its VM's.
const CROWD_SHARE: usize = 2;
/// Time for which a body is held, in milliseconds.
const HELD_MS: Range<u64> = 500..3000;
/// Longest time for which a body is sent: a node that is short of memory doesn't read it.
const SEND_TIME_MAX: Duration = Duration::from_secs(3);
/// Payload of a chunk.
const CHUNK_BYTES: usize = 64 << 10;
/// Beginning of the crowd's request ids.
const ID_PREFIX: &str = "hostile-";

/// Callers that hold bodies, and the most memory that nodes have had.
#[derive(Debug)]
pub(crate) struct HostileClients {
    rng: fastrand::Rng,
    /// By node.
    crowds: Vec<Vec<JoinHandle<()>>>,
    peaks_kb: Vec<u64>,
    callers: u64,
}

impl HostileClients {
    pub(crate) fn new(rng: fastrand::Rng, nodes: usize) -> Self {
        let crowds = (0..nodes).map(|_| Vec::new()).collect();
        Self { rng, crowds, peaks_kb: vec![0; nodes], callers: 0 }
    }

    /// Replaces callers that have left, and notes the nodes' memory.
    pub(crate) fn play(&mut self, site: &Site) {
        let body_bytes = CallerLimits::default().max_body_bytes;
        let size = CROWD_SHARE * VM_LIMITS.0 * (1 << 20) / body_bytes;
        for (node, crowd) in self.crowds.iter_mut().enumerate() {
            crowd.retain(|caller| !caller.is_finished());
            while crowd.len() < size {
                self.callers += 1;
                let bytes = beginning(&mut self.rng, self.callers, body_bytes);
                let held = Duration::from_millis(self.rng.u64(HELD_MS));
                let addr = site.addrs(node).callers;
                crowd.push(site.runtime().spawn(call(addr, bytes, held)));
            }
        }
        self.look(site);
    }

    /// Notes the nodes' memory.
    pub(crate) fn look(&mut self, site: &Site) {
        for (node, peak_kb) in self.peaks_kb.iter_mut().enumerate() {
            *peak_kb = site.peak_memory_kb(node).max(*peak_kb);
        }
    }

    /// Closes all connections.
    pub(crate) fn stop(&mut self) {
        self.crowds.iter_mut().flat_map(|crowd| crowd.drain(..)).for_each(|caller| caller.abort());
    }

    /// Checks the memory of nodes, and that no body without its end was passed on.
    pub(crate) fn check(&self, site: &Site) -> Vec<Violation> {
        let mut found = Vec::new();
        for (node, peak_kb) in self.peaks_kb.iter().enumerate() {
            if peak_kb / 1024 >= VM_LIMITS.0 as u64 {
                let promise = "a node stays within its VM's memory";
                found.push(Violation { promise, seen: format!("node-{node}: {peak_kb} kB") });
            }
        }
        let runs = site.log.runs();
        let unfinished = runs.iter().filter(|run| run.request_id.starts_with(ID_PREFIX));
        found.extend(unfinished.map(|run| Violation {
            promise: "no request without its end runs",
            seen: format!("{run:?}"),
        }));
        found
    }
}

/// A request without its end: half of its body or all but the last byte, announced or in chunks.
fn beginning(rng: &mut fastrand::Rng, caller: u64, body_bytes: usize) -> Vec<u8> {
    let terms = terms_lines(&caller_terms(&format!("{ID_PREFIX}{caller}"), None, 0, &[]));
    let sent = if rng.bool() { body_bytes - 1 } else { body_bytes / 2 };
    let head = |framing: &str| {
        format!("POST {CLAIM} HTTP/1.1\r\nhost: {HOST}\r\n{terms}{framing}\r\n\r\n").into_bytes()
    };
    if rng.bool() {
        let mut bytes = head(&format!("content-length: {body_bytes}"));
        bytes.resize(bytes.len() + sent, b'a');
        return bytes;
    }
    let mut bytes = head("transfer-encoding: chunked");
    let piece = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "a".repeat(CHUNK_BYTES));
    bytes.extend(piece.as_bytes().repeat(sent / CHUNK_BYTES));
    bytes
}

/// Sends `bytes` as far as the node takes them, and holds the connection.
async fn call(addr: SocketAddr, bytes: Vec<u8>, held: Duration) {
    // A node that is down, or that refuses the body, ends the connection: the next caller comes later too.
    if let Ok(mut stream) = TcpStream::connect(addr).await {
        let _ = timeout(SEND_TIME_MAX, stream.write_all(&bytes)).await;
        sleep(held).await;
        return;
    }
    sleep(held).await;
}
