//! HTTP messages, base64, a reader of JSON, and the record of a run.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
    sync::Mutex,
    time::Instant,
};

/// A request or a response: its first line, headers by lower-case name, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// False if the connection ended before the message did.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else {
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    message.whole = true;
    Ok(())
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for position in 0..4 {
            if position > chunk.len() {
                text.push('=');
            } else {
                text.push(ALPHABET[(word >> (18 - 6 * position)) as usize & 63] as char);
            }
        }
    }
    text
}

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut position = 0;
        Self::value(bytes, &mut position)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Object(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    fn skip_space(bytes: &[u8], position: &mut usize) {
        while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
            *position += 1;
        }
    }

    fn value(bytes: &[u8], position: &mut usize) -> Option<Self> {
        Self::skip_space(bytes, position);
        match bytes.get(*position)? {
            b'{' => {
                let mut fields = BTreeMap::new();
                *position += 1;
                loop {
                    Self::skip_space(bytes, position);
                    match bytes.get(*position)? {
                        b'}' => break,
                        b',' => *position += 1,
                        _ => {
                            let name = Self::value(bytes, position)?;
                            Self::skip_space(bytes, position);
                            *position += 1;
                            fields.insert(name.text().to_owned(), Self::value(bytes, position)?);
                        }
                    }
                }
                *position += 1;
                Some(Self::Object(fields))
            }
            b'[' => {
                let mut items = Vec::new();
                *position += 1;
                loop {
                    Self::skip_space(bytes, position);
                    match bytes.get(*position)? {
                        b']' => break,
                        b',' => *position += 1,
                        _ => items.push(Self::value(bytes, position)?),
                    }
                }
                *position += 1;
                Some(Self::List(items))
            }
            b'"' => {
                let mut text = Vec::new();
                *position += 1;
                loop {
                    match *bytes.get(*position)? {
                        b'"' => break,
                        b'\\' => {
                            *position += 1;
                            match *bytes.get(*position)? {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'u' => {
                                    let digits = bytes.get(*position + 1..*position + 5)?;
                                    let digits = std::str::from_utf8(digits).ok()?;
                                    let code = u32::from_str_radix(digits, 16).ok()?;
                                    let letter = char::from_u32(code)?.to_string();
                                    text.extend_from_slice(letter.as_bytes());
                                    *position += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        other => text.push(other),
                    }
                    *position += 1;
                }
                *position += 1;
                String::from_utf8(text).ok().map(Self::Text)
            }
            _ => {
                let start = *position;
                while bytes.get(*position).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    *position += 1;
                }
                let text = std::str::from_utf8(&bytes[start..*position]).ok()?;
                Some(text.parse().map_or(Self::Null, Self::Number))
            }
        }
    }
}

/// What was sent, answered and run, with the milliseconds since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(folder: &str) -> Result<Self, String> {
        let path = format!("{folder}/record.txt");
        let file = File::create(&path).map_err(|err| format!("{path}: {err}"))?;
        Ok(Self { began: Instant::now(), file: Mutex::new(file) })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:>6} {text}\n", self.now_ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Decodes `%XX` in a query.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let hex = text.get(position + 1..position + 3).filter(|_| bytes[position] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                position += 3;
            }
            None => {
                decoded.push(bytes[position]);
                position += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Writes a JSON string.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => quoted.extend(['\\', letter]),
            letter if (letter as u32) < 0x20 => {
                quoted.push_str(&format!("\\u{:04x}", letter as u32))
            }
            letter => quoted.push(letter),
        }
    }
    quoted.push('"');
    quoted
}
