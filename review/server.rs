//! A plain server of a service: runs the requests that are meant for it, and answers each.

use {
    crate::{
        base::{Record, read_message, write_response},
        node::sleep_ms,
    },
    std::{
        collections::HashMap,
        io::BufReader,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
    },
};

/// Runs by request id: the server's name and the time at which the run began.
pub type Runs = Arc<Mutex<HashMap<String, Vec<(String, u64)>>>>;

/// A running server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    work_ms: u64,
    record: Arc<Record>,
    runs: Runs,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn open(
        ip: &str,
        id: &str,
        work_ms: u64,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind((ip, 0)).map_err(|err| format!("{id}: {err}"))?;
        let server = Self {
            id: id.to_owned(),
            addr: listener.local_addr().map_err(|err| err.to_string())?,
            work_ms,
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            has_ended: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// The server's entry, with all fields that an entry has.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":6,\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":4,\
             \"born\":1764900000000}}",
            self.addr
        )
    }

    /// Ends the server: it stops listening, and its connections close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect(self.addr);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.write(&format!("server {} has ended", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.connections.lock().unwrap().push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let own = ("Instance-Id", self.id.as_str());
            let id = request.header("request-id").unwrap_or("").to_owned();
            let answered = if request.target() == "/health" {
                write_response(&mut writer, "200 OK", &[own], b"")
            } else if request.header("expect-instance").is_some_and(|other| other != self.id) {
                let headers = [own, ("Not-Run", "1"), ("Request-Id", id.as_str())];
                write_response(&mut writer, "421 Misdirected Request", &headers, b"")
            } else {
                self.run(&id);
                if self.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let headers = [("Request-Id", id.as_str()), ("Response-Stamp", "stamp")];
                write_response(&mut writer, "200 OK", &headers, format!("done {id}").as_bytes())
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn run(&self, id: &str) {
        self.record.write(&format!("run {id} at {}", self.id));
        let run = (self.id.clone(), self.record.now_ms());
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
        sleep_ms(self.work_ms);
    }
}
