//! Scripted clients of the gateway, and operators.

use super::message::{read_message, Message};
use super::EVENT_TIMEOUT;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to an address.
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(EVENT_TIMEOUT))?;
        Ok(Client(BufReader::new(stream)))
    }

    /// Writes a text.
    pub fn write(&mut self, text: &str) {
        self.write_bytes(text.as_bytes());
    }

    /// Writes bytes.
    pub fn write_bytes(&mut self, data: &[u8]) {
        self.0.get_mut().write_all(data).unwrap();
    }

    /// Closes the sending half of the connection.
    pub fn shutdown_write(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Reads the head of a response and the first bytes of its body.
    pub fn read_body_start(&mut self, length: usize) -> Vec<u8> {
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            self.0.read_line(&mut line).unwrap();
        }
        self.read_bytes(length)
    }

    /// Reads a number of bytes.
    pub fn read_bytes(&mut self, length: usize) -> Vec<u8> {
        let mut data = vec![0; length];
        self.0.read_exact(&mut data).unwrap();
        data
    }

    /// The next response; `None` if the gateway closed the connection first.
    pub fn response(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    /// The next response, which must come.
    pub fn expect_response(&mut self) -> Message {
        self.response().expect("the connection was closed without a response")
    }

    /// Waits until the gateway closes the connection, and returns what came before.
    pub fn read_until_closed(&mut self) -> String {
        let mut text = Vec::new();
        if let Err(error) = self.0.read_to_end(&mut text) {
            assert_eq!(error.kind(), ErrorKind::ConnectionReset, "not closed: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Sends a request and waits for its response.
    pub fn call(&mut self, request: &str) -> Message {
        self.write(request);
        self.expect_response()
    }
}

/// One call of the operators.
pub fn operator_get(address: SocketAddr, path: &str) -> Message {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    Client::connect(address).expect("the operator interface accepts no connection").call(&request)
}
