//! Reading of HTTP messages by the scripted clients, servers and discovery agent.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Header values, keyed by the lower-case header name.
    pub headers: HashMap<String, String>,
    /// Received part of the body; empty if the body is chunked.
    pub body: Vec<u8>,
    /// Whether the body has the length stated in `Content-Length`.
    pub complete: bool,
}

impl Message {
    /// Returns the value of a header, or an empty string if the header is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the client timeout of a request in milliseconds.
    pub fn client_timeout_ms(&self) -> Option<u64> {
        self.header("x-budget-ms").parse().ok()
    }

    /// Returns the status code of a response, or 0 if the status line is malformed.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; returns `None` if the connection ends before the message's head does.
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

/// Reads one line of a head without its line break; returns `None` if the connection ends before the line
/// does.
fn read_line(stream: &mut BufReader<impl Read>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok()?;
    line.ends_with('\n').then(|| line.trim_end().to_owned())
}

/// Reads the head of a message byte by byte, so that no byte of the body is consumed.
pub fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// Returns the bytes of a body, which reveal a gap or a repetition.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|position| (position / 251 + position) as u8).collect()
}
