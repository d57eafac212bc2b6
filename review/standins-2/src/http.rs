//! Just enough HTTP/1.1 for the stand-ins: messages with a length or in chunks, one at a time on a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A parsed message: the first line, the headers in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with what has been read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, Duration::from_secs(2)).map(Connection::new)
    }

    pub fn send(&mut self, data: &[u8]) -> io::Result<()> {
        self.stream.write_all(data)
    }

    /// Reads more bytes until the deadline; `Ok(false)` at the end of the stream.
    fn read_more(&mut self, deadline: Instant) -> io::Result<bool> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 65_536];
        match self.stream.read(&mut chunk) {
            Ok(0) => Ok(false),
            Ok(read) => {
                self.rest.extend_from_slice(&chunk[..read]);
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(true),
            Err(error) => Err(error),
        }
    }

    /// Waits until at least `length` bytes are there.
    fn fill(&mut self, length: usize, deadline: Instant) -> io::Result<()> {
        while self.rest.len() < length {
            if !self.read_more(deadline)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    fn line(&mut self, deadline: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.read_more(deadline)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the head of a message. `Ok(None)` if the peer closed before its first byte.
    pub fn read_head(&mut self, deadline: Instant) -> io::Result<Option<Message>> {
        while self.rest.is_empty() {
            if !self.read_more(deadline)? {
                return Ok(None);
            }
        }
        let mut message = Message { first_line: self.line(deadline)?, ..Message::default() };
        loop {
            let line = self.line(deadline)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn read_body(&mut self, message: &mut Message, deadline: Instant) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = self.line(deadline)?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                if size == 0 {
                    while !self.line(deadline)?.is_empty() {}
                    return Ok(());
                }
                self.fill(size + 2, deadline)?;
                let mut data: Vec<u8> = self.rest.drain(..size + 2).collect();
                data.truncate(size);
                message.body.extend(data);
            }
        }
        let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        self.fill(length, deadline)?;
        message.body = self.rest.drain(..length).collect();
        Ok(())
    }

    /// Reads a whole message. `Ok(None)` if the peer closed before its first byte.
    pub fn read_message(&mut self, deadline: Instant) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head(deadline)? else { return Ok(None) };
        self.read_body(&mut message, deadline)?;
        Ok(Some(message))
    }
}
