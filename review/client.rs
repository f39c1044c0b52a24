//! A client attempt.

use {
    crate::base::{Message, read_body, read_head},
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Sends a request on a new connection and returns what came back: `None` if the connection ended
/// before the head of an answer; an answer that isn't `whole` broke off.
pub fn send(
    node: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: shop.example\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader).ok()??;
    let _ = read_body(&mut reader, &mut answer);
    Some(answer)
}
