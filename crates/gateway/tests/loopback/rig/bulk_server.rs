//! A server of long responses to requests without a body, whose connections one thread serves without blocking, so that many responses can
//! wait for their clients at once.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Interval between two rounds over all connections.
const ROUND_INTERVAL: Duration = Duration::from_millis(2);
/// End of a request that has no body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A connection of the gateway.
struct Connection {
    stream: TcpStream,
    /// The last bytes of the request.
    request_end: Vec<u8>,
    /// The part of the response that has not been written yet; `None` before the request has arrived.
    response: Option<Vec<u8>>,
}

impl Connection {
    /// Reads the request and writes the response as far as possible. Returns false once the connection is closed.
    fn advance(&mut self, response: &[u8]) -> bool {
        if self.response.is_none() {
            let mut data = [0; 4 << 10];
            match self.stream.read(&mut data) {
                Ok(0) => return false,
                Ok(read) => {
                    self.request_end.extend_from_slice(&data[..read]);
                    let excess = self.request_end.len().saturating_sub(HEAD_END.len());
                    self.request_end.drain(..excess);
                }
                Err(error) => return error.kind() == ErrorKind::WouldBlock,
            }
            if self.request_end == HEAD_END {
                self.response = Some(response.to_vec());
            }
        }
        let Some(unsent) = &mut self.response else { return true };
        match self.stream.write(unsent) {
            Ok(written) => {
                unsent.drain(..written);
                true
            }
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Starts a server that answers each request with this text. Returns its address.
pub fn start_bulk_server(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    listener.set_nonblocking(true).unwrap();
    thread::spawn(move || {
        let mut connections: Vec<Connection> = Vec::new();
        loop {
            while let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).unwrap();
                connections.push(Connection { stream, request_end: Vec::new(), response: None });
            }
            connections.retain_mut(|connection| connection.advance(&response));
            thread::sleep(ROUND_INTERVAL);
        }
    });
    address
}
