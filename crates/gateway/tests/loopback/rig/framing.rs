//! The forms in which servers write the bodies of their responses.

use super::chunks::encode_chunk;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};

/// How a server frames the body of its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// The head tells the length.
    Length(usize),
    Chunked,
    /// The end of the connection ends the body.
    Close,
}

impl Framing {
    /// Returns the head of a response.
    pub fn head(self) -> String {
        let line = match self {
            Framing::Length(length) => format!("Content-Length: {length}"),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
            Framing::Close => "Connection: close".to_owned(),
        };
        format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n")
    }

    /// Returns a piece of the body in the form in which it is written.
    pub fn encode(self, piece: &[u8]) -> Vec<u8> {
        match self {
            Framing::Chunked => encode_chunk(piece),
            Framing::Length(_) | Framing::Close => piece.to_vec(),
        }
    }

    /// Ends the body.
    pub fn end(self, server: &mut TcpStream) -> io::Result<()> {
        match self {
            Framing::Chunked => server.write_all(b"0\r\n\r\n"),
            Framing::Close => server.shutdown(Shutdown::Write),
            Framing::Length(_) => Ok(()),
        }
    }
}
