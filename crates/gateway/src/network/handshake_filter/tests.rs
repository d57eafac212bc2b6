//! Tests of the filter that refuses new connections.

use super::refuse_new_handshakes;
use nix::sys::socket::setsockopt;
use nix::{setsockopt_impl, sockopt_impl};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

sockopt_impl!(
    /// Completes handshakes only when the client's first data arrives, or after at most this many seconds.
    TcpDeferAccept,
    SetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_DEFER_ACCEPT,
    i32
);

/// Maximum time for which a test waits for segments to arrive.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Duration after which a connection attempt counts as unanswered; the system retransmits its first segment
/// after 1 s.
const UNANSWERED: Duration = Duration::from_millis(200);

/// Returns listeners on the loopback addresses of both IP versions that this machine supports.
fn listeners() -> Vec<TcpListener> {
    let listeners: Vec<TcpListener> =
        ["127.0.0.1:0", "[::1]:0"].iter().filter_map(|address| TcpListener::bind(address).ok()).collect();
    assert!(!listeners.is_empty());
    listeners
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap()
}

#[test]
fn new_handshake_does_not_begin_and_is_refused_once_the_listener_closes() {
    for listener in listeners() {
        let address = address(&listener);
        refuse_new_handshakes(&listener).unwrap();
        let error = TcpStream::connect_timeout(&address, UNANSWERED).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::TimedOut);
        drop(listener);
        let error = TcpStream::connect_timeout(&address, MAX_WAIT).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
    }
}

/// Data of a connection that inherits the filter passes in both directions.
#[test]
fn handshake_that_has_begun_ends_and_its_connection_works() {
    for listener in listeners() {
        setsockopt(&listener, TcpDeferAccept, &10).unwrap();
        let mut client = TcpStream::connect(address(&listener)).unwrap();
        listener.set_nonblocking(true).unwrap();
        assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
        refuse_new_handshakes(&listener).unwrap();
        listener.set_nonblocking(false).unwrap();
        client.write_all(b"request").unwrap();
        let (mut accepted, _) = listener.accept().unwrap();
        drop(listener);
        client.write_all(b" and more").unwrap();
        let mut received = [0; 16];
        accepted.read_exact(&mut received).unwrap();
        assert_eq!(&received, b"request and more");
        accepted.write_all(b"response").unwrap();
        drop(accepted);
        let mut response = String::new();
        client.read_to_string(&mut response).unwrap();
        assert_eq!(response, "response");
    }
}
