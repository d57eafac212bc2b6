//! Accepting of the gateway's connections by tests that act as the server, or as another process of the gateway.

use super::EVENT_TIMEOUT;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;
use std::time::Instant;

/// Waits for a connection of the gateway; panics if none arrives within [`EVENT_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let (stream, _) = poll_accept(|| listener.accept());
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Waits for a connection of another process of the gateway; panics if none arrives within [`EVENT_TIMEOUT`].
pub fn accept_process(listener: &UnixListener) -> UnixStream {
    listener.set_nonblocking(true).unwrap();
    let (stream, _) = poll_accept(|| listener.accept());
    stream.set_nonblocking(false).unwrap();
    stream
}

/// Repeats a call that does not block until it returns a connection.
fn poll_accept<C>(accept: impl Fn() -> io::Result<C>) -> C {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    loop {
        match accept() {
            Ok(connection) => return connection,
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock, "{error}"),
        }
        assert!(Instant::now() < deadline, "the gateway opens no connection");
        thread::yield_now();
    }
}
