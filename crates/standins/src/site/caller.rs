//! A caller on the platform.

use {
    crate::site::engine::{FIRST_VERSION, FIRST_VERSION_WORD},
    bytes::Bytes,
    glade_adapter::{directory, platform_dialect::stand_in},
    glade_catalog::RequestMetadata,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Request, Response,
        body::Incoming,
        client::conn::http1,
        header::{HOST, HeaderName, HeaderValue},
    },
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{collections::BTreeSet, io, net::SocketAddr, time::Duration},
    tokio::{
        net::{TcpSocket, TcpStream},
        time::sleep,
    },
};

/// Bytes of a packet to a slow caller, and of what its machine takes unread. The system on the other
/// side then keeps little for it too.
const SLOW_PACKET_BYTES: u32 = 536;
const SLOW_UNREAD_BYTES: u32 = 4 << 10;

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The body as far as it came.
    pub body: String,
    /// Whether the answer came to a proper end.
    pub whole: bool,
}

impl Reply {
    /// Identifiers of the events of a stream, in the order of their arrival.
    pub fn event_ids(&self) -> Vec<u64> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }

    /// Software versions of the servers whose events a stream holds.
    pub fn versions(&self) -> BTreeSet<&str> {
        stream_versions(&self.body)
    }
}

/// Software versions of the servers whose events `body` holds.
pub fn stream_versions(body: &str) -> BTreeSet<&str> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let words = data.filter_map(|line| Some(line.rsplit_once('-')?.0));
    let version = |word| if word == FIRST_VERSION_WORD { FIRST_VERSION } else { word };
    words.map(version).collect()
}

/// The lines of a request's head by which its caller sets `terms`.
pub fn terms_lines(terms: &RequestMetadata) -> String {
    let mut headers = HeaderMap::new();
    stand_in::write_caller_terms(&mut headers, terms);
    let text = |value: &HeaderValue| value.to_str().unwrap_or_default().to_owned();
    headers.iter().map(|(name, value)| format!("{name}: {}\r\n", text(value))).collect()
}

/// A caller that opens a connection for each request.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// Time after which a slow caller reads an answer's body.
    reads_after: Option<Duration>,
    /// Headers beside those of a request's terms.
    headers: HeaderMap,
}

impl Caller {
    /// Returns a caller on a slow link who reads an answer's body this long after its head.
    pub fn slow(reads_after: Duration) -> Self {
        Self { reads_after: Some(reads_after), ..Self::default() }
    }

    /// Returns a caller that sends `headers` with each request, beside those of its terms.
    ///
    /// # Panics
    ///
    /// A name or value is malformed.
    pub fn with_headers(headers: &[(&'static str, &str)]) -> Self {
        Self { headers: header_map(headers), ..Self::default() }
    }

    /// Sends a request; `None` if the connection broke before an answer began.
    pub async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        host: &str,
        path: &str,
        terms: &RequestMetadata,
        body: &str,
    ) -> Option<Reply> {
        let mut req = request(method, host, path, terms, body)?;
        req.headers_mut().extend(self.headers.clone());
        self.exchange(addr, req).await
    }

    /// Asks the directory at `addr` where to connect.
    pub async fn resolve(&self, addr: SocketAddr, data_centre: &str) -> Option<Vec<SocketAddr>> {
        let uri = format!("{}?Zone={data_centre}", directory::RESOLVE_PATH);
        let req = Request::get(uri).header(HOST, "directory").body(Full::default()).ok()?;
        let reply = self.exchange(addr, req).await?;
        (reply.status == 200).then(|| directory::decode_resolve_answer(reply.body.as_bytes()))?
    }

    /// Asks whether the VM at `addr` is ready.
    pub async fn is_ready(&self, addr: SocketAddr) -> bool {
        let req = Request::get(directory::READY_PATH).header(HOST, "ready").body(Full::default());
        match req {
            Ok(req) => self.exchange(addr, req).await.is_some_and(|reply| reply.status == 200),
            Err(_) => false,
        }
    }

    async fn exchange(&self, addr: SocketAddr, req: Request<Full<Bytes>>) -> Option<Reply> {
        let stream = self.connect(addr).await.ok()?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(driver);
        let response = sender.send_request(req).await.ok()?;
        sleep(self.reads_after.unwrap_or_default()).await;
        let reply = read_reply(response).await;
        driver.abort();
        Some(reply)
    }

    async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        if self.reads_after.is_none() {
            return TcpStream::connect(addr).await;
        }
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SLOW_UNREAD_BYTES)?;
        SockRef::from(&socket).set_tcp_mss(SLOW_PACKET_BYTES)?;
        socket.connect(addr).await
    }
}

pub(crate) fn header_map(headers: &[(&'static str, &str)]) -> HeaderMap {
    let header = |(name, value): &(&'static str, &str)| {
        (HeaderName::from_static(name), HeaderValue::from_str(value).expect("a header's value"))
    };
    headers.iter().map(header).collect()
}

/// A caller's request; `None` if a part of it is malformed.
pub(crate) fn request(
    method: &str,
    host: &str,
    path: &str,
    terms: &RequestMetadata,
    body: &str,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *req.method_mut() = method.parse().ok()?;
    *req.uri_mut() = path.parse().ok()?;
    req.headers_mut().insert(HOST, host.parse().ok()?);
    stand_in::write_caller_terms(req.headers_mut(), terms);
    Some(req)
}

/// Reads an answer to its end, or as far as it comes.
pub(crate) async fn read_reply(response: Response<Incoming>) -> Reply {
    let (head, mut body) = response.into_parts();
    let mut reply = Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::new(),
        whole: true,
    };
    while let Some(frame) = body.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => reply.body.push_str(&String::from_utf8_lossy(&data)),
            Ok(Err(_trailers)) => {}
            Err(_) => {
                reply.whole = false;
                break;
            }
        }
    }
    reply
}
