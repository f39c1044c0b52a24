//! A small HTTP/1.1 server and client on blocking sockets, for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Head and body of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        percent_decoded(value.unwrap_or(""))
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// 0 if there was no head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The answer has its proper end.
    pub whole: bool,
    pub error: String,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunked body into `body`. Fails if it ends early.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(());
        }
        read_exactly(reader, size, body)?;
        read_line(reader)?;
    }
}

/// Reads `size` bytes and keeps those that come before an error.
fn read_exactly(reader: &mut impl Read, size: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let mut left = size;
    let mut part = [0; 4096];
    while left > 0 {
        let wanted = left.min(part.len());
        let count = reader.read(&mut part[..wanted])?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&part[..count]);
        left -= count;
    }
    Ok(())
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    find(headers, "transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
}

fn length(headers: &[(String, String)]) -> Option<usize> {
    find(headers, "content-length").and_then(|value| value.parse().ok())
}

/// Reads the next request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader).ok()?;
    let mut words = line.split(' ');
    let target = words.nth(1)?.to_owned();
    let headers = read_headers(reader).ok()?;
    let mut body = Vec::new();
    if is_chunked(&headers) {
        read_chunks(reader, &mut body).ok()?;
    } else {
        read_exactly(reader, length(&headers).unwrap_or(0), &mut body).ok()?;
    }
    Some(Request { target, headers, body })
}

/// Serves each connection to `listener` in a thread of its own. `answer` returns false to end the
/// connection.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !answer(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a whole answer with a length. Returns false if the connection is broken.
pub fn respond(writer: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let mut answer =
        format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    answer.extend_from_slice(body);
    writer.write_all(&answer).is_ok()
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends `head` (request line and headers, without the empty line) with `body`, and reads the answer.
    pub fn request(&mut self, head: &str, body: &[u8]) -> Reply {
        let mut reply = Reply::default();
        if let Err(err) = self.exchange(head, body, &mut reply) {
            reply.error = err.to_string();
        }
        reply
    }

    fn exchange(&mut self, head: &str, body: &[u8], reply: &mut Reply) -> io::Result<()> {
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let mut bytes = format!("{head}{length}\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        let line = read_line(&mut self.reader)?;
        reply.status = line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        reply.headers = read_headers(&mut self.reader)?;
        if is_chunked(&reply.headers) {
            read_chunks(&mut self.reader, &mut reply.body)?;
        } else if let Some(length) = self::length(&reply.headers) {
            read_exactly(&mut self.reader, length, &mut reply.body)?;
        } else {
            self.reader.read_to_end(&mut reply.body)?;
        }
        reply.whole = true;
        Ok(())
    }
}
