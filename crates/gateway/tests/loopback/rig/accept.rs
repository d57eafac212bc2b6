//! Accepting of the gateway's connections by tests that act as the server.

use super::EVENT_TIMEOUT;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Instant;

/// Waits for a connection of the gateway; panics if none arrives within [`EVENT_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + EVENT_TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock, "{error}"),
        }
        assert!(Instant::now() < deadline, "the gateway opens no connection");
        thread::yield_now();
    }
}
