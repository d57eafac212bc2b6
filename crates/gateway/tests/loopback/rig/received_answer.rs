//! What a client gets of a response, whether or not that is whole.

use super::message::Message;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A response as far as it was received.
#[derive(Debug, Default)]
pub struct ReceivedAnswer {
    /// Status code; 0 if the connection ended without a response.
    pub status: u16,
    /// The part of the body that was received.
    pub body: Vec<u8>,
    /// Whether the response announces the close of the connection.
    pub closes: bool,
    /// Whether the response ended as its head announced.
    pub is_whole: bool,
    /// Time after which the first byte came.
    pub began_after: Duration,
    /// Time after which the response ended.
    pub ended_after: Duration,
}

impl ReceivedAnswer {
    /// Reads a response to a request that was sent at `sent_at`.
    pub fn read(reader: &mut BufReader<TcpStream>, sent_at: Instant) -> ReceivedAnswer {
        let mut answer = ReceivedAnswer::default();
        let _ = reader.fill_buf();
        answer.began_after = sent_at.elapsed();
        if let Some(head) = read_head(reader) {
            answer.status = head.status();
            answer.closes = head.header("connection") == "close";
            answer.is_whole = answer.read_body(&head, reader).is_some();
        }
        answer.ended_after = sent_at.elapsed();
        answer
    }

    /// Reads a body to its end, or returns `None` if the connection ends before it.
    fn read_body(&mut self, head: &Message, reader: &mut BufReader<TcpStream>) -> Option<()> {
        if let Ok(length) = head.header("content-length").parse() {
            return self.read_bytes(length, reader);
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let length = u64::from_str_radix(line.trim_end(), 16).ok()?;
            self.read_bytes(length, reader)?;
            reader.read_exact(&mut [0; 2]).ok()?;
            if length == 0 {
                return Some(());
            }
        }
    }

    /// Reads a number of bytes of the body, or returns `None` if the connection ends before them.
    fn read_bytes(&mut self, length: u64, reader: &mut BufReader<TcpStream>) -> Option<()> {
        let read = reader.take(length).read_to_end(&mut self.body).ok()?;
        (read as u64 == length).then_some(())
    }
}

/// Reads a head, or returns `None` if the connection ends before that does.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.start_line).ok()?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) => message.headers.insert(name.to_lowercase(), value.to_owned()),
            None => return (line == "\r\n").then_some(message),
        };
    }
}
