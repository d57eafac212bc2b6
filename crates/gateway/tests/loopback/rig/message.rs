//! HTTP messages as clients, servers and the discovery agent read them.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// Header values by name in lower case.
    pub headers: HashMap<String, String>,
    /// The body, as far as it arrived; empty for a chunked one.
    pub body: Vec<u8>,
    /// Whether the body has the announced length.
    pub complete: bool,
}

impl Message {
    /// The value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// How long the client of a request waits, in milliseconds.
    pub fn client_timeout_ms(&self) -> Option<u64> {
        self.header("x-budget-ms").parse().ok()
    }

    /// The status code of a response, 0 if its status line is malformed.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ended before its head did.
pub fn read_message(stream: &mut BufReader<impl Read>) -> Option<Message> {
    let mut message = Message::default();
    while message.start_line.is_empty() {
        message.start_line = read_line(stream)?;
    }
    while let Some((name, value)) = read_line(stream)?.split_once(": ") {
        message.headers.insert(name.to_lowercase(), value.to_owned());
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let read = stream.by_ref().take(length as u64).read_to_end(&mut message.body);
    message.complete = read.is_ok() && message.body.len() == length;
    Some(message)
}

/// Reads one line of a head without its end; `None` if the connection ended before the line did.
fn read_line(stream: &mut BufReader<impl Read>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    line.ends_with('\n').then(|| line.trim_end().to_owned())
}

/// Reads the head of a message byte by byte, so that no byte of its body is consumed.
pub fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}
